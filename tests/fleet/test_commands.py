"""Tests of operators' commands that race, are resent, or were dropped."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from rhubarbfield.fleet import (
    CommandAnswered,
    CommandClash,
    NumberRefused,
    find_next_number,
)
from rhubarbfield.fleet.commands import COMMAND_RETENTION, MAX_NUMBER_GAP
from rhubarbfield.machine import Reply
from tests.fleet.fleets import CREATE, FleetLog

FUZZING = settings(derandomize=True, database=None, deadline=None, max_examples=60)
TEXTS = (
    CREATE,
    "create batch other for tenant rosa cores 1 memory 1gb",
    "configure routing.retry_budget_fraction = 0.2",
    "cancel jobs where tenant = iris",
    "cancel job 99-none",
    "drain worker w1",
)


class NumbersTest(unittest.TestCase):
    def test_a_resent_command_gets_its_first_answer(self) -> None:
        log = FleetLog()
        first = log.submit(1, CREATE)
        again = log.submit(1, CREATE, after=timedelta(hours=9))
        self.assertEqual(first, again)
        self.assertEqual(list(log.state.jobs), ["1-weekly"])

    def test_a_refusal_is_repeated_for_a_resent_command(self) -> None:
        log = FleetLog()
        first = log.decide(2, "cancel job 1-weekly")
        self.assertFalse(first.accepted)
        log.decide(1, CREATE)
        self.assertEqual(log.decide(2, "cancel job 1-weekly"), first)

    def test_racing_operators_with_equal_numbers(self) -> None:
        log = FleetLog()
        log.submit(5, CREATE, operator="ana")
        for operator, text in (("bo", CREATE), ("ana", TEXTS[1]), ("bo", TEXTS[1])):
            clash = log.submit(5, text, operator=operator)
            assert isinstance(clash, CommandClash)
            self.assertEqual(clash.standing.operator, "ana")
            self.assertEqual(clash.standing.text, CREATE)
            self.assertEqual(clash.next_number, 6)
        self.assertEqual(list(log.state.jobs), ["5-weekly"])

    def test_texts_that_differ_after_the_kept_part_clash(self) -> None:
        log = FleetLog()
        text = f'{CREATE} payload "{"x" * 400}'
        log.decide(1, f'{text}a"')
        self.assertIsInstance(log.submit(1, f'{text}b"'), CommandClash)

    def test_a_mistyped_number_far_ahead_is_refused(self) -> None:
        log = FleetLog()
        log.decide(2026_03_01_01, CREATE)
        refused = log.submit(2026_03_01_02 + MAX_NUMBER_GAP, TEXTS[1])
        assert isinstance(refused, NumberRefused)
        self.assertEqual(refused.next_number, 2026_03_01_02)

    def test_a_full_table_refuses_new_commands_and_keeps_its_records(self) -> None:
        log = FleetLog()
        with mock.patch("rhubarbfield.fleet.commands.MAX_RECORDS", 2):
            log.decide(1, TEXTS[5])
            log.decide(2, TEXTS[5])
            self.assertIsInstance(log.submit(3, TEXTS[5]), NumberRefused)
            self.assertIsInstance(log.submit(1, TEXTS[5]), CommandAnswered)


class RetentionTest(unittest.TestCase):
    def test_records_are_kept_within_the_retention(self) -> None:
        log = FleetLog()
        first = log.decide(1, CREATE)
        log.decide(2, TEXTS[1], after=COMMAND_RETENTION)
        self.assertEqual(log.decide(1, CREATE, after=COMMAND_RETENTION), first)

    def test_a_dropped_command_never_runs_again(self) -> None:
        log = FleetLog()
        log.decide(7, CREATE)
        late = COMMAND_RETENTION + timedelta(seconds=1)
        log.decide(8, TEXTS[1], after=late)
        self.assertNotIn("7", log.state.table.records)
        for number in (7, 6):
            refused = log.submit(number, CREATE, after=late)
            assert isinstance(refused, NumberRefused)
            self.assertEqual(refused.next_number, 9)
        self.assertEqual(list(log.state.jobs), ["7-weekly", "8-other"])

    def test_a_wrong_clock_drops_records_but_repeats_no_command(self) -> None:
        log = FleetLog()
        log.decide(1, CREATE)
        log.decide(2, TEXTS[1], after=timedelta(days=4000))
        self.assertIsInstance(log.submit(1, CREATE), NumberRefused)
        self.assertIsInstance(log.submit(2, TEXTS[1]), NumberRefused)
        self.assertEqual(log.decide(3, TEXTS[5]).decided_at.year, 2026)
        self.assertEqual(len(log.state.jobs), 2)


class SnapshotTest(unittest.TestCase):
    def test_the_table_survives_snapshots(self) -> None:
        log = FleetLog()
        first = log.submit(1, CREATE)
        restarted = log.restart()
        self.assertEqual(restarted.submit(1, CREATE), first)
        self.assertIsInstance(restarted.submit(1, TEXTS[1]), CommandClash)
        self.assertEqual(restarted.state, log.state)

    @FUZZING
    @given(st.integers(0, 10_000))
    def test_any_race_decides_each_number_once(self, seed: int) -> None:
        source = random.Random(seed)
        log = FleetLog()
        answers: dict[int, Reply] = {}
        hours = 0
        for _ in range(40):
            hours += source.choice((0, 0, 1, 30))
            number = source.randint(1, 8) + hours // 30 * 4
            text, operator = source.choice(TEXTS), source.choice(("ana", "bo"))
            reply = log.submit(number, text, operator, timedelta(hours=hours))
            if isinstance(reply, CommandAnswered):
                self.assertEqual(answers.setdefault(number, reply), reply)
                self.assertEqual(
                    (reply.record.operator, reply.record.text[:20]),
                    (operator, text[:20]),
                )
            if source.random() < 0.1:
                log = log.restart()
        table = log.state.table
        self.assertGreater(find_next_number(table), max(answers, default=0))
        created = [key.split("-")[0] for key in log.state.jobs]
        self.assertEqual(len(created), len(set(created)))
