"""Summaries that leaders of domains send periodically to the fleet's leader."""

from __future__ import annotations

import msgspec

from rhubarbfield.machine import Done
from rhubarbfield.peering import CallMethod
from rhubarbfield.protocol.calls import NotLeading
from rhubarbfield.types import FailureDomain


class WorkerShape(msgspec.Struct, frozen=True, array_like=True):
    """Capacity of each of ``count`` equal workers."""

    millicores: int
    memory_mb: int
    accelerators: int
    count: int


class DomainSummary(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Free capacity of a failure domain.

    Attributes
    ----------
    free_millicores, free_memory_mb, free_accelerators
        Capacity that is not committed, summed over the workers.
    shapes
        Workers by capacity, without drained and quarantined ones.
    waiting_tasks
        Number of tasks that wait for headroom.
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
