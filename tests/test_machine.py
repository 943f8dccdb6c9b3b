"""Tests of the state machines driven by a replicated log."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.machine import (
    Command,
    CommandRegistry,
    Done,
    Refused,
    Reply,
    SectionedMachine,
)
from rhubarbfield.types import LogIndex


class Counter(msgspec.Struct):
    total: int = 0


class Sections(msgspec.Struct):
    counter: Counter = msgspec.field(default_factory=Counter)


class Add(Command, frozen=True):
    amount: int


class Total(Reply, frozen=True):
    total: int


registry: CommandRegistry[Counter] = CommandRegistry()


@registry.applies(Add)
def apply_add(state: Counter, command: Add) -> Reply:
    if command.amount < 0:
        return Refused(reason="the amount is negative")
    state.total += command.amount
    return Total(total=state.total)


def make_machine() -> SectionedMachine[Sections]:
    return SectionedMachine(Sections, {"counter": registry}, (Total,))


class SectionedMachineTest(unittest.TestCase):
    def apply(self, machine: SectionedMachine[Sections], amount: int) -> Reply:
        data = machine.encode_command(Add(amount=amount))
        return machine.decode_reply(machine.apply(LogIndex(1), data))

    def test_applies_a_registered_command(self) -> None:
        machine = make_machine()
        self.assertEqual(self.apply(machine, 2), Total(total=2))
        self.assertEqual(self.apply(machine, 3), Total(total=5))

    def test_a_refusal_changes_nothing(self) -> None:
        machine = make_machine()
        self.assertIsInstance(self.apply(machine, -1), Refused)
        self.assertEqual(machine.state.counter.total, 0)

    def test_a_snapshot_restores_the_whole_state(self) -> None:
        machine, other = make_machine(), make_machine()
        self.apply(machine, 7)
        other.restore(machine.take_snapshot())
        self.assertEqual(other.state, machine.state)
        self.assertNotIsInstance(self.apply(other, 1), Done)

    def test_watchers_see_each_command_with_its_reply(self) -> None:
        machine = make_machine()
        seen: list[tuple[int, Command, Reply]] = []
        machine.watch(lambda *applied: seen.append(applied))
        self.apply(machine, 2)
        self.assertEqual(seen, [(1, Add(amount=2), Total(total=2))])

    def test_restore_calls_watchers(self) -> None:
        machine = make_machine()
        restored: list[int] = []
        machine.watch_restore(lambda: restored.append(machine.state.counter.total))
        other = make_machine()
        self.apply(other, 7)
        machine.restore(other.take_snapshot())
        self.assertEqual(restored, [7])
