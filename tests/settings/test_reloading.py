"""Tests of reloading settings while a daemon runs."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from rhubarbfield.settings import diff_reloadable, load_settings, reload_settings
from tests.settings.samples import make_settings, read_changed


class DiffReloadableTest(unittest.TestCase):
    def test_policy_may_change(self) -> None:
        new = make_settings(
            ("default_request_seconds: 2", "default_request_seconds: 3"),
            ("level: info", "level: debug"),
        )
        changes = diff_reloadable(make_settings(), new).unwrap()
        paths = [change.path for change in changes]
        self.assertEqual(paths, ["routing.default_request_seconds", "logging.level"])

    def test_nothing_changes_if_nothing_differs(self) -> None:
        self.assertEqual(diff_reloadable(make_settings(), make_settings()).unwrap(), ())

    def test_one_change_that_needs_a_restart_refuses_all_changes(self) -> None:
        new = make_settings(
            ("level: info", "level: debug"),
            ("worker_lease_seconds: 10", "worker_lease_seconds: 20"),
            ("callers_port: 7100", "callers_port: 7190"),
        )
        errors = diff_reloadable(make_settings(), new).failure()
        paths = [problem.path for problem in errors.problems]
        self.assertEqual(
            paths, ["addresses.callers_port", "timing.worker_lease_seconds"]
        )
        self.assertIn("only a restart", errors.format())

    def test_a_removed_data_folder_needs_a_restart(self) -> None:
        new = make_settings(("data_folder: /var/lib/rhubarbfield/a1", ""))
        errors = diff_reloadable(make_settings(), new).failure()
        self.assertEqual(errors.problems[0].path, "data_folder")


class ReloadSettingsTest(unittest.TestCase):
    def test_a_reload_is_refused_if_the_file_has_errors(self) -> None:
        level = ("level: info", "level: debug")
        lease = ("worker_lease_seconds: 10", "worker_lease_seconds: 20")
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "a1.yaml"
            path.write_text(read_changed())
            current = load_settings(path).unwrap()
            path.write_text(read_changed(level))
            new = reload_settings(current).unwrap()
            self.assertEqual(new.logging.level, "debug")
            path.write_text(read_changed(level, lease))
            self.assertIn("only a restart", reload_settings(new).failure().format())
            path.write_text(read_changed(level, ("name: a2", "name: A2")))
            self.assertIn("has to match", reload_settings(new).failure().format())
            path.unlink()
            self.assertIn("cannot be read", reload_settings(new).failure().format())
