"""Calls to the leader of a group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.leadercalls.answers import NotAdmitted, NotLeading
from rhubarbfield.leadercalls.attempts import Attempt, Attempts, Reply, Settles
from rhubarbfield.peering import (
    CallFailure,
    CallFailureKind,
    CallMethod,
    ConnectionPool,
    Transport,
)
from rhubarbfield.types import InstanceName

RETRY_DELAY = timedelta(milliseconds=100)
ATTEMPT_TIMEOUT = timedelta(milliseconds=1500)
TIMER_TOLERANCE = timedelta(milliseconds=1)


class LeaderFailure(msgspec.Struct, frozen=True, kw_only=True):
    """No leader answered in time.

    Attributes
    ----------
    detail
        A human-readable explanation.
    in_doubt
        Whether the request may still take effect.
    """

    detail: str
    in_doubt: bool


class LeaderCalls:
    """Finds the leader of a group, sends calls to it and remembers it.

    Parameters
    ----------
    method
        The method to call.
    members
        Host and port of each instance that may lead.
    transport
        Connects to other processes.
    clock
        Provides the time.
    locate
        Returns host and port of an instance that ``members`` does not list,
        for groups whose members may be replaced while the program runs.
    attempt_timeout
        Timeout of the call to one instance.
    settles
        Returns whether a reply to a request also answers for earlier attempts of it,
        whatever became of them. Any other reply answers only a call of which no
        attempt may have taken effect. By default only a rejection is such a reply.
    """

    def __init__(
        self,
        method: CallMethod,
        members: Mapping[InstanceName, tuple[str, int]],
        transport: Transport,
        clock: Clock,
        *,
        locate: Callable[[InstanceName], tuple[str, int]] | None = None,
        attempt_timeout: timedelta = ATTEMPT_TIMEOUT,
        settles: Settles | None = None,
    ) -> None:
        self._method = method
        self._members = dict(members)
        self._clock = clock
        self._locate = locate
        self._attempt_timeout = attempt_timeout
        self._settles = settles or _is_no_rejection
        self._pool = ConnectionPool(self._members, transport, clock, locate)
        self._leader = next(iter(self._members))
        self._unanswered: dict[InstanceName, timedelta] = {}

    def add_members(self, members: Mapping[InstanceName, tuple[str, int]]) -> None:
        """Add instances that may lead."""
        self._members.update(members)

    async def call(
        self,
        request: Any,
        timeout: timedelta,
        in_doubt_timeout: timedelta | None = None,
    ) -> Result[Any, LeaderFailure]:
        """Return the leader's reply to ``request``.

        A request is also repeated when an earlier attempt may have taken
        effect. This is harmless because all commands sent this way are
        idempotent. A failure states whether the request may have taken effect.

        Parameters
        ----------
        request
            The request to send.
        timeout
            Time to search for a leader.
        in_doubt_timeout
            Time to keep trying, measured from the start of the call, once the
            request may have taken effect; ``timeout`` if None.
        """
        async with trio.open_nursery() as nursery:
            attempts = Attempts(
                self._method, request, nursery, self._handle_reply, self._settles
            )
            await self._search(attempts, timeout, in_doubt_timeout or timeout)
            nursery.cancel_scope.cancel()
        if attempts.answer is not None:
            return attempts.answer
        return Failure(
            LeaderFailure(detail=attempts.detail, in_doubt=attempts.in_doubt)
        )

    async def _search(
        self, attempts: Attempts, timeout: timedelta, in_doubt_timeout: timedelta
    ) -> None:
        """Call members until there is an answer, or no time left.

        An attempt that has sent the request by the end of the search goes on, as the
        request is in doubt by then.
        """
        deadline = self._clock.monotonic() + timeout
        last_deadline = max(deadline, deadline - timeout + in_doubt_timeout)
        was_redirected = False
        while attempts.answer is None:
            if attempts.in_doubt:
                deadline = last_deadline
            now = self._clock.monotonic()
            if now >= deadline:
                if deadline == last_deadline:
                    await attempts.wait_for_all()
                    return
                # Those without a connection end at the deadline.
                await attempts.wait_for_all(deadline + RETRY_DELAY - now)
                if not (attempts.in_doubt or attempts.is_in_progress):
                    return
                deadline = last_deadline
                continue
            member = self._leader
            reply = await self._attempt(attempts, deadline - now, last_deadline - now)
            if attempts.is_unsendable:
                return
            match reply:
                case Success(NotLeading(leader=leader)):
                    # Another call may have been referred, or answered, before.
                    is_moved = member != self._leader
                    # Only once: during an election members may name each other.
                    if (is_moved or self._switch_target(leader)) and not was_redirected:
                        was_redirected = True
                        continue
                case None:
                    continue
            rest = deadline - self._clock.monotonic()
            await attempts.wait(None, min(rest, RETRY_DELAY))

    async def _attempt(
        self, attempts: Attempts, search_left: timedelta, call_left: timedelta
    ) -> Reply | None:
        """Call the member that probably leads, and give it up if it fails.

        An attempt that ends with the search, without a connection, or with the call
        says nothing about the member: the time that it took is counted, and the next
        call goes on with the same connection.

        Returns
        -------
        Result or None
            None if there was no reply in time, or another attempt was answered.
        """
        attempt = Attempt(self._leader, self._pool.get(self._leader))
        unanswered = self._unanswered.get(attempt.member, timedelta())
        patience = self._attempt_timeout - unanswered
        began = self._clock.monotonic()
        attempts.begin(attempt, call_left, search_left)
        reply = await attempts.wait(attempt, min(call_left, patience))
        waited = self._clock.monotonic() - began
        if attempts.answer is not None:
            if attempts.answered_by is not None:
                self._leader = attempts.answered_by
        elif attempts.is_unsendable:
            pass
        elif reply is None or isinstance(reply, Failure):
            left = search_left if _is_unreachable(reply) else call_left
            if left - TIMER_TOLERANCE <= waited < patience:
                self._unanswered[attempt.member] = unanswered + waited
            else:
                self._give_up(attempt)
        return reply

    def _handle_reply(self, attempt: Attempt) -> None:
        self._unanswered.pop(attempt.member, None)
        self._pool.restore(attempt.member, attempt.connection)

    def _give_up(self, attempt: Attempt) -> None:
        """Call another member next, and the same one over another connection."""
        self._unanswered.pop(attempt.member, None)
        self._pool.retire(attempt.member, attempt.connection)
        if attempt.member == self._leader:
            self._switch_target(None)

    def _switch_target(self, leader: InstanceName | None) -> bool:
        """Call ``leader`` next, or else another member; return whether it is known."""
        if leader is not None and self._locate is not None:
            self._members.setdefault(leader, self._locate(leader))
        if leader in self._members and leader != self._leader:
            self._leader = leader
            return True
        names = list(self._members)
        self._leader = names[(names.index(self._leader) + 1) % len(names)]
        return False


def _is_no_rejection(_request: Any, reply: Any) -> bool:
    return not isinstance(reply, NotAdmitted)


def _is_unreachable(reply: Reply | None) -> bool:
    match reply:
        case Failure(CallFailure(kind=CallFailureKind.UNREACHABLE)):
            return True
    return False
