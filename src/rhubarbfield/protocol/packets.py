"""Replication messages on the links between controllers."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering.links import make_link_method
from rhubarbfield.replication import ReplicationMessage
from rhubarbfield.types import GroupId


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A replication message and the group it belongs to."""

    group: GroupId
    message: ReplicationMessage


REPLICATION_LINK = make_link_method("/rhubarbfield.Controller/Link", Packet)
