"""The request path of an entry: decisions, and the ports they speak to."""

from rhubarbfield.routing.ledger import (
    BackendGrant,
    OwnedServers,
    ServerReport,
    SlotLedger,
    StaleGrant,
    check_grants,
)
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import (
    BackendPort,
    BackendTarget,
    BeginReply,
    Begun,
    Candidate,
    ExchangeFailure,
    FailureReason,
    FirstAnswer,
    OtherRequest,
    Reach,
    RecordFailure,
    RecordFailureReason,
    RecordPort,
    SiblingPort,
    StillRunning,
)
from rhubarbfield.routing.requests import (
    BackendAnswer,
    CallerRequest,
    Header,
    Refusal,
    RefusalReason,
    compute_fingerprint,
)
from rhubarbfield.routing.router import Router
from rhubarbfield.routing.settings import (
    ClassSettings,
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
    "Candidate",
    "ClassSettings",
    "ExchangeFailure",
    "FailureReason",
    "FirstAnswer",
    "Header",
    "OtherRequest",
    "OwnedServers",
    "Reach",
    "RecordFailure",
    "RecordFailureReason",
    "RecordPort",
    "Refusal",
    "RefusalReason",
    "Router",
    "RoutingMetrics",
    "RoutingSettings",
    "ServerReport",
    "ServiceSettings",
    "SiblingPort",
    "SlotLedger",
    "StaleGrant",
    "StillRunning",
    "TenantSettings",
    "check_grants",
    "compute_fingerprint",
]
