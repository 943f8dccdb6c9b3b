"""The attempts at one request: here, at another entry, and again."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.routing.admission import Admission
from rhubarbfield.routing.budget import RetryBudget
from rhubarbfield.routing.dispatch import Dispatcher
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import FailureReason, PeerEntryPort
from rhubarbfield.routing.queues import Elsewhere, Place, Waiter
from rhubarbfield.routing.refusals import (
    admit_earlier_attempt,
    refuse_not_run,
    refuse_unknown,
    translate_failure,
)
from rhubarbfield.routing.requests import (
    BackendAnswer,
    CallerRequest,
    Refusal,
    RefusalReason,
)
from rhubarbfield.routing.settings import LiveSettings
from rhubarbfield.types import BackendServerId, Outcome

Routed = Result[BackendAnswer, Refusal]

FORWARD_GRACE = timedelta(milliseconds=100)
_PASSED_OVER = frozenset({RefusalReason.NO_ROOM, RefusalReason.NO_SUCH_SERVICE})


class Run:
    """A request under way, which outlives the task of its caller.

    Parameters
    ----------
    deadline
        Monotonic time at which the caller gives up.
    """

    def __init__(self, request: CallerRequest, deadline: timedelta) -> None:
        self.request = request
        self.deadline = deadline
        self.result: Routed | None = None
        self.done = trio.Event()
        self.caller_left = False
        self.waiter: Waiter | None = None
        self.avoid: frozenset[BackendServerId] = frozenset()
        self.may_have_run = False


class _Again(Enum):
    NEVER = "never"
    FREE = "free"
    FROM_BUDGET = "from-budget"


class _Failed(msgspec.Struct, frozen=True):
    refusal: Refusal
    again: _Again = _Again.NEVER


class Attempts:
    """Carries a request out, with as many attempts as it may have.

    Parameters
    ----------
    admission
        Says where an attempt goes.
    dispatcher
        Carries out attempts at owned backend servers.
    peer_entries
        Carries out attempts at other entries.
    """

    def __init__(
        self,
        *,
        admission: Admission,
        dispatcher: Dispatcher,
        peer_entries: PeerEntryPort,
        clock: Clock,
        settings: LiveSettings,
        metrics: RoutingMetrics,
    ) -> None:
        self._admission = admission
        self._dispatcher = dispatcher
        self._peer_entries = peer_entries
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._budget = RetryBudget(settings)

    async def carry_out(self, run: Run) -> Routed:
        """Return the answer to the request of ``run``, or its refusal."""
        attempts = 0
        returning = False
        while True:
            outcome = await self._try_once(run, returning)
            if isinstance(outcome, BackendAnswer):
                self._budget.deposit()
                return Success(outcome)
            if outcome.refusal.outcome is Outcome.UNKNOWN:
                run.may_have_run = True
            if outcome.again is not _Again.FREE:
                attempts += 1
            if not self._may_try_again(run, outcome, attempts):
                return Failure(self._conclude(run, outcome.refusal))
            returning = True

    def _may_try_again(self, run: Run, failed: _Failed, attempts: int) -> bool:
        if failed.again is _Again.NEVER or self._clock.monotonic() >= run.deadline:
            return False
        if failed.again is _Again.FREE:
            return True
        if attempts >= self._settings.current.attempts_limit:
            return False
        if not self._budget.withdraw():
            return False
        self._metrics.note_retry()
        return True

    def _conclude(self, run: Run, refusal: Refusal) -> Refusal:
        return admit_earlier_attempt(refusal) if run.may_have_run else refusal

    async def _try_once(self, run: Run, returning: bool) -> BackendAnswer | _Failed:
        if run.caller_left:
            return _Failed(_refuse_caller_left())
        asked_at = self._clock.monotonic()
        run.waiter = Waiter(run.request, run.deadline, run.avoid, returning)
        assignment = await self._admission.acquire(run.waiter)
        run.waiter = None
        waited = self._clock.monotonic() - asked_at
        self._metrics.note_waiting(run.request, waited)
        match assignment:
            case Place():
                return await self._try_here(run, assignment)
            case Elsewhere():
                return await self._try_elsewhere(run, assignment)
            case _:
                return _Failed(assignment)

    async def _try_here(self, run: Run, place: Place) -> BackendAnswer | _Failed:
        request = run.request
        if run.caller_left:
            place.ledger.release(place.reservation)
            self._admission.pump(request.service)
            return _Failed(_refuse_caller_left())
        result = await self._dispatcher.exchange(place, request, run.deadline)
        if isinstance(result, Success):
            return result.unwrap()
        failure = result.failure()
        refusal = translate_failure(failure)
        if failure.reason is FailureReason.LEASE_LAPSED:
            return _Failed(refusal, _Again.FREE)
        run.avoid |= {place.reservation.server}
        return _Failed(refusal, _judge(request, refusal))

    async def _try_elsewhere(
        self, run: Run, elsewhere: Elsewhere
    ) -> BackendAnswer | _Failed:
        request = run.request
        remaining = run.deadline - self._clock.monotonic()
        if remaining <= timedelta():
            return _Failed(refuse_not_run(RefusalReason.DEADLINE, "its time ran out"))
        forwarded = msgspec.structs.replace(request, hops=1, timeout=remaining)
        result: Routed = Failure(_refuse_silent_entry())
        with trio.move_on_after((remaining + FORWARD_GRACE).total_seconds()):
            result = await self._peer_entries.forward(elsewhere.entry, forwarded)
        if isinstance(result, Success):
            return result.unwrap()
        refusal = result.failure()
        if refusal.reason in _PASSED_OVER and refusal.outcome is Outcome.NOT_RUN:
            self._admission.peer_selector.pause(elsewhere.entry)
            return _Failed(refusal, _Again.FREE)
        return _Failed(refusal, _judge(request, refusal))


def _judge(request: CallerRequest, refusal: Refusal) -> _Again:
    if refusal.reason is RefusalReason.DEADLINE:
        return _Again.NEVER
    if refusal.outcome is Outcome.NOT_RUN or request.idempotent:
        return _Again.FROM_BUDGET
    return _Again.NEVER


def _refuse_caller_left() -> Refusal:
    return refuse_not_run(RefusalReason.CALLER_LEFT, "its caller has left")


def _refuse_silent_entry() -> Refusal:
    return refuse_unknown(
        RefusalReason.ANSWER_LOST, "the entry it was passed on to did not answer"
    )
