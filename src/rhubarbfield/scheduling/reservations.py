"""Reservations of workers for standing tasks that were interrupted and find no room.

Such a task goes first, but where each piece of room that becomes free is smaller than
it needs, smaller tasks would take it, for as long as any of them wait.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from operator import itemgetter

from rhubarbfield.clock import MILLISECOND, Clock
from rhubarbfield.scheduling.backfilling import (
    ExpectedEnd,
    Forecast,
    ReservedWorker,
    ReservedWorkers,
    StepKey,
    forecast_room,
    get_key,
)
from rhubarbfield.scheduling.claims import (
    Claim,
    Wait,
    find_claim,
    log_reservation,
)
from rhubarbfield.scheduling.deferrals import Deferrals, may_hold
from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    find_task_step,
)
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import TaskName, name_task
from rhubarbfield.scheduling.ordering import MAX_ESTIMATE_MS, awaits_restart
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import WorkerId

# The platform tolerates a standstill of 6 s, and then 3 s with capacity.
RESERVATION_DELAY = timedelta(seconds=2)
# Estimates are often too low, so that a backfilled task may end late.
BACKFILLING_PERIOD = timedelta(seconds=2)
# Share of the workers of a service that are reserved at a time, but at least one.
MAX_RESERVED_SHARE = 0.05
# A worker that has room only later is of no use.
MAX_RESERVATION_WAIT = timedelta(seconds=10)
# Runs that are overdue for longer may go on without end. Another worker with room
# sooner is reserved then, and the first one is kept: all estimates may be too low.
MAX_OVERDUE = timedelta(seconds=2)
MAX_OVERDUE_SHARE = 2  # reserved workers in all, as a multiple of those that are not
# A search looks at the runs of all workers.
SEARCH_INTERVAL = timedelta(milliseconds=250)
# A round may leave a thousand steps without a worker.
RECORD_INTERVAL = timedelta(milliseconds=100)
MAX_STEPS_PER_SEARCH = 4


class Reservations:
    """The workers that a leader reserves, one for each task.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    sessions
        The leader's session with each worker.
    clock
        Source of time.
    """

    def __init__(
        self,
        get_state: Callable[[], SchedulingState],
        sessions: Mapping[WorkerId, WorkerSession],
        clock: Clock,
    ) -> None:
        self._get_state = get_state
        self._sessions = sessions
        self._clock = clock
        self._waits: dict[TaskName, Wait] = {}
        self._deferrals = Deferrals()
        self._reserved: dict[WorkerId, ReservedWorker] = {}
        self._search_due = timedelta()
        self._record_due = timedelta()

    def record_unplaced(
        self, unplaced: Iterable[WaitingStep], trials: Iterable[WaitingStep] = ()
    ) -> None:
        """Record the steps for which a round has found no worker.

        Parameters
        ----------
        unplaced
            The steps.
        trials
            Steps with a suspected task that waits for a worker to itself.
        """
        now = self._clock.monotonic()
        if now < self._record_due:
            return
        self._record_due = now + RECORD_INTERVAL
        self._deferrals.begin_round(self._reserved.values())
        for waiting in unplaced:
            step = waiting.step
            # Room alone does not help a task that lacks spare cores.
            if not step.standing or step.uses_spare_cores:
                continue
            self._deferrals.record(waiting, now)
            if step.gang:  # one worker with room does not help it
                continue
            for index, task in enumerate(waiting.tasks):
                if awaits_restart(step, task) and not task.is_suspect:
                    key = get_key(waiting)
                    wait = Wait(task.last_run, now)
                    self._waits.setdefault(name_task(*key, index), wait)
        for waiting in trials:
            if waiting.step.standing and not waiting.step.gang:
                self._deferrals.record(waiting, now)

    def exclude(
        self, headrooms: dict[WorkerId, WorkerHeadroom]
    ) -> dict[WorkerId, WorkerHeadroom]:
        """Return the headrooms of the workers that are not reserved."""
        if not self._reserved:
            return headrooms
        return {
            worker: headroom
            for worker, headroom in headrooms.items()
            if worker not in self._reserved
        }

    def take(
        self,
        headrooms: dict[WorkerId, WorkerHeadroom],
        interference: InterferenceModel,
    ) -> ReservedWorkers:
        """Take the reserved workers of a round out of all ``headrooms``."""
        now = self._clock.monotonic()
        claims = self._list_claims(now)
        if claims or self._reserved:
            claims = self._renew(claims, headrooms, now)
        if claims and now >= self._search_due:
            self._search_due = now + SEARCH_INTERVAL
            self._reserve(claims, headrooms, now)
        for worker in self._reserved:
            del headrooms[worker]
        claimants = {get_key(each.waiting) for each in claims}
        claimants.update(self._deferrals.iterate_due(now))
        members = self._reserved.values()
        return ReservedWorkers(members, interference, now, claimants)

    def _list_claims(self, now: timedelta) -> list[Claim]:
        """Return the tasks that have waited for long, the most urgent first."""
        state = self._get_state()
        claims = []
        for name, wait in list(self._waits.items()):
            waiting = find_task_step(state, name)
            if waiting is None or not _is_waiting(state, name, waiting, wait):
                del self._waits[name]
            elif now - wait.since >= RESERVATION_DELAY:
                claims.append(Claim(name, waiting, wait.since))
        claims.sort(key=lambda each: (each.waiting.queue.priority, each.since))
        return claims

    def _renew(
        self,
        claims: list[Claim],
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        now: timedelta,
    ) -> list[Claim]:
        """Keep the reservations that are still of use; return the other claims.

        A claim whose worker is overdue is among them.
        """
        before, self._reserved = self._reserved, {}
        left = list(claims)
        for worker, reserved in before.items():
            claim = find_claim((*left, *claims), reserved.holder)
            headroom = headrooms.get(worker)
            if claim is None or headroom is None or reserved.is_used:
                continue
            if not may_hold(claim.waiting, headroom):
                continue
            forecast = self._forecast(claim, headroom, now)
            if forecast is None:
                continue
            renewed = _make(claim, headroom, forecast, now)
            if renewed.is_overdue:
                self._reserved[worker] = renewed
            elif claim in left:
                self._reserved[worker] = renewed
                left.remove(claim)
        return left

    def _reserve(
        self,
        claims: Iterable[Claim],
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        now: timedelta,
    ) -> None:
        """Reserve the worker that has room soonest for each of the first claims."""
        members = Counter(each.worker.service for each in headrooms.values())
        totals = Counter(
            each.headroom.worker.service for each in self._reserved.values()
        )
        counts = Counter(
            each.headroom.worker.service
            for each in self._reserved.values()
            if not each.is_overdue
        )
        found: dict[StepKey, list[tuple[Forecast, WorkerHeadroom]]] = {}
        known: dict[WorkerId, list[ExpectedEnd]] = {}
        for claim in claims:
            service = claim.waiting.queue.service
            key = get_key(claim.waiting)
            limit = max(1, int(members[service] * MAX_RESERVED_SHARE))
            if counts[service] >= limit:
                continue
            if totals[service] >= limit * MAX_OVERDUE_SHARE:
                continue
            if key not in found:
                if len(found) >= MAX_STEPS_PER_SEARCH:
                    continue
                found[key] = self._rank(claim, headrooms, known, now)
            bound = self._find_overdue(key)
            for forecast, headroom in found[key]:
                worker = headroom.worker.worker
                is_sooner = bound is None or forecast.cautious_due < bound
                if worker not in self._reserved and is_sooner:
                    self._reserved[worker] = _make(claim, headroom, forecast, now)
                    counts[service] += 1
                    totals[service] += 1
                    log_reservation(claim, worker, forecast, now)
                    break

    def _find_overdue(self, holder: StepKey) -> timedelta | None:
        """Return when a step's overdue workers have room; None if it has none."""
        return min(
            (
                each.cautious_due
                for each in self._reserved.values()
                if each.is_overdue and each.holder == holder
            ),
            default=None,
        )

    def _rank(
        self,
        claim: Claim,
        headrooms: Mapping[WorkerId, WorkerHeadroom],
        known: dict[WorkerId, list[ExpectedEnd]],
        now: timedelta,
    ) -> list[tuple[Forecast, WorkerHeadroom]]:
        """Return the workers that will have room for a task, the best first."""
        found = []
        for worker, headroom in headrooms.items():
            is_open = headroom.task_count < headroom.task_limit
            if not is_open or not may_hold(claim.waiting, headroom):
                continue
            if worker not in known:
                known[worker] = self._list_ends(headroom.worker, now)
            forecast = self._forecast(claim, headroom, now, known[worker])
            if forecast is not None and forecast.due - now <= MAX_RESERVATION_WAIT:
                found.append((forecast, headroom))
        found.sort(key=lambda each: _measure_cost(*each))
        return found

    def _forecast(
        self,
        claim: Claim,
        headroom: WorkerHeadroom,
        now: timedelta,
        ends: list[ExpectedEnd] | None = None,
    ) -> Forecast | None:
        if ends is None:
            ends = self._list_ends(headroom.worker, now)
        return forecast_room(claim.waiting.step.reserved, headroom.free, ends, now)

    def _list_ends(self, worker: Worker, now: timedelta) -> list[ExpectedEnd]:
        """Return when the finite runs of a worker are expected to end, in order."""
        state, session = self._get_state(), self._sessions.get(worker.worker)
        ends = []
        for name, run in worker.runs.items():
            step = state.find_step(name)
            if step is None or step.standing:
                continue
            key = RunKey(name, run)
            began = None if session is None else session.presence.find_start(key)
            estimate = min(step.estimate_ms, MAX_ESTIMATE_MS) * MILLISECOND
            ends.append(((now if began is None else began) + estimate, step.reserved))
        ends.sort(key=itemgetter(0))
        return ends


def _is_waiting(
    state: SchedulingState, name: TaskName, waiting: WaitingStep, wait: Wait
) -> bool:
    """Return whether a task still waits for the run after the one that is known."""
    found = state.find_task(name)
    if found is None or not waiting.job.is_open:
        return False
    task = found[3]
    return (
        awaits_restart(waiting.step, task)
        and task.last_run == wait.last_run
        and not task.is_suspect
    )


def _make(
    claim: Claim, headroom: WorkerHeadroom, forecast: Forecast, now: timedelta
) -> ReservedWorker:
    waiting = claim.waiting
    reserved_for = now - claim.since - RESERVATION_DELAY
    return ReservedWorker(
        headroom,
        get_key(waiting),
        waiting.queue.priority,
        waiting.step.reserved,
        forecast.due,
        forecast.cautious_due,
        forecast.free.minus(waiting.step.reserved),
        may_backfill=reserved_for < BACKFILLING_PERIOD,
        is_overdue=forecast.overdue > MAX_OVERDUE,
    )


def _measure_cost(
    forecast: Forecast, headroom: WorkerHeadroom
) -> tuple[int, timedelta, int, WorkerId]:
    """Return how ill a worker suits a task that waits; the lowest is best."""
    worker = headroom.worker.worker
    return headroom.failures, forecast.cautious_due, forecast.ends, worker
