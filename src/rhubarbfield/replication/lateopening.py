"""Opening of a log whose store is in use or full when its replica starts."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.replication.log import ReplicaLog
from rhubarbfield.storage import DiskFull, StoreFailure, StoreInUse
from rhubarbfield.types import GroupId
from rhubarbfield.waits import WaitReport

logger = logging.getLogger(__name__)

OPEN_INTERVAL = timedelta(milliseconds=250)

Opened = Result[ReplicaLog, StoreFailure]


def may_open_later(opened: Opened) -> bool:
    """Return whether another attempt to open the log may succeed."""
    return isinstance(opened, Failure) and isinstance(
        opened.failure(), DiskFull | StoreInUse
    )


async def open_later(
    open_log: Callable[[], Opened], opened: Opened, group: GroupId, clock: Clock
) -> Opened:
    """Try to open a log until it succeeds, or fails for good.

    Parameters
    ----------
    open_log
        Opens the log.
    opened
        Outcome of the first attempt.
    group
        Group that the log belongs to.
    clock
        Source of time.
    """
    in_use = WaitReport(logger, "store-in-use", clock.monotonic, group=group)
    full = WaitReport(logger, "disk-full", clock.monotonic, group=group)
    while may_open_later(opened):
        report = full if isinstance(opened.failure(), DiskFull) else in_use
        report.repeat()
        await clock.sleep(OPEN_INTERVAL)
        opened = open_log()
    return opened
