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
    """

    def __init__(self, max_pending: int) -> None:
        self._max_pending = max_pending
        self._queue: list[Proposal] = []
        self._appended: dict[LogIndex, tuple[Term, Proposal]] = {}
        self.queued = Signal()

    def enqueue(self, data: bytes, deadline: timedelta) -> Proposal:
        """Queue a command; the proposal fails at once if a limit is exceeded."""
        proposal = Proposal(EntryKind.COMMAND, data, deadline)
        if len(data) > MAX_COMMAND_BYTES:
            limit = f"a command may have {MAX_COMMAND_BYTES} bytes at most"
            proposal.finish(Failure(Overloaded(limit, permanent=True)))
        elif len(self._queue) + len(self._appended) >= self._max_pending:
            limit = f"{self._max_pending} proposals are pending"
            proposal.finish(Failure(Overloaded(limit)))
        else:
            self._queue.append(proposal)
            self.queued.set()
        return proposal

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
