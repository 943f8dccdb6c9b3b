"""Tests that all members of a gang resume from one checkpoint, the newest shown."""

from __future__ import annotations

import unittest
from collections.abc import Mapping
from datetime import timedelta
from typing import cast

import msgspec
import trio

from rhubarbfield.scheduling.commands import (
    AcceptJob,
    EndedRun,
    EndRuns,
    PutConfiguration,
    RemoveWorker,
    RunStart,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
)
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    CheckpointToken,
    JobSubmission,
    RunNumber,
    Step,
    StepName,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.orders import StopReason
from rhubarbfield.scheduling.ports import ActiveRun, StartOrder
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.shown_checkpoints import list_shown_checkpoints
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import (
    CONFIGURATION,
    ONE_CORE,
    QUEUE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_appliers import JOBS, WORKERS, Log, make_report
from tests.scheduling.test_earlier_versions import (
    EARLIER_STEP_FIELDS,
    TASK,
    make_running_log,
)

MEMBERS = 3
GANG = Step(
    tasks=MEMBERS, demand=ONE_CORE, gang=True, checkpoints=True, max_per_worker=1
)
FIRST = CheckpointToken("first")
SECOND = CheckpointToken("second")
THIRD = CheckpointToken("third")
RESTART_SECONDS = 12.0  # a lease lapses, and the gang starts again
LAST_RUN = RunNumber(2)


def save(worker: StandInWorker, checkpoint: CheckpointToken) -> None:
    """Let the member on a worker save its progress."""
    for run in worker.runs.values():
        run.checkpoint = checkpoint


def list_given(deployment: Deployment, run: int) -> list[str]:
    """Return the checkpoint that each member was given for a run."""
    given = {
        each.order.task: each.order.checkpoint
        for each in deployment.list_sent(StartOrder, "j")
        if isinstance(each.order, StartOrder) and each.order.run == run
    }
    return [given[task] for task in sorted(given)]


class LostMembersTest(unittest.TestCase):
    def add_workers(self, deployment: Deployment, number: int) -> list[StandInWorker]:
        deployment.fleet.gang_steps.add(StepName("j.0.0"))
        return [
            deployment.add_worker(f"w{each}", duration=None, capacity=ONE_CORE)
            for each in range(number)
        ]

    async def start_gang(self, deployment: Deployment) -> list[StandInWorker]:
        await trio.sleep(0.5)
        await deployment.submit("j", GANG)
        await trio.sleep(1)
        workers = deployment.fleet.workers.values()
        working = [each for each in workers if each.runs]
        self.assertEqual(len(working), MEMBERS)
        return working

    @with_deployment()
    async def test_gang_is_not_torn_by_a_crash_after_a_save_nobody_saw(
        self, deployment: Deployment
    ) -> None:
        self.add_workers(deployment, MEMBERS + 1)
        async with deployment.lead():
            lost, *others = await self.start_gang(deployment)
            for worker in others:
                save(worker, FIRST)
            deployment.fleet.crash(lost)
            await trio.sleep(RESTART_SECONDS)
        self.assertEqual(list_given(deployment, LAST_RUN), [FIRST] * MEMBERS)

    @with_deployment()
    async def test_next_leader_does_not_tear_a_gang(
        self, deployment: Deployment
    ) -> None:
        self.add_workers(deployment, MEMBERS)
        deployment.fleet.restart_delay = timedelta(seconds=4)
        async with deployment.lead():
            lost, *others = await self.start_gang(deployment)
            for worker in others:
                save(worker, FIRST)
            deployment.fleet.crash(lost)
            await trio.sleep(2)
        self.assertEqual(list_given(deployment, LAST_RUN), [])
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(RESTART_SECONDS)
        self.assertEqual(list_given(deployment, LAST_RUN), [FIRST] * MEMBERS)

    @with_deployment()
    async def test_member_that_is_moved_gives_its_checkpoint_to_all(
        self, deployment: Deployment
    ) -> None:
        self.add_workers(deployment, MEMBERS + 1)
        async with deployment.lead() as leader:
            moved, *others = await self.start_gang(deployment)
            for worker in others:
                save(worker, FIRST)
            save(moved, SECOND)
            [task] = moved.runs
            session = leader.get_session(moved.worker)
            assert session is not None
            session.stop(RunKey(task, RunNumber(1)), StopReason.STALLED)
            for worker in others:
                [other] = worker.runs
                worker.end_run(other, RunEnd.BROKEN)
            await trio.sleep(RESTART_SECONDS)
        self.assertEqual(list_given(deployment, LAST_RUN), [SECOND] * MEMBERS)

    @with_deployment()
    async def test_gang_whose_lease_lapses_resumes_from_one_checkpoint(
        self, deployment: Deployment
    ) -> None:
        self.add_workers(deployment, MEMBERS + 1)
        async with deployment.lead():
            lost, *others = await self.start_gang(deployment)
            save(lost, FIRST)
            await trio.sleep(3)
            lost.is_unreachable = True
            for worker in others:
                save(worker, SECOND)
            await trio.sleep(3)
            for worker in others:
                [task] = worker.runs
                worker.end_run(task, RunEnd.BROKEN)
            await trio.sleep(RESTART_SECONDS)
        self.assertEqual(list_given(deployment, LAST_RUN), [SECOND] * MEMBERS)

    @with_deployment()
    async def test_gang_whose_workers_all_crash_resumes_from_the_newest_view(
        self, deployment: Deployment
    ) -> None:
        self.add_workers(deployment, MEMBERS)
        deployment.fleet.gang_steps.clear()  # no member is left to end
        async with deployment.lead():
            working = await self.start_gang(deployment)
            for worker in working:
                save(worker, FIRST)
            await trio.sleep(3)
            for worker in working[1:]:
                deployment.fleet.crash(worker)
            save(working[0], SECOND)
            await trio.sleep(2)
            deployment.fleet.crash(working[0])
            await trio.sleep(2 * RESTART_SECONDS)
        self.assertEqual(list_given(deployment, LAST_RUN), [SECOND] * MEMBERS)


class ShownSession(msgspec.Struct):
    """What a session knows by the latest view of its worker."""

    active: dict[TaskName, ActiveRun]
    view_age: timedelta = timedelta(seconds=1)


class ShownCheckpointsTest(unittest.TestCase):
    def list_shown(self, log: Log, *active: ActiveRun) -> dict[TaskName, str]:
        session = ShownSession({each.task: each for each in active})
        sessions = cast(Mapping[WorkerId, WorkerSession], {WORKERS[0]: session})
        return dict(list_shown_checkpoints(log.state, sessions, WORKERS[0]))

    def test_lost_run_does_not_return_to_what_an_earlier_run_had_saved(self) -> None:
        log = make_running_log()
        task, run = TASK, RunNumber(1)
        earlier = ActiveRun(task, RunNumber(run - 1), FIRST, 0.0)
        self.assertEqual(self.list_shown(log, earlier), {})
        recorded = ActiveRun(task, run, SECOND, 0.0)
        self.assertEqual(self.list_shown(log, recorded), {task: SECOND})


class ChoiceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.log.apply(PutConfiguration(configuration=CONFIGURATION))
        for worker in WORKERS:
            self.log.apply(UpdateWorkers(reports=(make_report(worker),)))
        submission = JobSubmission(payload="", steps=(GANG,))
        self.log.apply(AcceptJob(job=JOBS[0], queue=QUEUE.name, submission=submission))
        self.names = [name_task(JOBS[0], 0, 0, index) for index in range(MEMBERS)]

    def start(self, run: int) -> None:
        starts = tuple(
            RunStart(name, RunNumber(run), worker)
            for name, worker in zip(self.names, WORKERS, strict=True)
        )
        self.log.apply(StartRuns(starts=starts))

    def end(self, index: int, run: int, end: RunEnd, checkpoint: str) -> None:
        ended = EndedRun(
            self.names[index], RunNumber(run), end, CheckpointToken(checkpoint)
        )
        self.log.apply(EndRuns(workers=(WorkerEnds(WORKERS[index], (ended,)),)))

    def list_checkpoints(self) -> set[str]:
        """Return the checkpoints from which the members would resume."""
        found = [self.log.state.find_task(TaskName(name)) for name in self.names]
        return {
            job.find_checkpoint(occurrence, step, task)
            for job, occurrence, step, task in filter(None, found)
        }

    def test_view_that_is_recorded_last_does_not_undo_a_later_save(self) -> None:
        self.start(1)
        self.end(0, 1, RunEnd.BROKEN, SECOND)
        self.end(1, 1, RunEnd.BROKEN, SECOND)
        lost = {TaskName(self.names[2]): FIRST}
        self.log.apply(RemoveWorker(worker=WORKERS[2], checkpoints=lost))
        self.assertEqual(self.list_checkpoints(), {SECOND})

    def test_member_that_has_saved_nothing_new_does_not_undo_a_save(self) -> None:
        self.start(1)
        for index in range(MEMBERS):
            self.end(index, 1, RunEnd.BROKEN, FIRST)
        self.start(2)
        self.end(0, 2, RunEnd.BROKEN, SECOND)
        self.end(1, 2, RunEnd.STOPPED, FIRST)
        self.end(2, 2, RunEnd.BROKEN, NO_CHECKPOINT)
        self.assertEqual(self.list_checkpoints(), {SECOND})

    def test_checkpoint_made_by_a_stop_is_newer_than_the_last_save(self) -> None:
        self.start(1)
        self.end(0, 1, RunEnd.BROKEN, FIRST)
        self.end(1, 1, RunEnd.STOPPED, SECOND)
        self.end(2, 1, RunEnd.BROKEN, FIRST)
        self.assertEqual(self.list_checkpoints(), {SECOND})

    def test_members_that_were_all_stopped_resume_from_one_checkpoint(self) -> None:
        self.start(1)
        for index, checkpoint in enumerate((FIRST, SECOND, THIRD)):
            self.end(index, 1, RunEnd.STOPPED, checkpoint)
        self.assertEqual(self.list_checkpoints(), {FIRST})

    def test_checkpoint_of_a_later_run_replaces_one_made_by_a_stop(self) -> None:
        self.start(1)
        for index in range(MEMBERS):
            self.end(index, 1, RunEnd.STOPPED, FIRST)
        self.start(2)
        lost = {TaskName(self.names[0]): SECOND}
        self.log.apply(RemoveWorker(worker=WORKERS[0], checkpoints=lost))
        self.assertEqual(self.list_checkpoints(), {SECOND})

    def test_checkpoints_of_an_earlier_version_are_joined_to_one(self) -> None:
        self.start(1)
        for index, checkpoint in enumerate((NO_CHECKPOINT, FIRST, SECOND)):
            self.end(index, 1, RunEnd.BROKEN, checkpoint)
        machine = self.log.machine
        snapshot = msgspec.msgpack.decode(machine.take_snapshot(), strict=False)
        [job] = snapshot["scheduling"]["jobs"].values()
        for step in job["occurrences"][0]:
            del step[EARLIER_STEP_FIELDS:]
        machine.restore(msgspec.msgpack.encode(snapshot))
        self.assertEqual(self.list_checkpoints(), {FIRST})


if __name__ == "__main__":
    unittest.main()
