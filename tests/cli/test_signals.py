"""Tests of signals to processes, from the first import to the interpreter's end."""

from __future__ import annotations

import signal
import tempfile
import unittest
from pathlib import Path

from rhubarbfield.cli import program
from rhubarbfield.cli.registry import list_subcommands
from tests.cli.interruptions import Programs

DAEMONS = ("job-entry", "job-controller", "entry", "controller", "stand-in")
STOPS = (signal.SIGTERM, signal.SIGINT)


class ProcessCase(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.programs = Programs(Path(folder.name))
        self.addCleanup(self.programs.close)
        # The programs would inherit it from a caller that ignores it, such as nohup.
        before = signal.signal(signal.SIGHUP, signal.SIG_DFL)
        self.addCleanup(signal.signal, signal.SIGHUP, before)


class StartTest(ProcessCase):
    def test_hangups_while_modules_are_imported_end_no_daemon(self) -> None:
        for name in DAEMONS:
            with self.subTest(name):
                code, text = self.programs.run(
                    name, "--none", number=signal.SIGHUP, at="each import"
                )
                self.assertEqual(code, 2, text)

    def test_a_hangup_before_the_loop_runs_is_handled_once(self) -> None:
        for name in DAEMONS:
            with self.subTest(name):
                arguments = self.programs.arguments[name]
                code, text = self.programs.run_until(
                    "signal-received",
                    signal.SIGTERM,
                    name,
                    *arguments,
                    number=signal.SIGHUP,
                    at="trio",
                )
                self.assertEqual(code, 0, text)
                hangups = text.count('"signal-received","number":1}')
                self.assertEqual(hangups, 1, text)

    def test_a_stop_before_the_loop_runs_ends_the_daemon_with_a_line(self) -> None:
        for name in DAEMONS:
            for number in STOPS:
                with self.subTest(name, number=number):
                    arguments = self.programs.arguments[name]
                    code, text = self.programs.run(
                        name, *arguments, number=number, at="each import"
                    )
                    self.assertEqual(code, 0, text)
                    self.assertIn("stopped-while-starting", text)
                    self.assertIn("daemon-stopped", text)
                    self.assertNotIn("Traceback", text)
        self.assertFalse(self.programs.data_folder.exists())

    def test_programs_that_are_no_daemons_end_by_a_signal(self) -> None:
        for number in (signal.SIGHUP, signal.SIGTERM):
            code, _ = self.programs.run("version", number=number, at="each import")
            self.assertEqual(code, -number)

    def test_each_daemon_records_signals(self) -> None:
        from rhubarbfield.earlysignals import DAEMONS as RECORDING

        program._register_subcommands()
        daemons = {
            one.name for one in list_subcommands() if one.help.endswith("(a daemon).")
        }
        self.assertEqual(RECORDING, daemons)


class EndTest(ProcessCase):
    def test_a_signal_while_the_interpreter_ends_keeps_the_exit_code(self) -> None:
        for name in DAEMONS:
            for number in (signal.SIGHUP, signal.SIGTERM):
                with self.subTest(name, number=number):
                    code, text = self.programs.run(
                        name, "--none", number=number, at="end"
                    )
                    self.assertEqual(code, 2, text)


class ReportTest(ProcessCase):
    def test_a_refused_start_is_an_event_with_its_exit_code(self) -> None:
        missing = str(self.programs.folder / "missing.yaml")
        for name in DAEMONS[:4]:
            with self.subTest(name):
                code, text = self.programs.run(
                    name, "--settings", missing, number=0, at=""
                )
                self.assertEqual(code, 2, text)
                lines = [line for line in text.splitlines() if line.startswith("{")]
                self.assertEqual(len(lines), 2, text)
                awaited, refused = lines
                self.assertIn("settings-awaited", awaited)
                self.assertIn("daemon-refused", refused)
                self.assertIn('"code":2', refused)
                for line in lines:
                    self.assertIn(missing, line)


if __name__ == "__main__":
    unittest.main()
