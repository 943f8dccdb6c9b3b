"""Tests of what placement rounds, housekeeping and views cost and decide."""

from __future__ import annotations

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest import mock

import msgspec
import trio

from rhubarbfield.clock import ManualClock, TrioClock
from rhubarbfield.scheduling import candidates, housekeeping
from rhubarbfield.scheduling.commands import RunStart, StartRuns
from rhubarbfield.scheduling.headroom import admits, has_cores
from rhubarbfield.scheduling.mitigation import InterferenceMitigator
from rhubarbfield.scheduling.model import (
    Demand,
    ImageName,
    Label,
    RunNumber,
    Step,
    name_task,
)
from rhubarbfield.scheduling.pacing import RoundPacer, Urgency
from rhubarbfield.scheduling.ports import WorkerView
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.types import WorkerId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import ONE_CORE, Deployment, with_deployment
from tests.scheduling.fleets import (
    BATCH_IMAGES,
    GOAL_MS,
    LATE_QUEUE,
    RACKS,
    SERVING_IMAGES,
    Fleet,
)

WORKERS = 246
ROUNDS = 25
# No step that would harm is left out while the model changes.
EXACT_MARGINS = SchedulingSettings(margin_lifetime=timedelta())


class Calls:
    """Number of calls of a function."""

    def __init__(self) -> None:
        self.count = 0


@contextmanager
def count_calls(owner: type, name: str) -> Iterator[Calls]:
    """Count the calls of a method, or the reads of a property, in the block."""
    calls = Calls()
    original: Any = owner.__dict__[name]
    function = original.fget if isinstance(original, property) else original

    def count(*arguments: Any, **options: Any) -> Any:
        calls.count += 1
        return function(*arguments, **options)

    replacement = property(count) if isinstance(original, property) else count
    with mock.patch.object(owner, name, replacement):
        yield calls


def make_spare_core_step(**changes: Any) -> Step:
    options = {
        "tasks": 40,
        "demand": Demand(1000, 500),
        "estimate_ms": 1000,
        "image": BATCH_IMAGES[0],
        "uses_spare_cores": True,
    }
    return Step(**{**options, **changes})


class DecisionsTest(unittest.TestCase):
    def test_rounds_start_what_a_full_recomputation_starts(self) -> None:
        for seed in range(6):
            with self.subTest(seed=seed):
                run_deterministic(lambda seed=seed: self._compare(seed), seed=1)

    async def _compare(self, seed: int) -> None:
        fleet, reference = (Fleet(seed, 40, EXACT_MARGINS) for _ in range(2))
        started = 0
        for each in (fleet, reference):
            each.submit_serving(30)
            for _ in range(30):
                each.submit_batch()
        for _ in range(ROUNDS):
            starts = await fleet.run_round()
            self.assertEqual(starts, await reference.run_reference_round())
            started += len(starts)
            fleet.disturb()
            reference.disturb()
        self.assertGreater(started, 400)

    def test_gang_takes_what_a_larger_one_could_not_use(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 4)  # with two accelerators each
            gang = Step(tasks=10, demand=Demand(1000, 1000, 1), gang=True)
            fleet.submit(gang)
            smaller = msgspec.structs.replace(gang, tasks=6)
            job = fleet.submit(smaller, queue=LATE_QUEUE.name)
            starts = await fleet.run_round()
            self.assertEqual(
                [start.task for start in starts],
                [name_task(job, 0, 0, index) for index in range(6)],
            )

        run_deterministic(check, seed=1)

    def test_steps_that_differ_in_one_preference_get_their_own_workers(self) -> None:
        for rack in RACKS:
            with self.subTest(rack=rack):
                run_deterministic(lambda rack=rack: self._compare_racks(rack), seed=1)

    async def _compare_racks(self, rack: Label) -> None:
        fleet, reference = Fleet(1, 40), Fleet(1, 40)
        for each in (fleet, reference):
            each.submit_serving(20)
            step = make_spare_core_step(tasks=2)
            for changes in (
                {},
                {"preferred_rack": rack},
                {"required_label": rack},
                {"image": BATCH_IMAGES[1]},
                {"demand": Demand(2000, 500)},
                {"uses_spare_cores": False},
                {"uses_spare_cores": False, "preferred_rack": rack},
                {"max_per_worker": 1},
            ):
                each.submit(msgspec.structs.replace(step, **changes))
        starts = await fleet.run_round()
        self.assertEqual(starts, await reference.run_reference_round())
        self.assertEqual(len(starts), 3 * 20 + 8 * 2)

    def test_headroom_is_what_a_full_recomputation_finds(self) -> None:
        async def compare() -> None:
            fleet = Fleet(3, 40)
            fleet.submit_serving(30)
            for _ in range(ROUNDS):
                fleet.submit_batch()
                await fleet.run_round()
                fleet.disturb()
                measured = fleet.leader.measure_headroom()
                for headroom in measured.values():
                    self.assertIsNotNone(headroom.margins)  # predicts them
                    headroom.predict_margins = list
                    headroom.count_unproven = int  # of the session, not the state
                self.assertEqual(measured, fleet.measure_reference())

        run_deterministic(compare, seed=1)


class CostTest(unittest.TestCase):
    def test_margins_are_predicted_only_where_a_task_has_room(self) -> None:
        """Half of the time of a measurement went into the margins of full workers."""

        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit_serving(250)
            for _ in range(4):
                await fleet.run_round()
            large = make_spare_core_step(tasks=2, demand=Demand(16_000))
            fleet.submit(large)
            with count_calls(InterferenceMitigator, "list_margins") as calls:
                await fleet.run_round()
            roomy = sum(
                has_cores(large, headroom)
                for headroom in fleet.measure_reference().values()
            )
            self.assertLess(roomy, WORKERS)
            self.assertLessEqual(calls.count, roomy)

        run_deterministic(check, seed=1)

    def test_alike_tasks_are_compared_once_for_each_worker(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit(make_spare_core_step())
            with mock.patch.object(candidates, "admits", wraps=admits) as compare:
                starts = await fleet.run_round()
            self.assertEqual(len(starts), 40)
            self.assertGreater(compare.call_count, 40)
            self.assertLessEqual(compare.call_count, WORKERS + 2 * len(starts))

        run_deterministic(check, seed=1)

    def test_alike_steps_that_fit_nowhere_are_compared_once(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            for _ in range(100):
                fleet.submit(make_spare_core_step())
            with mock.patch.object(candidates, "admits", return_value=False) as compare:
                self.assertEqual(await fleet.run_round(), ())
            self.assertGreater(compare.call_count, 0)
            self.assertLessEqual(compare.call_count, WORKERS)

        run_deterministic(check, seed=1)

    def test_ended_jobs_are_not_examined(self) -> None:
        async def count(ended: int) -> int:
            fleet = Fleet(1, 20)
            fleet.submit_serving(10)
            for _ in range(ended):
                fleet.cancel(fleet.submit_batch())
            await fleet.keep_house()
            await fleet.run_round()
            with count_calls(Job, "is_open") as calls:
                await fleet.keep_house()
                await fleet.run_round()
            return calls.count

        async def check() -> None:
            self.assertEqual(await count(400), await count(0))

        run_deterministic(check, seed=1)

    def test_view_looks_up_no_step_while_the_runs_are_the_same(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit_serving(250)
            fleet.submit(make_spare_core_step())
            await fleet.run_round()
            worker = next(each for each in fleet.state.workers.values() if each.runs)
            fleet.view(worker.worker)
            active = tuple(fleet.sessions[worker.worker].active.values())
            view = WorkerView(fleet.clock.monotonic(), active, (), truncated=False)
            with count_calls(SchedulingState, "find_step") as calls:
                session = fleet.sessions[worker.worker]
                await session._apply_view(view, dict(worker.runs), set())
            self.assertEqual(calls.count, 0)

        run_deterministic(check, seed=1)

    def test_headroom_is_measured_again_only_where_runs_changed(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit_serving(250)
            for _ in range(4):
                await fleet.run_round()
            fleet.leader.measure_headroom()
            fleet.end_runs(3)
            with count_calls(SchedulingState, "find_step") as calls:
                fleet.leader.measure_headroom()
            changed = sum(
                len(worker.runs)
                for worker in sorted(
                    fleet.state.workers.values(), key=lambda each: -len(each.runs)
                )[:3]
            )
            self.assertLessEqual(calls.count, changed)

        run_deterministic(check, seed=1)

    def test_steps_of_earlier_runs_are_not_looked_up_for_a_new_one(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit_serving(250)
            for _ in range(4):
                await fleet.run_round()
            fleet.leader.measure_headroom()
            fleet.submit(Step(tasks=3, demand=ONE_CORE, estimate_ms=800))
            starts = await fleet.run_round()
            self.assertEqual(len(starts), 3)
            with (
                count_calls(SchedulingState, "find_step") as lookups,
                count_calls(Demand, "minus") as sums,
            ):
                fleet.leader.measure_headroom()
            self.assertEqual((lookups.count, sums.count), (3, 0))

        run_deterministic(check, seed=1)

    def test_capacity_is_not_added_up_again_where_workers_guard_it(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.submit_serving(250)
            await fleet.run_round()
            fleet.leader.measure_headroom()
            with (
                count_calls(Demand, "minus") as sums,
                count_calls(WorkerSession, "list_unrecorded") as lists,
            ):
                fleet.leader.measure_headroom()
            self.assertEqual((sums.count, lists.count), (0, 0))

        run_deterministic(check, seed=1)

    def test_suspects_are_not_looked_for_on_each_worker_when_there_are_none(
        self,
    ) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            fleet.leader.measure_headroom()
            with count_calls(WorkerSession, "worker") as looks:
                fleet.leader.measure_headroom()
            self.assertEqual(looks.count, 0)

        run_deterministic(check, seed=1)

    @with_deployment()
    async def test_commit_without_a_worker_looks_at_no_session(
        self, deployment: Deployment
    ) -> None:
        for number in range(WORKERS):
            deployment.add_worker(f"w{number}")
        async with deployment.lead():
            await trio.sleep(1)
            with count_calls(WorkerSession, "address") as looks:
                await deployment.submit("j1", Step(demand=Demand(9000)))
                await deployment.cancel("j1")
                await trio.sleep(0.1)
            self.assertEqual(looks.count, 0)

    def test_records_without_a_change_are_not_examined_again(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            for _ in range(20):
                fleet.submit_batch()
            await fleet.keep_house()
            with (
                count_calls(WorkerSession, "last_contact_at") as contacts,
                mock.patch.object(housekeeping, "choose_due") as due,
            ):
                fleet.clock.advance(timedelta(milliseconds=100))
                await fleet.keep_house()
            self.assertEqual((contacts.count, due.call_count), (0, 0))

        run_deterministic(check, seed=1)


class TickingClock(ManualClock):
    """Clock of a machine on which each reading takes a millisecond."""

    def monotonic(self) -> timedelta:
        self.advance(timedelta(milliseconds=1))
        return super().monotonic()


class SlicesTest(unittest.TestCase):
    def test_other_tasks_run_between_the_parts_of_a_long_round(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 20)
            for number in range(300):
                fleet.submit(
                    make_spare_core_step(
                        tasks=2, image=ImageName(f"image-{number}"), demand=ONE_CORE
                    )
                )
            fleet.leader._clock = TickingClock(fleet.clock.monotonic())
            fleet.leader._backlog._clock = fleet.leader._clock
            turns = 0
            scope = trio.CancelScope()
            log = fleet.leader._log
            propose = log.propose

            async def take_turns() -> None:
                nonlocal turns
                with scope:
                    while True:
                        turns += 1
                        await trio.lowlevel.checkpoint()

            async def stop_turns(command: Any) -> Any:
                scope.cancel()
                return await propose(command)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(take_turns)
                with mock.patch.object(log, "propose", stop_turns):
                    starts = await fleet.run_round()
            self.assertGreater(len(starts), 100)
            self.assertGreater(turns, 5)

        run_deterministic(check, seed=1)

    def test_rounds_rest_for_as_long_as_they_chose(self) -> None:
        async def check() -> None:
            fleet = Fleet(1, 20)
            for _ in range(50):
                fleet.submit(make_spare_core_step(demand=Demand(1000, 90_000)))
            clock = fleet.leader._clock = TickingClock(fleet.clock.monotonic())
            fleet.leader._backlog._clock = clock
            pacer = fleet.leader._pacer = RoundPacer(TrioClock())
            durations: list[timedelta] = []

            def record(took: timedelta) -> None:
                durations.append(took)

            with (
                trio.move_on_after(0.05),
                mock.patch.object(pacer, "record_round", record),
            ):
                fleet.leader._request_round()
                await fleet.leader._run_rounds()
            (took,) = durations
            self.assertGreater(took, timedelta(milliseconds=100))
            pacer.record_round(took)
            pacer.request(Urgency.URGENT)
            began = trio.current_time()
            await pacer.wait()
            self.assertGreaterEqual(trio.current_time() - began, took.total_seconds())

        run_deterministic(check, seed=1)

    @with_deployment()
    async def test_stops_do_not_wait_for_the_commit_of_starts(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)

        async with deployment.lead() as leader:
            propose = leader._log.propose

            async def hold_starts(command: Any) -> Any:
                if isinstance(command, StartRuns):
                    await trio.sleep(2)
                return await propose(command)

            await deployment.submit("j1", Step(tasks=2, demand=ONE_CORE))
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 2)
            with mock.patch.object(leader._log, "propose", hold_starts):
                await deployment.submit("j2", Step(demand=ONE_CORE))
                await trio.sleep(0.1)
                await deployment.cancel("j1")
                await trio.sleep(0.5)
                self.assertEqual(len(worker.runs), 0)


class FullFleetViewTest(unittest.TestCase):
    def test_view_with_harm_measures_only_changed_workers(self) -> None:
        """A task that is over its goal makes the leader look for other workers."""

        async def check() -> None:
            fleet = Fleet(1, WORKERS)
            serving = fleet.submit(
                Step(
                    demand=ONE_CORE,
                    standing=True,
                    image=SERVING_IMAGES[0],
                    tail_goal_ms=GOAL_MS,
                )
            )
            batch = fleet.submit(make_spare_core_step(tasks=6, checkpoints=True))
            first = next(iter(fleet.state.workers))
            tasks = [name_task(serving, 0, 0, 0)]
            tasks += [name_task(batch, 0, 0, index) for index in range(6)]
            fleet.start(tuple(RunStart(task, RunNumber(1), first) for task in tasks))
            for _ in range(20):
                fleet.submit_batch()
            await fleet.run_round()
            fleet.leader.measure_headroom()
            with count_calls(WorkerSession, "stop") as stops:
                steps_found = sum(self._count(fleet, first) for _ in range(2))
            self.assertGreater(stops.count, 0)
            runs = len(fleet.state.workers[first].runs)
            self.assertLessEqual(steps_found, 12 * runs)

        run_deterministic(check, seed=1)

    def _count(self, fleet: Fleet, worker: WorkerId) -> int:
        fleet.clock.advance(timedelta(seconds=1))
        with (
            mock.patch.object(fleet.random, "uniform", lambda low, high: high),
            count_calls(SchedulingState, "find_step") as calls,
        ):
            fleet.view(worker)
        return calls.count


if __name__ == "__main__":
    unittest.main()
