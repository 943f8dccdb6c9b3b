"""Attempts of one call, which go on until the call ends."""

from __future__ import annotations

import math
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.leadercalls.answers import NotLeading, Unavailable
from rhubarbfield.peering import CallFailure, CallFailureKind, CallMethod, Connection
from rhubarbfield.types import InstanceName

Reply = Result[Any, CallFailure]
Settles = Callable[[Any, Any], bool]


class Attempt(msgspec.Struct, frozen=True, eq=False):
    """A request that was sent to one member over one connection."""

    member: InstanceName
    connection: Connection


class Attempts:
    """The attempts of one call; an overdue one goes on beside the next ones.

    Parameters
    ----------
    method, request
        The method to call, and the request to send.
    nursery
        Runs the attempts.
    handle_reply
        Called with each attempt that is replied to.
    settles
        Returns whether a reply to a request also answers for earlier attempts of it,
        whatever became of them.

    Attributes
    ----------
    answer
        The reply that decides the call, if there is one.
    answered_by
        The member that decided.
    in_doubt
        Whether an attempt that has ended may still take effect.
    is_unsendable
        Whether the request can't be sent to any member.
    detail
        Why there is no answer yet.
    """

    def __init__(
        self,
        method: CallMethod,
        request: Any,
        nursery: trio.Nursery,
        handle_reply: Callable[[Attempt], None],
        settles: Settles,
    ) -> None:
        self._method = method
        self._request = request
        self._nursery = nursery
        self._handle_reply = handle_reply
        self._settles = settles
        self._sender, self._ended = trio.open_memory_channel[tuple[Attempt, Reply]](
            math.inf
        )
        self._in_progress = 0
        self._held: tuple[Attempt, Reply] | None = None
        self.answer: Result[Any, Any] | None = None
        self.answered_by: InstanceName | None = None
        self.in_doubt = False
        self.is_unsendable = False
        self.detail = "no leader was found"

    @property
    def is_in_progress(self) -> bool:
        """Whether an attempt has not ended."""
        return self._in_progress > 0

    def begin(
        self, attempt: Attempt, timeout: timedelta, connect_timeout: timedelta
    ) -> None:
        """Send the request within ``connect_timeout``, and wait until ``timeout``."""
        self._in_progress += 1
        self._nursery.start_soon(self._run, attempt, timeout, connect_timeout)

    async def wait(self, attempt: Attempt | None, timeout: timedelta) -> Reply | None:
        """Wait for the call's answer, or the reply to ``attempt``.

        A timeout that is over already is none to wait for.

        Returns
        -------
        Result or None
            The reply to ``attempt``; None if there is none, or another answered.
        """
        with trio.move_on_after(max(0.0, timeout.total_seconds())):
            while self.answer is None:
                ended, reply = await self._ended.receive()
                self._process(ended, reply)
                if ended is attempt:
                    return reply
        return None

    async def wait_for_all(self, timeout: timedelta = timedelta.max) -> None:
        """Wait for the end of the attempts in progress, or for the call's answer."""
        with trio.move_on_after(max(0.0, timeout.total_seconds())):
            while self._in_progress and self.answer is None:
                self._process(*await self._ended.receive())

    async def _run(
        self, attempt: Attempt, timeout: timedelta, connect_timeout: timedelta
    ) -> None:
        reply = await attempt.connection.call(
            self._method, self._request, timeout, connect_timeout
        )
        self._sender.send_nowait((attempt, reply))

    def _process(self, attempt: Attempt, reply: Reply) -> None:
        self._in_progress -= 1
        if isinstance(reply, Success):
            self._handle_reply(attempt)
        match reply:
            case Success(NotLeading()):
                pass
            case Success(Unavailable(reason=reason, in_doubt=doubt)):
                self.detail = reason
                self.in_doubt = self.in_doubt or doubt
            case Success(value) if self._settles(self._request, value):
                self._decide(attempt, reply)
            case Success(value):
                self.detail = f"{type(value).__name__} says nothing of other attempts"
                self._held = attempt, reply
            case Failure(failure):
                self.detail = failure.detail
                self.in_doubt = self.in_doubt or _is_in_doubt(failure)
                self.is_unsendable = failure.kind is CallFailureKind.UNSENDABLE
        # An earlier attempt may have taken effect, or take it later.
        is_certain = not (self.in_doubt or self._in_progress)
        if self.answer is None and self._held is not None and is_certain:
            self._decide(*self._held)

    def _decide(self, attempt: Attempt, reply: Reply) -> None:
        self.answer = reply
        self.answered_by = attempt.member


def _is_in_doubt(failure: CallFailure) -> bool:
    return failure.kind is CallFailureKind.TIMEOUT
