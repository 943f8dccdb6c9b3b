"""Tests of the command line program."""

from __future__ import annotations

import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import trio

from rhubarbfield.cli import Invocation, list_subcommands, run, subcommand
from rhubarbfield.cli.daemons import BROKEN_INVARIANTS_FILE, run_daemon
from rhubarbfield.exceptions import BrokenInvariantError, check_invariant
from rhubarbfield.settings import Settings
from tests.settings.samples import LENDING, make_settings, read_changed


class ProgramCase(unittest.TestCase):
    def run_program(self, *arguments: str) -> tuple[int, str, str]:
        stdout, stderr = io.StringIO(), io.StringIO()
        code = run(arguments, stdout, stderr)
        self.assertNotIn("Traceback", stdout.getvalue() + stderr.getvalue())
        return code, stdout.getvalue(), stderr.getvalue()


class UsageTest(ProgramCase):
    def test_wrong_usage_exits_with_2_and_a_message(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            secret = Path(folder) / "secret"
            secret.write_text("short")
            for arguments, message in (
                ((), "a subcommand is missing"),
                (("qurey",), "did you mean query?"),
                (("help", "qurey"), "there is no subcommand"),
                (("query", "--settingz=x"), "Did you mean: settings"),
                (("query", "--flagfile=/none"), "/none"),
                (("query",), "the query is missing"),
                (("query", "show", "jobs"), "--settings is missing"),
                (("query", "shwo jobs"), "did you mean show?"),
                (("query", "--format=xml", "show jobs"), "format"),
                (("command", "drain worker w"), "--number is missing"),
                (("command", "--number=0", "drain worker w"), "number"),
                (("entry",), "--settings is missing"),
                (("controller", "--settings", folder), "cannot be read"),
                (("check-settings",), "a file is missing"),
                (("explain-log", "id"), "an id and a file are missing"),
                (("explain-log", "id", "/none/x"), "/none/x can't be read"),
                (("replay",), "a trace is missing"),
                (("measure", "speed"), "there is no measurement"),
                (("stand-in", "x"), "backend, worker"),
                (
                    ("query", f"--secret_file={secret}", "--address=x", "show jobs"),
                    "32 to 1024 bytes",
                ),
            ):
                code, _, stderr = self.run_program(*arguments)
                self.assertEqual(code, 2, arguments)
                self.assertIn(message, stderr)

    def test_help_describes_every_subcommand(self) -> None:
        code, overview, _ = self.run_program("help")
        self.assertEqual(code, 0)
        for one in list_subcommands():
            self.assertIn(one.name, overview)
            for arguments in (("help", one.name), (one.name, "--help")):
                code, text, _ = self.run_program(*arguments)
                self.assertIn(f"usage: rhubarbfield {one.name}", text)
                self.assertIn(one.help, text)

    def test_measurements_are_listed(self) -> None:
        code, names, _ = self.run_program("measure")
        self.assertEqual(code, 0)
        self.assertIn("placement", names.split())

    def test_settings_are_checked_with_every_error(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            bad = Path(folder) / "bad.yaml"
            changes = (("level: info", "level: loud"), ("name: a2", "name: A2"))
            bad.write_text(read_changed(*changes))
            files = (str(LENDING), str(bad))
            code, stdout, stderr = self.run_program("check-settings", *files)
        self.assertEqual(code, 2)
        self.assertIn("lending-a1.yaml: good", stdout)
        self.assertIn("logging.level", stderr)
        self.assertIn("fleet.instances[1].name", stderr)

    def test_an_unreachable_controller_is_a_temporary_failure(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            secret = Path(folder) / "secret"
            secret.write_text("s" * 40)
            code, _, stderr = self.run_program(
                "query",
                f"--secret_file={secret}",
                "--address=127.0.0.1:1",
                "show jobs",
            )
        self.assertEqual(code, 75)
        self.assertIn("127.0.0.1:1 can't be reached", stderr)

    def test_startup_imports_no_heavy_libraries(self) -> None:
        code = (
            "import sys, rhubarbfield.cli.program as p; p._register_subcommands();"
            "late = {'quart', 'httpx', 'lark', 'pydantic', 'grpclib'};"
            "print(sorted(late & set(sys.modules)))"
        )
        done = subprocess.run(
            [sys.executable, "-c", code], capture_output=True, text=True, check=True
        )
        self.assertEqual(done.stdout.strip(), "[]")


class ErrorsTest(ProgramCase):
    def run_broken_daemon(self, settings: Settings) -> tuple[int, str]:
        async def break_invariant(_settings: Settings, *, task_status: object) -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.sleep_forever)
                check_invariant(False, "slots-within-capacity", "9 of 8 slots")

        name = "test-broken-daemon"

        @subcommand(name, help="Break.")
        def run_broken(invocation: Invocation) -> int:
            return run_daemon("entry", break_invariant, settings, invocation)

        with mock.patch("rhubarbfield.logs.logging.getLogger"):
            code, _, stderr = self.run_program(name)
        return code, stderr

    def tearDown(self) -> None:
        from rhubarbfield.cli import registry

        registry._subcommands.pop("test-broken-daemon", None)
        registry._subcommands.pop("test-error", None)

    def test_a_broken_invariant_exits_with_70_and_is_saved(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            settings = make_settings(("/var/lib/rhubarbfield/a1", f"{folder}/data"))
            code, stderr = self.run_broken_daemon(settings)
            saved = (Path(folder) / "data" / BROKEN_INVARIANTS_FILE).read_text()
        self.assertEqual(code, 70)
        self.assertIn("'slots-within-capacity' is broken: 9 of 8 slots", stderr)
        event = json.loads(saved)
        self.assertEqual(event["invariant"], "slots-within-capacity")
        self.assertEqual((event["seen"], event["daemon"]), ("9 of 8 slots", "entry"))

    def test_a_broken_invariant_without_a_data_folder_exits_with_70(self) -> None:
        settings = make_settings(("data_folder: /var/lib/rhubarbfield/a1", ""))
        code, _ = self.run_broken_daemon(settings)
        self.assertEqual(code, 70)

    def test_os_errors_and_interruptions_are_not_internal_errors(self) -> None:
        for error, expected in (
            (OSError(98, "Address already in use"), 1),
            (KeyboardInterrupt(), 130),
            (BaseExceptionGroup("tasks", [KeyboardInterrupt()]), 130),
        ):

            @subcommand("test-error", help="Fail.")
            def run_failing(
                _invocation: Invocation, error: BaseException = error
            ) -> int:
                raise error

            code, _, stderr = self.run_program("test-error")
            self.assertEqual(code, expected)
            self.assertNotIn("internal error", stderr)

    def test_other_exceptions_are_reported_as_internal_errors(self) -> None:
        @subcommand("test-error", help="Fail.")
        def run_failing(_invocation: Invocation) -> int:
            raise ZeroDivisionError("by zero")

        code, _, stderr = self.run_program("test-error")
        self.assertEqual(code, 70)
        self.assertIn("ZeroDivisionError: by zero", stderr)
        self.assertTrue(issubclass(BrokenInvariantError, Exception))
