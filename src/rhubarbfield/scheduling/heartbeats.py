"""What called workers say of themselves from time to time."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.commands import WorkerReport
from rhubarbfield.scheduling.state import SchedulingState


class Heartbeat(msgspec.Struct, frozen=True):
    """What a worker sends from time to time.

    Attributes
    ----------
    report
        What it says of itself.
    sequence
        Grows with each heartbeat of this life.
    clock
        Its own clock, if it told.
    remaining
        At least so long it goes on, if it is draining and told.
    """

    report: WorkerReport
    sequence: int
    clock: timedelta | None = None
    remaining: timedelta | None = None


def is_recorded(state: SchedulingState, report: WorkerReport) -> bool:
    """Say whether a report changes nothing of what is recorded."""
    worker = state.workers.get(report.worker)
    return (
        worker is not None
        and worker.address == report.address
        and worker.draining >= report.draining
        and worker.capacity == report.capacity
        and worker.labels == report.labels
        and worker.service == report.service
    )
