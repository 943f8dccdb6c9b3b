"""Tests of the replay of a trace and of its report."""

from __future__ import annotations

import unittest
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from rhubarbfield.exceptions import UsageError
from rhubarbfield.replay import (
    Trace,
    TracedFleet,
    load_trace,
    replay_traces,
    write_trace,
)
from rhubarbfield.replay.events import (
    Ask,
    CheckJob,
    Command,
    Cut,
    FailEverything,
    HealAll,
    Kill,
)
from tests.replay.longrun import replay_deterministically

FLEET = TracedFleet(
    name="small",
    domains={"north": ("a1",), "south": ("b1",), "west": ("c1",)},
    workers_each=1,
    servers_each=1,
)
PAIR = msgspec.structs.replace(FLEET, workers_each=2)
SUBMIT = "create batch night for tenant t tasks 4 cores 2 memory 2000 mb domain north"
CONFIGURE = "configure routing.retry_budget_fraction = 0.2"
REPETITIONS = 4
RACING_TRACE = Trace(
    FLEET,
    tuple(
        Command(at=1, controller=name, operator="ana", number=1, text=CONFIGURE + digit)
        for name, digit in (("a1", "1"), ("b1", "2"), ("c1", "3"))
    ),
)
MISMATCHING_TRACE = Trace(FLEET, (Ask(at=0, entry="a1", outcome="not-run|unknown"),))


class PlayerTest(unittest.TestCase):
    def test_outcomes_are_recorded_and_compared(self) -> None:
        events = (
            Ask(at=0, entry="a1", outcome="answered"),
            Ask(at=0, entry="a1", outcome="not-run"),
            Kill(at=1, process="entry b1"),
            Ask(at=2, entry="b1", outcome="refused|answered"),
            Cut(at=3, sources=("c1",), targets=("north", "south", "west")),
            Command(at=4, controller="c1", operator="ana", number=1, text=CONFIGURE),
            Command(at=4, controller="a1", operator="ana", number=2, text="dance"),
            HealAll(at=20),
            Command(at=30, controller="a1", operator="ana", number=1, text=CONFIGURE),
        )
        result = replay_deterministically(Trace(FLEET, events))
        outcomes = [one.outcome for one in result.event_results]
        self.assertEqual(
            outcomes[:5], ["answered", "answered", "killed", "refused", "cut"]
        )
        self.assertIn(outcomes[5], {"no-quorum", "unknown-outcome"})
        self.assertEqual(outcomes[6:], ["syntax", "healed", "accepted"])
        self.assertEqual([one.event for one in result.differences], [events[1]])
        self.assertEqual(result.violations, ())
        self.assertFalse(result.passed)

    def test_retries_are_due_in_virtual_time(self) -> None:
        """Those on a sound worker waited for as long as the replay really took."""
        events = (
            FailEverything(at=0, worker="w-north-0"),
            Command(at=1, controller="a1", operator="ana", number=1, text=SUBMIT),
            CheckJob(at=100, controller="b1", job="1-night", outcome="succeeded"),
        )
        result = replay_deterministically(Trace(PAIR, events))
        self.assertEqual(result.differences, ())

    def test_a_trace_is_replayed_alike_each_time(self) -> None:
        with TemporaryDirectory() as folder:
            file, record = Path(folder) / "t", Path(folder) / "r"
            write_trace(file, RACING_TRACE)
            recorded = set()
            for _ in range(REPETITIONS):
                replay_traces([str(file)], StringIO(), record=str(record))
                recorded.add(record.read_bytes())
        self.assertEqual(len(recorded), 1)


class CommandTest(unittest.TestCase):
    def test_a_difference_is_printed_and_recorded(self) -> None:
        with TemporaryDirectory() as folder:
            file, record = Path(folder) / "t", Path(folder) / "r"
            file.write_bytes(b"")
            with self.assertRaises(UsageError):
                replay_traces([str(file)], StringIO())
            write_trace(file, MISMATCHING_TRACE)
            output = StringIO()
            self.assertEqual(replay_traces([str(file)], output, record=str(record)), 1)
            self.assertIn("came out as answered", output.getvalue())
            recorded = load_trace(record).unwrap()
            self.assertEqual(recorded.events[0].outcome, "answered")
            self.assertEqual(replay_traces([str(record)], StringIO()), 0)
