"""Calls to the leader of a group."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.leadercalls.answers import NotAdmitted, NotLeading, Unavailable
from rhubarbfield.peering import (
    CallFailure,
    CallFailureKind,
    CallMethod,
    Connection,
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
    ) -> None:
        self._method = method
        self._members = dict(members)
        self._clock = clock
        self._locate = locate
        self._attempt_timeout = attempt_timeout
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
        started_at = self._clock.monotonic()
        deadline = started_at + timeout
        in_doubt = False
        was_redirected = False
        detail = "no leader was found"
        while (remaining := deadline - self._clock.monotonic()) > timedelta():
            reply = await self._attempt(request, remaining)
            match reply:
                case Success(NotLeading(leader=leader)):
                    # Only once: during an election members may name each other.
                    if self._switch_target(leader) and not was_redirected:
                        was_redirected = True
                        continue
                case Success(Unavailable(reason=reason, in_doubt=doubt)):
                    detail = reason
                    in_doubt = in_doubt or doubt
                    if in_doubt and in_doubt_timeout is not None:
                        deadline = max(deadline, started_at + in_doubt_timeout)
                case Success(NotAdmitted(reason=reason)) if in_doubt:
                    # An earlier attempt may still take effect.
                    detail = reason
                case Success(answer):
                    return Success(answer)
                case Failure(failure):
                    detail = failure.detail
                    in_doubt = in_doubt or _is_in_doubt(failure)
                    if in_doubt and in_doubt_timeout is not None:
                        deadline = max(deadline, started_at + in_doubt_timeout)
            rest = deadline - self._clock.monotonic()
            await self._clock.sleep(min(rest, RETRY_DELAY))
        return Failure(LeaderFailure(detail=detail, in_doubt=in_doubt))

    async def _attempt(
        self, request: Any, remaining: timedelta
    ) -> Result[Any, CallFailure]:
        """Call the member that probably leads, and give it up if it fails.

        An attempt that ends with the call says nothing about the member: the time
        that it took is counted, and the next call goes on with the same connection.
        """
        member = self._leader
        connection = self._pool.get(member)
        unanswered = self._unanswered.pop(member, timedelta())
        patience = self._attempt_timeout - unanswered
        began = self._clock.monotonic()
        reply = await connection.call(self._method, request, min(remaining, patience))
        waited = self._clock.monotonic() - began
        if isinstance(reply, Failure):
            if remaining - TIMER_TOLERANCE <= waited < patience:
                self._unanswered[member] = unanswered + waited
            else:
                self._give_up(member, connection)
        return reply

    def _give_up(self, member: InstanceName, connection: Connection) -> None:
        """Call another member next, and ``member`` over another connection."""
        self._pool.retire(member, connection)
        if member == self._leader:
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


def _is_in_doubt(failure: CallFailure) -> bool:
    return failure.kind is CallFailureKind.TIMEOUT
