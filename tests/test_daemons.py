"""Tests of the settings of a running daemon."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from rhubarbfield.daemons import SettingsInForce
from rhubarbfield.fleet import Configuration
from rhubarbfield.settings import Settings, load_settings
from rhubarbfield.types import ConfigurationVersion
from tests.settings.samples import read_changed

LONGER_DEFAULT = ("default_request_seconds: 2", "default_request_seconds: 3")
KEY = "routing.default_request_seconds"


class SettingsInForceTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "a1.yaml"
        self.path.write_text(read_changed())
        self.applied: list[Settings] = []
        settings = load_settings(self.path).unwrap()
        self.in_force = SettingsInForce(settings, self.applied.append)

    def reload(self, *changes: tuple[str, str]) -> None:
        self.path.write_text(read_changed(*changes))
        self.in_force.reload()

    def offer(self, version: int, seconds: float) -> None:
        self.in_force.offer(
            Configuration(version=ConfigurationVersion(version), values={KEY: seconds})
        )

    def applied_seconds(self) -> list[float]:
        return [one.routing.default_request.total_seconds() for one in self.applied]

    def test_a_reload_applies_all_changes_or_none(self) -> None:
        lease = ("worker_lease_seconds: 10", "worker_lease_seconds: 20")
        with self.assertLogs("rhubarbfield.daemons", "ERROR") as logs:
            self.reload(LONGER_DEFAULT, lease)
        self.assertIn("timing.worker_lease_seconds", logs.output[0])
        self.assertEqual(self.applied, [])
        self.reload(LONGER_DEFAULT)
        self.assertEqual(self.applied_seconds(), [3])

    def test_an_older_configuration_changes_nothing(self) -> None:
        self.offer(2, 4)
        self.offer(1, 5)
        self.offer(2, 4)
        self.assertEqual(self.applied_seconds(), [4])
        self.assertEqual(self.in_force.configuration.version, 2)

    def test_the_configuration_overrides_a_reloaded_file(self) -> None:
        self.offer(1, 4)
        self.reload(LONGER_DEFAULT, ("level: info", "level: warning"))
        self.assertEqual(self.applied_seconds(), [4, 4])
        self.assertEqual(self.applied[-1].logging.level, "warning")
