"""Tests of steps that no worker could take, and of when they are tried again."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest import mock

import msgspec

from rhubarbfield.scheduling import candidates, rejected_steps
from rhubarbfield.scheduling.commands import (
    EndedRun,
    EndRuns,
    PutConfiguration,
    RunStart,
    WorkerEnds,
)
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.model import Demand, Step, name_task
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE
from tests.scheduling.fleets import LATE_QUEUE, SERVICES, Fleet
from tests.scheduling.test_rounds import make_spare_core_step

WORKERS = 30
LARGE = Step(tasks=2, demand=Demand(7000, 30_000), estimate_ms=800)
MOMENT = timedelta(milliseconds=10)


async def fill(fleet: Fleet) -> None:
    """Start a task on each worker, beside which a large one does not fit."""
    workers = fleet.state.workers.values()
    members = sum(worker.service == QUEUE.service for worker in workers)
    step = Step(tasks=members, demand=Demand(8000, 50_000), max_per_worker=1)
    fleet.submit(step)
    if len(await fleet.run_round()) < members:
        raise AssertionError("some workers are not occupied")


def end_runs(fleet: Fleet, worker: WorkerId) -> None:
    """End all runs of a worker successfully."""
    ends = tuple(
        EndedRun(task, run, RunEnd.DONE)
        for task, run in fleet.state.workers[worker].runs.items()
    )
    fleet.apply(EndRuns(workers=(WorkerEnds(worker, ends),)))


@contextmanager
def simulate_harm(harmed: set[WorkerId]) -> Iterator[list[WorkerId]]:
    """Let steps on spare cores harm some workers; yields the workers compared."""
    compared: list[WorkerId] = []

    def compare(step: Step, headroom: WorkerHeadroom, model: Any) -> bool:
        compared.append(headroom.worker.worker)
        return not step.uses_spare_cores or headroom.worker.worker not in harmed

    with (
        mock.patch.object(candidates, "admits", compare),
        mock.patch.object(rejected_steps, "admits", compare),
    ):
        yield compared


def list_workers(starts: tuple[RunStart, ...]) -> set[WorkerId]:
    return {start.worker for start in starts}


class ReservedCoresTest(unittest.TestCase):
    def test_step_starts_on_a_worker_whose_runs_have_ended(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            await fill(fleet)
            job = fleet.submit(LARGE)
            self.assertEqual(await fleet.run_round(), ())
            self.assertEqual(await fleet.run_round(), ())
            for worker in list(fleet.state.workers):
                end_runs(fleet, worker)
            tasks = [start.task for start in await fleet.run_round()]
            for index in range(LARGE.tasks):
                self.assertIn(name_task(job, 0, 0, index), tasks)

        run_deterministic(check, seed=1)

    def test_step_starts_on_a_new_worker(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            await fill(fleet)
            fleet.submit(LARGE)
            await fleet.run_round()
            worker = next(iter(fleet.state.workers))
            session = fleet.sessions.pop(worker)
            fleet.state.workers[worker].runs.clear()
            self.assertEqual(await fleet.run_round(), ())
            fleet.sessions[worker] = session
            self.assertEqual(list_workers(await fleet.run_round()), {worker})

        run_deterministic(check, seed=1)

    def test_step_starts_after_the_quarantine_of_a_worker(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            await fill(fleet)
            worker = next(iter(fleet.state.workers))
            fleet.state.workers[worker].runs.clear()
            fleet.leader._quarantine.record_stall(worker, fleet.clock.monotonic())
            fleet.submit(LARGE)
            self.assertEqual(await fleet.run_round(), ())
            fleet.clock.advance(fleet.settings.quarantine_duration)
            for session in fleet.sessions.values():
                session.handle_report(None)
            self.assertEqual(list_workers(await fleet.run_round()), {worker})

        run_deterministic(check, seed=1)

    def test_step_starts_on_workers_of_another_service_of_its_queue(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            await fill(fleet)
            fleet.submit(LARGE)
            self.assertEqual(await fleet.run_round(), ())
            moved = msgspec.structs.replace(QUEUE, service=SERVICES[1])
            configuration = msgspec.structs.replace(
                fleet.state.configuration, version=2, queues=(moved,)
            )
            fleet.apply(PutConfiguration(configuration=configuration))
            self.assertEqual(len(await fleet.run_round()), LARGE.tasks)

        run_deterministic(check, seed=1)


class SpareCoresTest(unittest.TestCase):
    def test_step_that_would_harm_is_compared_again_after_a_while(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            harmed = set(fleet.state.workers)
            with simulate_harm(harmed) as compared:
                fleet.submit(make_spare_core_step(tasks=1))
                self.assertEqual(await fleet.run_round(), ())
                harmed.clear()
                fleet.leader._interference.version += 1  # as after a view
                compared.clear()
                fleet.clock.advance(MOMENT)
                self.assertEqual(await fleet.run_round(), ())
                self.assertEqual(compared, [])
                fleet.clock.advance(fleet.settings.margin_lifetime)
                self.assertEqual(len(await fleet.run_round()), 1)

        run_deterministic(check, seed=1)

    def test_step_that_would_harm_does_not_wait_longer_beside_an_alike_one(
        self,
    ) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            harmed = set(fleet.state.workers)
            half = fleet.settings.margin_lifetime / 2
            with simulate_harm(harmed):
                fleet.submit(Step(demand=Demand(1000, 1000)))
                (changed,) = list_workers(await fleet.run_round())
                step = make_spare_core_step(tasks=1)
                job = fleet.submit(step, queue=LATE_QUEUE.name)
                await fleet.run_round()
                fleet.clock.advance(half)
                # It is ranked first, and fills the only worker that has changed.
                fleet.submit(msgspec.structs.replace(step, tasks=200))
                await fleet.run_round()
                harmed.clear()
                fleet.leader._interference.version += 1  # as after a view
                end_runs(fleet, changed)
                fleet.clock.advance(half)
                starts = await fleet.run_round()
            self.assertIn(name_task(job, 0, 0, 0), [each.task for each in starts])

        run_deterministic(check, seed=1)

    def test_step_that_would_harm_is_compared_at_once_with_a_changed_worker(
        self,
    ) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            with simulate_harm(set(fleet.state.workers)) as compared:
                fleet.submit(Step(tasks=3, demand=Demand(1000, 1000)))
                occupied = list_workers(await fleet.run_round())
                fleet.submit(make_spare_core_step(tasks=1))
                self.assertEqual(await fleet.run_round(), ())
                compared.clear()
                fleet.clock.advance(MOMENT)
                changed = min(occupied)
                end_runs(fleet, changed)
                await fleet.run_round()
            self.assertEqual(compared, [changed])

        run_deterministic(check, seed=1)


if __name__ == "__main__":
    unittest.main()
