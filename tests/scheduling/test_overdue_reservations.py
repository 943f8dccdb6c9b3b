"""Tests of reserved workers whose runs go on for longer than was estimated."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.model import Step
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.test_reservations import (
    PIECES,
    WAITING_SECONDS,
    BusyFleet,
    list_workers,
    with_fleet,
)
from tests.scheduling.test_standstills import (
    LARGE,
    SETTINGS,
    SHORT,
    TASK,
    TIME_STEP,
    TOLERATED_SECONDS,
    TWO_CORES,
)

SLOW_TASK_SECONDS = timedelta(seconds=60)
ESTIMATE_MS = 3000
OVERDUE_SECONDS = 2.5


class OverdueReservationTest(unittest.TestCase):
    @with_deployment(slowdown_goal=100.0)
    async def test_task_does_not_wait_for_a_worker_whose_runs_do_not_end(
        self, deployment: Deployment
    ) -> None:
        """Overdue runs made that worker the first choice, and the only one."""
        deployment.settings = SETTINGS
        first = deployment.add_worker("w9", duration=None, capacity=LARGE)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=LARGE, standing=True))
            await trio.sleep(1)
            slow = deployment.add_worker("w0", duration=SLOW_TASK_SECONDS)
            await trio.sleep(0.5)
            step = Step(tasks=4, demand=TWO_CORES, estimate_ms=1000)
            await deployment.submit("h", step)
            await trio.sleep(0.5)
            self.assertEqual(len(slow.runs), 4)
            workers = [
                deployment.add_worker(f"w{number}", duration=SHORT)
                for number in range(1, 4)
            ]
            await trio.sleep(0.5)
            for name in ("k1", "k2", "k3", "k4"):
                await deployment.submit(name, Step(tasks=3, demand=TWO_CORES))
                await trio.sleep(SHORT.total_seconds() / 4)
            for number in range(60):
                step = Step(tasks=20, demand=TWO_CORES, estimate_ms=1000)
                await deployment.submit(f"l{number}", step)
            first.capacity = ONE_CORE  # of its next life
            deployment.fleet.restart_delay = timedelta(seconds=0.1)
            deployment.fleet.crash(first)
            began = trio.current_time()
            while not any(TASK in worker.runs for worker in workers):
                await trio.sleep(TIME_STEP)
                took = trio.current_time() - began
                self.assertLess(took, TOLERATED_SECONDS)

    async def reserve_overdue(self, busy: BusyFleet) -> WorkerId:
        """Reserve a worker, and wait until the runs of all workers are overdue."""
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        await busy.run_rounds(OVERDUE_SECONDS)
        return reserved

    def restart_runs(self, busy: BusyFleet, *but: WorkerId) -> WorkerId:
        """Let the runs of another worker have begun just now; return it."""
        other = next(each for each in busy.workers[4:] if each.worker not in but)
        session = busy.fleet.sessions[other.worker]
        for task, run in other.runs.items():
            now = busy.fleet.clock.monotonic()
            session._ledger.record_order(RunKey(task, run), now)
        return other.worker

    @with_fleet(estimate_ms=ESTIMATE_MS)
    async def test_one_worker_is_kept_while_all_are_as_overdue(
        self, busy: BusyFleet
    ) -> None:
        reserved = await self.reserve_overdue(busy)
        self.assertEqual(busy.list_reserved(), [reserved])

    @with_fleet(estimate_ms=ESTIMATE_MS)
    async def test_worker_with_room_sooner_is_kept_beside_one_that_is_overdue(
        self, busy: BusyFleet
    ) -> None:
        reserved = await self.reserve_overdue(busy)
        other = self.restart_runs(busy, reserved)
        await busy.run_rounds(1)
        self.assertEqual(busy.list_reserved(), [reserved, other])
        await busy.run_rounds(ESTIMATE_MS / MS_PER_SECOND + OVERDUE_SECONDS)
        self.restart_runs(busy, reserved, other)
        await busy.run_rounds(1)
        self.assertEqual(busy.list_reserved(), [reserved, other])

    @with_fleet(estimate_ms=ESTIMATE_MS)
    async def test_worker_whose_runs_are_overdue_is_not_the_first_choice(
        self, busy: BusyFleet
    ) -> None:
        await busy.run_rounds(2 * ESTIMATE_MS / MS_PER_SECOND)
        other = self.restart_runs(busy, busy.workers[4].worker)
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [other])

    @with_fleet(estimate_ms=ESTIMATE_MS)
    async def test_task_starts_on_the_overdue_worker_if_that_has_room_first(
        self, busy: BusyFleet
    ) -> None:
        reserved = await self.reserve_overdue(busy)
        self.restart_runs(busy, reserved)
        await busy.run_rounds(1)
        busy.end_runs(reserved, PIECES)
        self.assertEqual(list_workers(await busy.run_rounds(0.25)), [reserved])
        await busy.run_rounds(0.25)
        self.assertEqual(busy.list_reserved(), [])


if __name__ == "__main__":
    unittest.main()
