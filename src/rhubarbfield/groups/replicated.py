"""A replicated log with a typed state machine, for controllers."""

from __future__ import annotations

import copy
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, Generic, TypeVar

import trio
from prometheus_client import Histogram
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.leadercalls import NotLeading, Unavailable
from rhubarbfield.machine import (
    Command,
    Inapplicable,
    Reply,
    SectionedMachine,
    UnencodableCommandError,
)
from rhubarbfield.replication import (
    Leadership,
    NoQuorum,
    NotLeader,
    OutcomeUnknown,
    Overloaded,
    ProposeError,
    Replica,
)
from rhubarbfield.types import LogIndex, Term

COMMIT_SECONDS = Histogram(
    "rhubarbfield_commit_seconds",
    "Time from a proposal to its application, by the kind of command.",
    ["command", "outcome"],
    buckets=(0.005, 0.01, 0.02, 0.03, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0),
)
LEADERSHIP_POLL_INTERVAL = timedelta(milliseconds=250)

StateT = TypeVar("StateT")


class StateChanges:
    """Counts the changes of a state machine's state, and lets tasks wait for them.

    Parameters
    ----------
    machine
        The state machine.
    """

    def __init__(self, machine: SectionedMachine[Any]) -> None:
        self.count = 0
        self._changed = trio.Event()
        machine.watch(lambda *_: self._record())
        machine.watch_restore(self._record)

    async def wait(self, seen: int) -> None:
        """Wait until there were more than ``seen`` changes."""
        if self.count <= seen:
            await self._changed.wait()

    def _record(self) -> None:
        self.count += 1
        self._changed.set()
        self._changed = trio.Event()


class ReplicatedLog(Generic[StateT]):
    """The replica of a group's log on this instance, with typed commands.

    Parameters
    ----------
    replica
        This instance's replica of the log.
    machine
        The state machine that the replica applies commands to.
    """

    def __init__(self, replica: Replica, machine: SectionedMachine[StateT]) -> None:
        self.replica = replica
        self.machine = machine
        self._changes = StateChanges(machine)
        self._term: Term | None = None

    def in_term(self, term: Term) -> ReplicatedLog[StateT]:
        """Return this log for a leader's work in one term.

        In any other term that this instance leads its proposals fail, and it does not
        lead: what the work knows may be outdated by a leader in between.
        """
        log = copy.copy(self)
        log._term = term
        return log

    @property
    def state(self) -> StateT:
        """The state as applied on this instance; callers must not change it."""
        return self.machine.state

    @property
    def position(self) -> LogIndex:
        """The last log index applied on this instance."""
        return self.replica.applied

    def leads(self) -> bool:
        """Return whether this instance leads with a lease, so that no other can."""
        leadership = self.replica.leadership
        if leadership is None:
            return False
        return self._term is None or self._term == leadership.term

    async def propose(
        self, command: Command
    ) -> Result[Reply, NotLeading | Unavailable]:
        """Commit ``command`` and return the state machine's reply.

        A command that replicas could not read is not proposed.
        """
        started_at = trio.current_time()
        try:
            data = self.machine.encode_command(command)
        except UnencodableCommandError as error:
            contain(Unit.COMMAND, error, command=type(command).__name__)
            return Failure(Unavailable(error.message, in_doubt=False, permanent=True))
        proposed = await self.replica.propose(data, self._term)
        outcome = "done" if isinstance(proposed, Success) else "failed"
        COMMIT_SECONDS.labels(type(command).__name__, outcome).observe(
            trio.current_time() - started_at
        )
        match proposed:
            case Success(encoded):
                reply = self.machine.decode_reply(encoded)
                if isinstance(reply, Inapplicable):
                    return Failure(Unavailable(reply.reason, in_doubt=True))
                return Success(reply)
            case Failure(error):
                return Failure(_describe_error(error))
        raise AssertionError

    @property
    def changes(self) -> int:
        """The number of state changes since this process started."""
        return self._changes.count

    async def wait_change(self, seen: int) -> None:
        """Wait until :attr:`changes` exceeds ``seen``.

        Parameters
        ----------
        seen
            The value of :attr:`changes` from before the state was last read.
            If it has changed since then, the call returns at once.
        """
        await self._changes.wait(seen)


def _describe_error(error: ProposeError) -> NotLeading | Unavailable:
    match error:
        case NotLeader(leader=leader):
            return NotLeading(leader)
        case NoQuorum():
            return Unavailable("too few voters answer", in_doubt=False)
        case Overloaded(reason=reason, permanent=permanent):
            return Unavailable(reason, in_doubt=False, permanent=permanent)
        case OutcomeUnknown():
            return Unavailable("the outcome is not known", in_doubt=True)
    check_invariant(False, "propose-error-known", error)
    raise AssertionError


async def run_while_leading(
    log: ReplicatedLog[StateT],
    body: Callable[[Leadership], Awaitable[None]],
    clock: Clock,
) -> None:
    """Run ``body`` once in each term in which this instance leads ``log``.

    ``body`` is cancelled soon after this instance no longer leads the term, and started
    again in the next one that it leads. It goes on while the lease has lapsed and may
    be regained: fencing by the term relies on a single ``body`` that knows all that
    was ordered in it. So ``body`` has to check the lease before each effect, and to
    propose with :meth:`ReplicatedLog.in_term`.

    Parameters
    ----------
    log
        The log that this instance must lead.
    body
        The leader's work, which runs until it is cancelled. It is given the leadership
        as it was found, since the lease may have lapsed when it begins.
    clock
        Provides the time.
    """
    while True:
        leadership = log.replica.leadership
        if leadership is None:
            await clock.sleep(LEADERSHIP_POLL_INTERVAL)
            continue
        async with trio.open_nursery() as nursery:
            nursery.start_soon(body, leadership)
            while log.replica.led_term == leadership.term:
                await clock.sleep(LEADERSHIP_POLL_INTERVAL)
            nursery.cancel_scope.cancel()
