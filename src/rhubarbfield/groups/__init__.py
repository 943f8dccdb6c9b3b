"""Replicated groups for daemons: typed logs, calls to leaders and peer links."""

from rhubarbfield.groups.failures import StoreLostError
from rhubarbfield.groups.packets import REPLICATION_LINK, Packet, PacketSender
from rhubarbfield.groups.replicated import ReplicatedLog, run_while_leading
from rhubarbfield.leadercalls import (
    LeaderCalls,
    LeaderFailure,
    NotLeading,
    Unavailable,
)

__all__ = [
    "LeaderCalls",
    "LeaderFailure",
    "NotLeading",
    "Packet",
    "PacketSender",
    "REPLICATION_LINK",
    "ReplicatedLog",
    "StoreLostError",
    "Unavailable",
    "run_while_leading",
]
