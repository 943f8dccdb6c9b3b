"""Execution of one request: attempts at own servers and peer entries, retries."""

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
from rhubarbfield.routing.queues import ForwardTarget, ReservedSlot, Waiter
from rhubarbfield.routing.refusals import (
    mark_outcome_unknown,
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
_PEER_UNAVAILABLE_REASONS = frozenset(
    {RefusalReason.NO_ROOM, RefusalReason.NO_SUCH_SERVICE}
)


class ActiveRequest:
    """A request in progress, which continues after its caller is cancelled.

    Parameters
    ----------
    deadline
        Monotonic time at which the caller stops waiting.
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


class _RetryPolicy(Enum):
    NEVER = "never"
    FREE = "free"
    FROM_BUDGET = "from-budget"


class _FailedAttempt(msgspec.Struct, frozen=True):
    refusal: Refusal
    retry: _RetryPolicy = _RetryPolicy.NEVER


class Attempts:
    """Executes requests, with retries as far as limits and idempotency allow.

    Parameters
    ----------
    admission
        Assigns each attempt to a backend server or a peer entry.
    dispatcher
        Sends attempts to owned backend servers.
    peer_entries
        Forwards attempts to peer entries.
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

    async def execute(self, active: ActiveRequest) -> Routed:
        """Return the answer to the request of ``active``, or its refusal."""
        attempts = 0
        requeued = False
        while True:
            outcome = await self._try_once(active, requeued)
            if isinstance(outcome, BackendAnswer):
                self._budget.deposit()
                return Success(outcome)
            if outcome.refusal.outcome is Outcome.UNKNOWN:
                active.may_have_run = True
            if outcome.retry is not _RetryPolicy.FREE:
                attempts += 1
            if not self._may_try_again(active, outcome, attempts):
                return Failure(self._make_final_refusal(active, outcome.refusal))
            requeued = True

    def _may_try_again(
        self, active: ActiveRequest, failed: _FailedAttempt, attempts: int
    ) -> bool:
        if (
            failed.retry is _RetryPolicy.NEVER
            or self._clock.monotonic() >= active.deadline
        ):
            return False
        if failed.retry is _RetryPolicy.FREE:
            return True
        if attempts >= self._settings.current.attempts_limit:
            return False
        if not self._budget.withdraw():
            return False
        self._metrics.record_retry()
        return True

    def _make_final_refusal(self, active: ActiveRequest, refusal: Refusal) -> Refusal:
        return mark_outcome_unknown(refusal) if active.may_have_run else refusal

    async def _try_once(
        self, active: ActiveRequest, requeued: bool
    ) -> BackendAnswer | _FailedAttempt:
        if active.caller_left:
            return _FailedAttempt(_refuse_caller_left())
        waiting_since = self._clock.monotonic()
        active.waiter = Waiter(active.request, active.deadline, active.avoid, requeued)
        assignment = await self._admission.acquire(active.waiter)
        active.waiter = None
        waited = self._clock.monotonic() - waiting_since
        self._metrics.record_wait(active.request, waited)
        match assignment:
            case ReservedSlot():
                return await self._try_own_server(active, assignment)
            case ForwardTarget():
                return await self._try_peer_entry(active, assignment)
            case _:
                return _FailedAttempt(assignment)

    async def _try_own_server(
        self, active: ActiveRequest, slot: ReservedSlot
    ) -> BackendAnswer | _FailedAttempt:
        request = active.request
        if active.caller_left:
            slot.ledger.release(slot.reservation)
            self._admission.assign_waiting(request.service)
            return _FailedAttempt(_refuse_caller_left())
        result = await self._dispatcher.exchange(slot, request, active.deadline)
        if isinstance(result, Success):
            return result.unwrap()
        failure = result.failure()
        refusal = translate_failure(failure)
        if failure.reason is FailureReason.LEASE_LAPSED:
            return _FailedAttempt(refusal, _RetryPolicy.FREE)
        active.avoid |= {slot.reservation.server}
        return _FailedAttempt(refusal, _decide_retry(request, refusal))

    async def _try_peer_entry(
        self, active: ActiveRequest, target: ForwardTarget
    ) -> BackendAnswer | _FailedAttempt:
        request = active.request
        remaining = active.deadline - self._clock.monotonic()
        if remaining <= timedelta():
            return _FailedAttempt(
                refuse_not_run(RefusalReason.DEADLINE, "its time ran out")
            )
        forwarded = msgspec.structs.replace(request, hops=1, timeout=remaining)
        result: Routed = Failure(_refuse_unresponsive_entry())
        with trio.move_on_after((remaining + FORWARD_GRACE).total_seconds()):
            result = await self._peer_entries.forward(target.entry, forwarded)
        if isinstance(result, Success):
            return result.unwrap()
        refusal = result.failure()
        if (
            refusal.reason in _PEER_UNAVAILABLE_REASONS
            and refusal.outcome is Outcome.NOT_RUN
        ):
            self._admission.peer_selector.pause(target.entry)
            return _FailedAttempt(refusal, _RetryPolicy.FREE)
        return _FailedAttempt(refusal, _decide_retry(request, refusal))


def _decide_retry(request: CallerRequest, refusal: Refusal) -> _RetryPolicy:
    if refusal.reason is RefusalReason.DEADLINE:
        return _RetryPolicy.NEVER
    if refusal.outcome is Outcome.NOT_RUN or request.idempotent:
        return _RetryPolicy.FROM_BUDGET
    return _RetryPolicy.NEVER


def _refuse_caller_left() -> Refusal:
    return refuse_not_run(RefusalReason.CALLER_LEFT, "its caller has left")


def _refuse_unresponsive_entry() -> Refusal:
    return refuse_unknown(
        RefusalReason.ANSWER_LOST, "the entry it was passed on to did not answer"
    )
