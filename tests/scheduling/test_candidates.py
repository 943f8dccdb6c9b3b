"""Tests of which worker is chosen for a task."""

from __future__ import annotations

import math
import unittest
from collections.abc import Collection

from rhubarbfield.scheduling.candidates import RESERVED_WORKERS_SHARE, Candidates
from rhubarbfield.scheduling.commands import RunStart
from rhubarbfield.scheduling.headroom import WaitingStep, WorkerHeadroom
from rhubarbfield.scheduling.interference import InterferenceModel, LatencyMargin
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    QueueName,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.rejected_steps import RejectedSteps
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import GOAL_MS, LATE_QUEUE, OTHER_QUEUE, Fleet

WORKERS = 40
CAPACITY = Demand(16000, 64000)


def make_fleet() -> Fleet:
    """Return a fleet of alike workers of one service."""
    fleet = Fleet(1, WORKERS)
    for worker in fleet.state.workers.values():
        worker.service = QUEUE.service
        worker.capacity = CAPACITY
    return fleet


class TrialTest(unittest.TestCase):
    """The workers have answered no start, so that any of their runs may be fresh."""

    def submit_suspect(self, fleet: Fleet) -> str:
        job = fleet.submit(Step(demand=Demand(1000), estimate_ms=1000))
        fleet.state.jobs[job].occurrences[0][0].tasks[0].blame = 100
        return f"{job}.0.0.0"

    def test_suspect_starts_beside_runs_that_have_just_started(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            small = Step(tasks=WORKERS - 1, demand=Demand(500), estimate_ms=1000)
            fleet.submit(small)
            used = {start.worker for start in await fleet.run_round()}
            (unused,) = fleet.state.workers.keys() - used
            # By load alone the other workers would suit better.
            fleet.submit(Step(demand=Demand(500), estimate_ms=1, standing=True))
            suspect = self.submit_suspect(fleet)
            starts = {each.task: each.worker for each in await fleet.run_round()}
            self.assertEqual(starts[TaskName(suspect)], unused)

        run_deterministic(check, seed=1)

    def test_nothing_starts_any_more_where_suspects_are_everywhere(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            for _ in range(WORKERS):
                self.submit_suspect(fleet)
            self.assertEqual(len(await fleet.run_round()), WORKERS)
            fleet.leader._suspects.find_all()
            fleet.submit(Step(tasks=WORKERS, demand=Demand(500), estimate_ms=1000))
            self.assertEqual(len(await fleet.run_round()), WORKERS)

        run_deterministic(check, seed=1)

    def test_others_start_beside_a_suspect_before_it_is_proven(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            suspect = self.submit_suspect(fleet)
            small = Step(tasks=3 * WORKERS, demand=Demand(500), estimate_ms=1000)
            fleet.submit(small)
            starts = list(await fleet.run_round())
            fleet.leader._suspects.find_all()
            fleet.submit(small)
            starts += await fleet.run_round()
            (tried_on,) = (each.worker for each in starts if each.task == suspect)
            beside = [each.task for each in starts if each.worker == tried_on]
            self.assertEqual(beside, [suspect])

        run_deterministic(check, seed=1)


class KeptRoomTest(unittest.TestCase):
    def submit_interrupted(self, fleet: Fleet, step: Step, queue: QueueName) -> None:
        job = fleet.submit(step, queue=queue)
        fleet.state.jobs[job].occurrences[0][0].tasks[0].last_run = RunNumber(1)

    def test_room_is_kept_on_few_workers_of_a_small_service(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            small = list(fleet.state.workers.values())[:4]
            for worker in small:
                worker.service = OTHER_QUEUE.service
            used = Step(tasks=4, demand=Demand(2000), max_per_worker=1)
            fleet.submit(used, queue=OTHER_QUEUE.name)
            self.assertEqual(len(await fleet.run_round()), 4)
            large = Step(demand=Demand(15000), standing=True)
            for _ in small:
                self.submit_interrupted(fleet, large, OTHER_QUEUE.name)
            fleet.submit(Step(tasks=4, demand=Demand(1000)), queue=OTHER_QUEUE.name)
            self.assertEqual(len(await fleet.run_round()), 4)

        run_deterministic(check, seed=1)

    def test_no_room_is_kept_for_a_task_that_needs_spare_cores(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            serving = Step(
                tasks=WORKERS,
                demand=Demand(14000),
                standing=True,
                image=ImageName("serving"),
                tail_goal_ms=GOAL_MS,
                max_per_worker=1,
            )
            fleet.submit(serving)
            self.assertEqual(len(await fleet.run_round()), WORKERS)
            spare = Step(
                demand=Demand(16000, 1000),
                standing=True,
                image=ImageName("batch"),
                uses_spare_cores=True,
            )
            self.submit_interrupted(fleet, spare, QUEUE.name)
            fleet.submit(Step(tasks=2 * WORKERS, demand=Demand(1000)))
            self.assertEqual(len(await fleet.run_round()), 2 * WORKERS)

        run_deterministic(check, seed=1)


class ReservedWorkersTest(unittest.TestCase):
    def count_reserved(self) -> int:
        return math.ceil(WORKERS * RESERVED_WORKERS_SHARE)

    async def run_rounds(self, fleet: Fleet) -> list[RunStart]:
        starts: list[RunStart] = []
        while new := await fleet.run_round():
            starts.extend(new)
        return starts

    def list_unused(self, fleet: Fleet) -> list[str]:
        return [each.worker for each in fleet.state.workers.values() if not each.runs]

    def submit_standing(self, fleet: Fleet, tasks: int) -> None:
        """Submit tasks of as many images as there are workers."""
        for number in range(WORKERS):
            fleet.submit(
                Step(
                    tasks=tasks,
                    demand=Demand(2000, 1000),
                    standing=True,
                    image=ImageName(f"image-{number}"),
                    tail_goal_ms=GOAL_MS,
                )
            )

    def test_large_finite_task_fits_beside_standing_work(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            self.submit_standing(fleet, tasks=4)
            await self.run_rounds(fleet)
            kept = self.count_reserved()
            self.assertGreaterEqual(len(self.list_unused(fleet)), kept)
            fleet.submit(Step(tasks=kept, demand=Demand(12000), estimate_ms=1000))
            self.assertEqual(len(await fleet.run_round()), kept)

        run_deterministic(check, seed=1)

    def test_standing_task_uses_a_reserved_worker_if_no_other_has_capacity(
        self,
    ) -> None:
        async def check() -> None:
            fleet = make_fleet()
            self.submit_standing(fleet, tasks=8)
            self.assertEqual(len(await self.run_rounds(fleet)), 8 * WORKERS)
            self.assertEqual(self.list_unused(fleet), [])

        run_deterministic(check, seed=1)

    def test_small_finite_tasks_leave_unused_workers_to_large_ones(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            self.submit_standing(fleet, tasks=4)
            await self.run_rounds(fleet)
            unused = self.list_unused(fleet)
            fleet.submit(Step(tasks=WORKERS, demand=Demand(4000), estimate_ms=1000))
            await self.run_rounds(fleet)
            self.assertEqual(self.list_unused(fleet), unused)

        run_deterministic(check, seed=1)

    def test_finite_tasks_do_not_gather_on_one_unused_worker(self) -> None:
        """A worker receives its orders one after the other."""

        async def check() -> None:
            fleet = make_fleet()
            fleet.submit(Step(tasks=WORKERS, demand=Demand(1000), estimate_ms=1000))
            await self.run_rounds(fleet)
            self.assertEqual(self.list_unused(fleet), [])

        run_deterministic(check, seed=1)

    def test_order_of_steps_does_not_decide_who_uses_reserved_workers(self) -> None:
        """A finite and a standing step of the same demand shared one ranking."""

        async def check() -> None:
            fleet = make_fleet()
            demand = Demand(2000, 1000)
            finite = fleet.submit(Step(tasks=1, demand=demand, estimate_ms=1000))
            standing = fleet.submit(
                Step(tasks=20, demand=demand, standing=True), queue=LATE_QUEUE.name
            )
            starts = await self.run_rounds(fleet)
            reserved = sorted(fleet.state.workers)[: self.count_reserved()]
            used = {start.worker for start in starts if start.task.startswith(standing)}
            self.assertEqual(len(starts), 21)
            self.assertTrue(starts[0].task.startswith(finite))
            self.assertFalse(used & set(reserved))

        run_deterministic(check, seed=1)

    def test_standing_work_without_goals_leaves_large_pieces(self) -> None:
        """It was spread by load, so that each worker kept a small piece."""

        async def check() -> None:
            fleet = make_fleet()
            for _ in range(WORKERS):
                fleet.submit(Step(tasks=4, demand=Demand(2000, 1000), standing=True))
            await self.run_rounds(fleet)
            self.assertEqual(len(self.list_unused(fleet)), WORKERS // 2)

        run_deterministic(check, seed=1)

    def test_tasks_without_accelerators_leave_them_to_others(self) -> None:
        async def check() -> None:
            fleet = make_fleet()
            for number, worker in enumerate(fleet.state.workers.values()):
                accelerators = int(number < 2)
                worker.capacity = Demand(16000, 64000, accelerators)
            fleet.submit(Step(tasks=20, demand=Demand(8000), estimate_ms=1000))
            fleet.submit(Step(tasks=2, demand=Demand(16000, 0, 1), estimate_ms=1000))
            self.assertEqual(len(await self.run_rounds(fleet)), 22)

        run_deterministic(check, seed=1)


class QuarantinedTest(unittest.TestCase):
    def test_task_on_spare_cores_probes_only_where_there_are_any(self) -> None:
        """It reserves no cores, so that room alone admitted it."""

        async def check() -> None:
            fleet = make_fleet()
            step = Step(demand=Demand(1000), standing=True, uses_spare_cores=True)
            job = fleet.state.jobs[fleet.submit(step)]
            waiting = WaitingStep(job, QUEUE, 0, 0)
            worker = next(iter(fleet.state.workers.values()))
            for spare_millicores, is_chosen in ((0, False), (1000, True)):
                headroom = WorkerHeadroom(worker, CAPACITY, spare_millicores)
                candidates = Candidates(
                    {}, InterferenceModel(), RejectedSteps(), [headroom]
                )
                chosen = candidates.choose_quarantined(
                    waiting, (), {}, is_interrupted=True
                )
                self.assertEqual(chosen is headroom, is_chosen)

        run_deterministic(check, seed=1)


class LeastHarmfulTest(unittest.TestCase):
    def choose(self, avoided: Collection[WorkerId]) -> WorkerId | None:
        """Choose among workers with 9, 0 and 4 spare cores, and a serving one."""
        fleet = make_fleet()
        step = Step(demand=Demand(1000, 1000), uses_spare_cores=True)
        job = fleet.state.jobs[fleet.submit(step)]
        workers = [fleet.state.workers[WorkerId(f"w{number}")] for number in range(4)]
        headrooms = {
            worker.worker: WorkerHeadroom(worker, CAPACITY, spare)
            for worker, spare in zip(workers, (9000, 0, 4000, 9000), strict=True)
        }
        margin = LatencyMargin(ImageName("serving"), 0.1)
        headrooms[workers[3].worker].known_margins = [margin]
        candidates = Candidates(headrooms, InterferenceModel(), RejectedSteps())
        waiting = WaitingStep(job, QUEUE, 0, 0)
        chosen = candidates.choose_least_harmful(waiting, avoided, {})
        return None if chosen is None else chosen.worker.worker

    def test_forced_task_takes_spare_cores_that_others_could_use(self) -> None:
        async def check() -> None:
            self.assertEqual(self.choose(()), WorkerId("w1"))

        run_deterministic(check, seed=1)

    def test_forced_task_fails_on_the_same_worker_again(self) -> None:
        async def check() -> None:
            self.assertEqual(self.choose({WorkerId("w1")}), WorkerId("w2"))
            unshared = [WorkerId(f"w{number}") for number in range(3)]
            self.assertEqual(self.choose(unshared), WorkerId("w3"))

        run_deterministic(check, seed=1)


if __name__ == "__main__":
    unittest.main()
