"""A fleet's log in memory, and commands for it."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

import msgspec

from rhubarbfield.fleet import (
    FLEET_REPLY_TYPES,
    CommandAnswered,
    CommandRecord,
    FleetState,
    SubmitCommand,
    fleet_commands,
)
from rhubarbfield.language import parse
from rhubarbfield.machine import Command, Reply, SectionedMachine
from rhubarbfield.types import CommandNumber, LogIndex, OperatorName

START = datetime(2026, 3, 1, tzinfo=UTC)
CREATE = "create batch weekly for tenant iris tasks 4 cores 1 memory 1gb"


class Sections(msgspec.Struct):
    fleet: FleetState = msgspec.field(default_factory=FleetState)


class FleetLog:
    """Applies encoded commands, as every replica does."""

    def __init__(self) -> None:
        self.machine = SectionedMachine(
            Sections, {"fleet": fleet_commands}, FLEET_REPLY_TYPES
        )
        self.index = 0

    @property
    def state(self) -> FleetState:
        return self.machine.state.fleet

    def apply(self, command: Command) -> Reply:
        self.index += 1
        data = self.machine.encode_command(command)
        return self.machine.decode_reply(self.machine.apply(LogIndex(self.index), data))

    def submit(
        self,
        number: int,
        text: str,
        operator: str = "ana",
        after: timedelta = timedelta(),
    ) -> Reply:
        statement = parse(text).unwrap()
        return self.apply(
            SubmitCommand(
                operator=OperatorName(operator),
                number=CommandNumber(number),
                text=text,
                statement=statement,  # type: ignore[arg-type]
                at=START + after,
            )
        )

    def decide(
        self, number: int, text: str, after: timedelta = timedelta()
    ) -> CommandRecord:
        reply = self.submit(number, text, after=after)
        if not isinstance(reply, CommandAnswered):
            raise AssertionError(reply)
        return reply.record

    def restart(self) -> FleetLog:
        """Return a log restored from a snapshot of this one."""
        other = FleetLog()
        other.machine.restore(self.machine.take_snapshot())
        return other
