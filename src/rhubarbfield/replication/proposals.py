"""Proposals that wait to be appended, committed and applied."""

from __future__ import annotations

from datetime import timedelta

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.replication.failures import (
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    ProposeError,
)
from rhubarbfield.replication.signal import Signal
from rhubarbfield.storage import MAX_COMMAND_BYTES, Entry, EntryKind
from rhubarbfield.types import InstanceName, LogIndex, Term


class Proposal:
    """A command to replicate, and its outcome once there is one.

    Parameters
    ----------
    kind, data
        The contents of the log entry.
    deadline
        The monotonic time at which the proposal expires.
    """

    def __init__(self, kind: EntryKind, data: bytes, deadline: timedelta) -> None:
        self.kind = kind
        self.data = data
        self.deadline = deadline
        self._done = trio.Event()
        self._outcome: Result[bytes, ProposeError] = Failure(OutcomeUnknown())

    def finish(self, outcome: Result[bytes, ProposeError]) -> None:
        """Set the outcome unless it is already set."""
        if not self._done.is_set():
            self._outcome = outcome
            self._done.set()

    async def wait(self) -> Result[bytes, ProposeError]:
        """Wait for the outcome."""
        await self._done.wait()
        return self._outcome


class Proposals:
    """The unfinished proposals of one replica.

    Parameters
    ----------
    max_pending
        The maximum number of unfinished proposals.
    max_bytes
        The maximum bytes of proposals that are not committed.
    """

    def __init__(self, max_pending: int, max_bytes: int) -> None:
        self._max_pending = max_pending
        self._max_bytes = max_bytes
        self._queue: list[Proposal] = []
        self._appended: dict[LogIndex, tuple[Term, Proposal]] = {}
        self.queued = Signal()

    def enqueue(
        self, data: bytes, deadline: timedelta, appended_bytes: int = 0
    ) -> Proposal:
        """Queue a command; the proposal fails at once if a limit is exceeded.

        Parameters
        ----------
        data
            The command.
        deadline
            The monotonic time at which the proposal expires.
        appended_bytes
            Bytes that were appended and are not committed.
        """
        proposal = Proposal(EntryKind.COMMAND, data, deadline)
        limit = self._find_exceeded_limit(len(data), appended_bytes)
        if limit is not None:
            is_permanent = len(data) > MAX_COMMAND_BYTES
            proposal.finish(Failure(Overloaded(limit, permanent=is_permanent)))
        else:
            self._queue.append(proposal)
            self.queued.set()
        return proposal

    def _find_exceeded_limit(self, size: int, appended_bytes: int) -> str | None:
        if size > MAX_COMMAND_BYTES:
            return f"a command may have {MAX_COMMAND_BYTES} bytes at most"
        if len(self._queue) + len(self._appended) >= self._max_pending:
            return f"{self._max_pending} proposals are pending"
        pending = appended_bytes + sum(len(each.data) for each in self._queue)
        if pending + size > self._max_bytes:
            return f"{pending} bytes of proposals are pending"
        return None

    def take(self) -> list[Proposal]:
        """Return the queued proposals and empty the queue."""
        taken, self._queue = self._queue, []
        return taken

    def track(self, entry: Entry, proposal: Proposal) -> None:
        """Record that ``proposal`` was appended as ``entry``."""
        self._appended[entry.index] = (entry.term, proposal)

    def finish_applied(self, entry: Entry, reply: bytes) -> None:
        """Finish the proposal that was appended at the index of ``entry``, if any.

        It succeeds only if it was appended in the term of ``entry``.
        """
        term, proposal = self._appended.pop(entry.index, (entry.term, None))
        if proposal is None:
            return
        is_own = term == entry.term
        proposal.finish(Success(reply) if is_own else Failure(NotLeader(None)))

    def expire(self, now: timedelta) -> None:
        """Fail the appended proposals whose deadline has passed."""
        expired = [
            index
            for index, (_, proposal) in self._appended.items()
            if proposal.deadline <= now
        ]
        for index in expired:
            self._appended.pop(index)[1].finish(Failure(OutcomeUnknown()))

    def fail_all(self, leader: InstanceName | None) -> None:
        """Fail all proposals because leadership was lost."""
        for proposal in self.take():
            proposal.finish(Failure(NotLeader(leader)))
        for _, proposal in self._appended.values():
            proposal.finish(Failure(OutcomeUnknown()))
        self._appended.clear()
