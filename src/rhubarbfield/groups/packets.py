"""Replication messages sent over the links between controllers."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering.links import PeerLinks, make_link_method
from rhubarbfield.replication import ReplicationMessage
from rhubarbfield.types import GroupId, InstanceName


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """A replication message and the group it belongs to."""

    group: GroupId
    message: ReplicationMessage


REPLICATION_LINK = make_link_method("/rhubarbfield.Controller/Link", Packet)


class PacketSender:
    """Sends replication messages over the links to other controllers."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links

    def send(
        self, to: InstanceName, group: GroupId, message: ReplicationMessage
    ) -> None:
        """Queue a message without waiting."""
        self._links.send(to, Packet(group, message))
