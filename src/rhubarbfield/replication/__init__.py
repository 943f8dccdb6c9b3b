"""Replicated log with elections, leader leases, snapshots and membership changes."""

from rhubarbfield.replication.applier import StateMachine
from rhubarbfield.replication.failures import (
    ChangeError,
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    ProposeError,
    Unsafe,
)
from rhubarbfield.replication.leadership import LEADERSHIP_RELEASE_DELAY, Leadership
from rhubarbfield.replication.membership import Membership
from rhubarbfield.replication.messages import (
    MalformedMessage,
    ReplicationMessage,
    decode_message,
    encode_message,
)
from rhubarbfield.replication.replica import Replica
from rhubarbfield.replication.settings import GroupSettings
from rhubarbfield.replication.state import (
    MessageSender,
    Role,
    RunBlocking,
    run_in_thread,
)
from rhubarbfield.replication.status import MemberStatus, ReplicaStatus
from rhubarbfield.storage import ReplicaId

__all__ = [
    "Replica",
    "ReplicaId",
    "GroupSettings",
    "StateMachine",
    "MessageSender",
    "Leadership",
    "LEADERSHIP_RELEASE_DELAY",
    "Membership",
    "Role",
    "RunBlocking",
    "run_in_thread",
    "ReplicaStatus",
    "MemberStatus",
    "ProposeError",
    "ChangeError",
    "NotLeader",
    "NoQuorum",
    "OutcomeUnknown",
    "Overloaded",
    "Unsafe",
    "ReplicationMessage",
    "MalformedMessage",
    "decode_message",
    "encode_message",
]
