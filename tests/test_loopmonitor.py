"""Tests of the monitor of the event loop."""

from __future__ import annotations

import logging
import unittest
from types import SimpleNamespace
from typing import Any

import trio
import trio.testing
from prometheus_client import REGISTRY

from rhubarbfield.logs import JsonFormatter
from rhubarbfield.loopmonitor import (
    DELAYED_PASS,
    MAX_NAMED_TASKS,
    USAGE_INTERVAL,
    LoopMonitor,
)

DELAY_SECONDS = DELAYED_PASS.total_seconds()


def read_metric(suffix: str, **labels: str) -> float:
    value = REGISTRY.get_sample_value(
        f"rhubarbfield_loop_pass_seconds_{suffix}", labels
    )
    return value or 0.0


class LoopMonitorTest(unittest.TestCase):
    """The clock is virtual; a step takes the time by which it advances the clock."""

    def setUp(self) -> None:
        self.clock = trio.testing.MockClock()

    async def take(self, seconds: float) -> None:
        self.clock.jump(seconds)

    async def take_longer(self, seconds: float) -> None:
        self.clock.jump(seconds)

    async def take_twice(self, seconds: float) -> None:
        self.clock.jump(seconds)
        await trio.lowlevel.checkpoint()
        self.clock.jump(seconds)

    def run_tasks(self, *tasks: tuple[object, float]) -> list[logging.LogRecord]:
        """Run the tasks from one pass on, and return the records that were logged."""

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for function, seconds in tasks:
                    nursery.start_soon(function, seconds)

        monitor = LoopMonitor(self.clock.current_time)
        with self.assertLogs("rhubarbfield", "INFO") as logs:
            logging.getLogger("rhubarbfield").info("tasks-started")
            trio.run(run, clock=self.clock, instruments=[monitor])
        return logs.records[1:]

    def test_a_long_pass_names_the_tasks_that_took_most_of_it(self) -> None:
        (record,) = self.run_tasks(
            (self.take, 0.15), (self.take, 0.1), (self.take_longer, 0.5)
        )
        self.assertEqual(record.levelno, logging.WARNING)
        line = JsonFormatter().format(record)
        self.assertIn('"event":"loop-delayed","seconds":0.75,"steps":3', line)
        self.assertIn('"longest_step":0.5', line)
        name = f"{type(self).__qualname__}.take"
        tasks = f"{name}_longer 0.500 s in 1 steps, {name} 0.250 s in 2 steps"
        self.assertIn(f'"tasks":"{tasks}"', line)

    def test_few_tasks_are_named_and_never_by_the_name_that_a_caller_chose(
        self,
    ) -> None:
        async def take_a(seconds: float) -> None:
            await self.take(seconds)

        async def run() -> None:
            async with trio.open_nursery() as nursery:
                for function in (take_a, self.take, self.take_longer, self.take_twice):
                    nursery.start_soon(function, DELAY_SECONDS, name="job-7")

        monitor = LoopMonitor(self.clock.current_time)
        with self.assertLogs("rhubarbfield.loopmonitor", "WARNING") as logs:
            trio.run(run, clock=self.clock, instruments=[monitor])
        lines = [JsonFormatter().format(record) for record in logs.records]
        self.assertEqual(lines[0].count(" s in 1 steps"), MAX_NAMED_TASKS)
        self.assertNotIn("job-7", "".join(lines))

    def test_short_passes_are_counted_and_not_logged(self) -> None:
        below = DELAY_SECONDS * 0.9
        passes, seconds = read_metric("count"), read_metric("sum")
        in_bucket = read_metric("bucket", le="0.25")
        self.assertEqual(self.run_tasks((self.take_twice, below)), [])
        self.assertAlmostEqual(read_metric("sum") - seconds, 2 * below)
        self.assertGreater(read_metric("count") - passes, 2)
        self.assertEqual(
            read_metric("bucket", le="0.25") - in_bucket, read_metric("count") - passes
        )

    def test_a_wait_for_io_is_not_part_of_a_pass(self) -> None:
        now = 0.0
        monitor = LoopMonitor(lambda: now)
        seconds, passes = read_metric("sum"), read_metric("count")
        with self.assertNoLogs("rhubarbfield", "INFO"):
            monitor.before_io_wait(1.0)
            now += 1.0
            for _ in range(2):
                monitor.after_io_wait(1.0)
                now += 0.01
                monitor.before_io_wait(1.0)
                now += 1.0
        self.assertAlmostEqual(read_metric("sum") - seconds, 0.02)
        self.assertEqual(read_metric("count") - passes, 2)

    def test_usage_is_logged_once_an_interval_with_the_tasks_that_took_most(
        self,
    ) -> None:
        interval = USAGE_INTERVAL.total_seconds()
        now = 0.0
        monitor = LoopMonitor(lambda: now)
        coroutines = [self.take(0.0), self.take_longer(0.0)]
        tasks: list[Any] = [SimpleNamespace(coro=coroutine) for coroutine in coroutines]
        names = [
            f"{type(self).__qualname__}.{name}" for name in ("take", "take_longer")
        ]
        counted = [self.read_task_seconds(name) for name in names]
        with self.assertLogs("rhubarbfield.loopmonitor", "INFO") as logs:
            for _ in range(4):
                now += interval / 3
                monitor.after_io_wait(1.0)
                for seconds, task in zip((0.01, 0.02), tasks, strict=True):
                    now += seconds
                    monitor.after_task_step(task)
                monitor.before_io_wait(1.0)
        (line,) = [JsonFormatter().format(record) for record in logs.records]
        self.assertIn('"event":"loop-usage","elapsed":10.09,"busy":0.09', line)
        self.assertIn('"passes":3,"steps":6', line)
        listed = f"{names[1]} 0.060 s in 3 steps, {names[0]} 0.030 s in 3 steps"
        self.assertIn(f'"tasks":"{listed}"', line)
        self.assertAlmostEqual(self.read_task_seconds(names[0]) - counted[0], 0.03)
        self.assertAlmostEqual(self.read_task_seconds(names[1]) - counted[1], 0.06)
        for coroutine in coroutines:
            coroutine.close()

    def read_task_seconds(self, function: str) -> float:
        value = REGISTRY.get_sample_value(
            "rhubarbfield_loop_task_seconds_total", {"function": function}
        )
        return value or 0.0


if __name__ == "__main__":
    unittest.main()
