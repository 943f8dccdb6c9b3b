"""Tests of the settings of a controller's components."""

from __future__ import annotations

import unittest
from datetime import timedelta

from rhubarbfield.controller.options import make_group_settings, make_worker_settings
from rhubarbfield.settings import Timing


class OptionsTest(unittest.TestCase):
    def test_any_lease_gives_consistent_settings(self) -> None:
        for milliseconds in range(100, 2000, 7):
            seconds = milliseconds / 1000
            timing = Timing(leader_lease_seconds=seconds)
            settings = make_group_settings(timing)
            self.assertEqual(settings.lease, timedelta(milliseconds=milliseconds))

    def test_a_worker_may_miss_a_renewal(self) -> None:
        settings = make_worker_settings(Timing())
        self.assertLess(settings.renew_interval * 2, settings.lease.holder_duration)
