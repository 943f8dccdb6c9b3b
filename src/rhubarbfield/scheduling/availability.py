"""The workers that may receive tasks now, and what each of them can still take."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.capacities import WorkerCapacities
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.interference import LatencyMargin
from rhubarbfield.scheduling.quarantine import MAX_STANDING_STARTS, WorkerQuarantine
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.scheduling.suspects import Suspects
from rhubarbfield.types import WorkerId


class WorkerAvailability:
    """Measures the headroom of the workers that may receive tasks.

    A round measures all workers, so that the cost of one decides what a round costs.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    sessions
        The leader's session with each worker.
    headrooms
        What the recorded runs of each worker leave.
    capacities
        The capacities of workers, as they reported them.
    quarantine
        The quarantine of workers.
    suspects
        The tasks that may crash workers.
    list_margins
        Predicts the latency margins of a worker.
    clock
        Source of time.
    """

    def __init__(
        self,
        get_state: Callable[[], SchedulingState],
        sessions: Mapping[WorkerId, WorkerSession],
        headrooms: HeadroomIndex,
        *,
        capacities: WorkerCapacities,
        quarantine: WorkerQuarantine,
        suspects: Suspects,
        list_margins: Callable[[Worker], list[LatencyMargin]],
        clock: Clock,
    ) -> None:
        self._get_state = get_state
        self._sessions = sessions
        self._headrooms = headrooms
        self._capacities = capacities
        self._quarantine = quarantine
        self._suspects = suspects
        self._list_margins = list_margins
        self._clock = clock

    def measure_all(self) -> dict[WorkerId, WorkerHeadroom]:
        """Return the headroom of each worker that may receive tasks."""
        state, now = self._get_state(), self._clock.monotonic()
        measured = (self._measure(state, each, now) for each in state.workers.values())
        return {each.worker.worker: each for each in measured if each is not None}

    def measure(self, worker: Worker) -> WorkerHeadroom | None:
        """Return the headroom of a worker, or None if it may not receive tasks."""
        return self._measure(self._get_state(), worker, self._clock.monotonic())

    def measure_quarantined(self) -> list[WorkerHeadroom]:
        """Return what workers on probation have left for standing tasks alone."""
        state, now = self._get_state(), self._clock.monotonic()
        measured = []
        for worker in state.workers.values():
            starts = self._quarantine.count_standing_starts(worker.worker, now)
            if worker.draining or not starts:  # all but a few
                continue
            session = self._find_reachable(worker, now)
            if session is None:
                continue
            headroom = self._measure_session(state, worker, session)
            headroom.has_proven_probe = starts == MAX_STANDING_STARTS
            limit = headroom.task_count + starts
            headroom.task_limit = min(headroom.task_limit, limit)
            measured.append(headroom)
        return measured

    def is_usable(self, worker: Worker) -> bool:
        """Return whether a worker may receive tasks if it does not drain."""
        return self._find_usable(worker, self._clock.monotonic()) is not None

    def _find_usable(self, worker: Worker, now: timedelta) -> WorkerSession | None:
        """Return the session with a worker, or None if it may not receive tasks."""
        if not self._quarantine.is_eligible(worker.worker, now):
            return None
        return self._find_reachable(worker, now)

    def _find_reachable(self, worker: Worker, now: timedelta) -> WorkerSession | None:
        """Return the session with a worker that answers and whose capacity is known."""
        session = self._sessions.get(worker.worker)
        if session is None or not session.is_usable_at(now):
            return None
        return session if self._capacities.is_known(worker) else None

    def _measure(
        self, state: SchedulingState, worker: Worker, now: timedelta
    ) -> WorkerHeadroom | None:
        if worker.draining:
            return None
        session = self._find_usable(worker, now)
        if session is None:
            return None
        headroom = self._measure_session(state, worker, session)
        if self._quarantine.is_on_probation(worker.worker):
            headroom.awaits_probe = self._quarantine.may_probe(worker.worker)
            limit = headroom.task_count + int(headroom.awaits_probe)
            headroom.task_limit = min(headroom.task_limit, limit)
        return headroom

    def _measure_session(
        self, state: SchedulingState, worker: Worker, session: WorkerSession
    ) -> WorkerHeadroom:
        """Return the headroom of a worker, whether or not it is on probation."""
        headroom = self._headrooms.measure(state, worker)
        if not state.guards_capacity(worker.service):
            unrecorded = self._capacities.measure_unrecorded(worker)
            headroom.free = headroom.free.minus(unrecorded)
        headroom.predict_margins = partial(self._list_margins, worker)
        headroom.count_unproven = session.presence.count_unproven
        headroom.failures = self._quarantine.count_failures(worker.worker)
        if self._suspects.is_trying(session):
            headroom.task_limit = headroom.task_count
        return headroom
