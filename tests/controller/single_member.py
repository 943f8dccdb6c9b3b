"""A replicated log with a single member, whose leadership a test controls."""

from __future__ import annotations

from typing import Any, TypeVar, cast

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.replication import NotLeader, Replica
from rhubarbfield.types import LogIndex

StateT = TypeVar("StateT")
COMMIT_SECONDS = 0.002


class SingleMemberReplica:
    """Applies a command at once and answers after a delay, as a real replica does."""

    def __init__(self, machine: SectionedMachine[Any]) -> None:
        self._machine = machine
        self.applied = LogIndex(0)
        self.leadership: object | None = object()
        self.leader_hint = None
        self.commands = 0

    async def wait_current(self) -> None:
        await trio.lowlevel.checkpoint()

    async def propose(self, command: bytes) -> Result[bytes, NotLeader]:
        if self.leadership is None:
            return Failure(NotLeader(None))
        self.applied = LogIndex(self.applied + 1)
        self.commands += 1
        reply = self._machine.apply(self.applied, command)
        await trio.sleep(COMMIT_SECONDS)
        return Success(reply)


def make_single_member_log(
    machine: SectionedMachine[StateT],
) -> tuple[ReplicatedLog[StateT], SingleMemberReplica]:
    """Return a log over ``machine`` and its replica, which controls leadership."""
    replica = SingleMemberReplica(machine)
    return ReplicatedLog(cast(Replica, replica), machine), replica
