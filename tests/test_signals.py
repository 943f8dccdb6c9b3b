"""Tests of signals to a daemon in its loop."""

from __future__ import annotations

import signal
import unittest
from collections.abc import Awaitable, Callable

import trio
import trio.testing

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.signals import run_until_signal
from tests.replication.determinism import expect_contained_errors, run_deterministic

Run = Callable[..., Awaitable[None]]


class Daemon:
    """A daemon that starts only if told to, and runs until ``stop`` is set."""

    def __init__(self, *, starts: bool) -> None:
        self._starts = starts
        self.stop = trio.Event()
        self.ended = ""
        self.reloads = 0

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        try:
            if not self._starts:
                await trio.sleep_forever()
            task_status.started()
            await self.stop.wait()
            await trio.sleep(3)
            self.ended = "stopped"
        except trio.Cancelled:
            self.ended = "cancelled"
            raise

    def reload(self) -> None:
        self.reloads += 1


class SignalsTest(unittest.TestCase):
    def play(
        self, daemon: Daemon, *numbers: int, reload: Callable[[], None] | None = None
    ) -> list[str]:
        """Send signals to a daemon, one each second; return the events it logged."""

        async def body() -> None:
            async with trio.open_nursery() as nursery:

                async def run() -> None:
                    await run_until_signal(
                        daemon.run, reload=reload or daemon.reload, stop=daemon.stop
                    )
                    nursery.cancel_scope.cancel()

                nursery.start_soon(run)
                for number in numbers:
                    await trio.sleep(1)
                    signal.raise_signal(number)
                    await trio.testing.wait_all_tasks_blocked()
                await trio.sleep(60)
                raise AssertionError("the daemon goes on")

        with self.assertLogs("rhubarbfield") as logs:
            run_deterministic(body, seed=1)
        return [record.getMessage().split()[0] for record in logs.records]

    def test_a_stop_while_starting_ends_the_daemon_at_once(self) -> None:
        for number in (signal.SIGTERM, signal.SIGINT):
            daemon = Daemon(starts=False)
            events = self.play(daemon, number)
            self.assertEqual(events, ["signal-received", "stopped-while-starting"])
            self.assertEqual(daemon.ended, "cancelled")

    def test_a_stop_while_serving_is_a_planned_one(self) -> None:
        daemon = Daemon(starts=True)
        self.assertEqual(self.play(daemon, signal.SIGTERM), ["signal-received"])
        self.assertEqual(daemon.ended, "stopped")

    def test_a_second_stop_cancels_and_a_hangup_does_not(self) -> None:
        daemon = Daemon(starts=True)
        self.play(daemon, signal.SIGTERM, signal.SIGHUP, signal.SIGTERM)
        self.assertEqual((daemon.ended, daemon.reloads), ("cancelled", 1))

    def test_a_reload_that_fails_ends_no_daemon(self) -> None:
        def fail() -> None:
            raise ZeroDivisionError

        daemon = Daemon(starts=True)
        with expect_contained_errors():
            events = self.play(daemon, signal.SIGHUP, signal.SIGTERM, reload=fail)
        self.assertIn("work-failed", events)
        self.assertEqual(daemon.ended, "stopped")

    def test_a_reload_that_breaks_an_invariant_ends_the_daemon(self) -> None:
        def fail() -> None:
            raise BrokenInvariantError("one", "two")

        with self.assertRaises(BaseExceptionGroup):
            self.play(Daemon(starts=True), signal.SIGHUP, reload=fail)


if __name__ == "__main__":
    unittest.main()
