"""What the leader of a domain tells the leader of the fleet, now and then."""

from __future__ import annotations

import msgspec

from rhubarbfield.machine import Done
from rhubarbfield.peering import CallMethod
from rhubarbfield.protocol.calls import NotLeading
from rhubarbfield.types import FailureDomain


class WorkerShape(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of workers that are alike, and how many there are."""

    millicores: int
    memory_mb: int
    accelerators: int
    count: int


class DomainSummary(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """How much room a failure domain has.

    Attributes
    ----------
    free_millicores, free_memory_mb, free_accelerators
        Sum over its workers of what is not committed.
    shapes
        Its workers by capacity, drained and quarantined ones left out.
    waiting_tasks
        Tasks that wait for room.
    """

    domain: FailureDomain
    free_millicores: int
    free_memory_mb: int
    free_accelerators: int
    shapes: tuple[WorkerShape, ...]
    waiting_tasks: int


SUMMARY_CALL = CallMethod(
    "/rhubarbfield.Controller/Summary", DomainSummary, Done | NotLeading
)
