"""Tests of the state machines driven by a replicated log."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.exceptions import BrokenInvariantError, check_invariant
from rhubarbfield.machine import (
    Command,
    CommandRegistry,
    Done,
    Inapplicable,
    Refused,
    Reply,
    SectionedMachine,
    UnencodableCommandError,
)
from rhubarbfield.types import LogIndex

RAISING, BREAKING = 13, 14


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
    check_invariant(command.amount != BREAKING, "amount-known", command.amount)
    state.total += command.amount
    if command.amount == RAISING:
        raise RuntimeError("told to fail")
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

    def test_command_that_raises_has_the_same_outcome_on_each_replica(self) -> None:
        """It ended each replica that applied it, again after each start."""
        replicas = make_machine(), make_machine()
        for machine in replicas:
            with self.assertLogs("rhubarbfield.containment", "ERROR"):
                reply = self.apply(machine, RAISING)
            self.assertEqual(reply, Inapplicable(reason="RuntimeError('told to fail')"))
            self.assertEqual(self.apply(machine, 1), Total(total=RAISING + 1))
        first, second = (machine.take_snapshot() for machine in replicas)
        self.assertEqual(first, second)

    def test_broken_invariant_stops_the_replica(self) -> None:
        with self.assertRaises(BrokenInvariantError):
            self.apply(make_machine(), BREAKING)

    def test_committed_command_that_is_unreadable_stops_the_replica(self) -> None:
        """Others may read it, so that leaving it out would make states differ."""
        unknown = msgspec.msgpack.encode({"type": "Later"})
        with self.assertRaises(BrokenInvariantError):
            make_machine().apply(LogIndex(1), unknown)

    def test_command_that_replicas_could_not_read_is_not_encoded(self) -> None:
        for amount in (2**64, "many"):
            with self.assertRaises(UnencodableCommandError):
                make_machine().encode_command(Add(amount=amount))  # type: ignore[arg-type]

    def test_watcher_that_raises_keeps_no_other_from_its_call(self) -> None:
        machine = make_machine()
        seen: list[Reply] = []

        def fail(*_: object) -> None:
            raise RuntimeError("told to fail")

        machine.watch(fail)
        machine.watch(lambda _index, _command, reply: seen.append(reply))
        with self.assertLogs("rhubarbfield.containment", "ERROR") as logs:
            self.apply(machine, 1)
        self.assertEqual(seen, [Total(total=1)])
        fields = vars(logs.records[0])["rhubarbfield_ids"]
        self.assertIn("tests/test_machine.py", fields["place"])

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
