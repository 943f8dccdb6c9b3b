"""Tests of workers that are reserved for interrupted standing tasks."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta
from functools import partial, wraps
from typing import Any
from unittest import mock

from rhubarbfield.scheduling import reservations
from rhubarbfield.scheduling.backlog import Backlog
from rhubarbfield.scheduling.commands import EndedRun, EndRuns, RunStart, WorkerEnds
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    QueueName,
    RunNumber,
    Step,
)
from rhubarbfield.scheduling.presence import RunPresence
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.reservations import Reservations
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import JobId, WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import LATE_QUEUE, OTHER_QUEUE
from tests.scheduling.interruptions import Interruption, play_interruption
from tests.scheduling.test_candidates import CAPACITY, make_fleet
from tests.scheduling.test_rounds import count_calls

WORKERS = 40
PIECES = 4
PIECE = Demand(4000, 1000)
LONG = Step(demand=PIECE, estimate_ms=9000)
BRIEF = Step(demand=PIECE, estimate_ms=500)
STANDING = Step(demand=CAPACITY, standing=True)
ROUND_INTERVAL = 0.25
WAITING_SECONDS = 2.5  # after it a worker is reserved
CLOSING_SECONDS = 4.5  # after it nothing more is backfilled


class BusyFleet:
    """Workers that are full of finite tasks, beside a service of four workers.

    Parameters
    ----------
    estimate_ms
        Estimate of the tasks' duration in ms.
    """

    def __init__(self, estimate_ms: int = 8000) -> None:
        self.fleet = make_fleet()
        self.workers = list(self.fleet.state.workers.values())
        for worker in self.workers[:4]:
            worker.service = OTHER_QUEUE.service
        self._step = Step(demand=PIECE, estimate_ms=estimate_ms)

    async def fill(self) -> None:
        for queue, members in ((QUEUE, WORKERS - 4), (OTHER_QUEUE, 4)):
            for _ in range(PIECES * members):
                self.fleet.submit(self._step, queue=queue.name)
        if len(await self.run_rounds(1)) != PIECES * WORKERS:
            raise AssertionError("the fleet is not full")

    async def run_rounds(self, seconds: float) -> list[RunStart]:
        """Run rounds at intervals for some time; return all starts."""
        starts: list[RunStart] = []
        for _ in range(int(seconds / ROUND_INTERVAL)):
            self.fleet.clock.advance(timedelta(seconds=ROUND_INTERVAL))
            starts.extend(await self.run_round())
        return starts

    async def run_round(self) -> list[RunStart]:
        """Run one round; its starts reach their workers at once."""
        fleet = self.fleet
        for session in fleet.sessions.values():
            session.handle_report(None)
        starts = await fleet.run_round()
        for start in starts:
            session = fleet.sessions[start.worker]
            key = RunKey(start.task, start.run)
            session._ledger.record_order(key, fleet.clock.monotonic())
        return list(starts)

    def interrupt(
        self, step: Step = STANDING, queue: QueueName = QUEUE.name, count: int = 1
    ) -> JobId:
        """Submit a standing job of which some tasks have worked and do not now."""
        job = self.fleet.submit(step, queue=queue)
        for task in self.fleet.state.jobs[job].occurrences[0][0].tasks[:count]:
            task.last_run = RunNumber(1)
        return job

    def submit(self, step: Step, count: int, queue: QueueName = QUEUE.name) -> None:
        for _ in range(count):
            self.fleet.submit(step, queue=queue)

    def end_runs(self, worker: WorkerId, count: int) -> None:
        """End some runs of a worker successfully."""
        runs = list(self.fleet.state.workers[worker].runs.items())[:count]
        ends = tuple(EndedRun(task, run, RunEnd.DONE) for task, run in runs)
        self.fleet.apply(EndRuns(workers=(WorkerEnds(worker, ends),)))

    def end_run_everywhere(self) -> None:
        """End one run of each worker."""
        for worker in self.workers:
            self.end_runs(worker.worker, 1)

    def list_reserved(self) -> list[WorkerId]:
        return list(self.fleet.leader._reservations._reserved)

    def get_reserved(self) -> WorkerId:
        (worker,) = self.list_reserved()
        return worker


def with_fleet(
    **options: Any,
) -> Callable[[Callable[[Any, BusyFleet], Awaitable[None]]], Callable[[Any], None]]:
    """Return a decorator that runs a test with a busy fleet."""

    def decorate(
        test: Callable[[Any, BusyFleet], Awaitable[None]],
    ) -> Callable[[Any], None]:
        @wraps(test)
        def run(case: Any) -> None:
            async def check() -> None:
                busy = BusyFleet(**options)
                await busy.fill()
                await test(case, busy)

            run_deterministic(check, seed=1)

        return run

    return decorate


def list_workers(starts: list[RunStart]) -> list[WorkerId]:
    return [start.worker for start in starts]


class ReservationTest(unittest.TestCase):
    @with_fleet()
    async def test_all_room_is_used_until_a_task_has_waited(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        await busy.run_rounds(1.75)
        busy.end_run_everywhere()
        busy.submit(LONG, WORKERS - 4)
        self.assertEqual(len(await busy.run_rounds(0.25)), WORKERS - 4)
        self.assertEqual(busy.list_reserved(), [])

    @with_fleet()
    async def test_one_worker_is_kept_for_a_task_that_has_waited(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        busy.end_run_everywhere()
        busy.submit(LONG, WORKERS)
        starts = await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(len(starts), WORKERS - 4 - 1)
        self.assertNotIn(busy.get_reserved(), list_workers(starts))

    @with_fleet()
    async def test_worker_with_room_soonest_is_kept(self, busy: BusyFleet) -> None:
        await busy.run_rounds(1)
        busy.end_runs(busy.workers[7].worker, PIECES)
        busy.submit(BRIEF, PIECES)
        self.assertEqual(len(await busy.run_rounds(0.25)), PIECES)
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [busy.workers[7].worker])

    @with_fleet()
    async def test_same_worker_is_kept_although_another_has_room_sooner(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        other = next(
            each.worker for each in busy.workers[4:] if each.worker != reserved
        )
        busy.end_runs(other, PIECES - 1)
        await busy.run_rounds(1)
        self.assertEqual(busy.get_reserved(), reserved)

    @with_fleet()
    async def test_task_starts_on_its_worker_once_it_has_room(
        self, busy: BusyFleet
    ) -> None:
        job = busy.interrupt()
        busy.submit(LONG, WORKERS)
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        for _ in range(PIECES - 1):
            busy.end_runs(reserved, 1)
            self.assertEqual(await busy.run_rounds(0.25), [])
        busy.end_runs(reserved, 1)
        self.assertEqual(
            await busy.run_rounds(0.25),
            [RunStart(f"{job}.0.0.0", RunNumber(2), reserved)],
        )
        await busy.run_rounds(0.25)
        self.assertEqual(busy.list_reserved(), [])

    @with_fleet()
    async def test_tasks_of_a_step_use_each_others_workers(
        self, busy: BusyFleet
    ) -> None:
        half = Demand(CAPACITY.millicores // 2, 1000)
        for position in range(2):
            with (
                self.subTest(position=position),
                mock.patch.object(reservations, "MAX_RESERVED_SHARE", 0.06),
            ):
                job = busy.interrupt(Step(tasks=2, demand=half, standing=True), count=2)
                await busy.run_rounds(WAITING_SECONDS)
                workers = busy.list_reserved()
                self.assertEqual(len(workers), 2)
                used = workers.pop(position)
                busy.end_runs(used, PIECES // 2)
                self.assertEqual(list_workers(await busy.run_rounds(0.25)), [used])
                await busy.run_rounds(0.25)
                self.assertEqual(busy.list_reserved(), workers)
                busy.fleet.cancel(job)
                await busy.run_rounds(0.25)

    @with_fleet()
    async def test_number_of_workers_kept_is_limited(self, busy: BusyFleet) -> None:
        for _ in range(WORKERS):
            busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(len(busy.list_reserved()), 1)  # a twentieth of 36

    @with_fleet()
    async def test_small_service_is_not_closed(self, busy: BusyFleet) -> None:
        for _ in range(4):
            busy.interrupt(queue=OTHER_QUEUE.name)
        await busy.run_rounds(WAITING_SECONDS)
        busy.end_run_everywhere()
        busy.submit(LONG, 4, OTHER_QUEUE.name)
        self.assertEqual(len(await busy.run_rounds(1)), 3)

    @with_fleet()
    async def test_task_that_waits_longest_comes_first(self, busy: BusyFleet) -> None:
        first = busy.interrupt()
        await busy.run_rounds(1)
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        (reserved,) = busy.fleet.leader._reservations._reserved.values()
        self.assertEqual(reserved.holder[0], first)

    @with_fleet()
    async def test_nothing_is_kept_for_a_task_that_needs_spare_cores(
        self, busy: BusyFleet
    ) -> None:
        step = Step(
            demand=CAPACITY,
            standing=True,
            image=ImageName("batch"),
            uses_spare_cores=True,
        )
        busy.interrupt(step)
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [])

    @with_fleet()
    async def test_nothing_is_kept_for_a_task_that_has_never_worked(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt(count=0)
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [])

    @with_fleet(estimate_ms=60_000)
    async def test_nothing_is_kept_where_room_comes_much_later(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(busy.list_reserved(), [])

    @with_fleet()
    async def test_worker_that_could_never_hold_a_task_is_not_kept(
        self, busy: BusyFleet
    ) -> None:
        for worker in busy.workers:
            busy.end_runs(worker.worker, 1)
        step = Step(tasks=WORKERS - 5, demand=PIECE, standing=True, max_per_worker=1)
        busy.fleet.submit(step)
        used = list_workers(await busy.run_rounds(0.25))
        busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        self.assertNotIn(busy.get_reserved(), used)


class ReleaseTest(unittest.TestCase):
    async def reserve(self, busy: BusyFleet) -> tuple[JobId, WorkerId]:
        """Let a worker be reserved, and give it a piece of free room."""
        job = busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        busy.end_runs(reserved, 1)
        busy.submit(LONG, 1)
        self.assertEqual(await busy.run_rounds(0.25), [])
        return job, reserved

    @with_fleet()
    async def test_room_is_free_again_once_the_job_is_cancelled(
        self, busy: BusyFleet
    ) -> None:
        job, reserved = await self.reserve(busy)
        busy.fleet.cancel(job)
        self.assertEqual(list_workers(await busy.run_rounds(0.25)), [reserved])

    @with_fleet()
    async def test_room_is_free_again_once_the_task_starts_elsewhere(
        self, busy: BusyFleet
    ) -> None:
        _, reserved = await self.reserve(busy)
        other = next(
            each.worker for each in busy.workers[4:] if each.worker != reserved
        )
        busy.end_runs(other, PIECES)
        self.assertEqual(list_workers(await busy.run_rounds(0.25)), [other])
        self.assertEqual(list_workers(await busy.run_rounds(0.25)), [reserved])

    @with_fleet()
    async def test_another_worker_is_kept_once_the_first_is_gone(
        self, busy: BusyFleet
    ) -> None:
        _, reserved = await self.reserve(busy)
        del busy.fleet.sessions[reserved]
        await busy.run_rounds(0.5)
        self.assertNotEqual(busy.get_reserved(), reserved)

    @with_fleet()
    async def test_another_worker_is_kept_once_the_first_drains(
        self, busy: BusyFleet
    ) -> None:
        _, reserved = await self.reserve(busy)
        busy.fleet.state.workers[reserved].draining = True
        await busy.run_rounds(0.5)
        self.assertNotEqual(busy.get_reserved(), reserved)

    @with_fleet()
    async def test_another_worker_is_kept_once_the_first_is_quarantined(
        self, busy: BusyFleet
    ) -> None:
        _, reserved = await self.reserve(busy)
        now = busy.fleet.clock.monotonic()
        busy.fleet.leader._quarantine.record_stall(reserved, now)
        await busy.run_rounds(0.5)
        self.assertNotEqual(busy.get_reserved(), reserved)

    @with_fleet()
    async def test_another_worker_is_kept_once_the_first_is_too_small(
        self, busy: BusyFleet
    ) -> None:
        _, reserved = await self.reserve(busy)
        busy.fleet.state.workers[reserved].capacity = Demand(14_000, 64_000)
        await busy.run_rounds(0.5)
        self.assertNotEqual(busy.get_reserved(), reserved)


class BackfillingTest(unittest.TestCase):
    async def start_beside(
        self,
        busy: BusyFleet,
        step: Step,
        *,
        holder: Step = STANDING,
        waited: float = WAITING_SECONDS,
    ) -> bool:
        """Return whether a task starts on a reserved worker with a free piece."""
        busy.interrupt(holder)
        await busy.run_rounds(waited)
        reserved = busy.get_reserved()
        busy.end_runs(reserved, 1)
        busy.submit(step, 1)
        starts = await busy.run_rounds(0.25)
        self.assertLessEqual(set(list_workers(starts)), {reserved})
        return bool(starts)

    @with_fleet()
    async def test_task_that_ends_before_starts(self, busy: BusyFleet) -> None:
        self.assertTrue(await self.start_beside(busy, BRIEF))

    @with_fleet()
    async def test_task_that_ends_later_does_not_start(self, busy: BusyFleet) -> None:
        self.assertFalse(await self.start_beside(busy, LONG))

    @with_fleet()
    async def test_task_without_an_estimate_does_not_start(
        self, busy: BusyFleet
    ) -> None:
        self.assertFalse(await self.start_beside(busy, Step(demand=PIECE)))

    @with_fleet(estimate_ms=1000)
    async def test_overdue_runs_are_expected_to_end_at_once(
        self, busy: BusyFleet
    ) -> None:
        self.assertFalse(await self.start_beside(busy, BRIEF))

    @with_fleet()
    async def test_nothing_that_ends_before_starts_close_to_the_bound(
        self, busy: BusyFleet
    ) -> None:
        started = await self.start_beside(busy, BRIEF, waited=CLOSING_SECONDS)
        self.assertFalse(started)

    @with_fleet()
    async def test_task_beside_the_standing_one_starts_at_any_time(
        self, busy: BusyFleet
    ) -> None:
        holder = Step(demand=Demand(8000, 1000), standing=True)
        busy.interrupt(holder)
        await busy.run_rounds(CLOSING_SECONDS)
        reserved = busy.get_reserved()
        busy.end_runs(reserved, 1)
        busy.submit(Step(demand=Demand(1000), standing=True), 4)
        busy.submit(LONG, 1)
        self.assertEqual(await busy.run_rounds(0.25), [])
        # Beside the standing task 2 cores are left over once another run has ended.
        worker = busy.fleet.state.workers[reserved]
        worker.capacity = Demand(18_000, 64_000)
        self.assertEqual(len(await busy.run_rounds(0.5)), 2)
        self.assertEqual(busy.get_reserved(), reserved)

    @with_fleet()
    async def test_more_urgent_queue_is_not_held_up(self, busy: BusyFleet) -> None:
        busy.interrupt(queue=LATE_QUEUE.name)
        await busy.run_rounds(WAITING_SECONDS)
        reserved = busy.get_reserved()
        busy.end_runs(reserved, 1)
        busy.submit(LONG, 1, LATE_QUEUE.name)
        self.assertEqual(await busy.run_rounds(0.25), [])
        busy.submit(LONG, 1)
        self.assertEqual(list_workers(await busy.run_rounds(0.25)), [reserved])


class CostTest(unittest.TestCase):
    @with_fleet()
    async def test_nothing_is_looked_at_while_no_task_has_waited(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        busy.submit(LONG, WORKERS)
        with count_calls(RunPresence, "find_start") as calls:
            await busy.run_rounds(1.75)
        self.assertEqual(calls.count, 0)

    @with_fleet(estimate_ms=60_000)
    async def test_runs_are_looked_at_once_in_a_while(self, busy: BusyFleet) -> None:
        for _ in range(WORKERS):
            busy.interrupt()
        await busy.run_rounds(WAITING_SECONDS)
        with (
            count_calls(RunPresence, "find_start") as calls,
            count_calls(Reservations, "_rank") as ranks,
        ):
            for _ in range(10):
                busy.fleet.clock.advance(timedelta(milliseconds=25))
                await busy.run_round()
        self.assertLessEqual(calls.count, PIECES * WORKERS)
        self.assertLessEqual(ranks.count, 4)

    @with_fleet()
    async def test_steps_that_no_worker_can_take_are_not_ranked(
        self, busy: BusyFleet
    ) -> None:
        busy.interrupt()
        busy.submit(LONG, WORKERS)
        await busy.run_rounds(WAITING_SECONDS)
        self.assertEqual(len(busy.list_reserved()), 1)
        with count_calls(Backlog, "rank") as ranks:
            await busy.run_rounds(0.25)
        self.assertEqual(ranks.count, 0)


class SaturatedSiteTest(unittest.TestCase):
    """A standing task loses its worker while finite tasks wait for every core."""

    SEED = 17
    TOLERATED_SECONDS = 6.0
    MIN_WORK_SHARE = 0.98

    def play(self) -> Interruption:
        play = partial(play_interruption, workers=8, lost=1, seconds=14.0)
        return run_deterministic(partial(play, self.SEED), self.SEED)

    def test_task_starts_in_time_and_finite_tasks_lose_only_what_it_takes(
        self,
    ) -> None:
        never = timedelta(days=1)
        with mock.patch.object(reservations, "RESERVATION_DELAY", never):
            without = self.play()
        self.assertGreater(max(without.waits), self.TOLERATED_SECONDS)
        outcome = self.play()
        self.assertLess(max(outcome.waits), self.TOLERATED_SECONDS)
        left = outcome.finite_work + outcome.standing_work
        before = without.finite_work + without.standing_work
        self.assertGreaterEqual(left, self.MIN_WORK_SHARE * before)


if __name__ == "__main__":
    unittest.main()
