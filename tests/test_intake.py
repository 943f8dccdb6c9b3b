"""Tests of what a process holds of unfinished requests."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.intake import (
    CONNECTION_BYTES,
    Holding,
    Intake,
    IntakeLimits,
    choose_limits,
)

ROOM = 10 * CONNECTION_BYTES


class Clients:
    """Connections by name, and the names of those that were given up."""

    def __init__(self, **limits: int) -> None:
        defaults = {"held_bytes": ROOM, "connections": 5}
        self.intake = Intake(IntakeLimits(**(defaults | limits)))
        self.given_up: list[str] = []

    def connect(self, name: str) -> Holding:
        holding = self.intake.admit()
        assert holding is not None
        self.begin(holding, name)
        return holding

    def begin(self, holding: Holding, name: str) -> None:
        holding.begin(lambda: self.given_up.append(name))


class IntakeTest(unittest.TestCase):
    def run(self, result: unittest.TestResult | None = None) -> None:
        async def body() -> None:
            unittest.TestCase.run(self, result)

        trio.run(body)  # the clock of trio is read for the log

    def test_the_longest_waiting_is_given_up_first(self) -> None:
        clients = Clients()
        for name in "abc":
            clients.connect(name)
        clients.connect("d").charge(ROOM - 4 * CONNECTION_BYTES)
        self.assertEqual(clients.given_up, [])
        clients.connect("e")
        self.assertEqual(clients.given_up, ["a"])

    def test_a_whole_request_is_kept_until_it_is_answered(self) -> None:
        clients = Clients()
        first = clients.connect("a")
        first.charge(ROOM - CONNECTION_BYTES)
        first.keep()
        clients.connect("b")
        self.assertEqual(clients.given_up, ["b"])
        clients.begin(first, "a")
        self.assertEqual(clients.intake.held_bytes, CONNECTION_BYTES)

    def test_a_new_request_waits_from_its_begin_on(self) -> None:
        clients = Clients(connections=2)
        first = clients.connect("a")
        clients.connect("b")
        clients.begin(first, "a")
        clients.connect("c")
        self.assertEqual(clients.given_up, ["b"])

    def test_a_connection_is_refused_if_none_can_be_given_up(self) -> None:
        clients = Clients(connections=1)
        first = clients.connect("a")
        first.keep()
        self.assertIsNone(clients.intake.admit())
        first.close()
        self.assertIsNotNone(clients.intake.admit())

    def test_nothing_is_held_after_the_end(self) -> None:
        clients = Clients()
        for name in "abc":
            holding = clients.connect(name)
            holding.charge(ROOM)
            holding.charge(1)
            holding.close()
            holding.close()
        stream = clients.intake.hold()
        clients.begin(stream, "s")
        stream.charge(5)
        self.assertEqual(clients.intake.held_bytes, 5)
        stream.finish()
        self.assertEqual(clients.intake.held_bytes, 0)
        self.assertEqual(clients.given_up, ["a", "b", "c"])

    def test_limits_follow_from_the_machine(self) -> None:
        of_memory = choose_limits(memory_mb=200, least_bytes=1)
        self.assertEqual(of_memory.held_bytes, 25_000_000)
        configured = choose_limits(memory_mb=200, held_mb=3, least_bytes=1)
        self.assertEqual(configured.held_bytes, 3_000_000)
        largest = choose_limits(memory_mb=8, least_bytes=2_000_000)
        self.assertEqual(largest.held_bytes, 2_000_000)
