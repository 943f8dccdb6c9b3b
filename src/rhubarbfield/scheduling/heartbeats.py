"""Heartbeats of workers that the controller calls."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.state import SchedulingState


class Heartbeat(msgspec.Struct, frozen=True):
    """A periodic message of a worker.

    Attributes
    ----------
    report
        The worker's description of itself.
    sequence
        Grows with each heartbeat of this incarnation.
    clock
        The worker's clock, if the message has it.
    remaining
        Minimum time a draining worker continues to run, if the message has it.
    """

    report: WorkerReport
    sequence: int
    clock: timedelta | None = None
    remaining: timedelta | None = None


def is_recorded(state: SchedulingState, report: WorkerReport) -> bool:
    """Return whether a report would not change the worker's record."""
    worker = state.workers.get(report.worker)
    return (
        worker is not None
        and worker.address == report.address
        and worker.draining >= report.draining
        and worker.capacity == report.capacity
        and worker.labels == report.labels
        and worker.service == report.service
    )
