"""Reports of free slots that entries send to their peer entries."""

from __future__ import annotations

import msgspec

from rhubarbfield.peering.links import make_link_method
from rhubarbfield.types import FailureDomain, ServiceName


class ServiceFreeSlots(msgspec.Struct, frozen=True, array_like=True):
    """Number of further requests for a service that an entry can take now."""

    service: ServiceName
    free_slots: int = msgspec.field(name="room")


class FreeSlotsReport(msgspec.Struct, frozen=True, tag="RoomReport"):
    """Free slots of one entry.

    Attributes
    ----------
    domain
        The entry's failure domain.
    services
        One item for each service of which the entry owns backend servers.
    """

    domain: FailureDomain
    services: tuple[ServiceFreeSlots, ...]


FREE_SLOTS_LINK = make_link_method("/rhubarbfield.Entry/Rooms", FreeSlotsReport)
