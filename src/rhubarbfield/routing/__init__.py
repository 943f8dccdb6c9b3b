"""The request path of an entry: routing decisions and the ports they use."""

from rhubarbfield.routing.grants import (
    BackendGrant,
    Reservation,
    ServerReport,
    StaleGrant,
)
from rhubarbfield.routing.ledger import SlotLedger
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import (
    BackendPort,
    BackendTarget,
    BeginReply,
    Begun,
    DeliveryState,
    ExchangeFailure,
    FailureReason,
    FirstAnswer,
    KeyMismatch,
    Lease,
    PeerEntry,
    PeerEntryPort,
    RecordFailure,
    RecordFailureReason,
    RecordPort,
    StillRunning,
)
from rhubarbfield.routing.requests import (
    BackendAnswer,
    CallerRequest,
    DispatchId,
    Header,
    Refusal,
    RefusalReason,
    compute_fingerprint,
)
from rhubarbfield.routing.router import Router
from rhubarbfield.routing.servers import OwnedServers, check_grants
from rhubarbfield.routing.settings import (
    ClassSettings,
    LiveSettings,
    RoutingSettings,
    ServiceSettings,
    TenantSettings,
)

__all__ = [
    "BackendAnswer",
    "BackendGrant",
    "BackendPort",
    "BackendTarget",
    "BeginReply",
    "Begun",
    "CallerRequest",
    "PeerEntry",
    "ClassSettings",
    "DispatchId",
    "ExchangeFailure",
    "FailureReason",
    "FirstAnswer",
    "Header",
    "Lease",
    "LiveSettings",
    "KeyMismatch",
    "OwnedServers",
    "DeliveryState",
    "RecordFailure",
    "RecordFailureReason",
    "RecordPort",
    "Refusal",
    "RefusalReason",
    "Reservation",
    "Router",
    "RoutingMetrics",
    "RoutingSettings",
    "ServerReport",
    "ServiceSettings",
    "PeerEntryPort",
    "SlotLedger",
    "StaleGrant",
    "StillRunning",
    "TenantSettings",
    "check_grants",
    "compute_fingerprint",
]
