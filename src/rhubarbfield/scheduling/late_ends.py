"""Ends that workers list of runs which are recorded as ended otherwise."""

from __future__ import annotations

import logging
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta
from enum import Enum

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.commands import EndedRun
from rhubarbfield.scheduling.metrics import ENDS_LISTED_LATE
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import SchedulingState
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

MAX_REMEMBERED_RUNS = 8192  # about 2 MB


class AbandonCause(Enum):
    """Why a run was recorded as ended although its worker had not listed its end.

    Attributes
    ----------
    LAPSED
        The lease of its worker had lapsed.
    VANISHED
        A view listed it neither as active nor as ended.
    REFUSED
        The worker refused to start it, or was never reached.
    REMOVED
        Its worker was removed.
    """

    LAPSED = "lapsed"
    VANISHED = "vanished"
    REFUSED = "refused"
    REMOVED = "removed"


class AbandonedRun(msgspec.Struct, frozen=True):
    """How and when this leader recorded a run as ended.

    Attributes
    ----------
    cause
        Why.
    at
        Monotonic time.
    basis
        What the lease of its worker was counted from, if it had lapsed.
    """

    cause: AbandonCause
    at: timedelta
    basis: str | None = None


class LateEnds:
    """Remembers how runs were recorded as ended, and logs the ends listed afterwards.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    clock
        Source of time.
    """

    def __init__(self, get_state: Callable[[], SchedulingState], clock: Clock) -> None:
        self._get_state = get_state
        self._clock = clock
        self._abandoned: OrderedDict[RunKey, AbandonedRun] = OrderedDict()

    def record_abandoned(
        self, key: RunKey, cause: AbandonCause, basis: str | None = None
    ) -> None:
        """Record that a run counts as ended without the word of its worker."""
        self._abandoned[key] = AbandonedRun(cause, self._clock.monotonic(), basis)
        if len(self._abandoned) > MAX_REMEMBERED_RUNS:
            self._abandoned.popitem(last=False)

    def is_late(self, worker: WorkerId, ended: EndedRun) -> bool:
        """Return whether a worker lists the end of a run that is not recorded there."""
        record = self._get_state().workers.get(worker)
        is_recorded = record is not None and record.runs.get(ended.task) == ended.run
        return not is_recorded and ended.end.is_listed

    def log(self, worker: WorkerId, ended: EndedRun) -> None:
        """Log a late end, with what is known of the run and of its task."""
        ENDS_LISTED_LATE.labels(ended.end.value).inc()
        found = self._get_state().find_task(ended.task)
        task = None if found is None else found[3]
        abandoned = self._abandoned.get(RunKey(ended.task, ended.run))
        log_event(
            logger,
            logging.INFO,
            "end-listed-late",
            task=ended.task,
            run=ended.run,
            worker=worker,
            end=ended.end.value,
            cause=None if abandoned is None else abandoned.cause.value,
            basis=None if abandoned is None else abandoned.basis,
            age=None if abandoned is None else self._clock.monotonic() - abandoned.at,
            phase=None if task is None else task.phase.name.lower(),
            live=None if task is None else " ".join(map(str, task.live)),
        )
