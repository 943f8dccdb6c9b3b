"""Tests of recurring jobs with many due occurrences."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.clock import MS_PER_SECOND
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    EndedRun,
    EndRuns,
    OpenOccurrences,
    RunStart,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
)
from rhubarbfield.scheduling.headroom import WaitingStep
from rhubarbfield.scheduling.interference import InterferenceModel
from rhubarbfield.scheduling.model import (
    Demand,
    JobPhase,
    JobSubmission,
    Label,
    Recurrence,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.occurrences import (
    MAX_HELD_TASKS,
    MAX_WAITING_TASKS,
    choose_due,
)
from rhubarbfield.scheduling.placing import Placer
from rhubarbfield.scheduling.state import Job, RunEnd, TaskPhase
from rhubarbfield.types import JobId, WorkerId
from tests.scheduling.deployments import ONE_CORE, QUEUE, Deployment, with_deployment
from tests.scheduling.test_appliers import Log, make_report

JOB = JobId("j")
WORKER = WorkerId("w")
MANY = 10_000
ENDLESS = 2**62


def make_job(times: int, *steps: Step, interval_ms: int = 1) -> Job:
    recurrence = Recurrence(times, 0, interval_ms)
    submission = JobSubmission(payload="p", steps=steps, recurrence=recurrence)
    return Job(job=JOB, queue=QUEUE.name, order=1, submission=submission)


def list_all(job: Job) -> list[bool]:
    """Return that workers can run each step of a job."""
    return [True] * len(job.submission.steps)


def start(job: Job, occurrence: int) -> None:
    """Mark the tasks of the first step of an occurrence as running."""
    for task in job.occurrences[occurrence][0].tasks:
        task.phase = TaskPhase.LIVE


class ChooseDueTest(unittest.TestCase):
    def test_job_gets_few_of_its_due_occurrences_at_a_time(self) -> None:
        """All at once held the leader's loop for longer than its lease."""
        for times, interval_ms in ((MANY, 1), (ENDLESS, 1), (ENDLESS, 0)):
            job = make_job(times, Step(), interval_ms=interval_ms)
            due = choose_due([job], ENDLESS, list_all)
            numbers = [number for _, number in due]
            self.assertEqual(numbers, list(range(MAX_WAITING_TASKS)))

    def test_further_occurrences_follow_the_tasks_that_started(self) -> None:
        job = make_job(MANY, Step(tasks=2))
        for _, number in choose_due([job], ENDLESS, list_all):
            job.open_occurrence(number)
        self.assertEqual(choose_due([job], ENDLESS, list_all), ())
        for number in range(10):
            start(job, number)
        opened = MAX_WAITING_TASKS // 2
        self.assertEqual(
            choose_due([job], ENDLESS, list_all),
            tuple((JOB, opened + number) for number in range(10)),
        )

    def test_occurrence_larger_than_the_bound_is_opened_alone(self) -> None:
        job = make_job(MANY, Step(tasks=MAX_WAITING_TASKS + 1))
        self.assertEqual(choose_due([job], ENDLESS, list_all), ((JOB, 0),))
        job.open_occurrence(0)
        self.assertEqual(choose_due([job], ENDLESS, list_all), ())

    def test_occurrences_overlap_while_the_earlier_ones_run(self) -> None:
        job = make_job(MANY, Step(), Step(after=(0,)))
        for number in range(MANY // 2):
            job.open_occurrence(number)
            start(job, number)
        self.assertGreater(len(choose_due([job], ENDLESS, list_all)), 0)

    def test_tasks_that_no_worker_may_take_hold_up_no_occurrences(self) -> None:
        job = make_job(MANY, Step(), Step(tasks=MAX_WAITING_TASKS, after=(0,)))
        for number in range(2):
            job.open_occurrence(number)
            start(job, number)
            job.occurrences[number][0].done = 1
        self.assertEqual(choose_due([job], ENDLESS, list_all), ())
        due = choose_due([job], ENDLESS, lambda _: [True, False])
        self.assertGreater(len(due), 10)

    def test_occurrences_that_have_not_ended_take_bounded_memory(self) -> None:
        job = make_job(MANY, Step(), Step(tasks=31, after=(0,)))
        while due := choose_due([job], ENDLESS, lambda _: [True, False]):
            for _, number in due:
                job.open_occurrence(number)
                start(job, number)
                job.occurrences[number][0].done = 1
        self.assertEqual(32 * len(job.unfinished), MAX_HELD_TASKS)

    def test_job_that_no_worker_may_run_opens_few_occurrences(self) -> None:
        job = make_job(MANY, Step(tasks=2))
        due = choose_due([job], ENDLESS, lambda _: [False])
        self.assertEqual(len(due), MAX_WAITING_TASKS // 2)

    def test_only_occurrences_that_are_due_are_opened(self) -> None:
        job = make_job(MANY, Step(), interval_ms=1000)
        self.assertEqual(choose_due([job], -1, list_all), ())
        self.assertEqual(choose_due([job], 0, list_all), ((JOB, 0),))
        self.assertEqual(
            choose_due([job], 2000, list_all), tuple((JOB, n) for n in range(3))
        )


class EndedOccurrencesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.log.apply(UpdateWorkers(reports=(make_report(WORKER),)))

    def accept(self, *steps: Step, times: int = 3) -> Job:
        submission = JobSubmission(
            payload="p", steps=steps, recurrence=Recurrence(times, 0, 1)
        )
        self.log.apply(AcceptJob(job=JOB, queue=QUEUE.name, submission=submission))
        due = tuple((JOB, number) for number in range(times))
        self.log.apply(OpenOccurrences(due=due))
        return self.log.state.jobs[JOB]

    def run_task(self, name: str, end: RunEnd = RunEnd.DONE) -> None:
        task, run = TaskName(name), RunNumber(1)
        self.log.apply(StartRuns(starts=(RunStart(task, run, WORKER),)))
        ended = EndedRun(task, run, end)
        self.log.apply(EndRuns(workers=(WorkerEnds(WORKER, (ended,), 0),)))

    def test_ended_occurrences_leave_nothing_to_look_at(self) -> None:
        job = self.accept(Step())
        for number in (1, 0):
            self.run_task(f"j.{number}.0.0")
        self.assertEqual(list(job.unfinished), [2])
        self.assertEqual([len(job.occurrences[n]) for n in range(3)], [0, 0, 1])
        self.assertEqual((job.finished, job.phase), (2, JobPhase.RUNNING))
        self.run_task("j.2.0.0")
        self.assertEqual(job.phase, JobPhase.COMPLETED)

    def test_ended_occurrence_is_not_opened_again(self) -> None:
        job = self.accept(Step())
        self.run_task("j.0.0.0")
        self.log.restart()
        job = self.log.state.jobs[JOB]
        self.log.apply(OpenOccurrences(due=((JOB, 0),)))
        self.run_task("j.0.0.0")
        self.assertEqual((job.next_occurrence, job.finished), (3, 1))
        self.assertEqual(list(job.unfinished), [1, 2])

    def test_occurrence_is_kept_while_a_copy_of_a_task_runs(self) -> None:
        job = self.accept(Step(copies_allowed=True), times=1)
        task = TaskName("j.0.0.0")
        other = WorkerId("other")
        self.log.apply(StartRuns(starts=(RunStart(task, RunNumber(1), WORKER),)))
        job.occurrences[0][0].tasks[0].live[RunNumber(2)] = other
        ended = EndedRun(task, RunNumber(1), RunEnd.DONE)
        self.log.apply(EndRuns(workers=(WorkerEnds(WORKER, (ended,), 0),)))
        self.assertEqual(list(job.unfinished), [0])
        self.assertTrue(job.has_live_runs)

    def test_snapshot_of_an_earlier_version_keeps_ended_tasks(self) -> None:
        job = self.accept(Step())
        steps = job.occurrences[0]
        self.run_task("j.0.0.0")
        job.occurrences[0] = steps
        self.log.restart()
        self.assertEqual(list(self.log.state.jobs[JOB].unfinished), [1, 2])
        self.assertEqual(self.log.state.jobs[JOB].next_occurrence, 3)


class RoundsTest(unittest.TestCase):
    def test_occurrence_with_many_waiting_steps_is_ranked_once_in_a_round(self) -> None:
        """Each of its waiting steps was ranked by the whole job."""
        job = make_job(2, *[Step()] * MAX_WAITING_TASKS)
        for number in range(2):
            job.open_occurrence(number)
        ranked: list[tuple[JobId, int]] = []

        def rank(waiting: WaitingStep) -> tuple[float, ...]:
            ranked.append((waiting.job.job, waiting.occurrence))
            return (0.0,)

        placer = Placer(
            [job],
            {QUEUE.name: QUEUE},
            {},
            avoided={},
            interference=InterferenceModel(),
            rank=rank,
            is_starved=lambda *_: False,
        )
        placed = list(placer.iterate_steps())
        self.assertEqual(len(placed), 2 * MAX_WAITING_TASKS)
        self.assertEqual(ranked, [(JOB, 0), (JOB, 1)])

    def test_occurrence_that_ends_during_a_round_is_left_out(self) -> None:
        job = make_job(2, Step(), Step(gang=True))
        for number in range(2):
            job.open_occurrence(number)
        waiting = WaitingStep(job, QUEUE, 0, 1)
        self.assertTrue(waiting.is_open)
        for step in job.occurrences[0]:
            step.done = len(step.tasks)
        job.close_occurrence(0)
        self.assertFalse(waiting.is_open)
        self.assertEqual(waiting.tasks, [])


class DeploymentTest(unittest.TestCase):
    @with_deployment()
    async def test_other_jobs_are_done_beside_one_with_many_due_occurrences(
        self, deployment: Deployment
    ) -> None:
        for number in range(10):
            deployment.add_worker(f"w{number}", duration=timedelta(milliseconds=100))
        async with deployment.lead():
            now_ms = int(deployment.clock.now().timestamp() * MS_PER_SECOND)
            submission = JobSubmission(
                payload="p",
                steps=(Step(demand=Demand(100, 10), estimate_ms=100),),
                recurrence=Recurrence(MANY, now_ms - MANY * 1000, 1000),
            )
            await deployment.propose(
                AcceptJob(job=JOB, queue=QUEUE.name, submission=submission)
            )
            for number in range(5):
                first = Step(tasks=2, demand=ONE_CORE, estimate_ms=100)
                second = Step(demand=ONE_CORE, estimate_ms=100, after=(0,))
                await deployment.submit(f"other{number}", first, second)
                await trio.sleep(3)
                job = deployment.get_job(f"other{number}")
                self.assertEqual(job.phase, JobPhase.COMPLETED)
            recurring = deployment.get_job(JOB)
            self.assertGreater(recurring.finished, 0)
            self.assertLess(len(recurring.unfinished), 2 * MAX_WAITING_TASKS)

    @with_deployment()
    async def test_first_steps_run_while_no_worker_has_the_label_of_the_next(
        self, deployment: Deployment
    ) -> None:
        deployment.add_worker("w1", duration=timedelta(milliseconds=100))
        first = Step(tasks=4, estimate_ms=100)
        second = Step(tasks=32, after=(0,), required_label=Label("lost"))
        times = 12
        async with deployment.lead():
            now_ms = int(deployment.clock.now().timestamp() * MS_PER_SECOND)
            submission = JobSubmission(
                payload="p",
                steps=(first, second),
                recurrence=Recurrence(times, now_ms, 500),
            )
            await deployment.propose(
                AcceptJob(job=JOB, queue=QUEUE.name, submission=submission)
            )
            await trio.sleep(10)
            occurrences = deployment.get_job(JOB).occurrences.values()
            self.assertEqual(sum(steps[0].is_done for steps in occurrences), times)

    @with_deployment()
    async def test_all_due_occurrences_are_done(self, deployment: Deployment) -> None:
        worker = deployment.add_worker("w1", duration=timedelta(milliseconds=100))
        times = 2 * MAX_WAITING_TASKS
        async with deployment.lead():
            submission = JobSubmission(
                payload="p",
                steps=(Step(estimate_ms=100),),
                recurrence=Recurrence(times, 0, 0),
            )
            await deployment.propose(
                AcceptJob(job=JOB, queue=QUEUE.name, submission=submission)
            )
            await trio.sleep(30)
            self.assertEqual(deployment.get_job(JOB).phase, JobPhase.COMPLETED)
        self.assertEqual(len({task for task, _, _ in worker.started}), times)
        self.assertEqual(len(worker.started), times)


if __name__ == "__main__":
    unittest.main()
