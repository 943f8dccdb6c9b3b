"""What entries tell each other of the room they have."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering.links import make_link_method
from rhubarbfield.types import FailureDomain, ServiceName


class ServiceRoom(msgspec.Struct, frozen=True, array_like=True):
    """How many more requests of a service an entry can take at once."""

    service: ServiceName
    room: int


class RoomReport(msgspec.Struct, frozen=True, tag=True):
    """The room of one entry.

    Attributes
    ----------
    domain
        Its failure domain.
    services
        One item for each service that it owns backend servers of.
    """

    domain: FailureDomain
    services: tuple[ServiceRoom, ...]


ROOM_LINK = make_link_method("/rhubarbfield.Entry/Rooms", RoomReport)
