"""Tests of silences of workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.scheduling.silences import (
    MAX_PAST_SILENCES,
    PAST_SILENCE_RETENTION,
    PastSilences,
    Silence,
)
from rhubarbfield.types import WorkerId


def make_silence(heard: float, missed: float) -> Silence:
    return Silence(timedelta(seconds=heard), timedelta(seconds=missed))


class PastSilencesTest(unittest.TestCase):
    def test_silences_that_may_have_begun_together_are_counted_once(self) -> None:
        past = PastSilences()
        past.add(WorkerId("a"), make_silence(10.0, 10.2))
        past.add(WorkerId("b"), make_silence(9.0, 9.1))
        silence = make_silence(10.1, 10.3)
        present = {
            WorkerId("a"): make_silence(10.0, 10.2),
            WorkerId("c"): make_silence(9.5, 11.0),
            WorkerId("d"): make_silence(10.6, 10.7),
            WorkerId("e"): silence,
        }
        count = len(past.list_simultaneous(WorkerId("e"), silence, present))
        self.assertEqual(count, 2)

    def test_silences_of_long_ago_are_not_counted(self) -> None:
        past = PastSilences()
        past.add(WorkerId("a"), make_silence(10.0, 10.2))
        later = PAST_SILENCE_RETENTION.total_seconds() + 11
        silence = make_silence(10, later)
        self.assertEqual(past.list_simultaneous(WorkerId("b"), silence, {}), [])

    def test_number_of_silences_is_bounded(self) -> None:
        past = PastSilences()
        silence = make_silence(10.0, 10.2)
        for number in range(MAX_PAST_SILENCES + 5):
            past.add(WorkerId(f"w{number}"), silence)
        count = len(past.list_simultaneous(WorkerId("b"), silence, {}))
        self.assertEqual(count, MAX_PAST_SILENCES)


if __name__ == "__main__":
    unittest.main()
