"""A log with one member that leads as long as the test wants."""

from __future__ import annotations

from typing import Any, TypeVar, cast

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import SectionedMachine
from rhubarbfield.replication import NotLeader, Replica
from rhubarbfield.types import LogIndex

StateT = TypeVar("StateT")
DECISION_SECONDS = 0.002


class SingleMemberReplica:
    """Applies at once, and answers a little later, as a real replica does."""

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
        await trio.sleep(DECISION_SECONDS)
        return Success(reply)


def make_single_member_log(
    machine: SectionedMachine[StateT],
) -> tuple[ReplicatedLog[StateT], SingleMemberReplica]:
    """Return a log over ``machine``, and what decides whether it leads."""
    replica = SingleMemberReplica(machine)
    return ReplicatedLog(cast(Replica, replica), machine), replica
