"""At-most-once execution of requests with an idempotency key."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.routing.ports import (
    BeginReply,
    Begun,
    FirstAnswer,
    KeyMismatch,
    RecordFailure,
    RecordFailureReason,
    RecordPort,
)
from rhubarbfield.routing.refusals import refuse_not_run, refuse_unknown
from rhubarbfield.routing.requests import (
    BackendAnswer,
    CallerRequest,
    Refusal,
    RefusalReason,
    compute_fingerprint,
)

WRITE_ATTEMPTS = 5
INITIAL_RETRY_DELAY = timedelta(milliseconds=200)
WRITE_TIMEOUT = timedelta(seconds=5)
CLEAR_TIMEOUT = timedelta(milliseconds=500)
UNCHECKED_KEY_NOTICE = "; earlier requests with its key were not looked up"

_RECORDS_TIMED_OUT = RecordFailure(
    reason=RecordFailureReason.UNREACHABLE,
    detail="the records of its key did not answer in time",
)


class KeyRecorder:
    """Records the idempotency keys of requests that must run at most once.

    Parameters
    ----------
    records
        Port to the replicated idempotency records.
    """

    def __init__(self, records: RecordPort, clock: Clock) -> None:
        self._records = records
        self._clock = clock
        self._nursery: trio.Nursery | None = None

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Run writes that no caller waits for in ``nursery``."""
        self._nursery = nursery

    async def begin(
        self, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, Refusal] | None:
        """Record ``request``; return its result if it must not be dispatched.

        Parameters
        ----------
        timeout
            Longest time to wait for the records.
        """
        assert request.idempotency_key is not None
        result: Result[BeginReply, RecordFailure] = Failure(_RECORDS_TIMED_OUT)
        with trio.move_on_after(max(0.0, timeout.total_seconds())):
            result = await self._records.begin(
                request.tenant,
                request.idempotency_key,
                compute_fingerprint(request),
                request.request_id,
            )
        if isinstance(result, Success):
            return _translate_reply(result.unwrap())
        failure = result.failure()
        if failure.reason is RecordFailureReason.UNREACHABLE:
            self._retry_in_background(partial(self._clear_once, request))
        return Failure(add_unchecked_key_notice(request, _translate_failure(failure)))

    def finish_in_background(
        self, request: CallerRequest, answer: BackendAnswer
    ) -> None:
        """Record the answer of ``request`` without delaying its caller.

        Until it is recorded, a repeated request with the key is refused with
        an unknown outcome.
        """
        self._retry_in_background(partial(self._finish_once, request, answer))

    async def clear(self, request: CallerRequest) -> None:
        """Delete the record of ``request``, which was not run.

        The caller waits for the first write, so that a repeated request finds
        the key free. A failed write is retried in the background.
        """
        cleared = False
        with trio.move_on_after(CLEAR_TIMEOUT.total_seconds()):
            cleared = await self._clear_once(request)
        if not cleared:
            self._retry_in_background(partial(self._clear_once, request))

    async def _clear_once(self, request: CallerRequest) -> bool:
        assert request.idempotency_key is not None
        result = await self._records.clear(
            request.tenant, request.idempotency_key, request.request_id
        )
        return isinstance(result, Success)

    async def _finish_once(self, request: CallerRequest, answer: BackendAnswer) -> bool:
        assert request.idempotency_key is not None
        result = await self._records.finish(
            request.tenant, request.idempotency_key, request.request_id, answer
        )
        return isinstance(result, Success)

    def _retry_in_background(self, write: Callable[[], Awaitable[bool]]) -> None:
        assert self._nursery is not None
        self._nursery.start_soon(self._retry_write, write)

    async def _retry_write(self, write: Callable[[], Awaitable[bool]]) -> None:
        delay = INITIAL_RETRY_DELAY
        for _ in range(WRITE_ATTEMPTS):
            with trio.move_on_after(WRITE_TIMEOUT.total_seconds()):
                if await write():
                    return
            await self._clock.sleep(delay)
            delay *= 2


def add_unchecked_key_notice(request: CallerRequest, refusal: Refusal) -> Refusal:
    """Add to ``refusal`` that the key of ``request`` was not looked up."""
    if request.idempotency_key is None or request.idempotent:
        return refusal
    sentence = refusal.sentence.removesuffix(".") + UNCHECKED_KEY_NOTICE + "."
    return msgspec.structs.replace(refusal, sentence=sentence)


def _translate_reply(reply: BeginReply) -> Result[BackendAnswer, Refusal] | None:
    match reply:
        case Begun():
            return None
        case FirstAnswer(answer=None):
            return Failure(
                refuse_unknown(
                    RefusalReason.ANSWER_NOT_KEPT,
                    "a request with this key was answered, but its answer was too "
                    "large to keep",
                )
            )
        case FirstAnswer(answer=BackendAnswer() as answer):
            return Success(msgspec.structs.replace(answer, repeated=True))
        case KeyMismatch():
            return Failure(
                refuse_not_run(
                    RefusalReason.KEY_CONFLICT,
                    "its key belongs to a request that asked for something else",
                    None,
                )
            )
        case _:
            return Failure(
                refuse_unknown(
                    RefusalReason.KEY_RUNNING,
                    "a request with this key was begun and has no known outcome",
                    timedelta(seconds=1),
                )
            )


def _translate_failure(failure: RecordFailure) -> Refusal:
    full = failure.reason is RecordFailureReason.FULL
    reason = RefusalReason.RECORDS_FULL if full else RefusalReason.RECORDS_UNREACHABLE
    return refuse_not_run(reason, failure.detail, failure.retry_after)
