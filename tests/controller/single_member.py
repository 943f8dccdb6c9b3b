"""A replicated log with a single member, whose leadership a test controls."""

from __future__ import annotations

from typing import Any, TypeVar, cast

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.replication import (
    NotLeader,
    OutcomeUnknown,
    ProposeError,
    Replica,
)
from rhubarbfield.types import LogIndex, Term

StateT = TypeVar("StateT")
COMMIT_SECONDS = 0.002
PROPOSE_TIMEOUT_SECONDS = 2.5
SLOW_COMMIT_SECONDS = 2.0


class SingleMemberReplica:
    """Applies a command at once and answers after a delay, as a real replica does.

    Attributes
    ----------
    commands
        Number of applied commands.
    leadership
        The leadership while the lease is valid, else None.
    led_term
        The term that the replica leads, whether or not its lease is valid.
    slow
        Types of commands, by name, that are applied at once but answered late.
    unanswered
        Types of commands, by name. The next proposal of each listed one gets no
        answer in time; it is applied just before the next one that is answered.
    """

    def __init__(self, machine: SectionedMachine[Any]) -> None:
        self._machine = machine
        self.applied = LogIndex(0)
        self.leadership: object | None = object()
        self.led_term: Term | None = Term(1)
        self.leader_hint = None
        self.commands = 0
        self.slow: set[str] = set()
        self.unanswered: list[str] = []
        self._late: list[bytes] = []

    async def wait_current(self) -> None:
        await trio.lowlevel.checkpoint()

    async def propose(
        self, command: bytes, term: Term | None = None
    ) -> Result[bytes, ProposeError]:
        if self.leadership is None or term not in {None, self.led_term}:
            return Failure(NotLeader(None))
        name = msgspec.msgpack.decode(command)["type"]
        if name in self.unanswered:
            self.unanswered.remove(name)
            self._late.append(command)
            await trio.sleep(PROPOSE_TIMEOUT_SECONDS)
            return Failure(OutcomeUnknown())
        late, self._late = self._late, []
        for earlier in late:
            self._apply(earlier)
        reply = self._apply(command)
        is_slow = name in self.slow
        await trio.sleep(SLOW_COMMIT_SECONDS if is_slow else COMMIT_SECONDS)
        return Success(reply)

    def _apply(self, command: bytes) -> bytes:
        self.applied = LogIndex(self.applied + 1)
        self.commands += 1
        return self._machine.apply(self.applied, command)


def make_single_member_log(
    machine: SectionedMachine[StateT],
) -> tuple[ReplicatedLog[StateT], SingleMemberReplica]:
    """Return a log over ``machine`` and its replica, which controls leadership."""
    replica = SingleMemberReplica(machine)
    return ReplicatedLog(cast(Replica, replica), machine), replica
