"""Tests of the checks of files that the settings refer to."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from returns.result import Failure

from rhubarbfield.settings import find_file_problems, load_secret
from tests.settings.samples import make_settings


class FilesTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, content: bytes) -> Path:
        path = self.folder / "secret"
        path.write_bytes(content)
        path.chmod(0o600)
        return path

    def test_a_secret_is_read_without_white_space(self) -> None:
        path = self.write(b"  " + b"s" * 32 + b"\n")
        self.assertEqual(load_secret(path).unwrap(), b"s" * 32)

    def test_a_bad_secret_is_refused_and_never_shown(self) -> None:
        for content in (b"", b"short-secret", b"x" * 2000, b"\xff" * 40, b"a\nb" * 20):
            errors = load_secret(self.write(content)).failure()
            self.assertNotIn("short-secret", errors.format())
        self.assertIsInstance(load_secret(self.folder / "none"), Failure)
        self.assertIsInstance(load_secret("a\x00b"), Failure)

    def test_problems_of_named_files_are_found(self) -> None:
        secret = self.write(b"s" * 40)
        good = make_settings(
            ("/etc/rhubarbfield/secret", str(secret)),
            ("/var/lib/rhubarbfield/a1", str(self.folder / "data")),
        )
        self.assertEqual(find_file_problems(good), ())
        secret.chmod(0o644)
        (problem,) = find_file_problems(good)
        self.assertIn("every user", problem.allowed)
        bad = make_settings(
            ("/etc/rhubarbfield/secret", str(self.folder / "none")),
            ("/var/lib/rhubarbfield/a1", str(secret)),
        )
        paths = [problem.path for problem in find_file_problems(bad)]
        self.assertEqual(paths, ["secret_file", "data_folder"])
