"""Messages and gRPC methods between the processes of the system.

Messages are msgspec structs. A method defines the gRPC path and the message
types in each direction.
"""

from rhubarbfield.groups import (
    REPLICATION_LINK,
    LeaderCalls,
    LeaderFailure,
    NotLeading,
    Packet,
    PacketSender,
    Unavailable,
)
from rhubarbfield.protocol.calls import (
    DOMAIN_CALL,
    FLEET_CALL,
    QUERY_CALL,
    DomainRequest,
    QueryAnswer,
    QueryRequest,
    settles_domain_attempts,
)
from rhubarbfield.protocol.entries import (
    ENTRY_STREAM,
    ConfigurationUpdate,
    DirectoryUpdate,
    EntryHello,
    EntryLease,
    EntryOpened,
    EntryRefused,
    RenewEntry,
)
from rhubarbfield.protocol.forwarding import FORWARD_CALL, ForwardAnswer
from rhubarbfield.protocol.free_slots import (
    FREE_SLOTS_LINK,
    FreeSlotsReport,
    ServiceFreeSlots,
)
from rhubarbfield.protocol.summaries import SUMMARY_CALL, DomainSummary, WorkerShape

__all__ = [
    "DOMAIN_CALL",
    "DomainRequest",
    "FLEET_CALL",
    "QUERY_CALL",
    "NotLeading",
    "Unavailable",
    "QueryRequest",
    "settles_domain_attempts",
    "QueryAnswer",
    "ENTRY_STREAM",
    "EntryHello",
    "RenewEntry",
    "EntryOpened",
    "EntryLease",
    "EntryRefused",
    "DirectoryUpdate",
    "ConfigurationUpdate",
    "FORWARD_CALL",
    "ForwardAnswer",
    "LeaderCalls",
    "LeaderFailure",
    "SUMMARY_CALL",
    "DomainSummary",
    "WorkerShape",
    "FREE_SLOTS_LINK",
    "FreeSlotsReport",
    "ServiceFreeSlots",
    "REPLICATION_LINK",
    "Packet",
    "PacketSender",
]
