"""Stand-in members of a group, whose connections and replies take time."""

from __future__ import annotations

from collections import Counter
from datetime import timedelta
from typing import Any

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.leadercalls import NotLeading
from rhubarbfield.peering import CallFailure, CallFailureKind
from rhubarbfield.types import InstanceName

CONNECT_TIME = timedelta(milliseconds=20)
REPLY_TIME = timedelta(milliseconds=5)


class Members:
    """A transport to members of a group, one of which leads.

    Parameters
    ----------
    leader
        Name of the member that leads.
    reply
        What the leader replies.

    Attributes
    ----------
    dark
        Members that answer nothing, neither calls nor new connections.
    connect_times, reply_times
        How long each member takes to accept a connection, and to reply.
    reset_times
        After how long a request on a connection that was reset fails.
    is_unsendable
        Whether requests can't be encoded.
    connections
        Number of connections opened to each member.
    requests
        Number of requests sent to each member.
    """

    def __init__(self, leader: str, reply: Any) -> None:
        self.leader = InstanceName(leader)
        self.reply = reply
        self.dark: set[str] = set()
        self.connect_times: dict[str, timedelta] = {}
        self.reply_times: dict[str, timedelta] = {}
        self.reset_times: dict[str, timedelta] = {}
        self.connections: Counter[str] = Counter()
        self.requests: Counter[str] = Counter()
        self.is_unsendable = False
        self._resets: Counter[str] = Counter()
        self._silences: Counter[str] = Counter()

    def silence(self, member: str) -> None:
        """Let the open connections to a member carry nothing any more."""
        self._silences[member] += 1

    def reset(self, member: str) -> None:
        """Reset the open connections to a member."""
        self._resets[member] += 1

    def open_connection(self, host: str, port: int) -> MemberConnection:
        """Return a connection, which is opened by the first call."""
        return MemberConnection(self, host)

    def count_resets(self, member: str) -> int:
        """Return how often the connections to a member were reset."""
        return self._resets[member]

    def count_silences(self, member: str) -> int:
        """Return how often the connections to a member fell silent."""
        return self._silences[member]


class MemberConnection:
    """A connection to one member; see :class:`Members`."""

    def __init__(self, members: Members, host: str) -> None:
        self._members = members
        self._host = host
        self._open_at: float | None = None
        self._resets = members.count_resets(host)
        self._silences = members.count_silences(host)

    async def call(
        self,
        method: Any,
        request: Any,
        timeout: timedelta,
        connect_timeout: timedelta,
    ) -> Result[Any, CallFailure]:
        """Return the member's reply within ``timeout``."""
        members, host = self._members, self._host
        is_open = False
        with trio.move_on_after(timeout.total_seconds()):
            with trio.move_on_after(connect_timeout.total_seconds()):
                await self._open()
                is_open = True
            if not is_open:
                return Failure(CallFailure(CallFailureKind.UNREACHABLE, "not open"))
            members.requests[host] += 1
            if members.is_unsendable:
                kind = CallFailureKind.UNSENDABLE
                return Failure(CallFailure(kind, "too large"))
            if members.count_resets(host) != self._resets:
                await trio.sleep(
                    members.reset_times.get(host, timedelta()).total_seconds()
                )
                return Failure(CallFailure(CallFailureKind.TIMEOUT, "reset"))
            await trio.sleep(members.reply_times.get(host, REPLY_TIME).total_seconds())
            is_silent = members.count_silences(host) != self._silences
            if is_silent or host in members.dark:
                await trio.sleep_forever()
            leads = host == members.leader
            return Success(members.reply if leads else NotLeading(members.leader))
        kind = CallFailureKind.TIMEOUT if is_open else CallFailureKind.UNREACHABLE
        return Failure(CallFailure(kind, "no reply in time"))

    async def _open(self) -> None:
        if self._open_at is None:
            self._members.connections[self._host] += 1
            takes = self._members.connect_times.get(self._host, CONNECT_TIME)
            self._open_at = trio.current_time() + takes.total_seconds()
            if self._host in self._members.dark:
                self._open_at = float("inf")
        await trio.sleep_until(self._open_at)

    def close(self) -> None:
        """Do nothing."""
