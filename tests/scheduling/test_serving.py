"""Tests of a running program: its settings file, and its planned stop."""

from __future__ import annotations

import signal
import tempfile
import time
import unittest
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from pathlib import Path
from unittest.mock import Mock

import trio

from rhubarbfield.clock import HostClock, TrioClock
from rhubarbfield.httpserver import HttpRequest, HttpResponse
from rhubarbfield.intake import Intake
from rhubarbfield.scheduling.deployment import (
    DeploymentSettings,
    load_deployment_settings,
)
from rhubarbfield.scheduling.serving import Program, SettingsFile, run_program
from tests.peering.test_grpc import find_port
from tests.replication.determinism import expect_contained_errors, run_deterministic

SEED_LAG_SECONDS = 3.0  # the seeds in the file are this old at most
GRACE_SECONDS = 3


def write_settings(path: Path, seeds: str) -> None:
    path.write_text(
        f"instance: e1\nfailure_domain: z\nhost: e1\npeer_port: 2\nseeds: [{seeds}]\n"
        "workers: {report_ms: 500, longest_lease_ms: 6000}\n",
        encoding="utf-8",
    )


class SettingsFileTest(unittest.TestCase):
    def play(
        self,
        contents: list[str],
        apply: Callable[[DeploymentSettings], None] | None = None,
        applied: list[DeploymentSettings] | None = None,
    ) -> list[tuple[str, ...]]:
        """Return the seeds that are applied while the file's seeds change."""
        applied = [] if applied is None else applied
        apply = apply or applied.append

        async def body() -> None:
            with tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "settings.yaml"
                write_settings(path, '"c1:1"')
                settings = load_deployment_settings(path)
                file = SettingsFile(path, settings, apply)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(file.watch, TrioClock())
                    for content in contents:
                        await trio.sleep(SEED_LAG_SECONDS)
                        write_settings(path, content)
                    await trio.sleep(SEED_LAG_SECONDS)
                    nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)
        return [settings.seeds for settings in applied]

    def test_seeds_that_change_without_a_signal_are_applied(self) -> None:
        seeds = self.play(['"c2:1"', '"c3:1", "c4:1"'])
        self.assertEqual(seeds, [("c2:1",), ("c3:1", "c4:1")])

    def test_invalid_settings_keep_the_earlier_ones_in_force(self) -> None:
        seeds = self.play(['"c2:1', '"c3:1"'])
        self.assertEqual(seeds, [("c3:1",)])

    def test_values_that_yaml_cannot_convert_do_not_end_the_program(self) -> None:
        seeds = self.play(["2026-99-99", '"c3:1"'])
        self.assertEqual(seeds, [("c3:1",)])

    def test_settings_that_cannot_be_applied_do_not_end_the_program(self) -> None:
        applied: list[DeploymentSettings] = []

        def apply(settings: DeploymentSettings) -> None:
            applied.append(settings)
            if len(applied) == 1:
                raise ZeroDivisionError

        with expect_contained_errors():
            seeds = self.play(['"c2:1"', '"c3:1"'], apply, applied)
        self.assertEqual(seeds, [("c2:1",), ("c3:1",)])

    def test_tags_that_yaml_cannot_convert_do_not_end_the_program(self) -> None:
        for value in ("!!int ''", "!!float ''", "!!bool maybe", "!!timestamp never"):
            with self.subTest(value):
                self.assertEqual(self.play([value, '"c3:1"']), [("c3:1",)])

    def test_settings_that_do_not_differ_are_not_applied(self) -> None:
        self.assertEqual(self.play(['"c1:1"', ' "c1:1" ']), [])


class ProgramTest(unittest.TestCase):
    def limit_begin(self, grace_ms: int) -> timedelta:
        program = Program(
            run=trio.sleep_forever,
            handler=Mock(),
            binds=(),
            max_body_bytes=0,
            intake=Mock(),
            begin_stop=Mock(),
            begin_timeout=timedelta(seconds=2.5),
            stop_delay=timedelta(seconds=0.7),
            add_seeds=Mock(),
        )
        return program.limit_begin(Mock(DeploymentSettings, grace_ms=grace_ms))

    def test_begin_of_a_planned_stop_leaves_time_to_end_the_process(self) -> None:
        self.assertEqual(self.limit_begin(6000), timedelta(seconds=2.5))
        self.assertEqual(self.limit_begin(3000), timedelta(seconds=0.3))
        self.assertEqual(self.limit_begin(1000), timedelta())


class PlannedStopTest(unittest.TestCase):
    """On the host's clock, as a program is stopped by a signal."""

    def ask_and_stop(self, *, begin_takes: float, answer_takes: float) -> bytes:
        """Return the answer to a request that is in progress as a stop begins."""
        port = find_port()
        received: list[bytes] = []

        async def answer(_request: HttpRequest) -> HttpResponse:
            signal.raise_signal(signal.SIGTERM)
            await trio.sleep(answer_takes)
            return HttpResponse(HTTPStatus.OK)

        async def begin_stop(_timeout: timedelta) -> None:
            await trio.sleep(begin_takes)

        async def run(
            *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
        ) -> None:
            task_status.started()
            await trio.sleep_forever()

        program = Program(
            run=run,
            handler=answer,
            binds=(f"127.0.0.1:{port}",),
            max_body_bytes=1000,
            intake=Intake(),
            begin_stop=begin_stop,
            begin_timeout=timedelta(seconds=0.9),
            stop_delay=timedelta(seconds=0.1),
            add_seeds=Mock(),
        )
        settings = Mock(DeploymentSettings, grace_ms=1000 * GRACE_SECONDS, metrics="")

        async def ask() -> None:
            stream = await trio.open_tcp_stream("127.0.0.1", port)
            await stream.send_all(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            try:
                received.append(await stream.receive_some(1000))
            except trio.BrokenResourceError:
                received.append(b"")

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                await nursery.start(
                    run_program, program, settings, Path("none"), HostClock()
                )
                await ask()

        trio.run(body)
        return received[0]

    def test_grace_period_is_left_to_requests_if_the_begin_takes_no_time(self) -> None:
        answer = self.ask_and_stop(begin_takes=0, answer_takes=1.5)
        self.assertIn(b" 200 ", answer)

    def test_request_is_cut_before_the_grace_period_ends(self) -> None:
        began = time.monotonic()
        answer = self.ask_and_stop(begin_takes=0.9, answer_takes=60)
        self.assertEqual(answer, b"")
        self.assertLess(time.monotonic() - began, GRACE_SECONDS)


if __name__ == "__main__":
    unittest.main()
