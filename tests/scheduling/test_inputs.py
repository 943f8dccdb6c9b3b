"""Tests of the draws of the random days."""

from __future__ import annotations

import random
import unittest

from tests.scheduling.inputs import DIMENSIONS, STEPS, WIDTH, Inputs, format_table


class InputsTest(unittest.TestCase):
    def test_boundary_values_are_drawn_more_often_than_others(self) -> None:
        drawn = Inputs(random.Random(1))
        values = [drawn.draw(WIDTH) for _ in range(1000)]
        self.assertGreater(values.count(501), 50)
        between = [each for each in values if each not in WIDTH.boundaries]
        self.assertTrue(all(WIDTH.low <= each <= WIDTH.high for each in between))

    def test_each_dimension_has_a_source_and_a_name_of_its_own(self) -> None:
        self.assertEqual(len({each.name for each in DIMENSIONS}), len(DIMENSIONS))
        self.assertTrue(all(each.source for each in DIMENSIONS))

    def test_values_that_never_came_are_shown_as_zero(self) -> None:
        drawn = Inputs(random.Random(1))
        drawn.draw(STEPS, (1, 0, 0))
        self.assertIn(
            "| steps of a job | 1: 1, 2: 0, 3: 0 |", format_table(drawn.counts)
        )


if __name__ == "__main__":
    unittest.main()
