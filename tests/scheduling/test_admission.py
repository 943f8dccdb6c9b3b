"""Tests of what is accepted beside the work that was accepted before."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec

from rhubarbfield.clock import MS_PER_SECOND, ManualClock
from rhubarbfield.leadercalls import NotAdmitted, Unavailable
from rhubarbfield.scheduling.admission import (
    FINITE_HEADROOM,
    MAX_FINITE_RETRY_AFTER,
    MIN_FINITE_SHARE,
    REPORTING_PERIOD,
    STANDING_RETRY_AFTER,
    Admission,
    Rejection,
)
from rhubarbfield.scheduling.model import (
    Demand,
    JobPhase,
    JobSubmission,
    Label,
    MachineName,
    Queue,
    Step,
)
from rhubarbfield.scheduling.requests import (
    JobReply,
    JobRequest,
    JobVerb,
)
from rhubarbfield.scheduling.service import SchedulingService
from rhubarbfield.scheduling.state import Job, SchedulingState, Worker
from rhubarbfield.scheduling.worker_kinds import KindsIndex, WorkerKinds
from rhubarbfield.types import JobId, Term, WorkerId
from tests.scheduling.deployments import (
    CONFIGURATION,
    QUEUE,
    Deployment,
    with_deployment,
)
from tests.scheduling.test_rounds import count_calls

WORKERS = 10
CORES = 100
CAPACITY = Demand(CORES * 1000, 1000 * CORES)
STANDING_LIMIT = int(WORKERS * CORES * (1 - MIN_FINITE_SHARE))


def make_standing(cores: int, tasks: int = 1, memory_mb: int = 0) -> JobSubmission:
    step = Step(tasks=tasks, demand=Demand(cores * 1000, memory_mb), standing=True)
    return JobSubmission(payload="p", steps=(step,))


def make_finite(cores: int, seconds: float) -> JobSubmission:
    """Return a job of finite tasks, each of which needs a core."""
    step = Step(
        tasks=cores, demand=Demand(1000), estimate_ms=int(seconds * MS_PER_SECOND)
    )
    return JobSubmission(payload="p", steps=(step,))


class AdmissionCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=100))
        self.admission = Admission(self.clock)
        self.state = SchedulingState(configuration=CONFIGURATION)
        self.term = Term(1)
        self.state.accepted = 1
        for _ in range(WORKERS):
            self.add_worker()

    def accept(self, name: str, submission: JobSubmission) -> None:
        job = self.state.jobs[JobId(name)] = Job(
            job=JobId(name),
            queue=QUEUE.name,
            order=len(self.state.jobs) + 1,
            submission=submission,
            accepted_ms=int(self.clock.now().timestamp() * MS_PER_SECOND),
        )
        job.open_occurrence(0)

    def is_accepted(self, submission: JobSubmission, name: str = "new") -> bool:
        rejection = self.admission.decide(
            JobId(name), QUEUE, submission, state=self.state, term=self.term
        )
        if rejection is not None:
            self.assertEqual(rejection.retry_after, STANDING_RETRY_AFTER)
        return rejection is None

    def begin(self, name: str, submission: JobSubmission) -> None:
        self.admission.begin(JobId(name), QUEUE, submission, self.term)

    def add_worker(self, capacity: Demand = CAPACITY) -> None:
        worker = WorkerId(f"w{len(self.state.workers)}")
        self.state.workers[worker] = Worker(
            worker=worker,
            machine=MachineName(worker),
            service=QUEUE.service,
            address=f"{worker}:1",
            zone="z",
            capacity=capacity,
        )


class StandingWorkTest(AdmissionCase):
    """Standing jobs that together ask for more than the workers have."""

    def test_standing_work_leaves_a_share_to_finite_work(self) -> None:
        self.accept("held", make_standing(STANDING_LIMIT // 10, tasks=9))
        self.assertTrue(self.is_accepted(make_standing(STANDING_LIMIT // 10)))
        self.assertFalse(self.is_accepted(make_standing(STANDING_LIMIT // 10 + 1)))

    def test_standing_work_leaves_a_share_of_the_memory(self) -> None:
        memory_mb = int(WORKERS * CAPACITY.memory_mb * (1 - MIN_FINITE_SHARE))
        self.assertTrue(self.is_accepted(make_standing(1, memory_mb=memory_mb)))
        self.assertFalse(self.is_accepted(make_standing(1, memory_mb=memory_mb + 1)))

    def test_ended_standing_work_makes_room(self) -> None:
        self.accept("held", make_standing(STANDING_LIMIT))
        self.assertFalse(self.is_accepted(make_standing(1)))
        self.state.jobs[JobId("held")].phase = JobPhase.CANCELLED
        self.assertTrue(self.is_accepted(make_standing(1)))

    def test_finite_work_is_accepted_beside_standing_work(self) -> None:
        self.accept("held", make_standing(STANDING_LIMIT))
        self.assertTrue(self.is_accepted(make_finite(24, 1.0)))

    def test_share_follows_the_finite_work_of_late(self) -> None:
        wanted = 0.1  # of all cores
        window_s = 20
        work = int(wanted * WORKERS * CORES) * window_s
        self.accept("finite", make_finite(work // 10, 10))
        limit = int(WORKERS * CORES * (1 - wanted * FINITE_HEADROOM))
        self.assertTrue(self.is_accepted(make_standing(limit)))
        self.assertFalse(self.is_accepted(make_standing(limit + 1)))
        self.clock.advance(timedelta(seconds=window_s + 1))
        self.assertTrue(self.is_accepted(make_standing(limit + 1)))

    def test_proposed_jobs_count_until_they_are_accepted(self) -> None:
        self.begin("first", make_standing(STANDING_LIMIT))
        self.assertFalse(self.is_accepted(make_standing(1)))
        self.accept("first", make_standing(STANDING_LIMIT - 1))
        self.assertTrue(self.is_accepted(make_standing(1)))

    def test_withdrawn_job_makes_room(self) -> None:
        self.begin("first", make_standing(STANDING_LIMIT))
        self.admission.withdraw(JobId("first"))
        self.assertTrue(self.is_accepted(make_standing(1)))

    def test_job_that_may_still_be_committed_is_not_rejected(self) -> None:
        """Two attempts were proposed, and one of them certainly had no effect."""
        submission = make_standing(STANDING_LIMIT)
        self.begin("first", submission)
        self.begin("first", submission)
        self.admission.withdraw(JobId("first"))
        self.accept("second", submission)
        self.assertTrue(self.is_accepted(submission, name="first"))

    def test_proposals_of_a_former_term_do_not_count(self) -> None:
        self.begin("first", make_standing(STANDING_LIMIT))
        self.term = Term(2)
        self.assertTrue(self.is_accepted(make_standing(1)))

    def test_job_without_accelerators_does_not_need_room_for_them(self) -> None:
        self.accept(
            "held",
            JobSubmission(
                payload="p", steps=(Step(demand=Demand(1, 1, 1), standing=True),)
            ),
        )
        self.assertTrue(self.is_accepted(make_standing(1)))

    def test_task_that_needs_a_whole_worker_is_accepted(self) -> None:
        self.state.workers.clear()
        self.add_worker(Demand(8000, 8000, 1))
        step = Step(demand=Demand(8000, 8000, 1), standing=True)
        self.assertTrue(self.is_accepted(JobSubmission(payload="p", steps=(step,))))

    def test_jobs_are_accepted_while_workers_report_for_the_first_time(self) -> None:
        self.admission.observe_workers(self.state)
        large = make_standing(2 * WORKERS * CORES)
        self.assertTrue(self.is_accepted(large))
        self.clock.advance(REPORTING_PERIOD)
        self.assertFalse(self.is_accepted(large))
        self.admission.observe_workers(self.state)
        self.assertFalse(self.is_accepted(large))
        self.add_worker()
        self.admission.observe_workers(self.state)
        self.assertTrue(self.is_accepted(large))

    def test_jobs_are_accepted_before_workers_have_reported(self) -> None:
        self.state.workers.clear()
        self.assertTrue(self.is_accepted(make_standing(1)))


class FiniteBacklogTest(AdmissionCase):
    """Finite jobs that arrive faster than the workers can do them."""

    GOAL_SECONDS = 3  # of the job that is decided about
    SECOND_OF_WORK = WORKERS * CORES  # core-seconds

    def decide(self, queue: Queue = QUEUE) -> Rejection | None:
        return self.admission.decide(
            JobId("new"), queue, make_finite(1, 1.0), state=self.state, term=self.term
        )

    def accept_seconds(self, name: str, seconds: int) -> None:
        """Accept a job that occupies all workers for some seconds."""
        self.accept(name, make_finite(self.SECOND_OF_WORK * seconds, 1.0))

    def test_jobs_are_rejected_if_they_would_wait_for_longer_than_their_goal(
        self,
    ) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS)
        self.assertIsNone(self.decide())
        self.accept_seconds("more", 2)
        rejection = self.decide()
        assert rejection is not None
        self.assertEqual(rejection.retry_after, timedelta(seconds=2))

    def test_caller_is_sent_away_for_days_by_workers_that_have_shrunk(self) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS)
        for worker in self.state.workers.values():
            worker.capacity = Demand()
        rejection = self.decide()
        assert rejection is not None
        self.assertEqual(rejection.retry_after, MAX_FINITE_RETRY_AFTER)

    def test_job_with_a_later_goal_tolerates_a_longer_backlog(self) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS + 2)
        self.assertIsNotNone(self.decide())
        patient = msgspec.structs.replace(QUEUE, latency_goal_ms=5000)
        self.assertIsNone(self.decide(patient))

    def test_long_tasks_on_some_workers_do_not_keep_short_jobs_out(self) -> None:
        self.accept("long", make_finite(WORKERS * CORES // 2, 3600.0))
        self.assertIsNone(self.decide())
        self.accept("more", make_finite(WORKERS * CORES, 3600.0))
        self.assertIsNotNone(self.decide())

    def test_standing_work_reduces_what_a_backlog_may_be(self) -> None:
        self.accept_seconds("open", 1)
        self.assertIsNone(self.decide())
        self.accept("held", make_standing(STANDING_LIMIT))
        self.assertIsNotNone(self.decide())

    def test_done_tasks_leave_the_backlog(self) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS + 1)
        self.assertIsNotNone(self.decide())
        progress = self.state.jobs[JobId("open")].occurrences[0][0]
        progress.done = len(progress.tasks)
        self.assertIsNone(self.decide())

    def test_work_of_lower_priority_does_not_count(self) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS + 1)
        urgent = msgspec.structs.replace(QUEUE, priority=QUEUE.priority - 1)
        self.assertIsNone(self.decide(urgent))

    def test_proposed_jobs_count(self) -> None:
        work = self.SECOND_OF_WORK * (self.GOAL_SECONDS + 1)
        self.begin("first", make_finite(work, 1.0))
        self.assertIsNotNone(self.decide())

    def test_work_that_no_worker_can_run_keeps_nobody_out(self) -> None:
        """A job that asked for 10**18 millicores had all others rejected."""
        hour = {"tasks": 4000, "estimate_ms": 3_600_000}
        for first in (
            Step(demand=Demand(10**18), **hour),
            Step(demand=Demand(CORES * 1000 + 1), **hour),
            Step(demand=Demand(1000, CAPACITY.memory_mb + 1), **hour),
            Step(demand=Demand(1000), required_label=Label("none"), **hour),
            Step(demand=Demand(1000), gang=True, max_per_worker=1, **hour),
        ):
            later = Step(demand=Demand(1000), after=(0,), **hour)
            impossible = JobSubmission(payload="p", steps=(first, later))
            with self.subTest(step=first):
                self.setUp()
                self.accept("impossible", impossible)
                self.begin("proposed", impossible)
                self.assertIsNone(self.decide())
                possible = JobSubmission(payload="p", steps=(Step(**hour), later))
                self.accept("possible", possible)
                self.assertIsNotNone(self.decide())

    def test_jobs_on_spare_cores_are_accepted(self) -> None:
        self.accept_seconds("open", self.GOAL_SECONDS + 1)
        step = Step(demand=Demand(1000), estimate_ms=1000, uses_spare_cores=True)
        self.assertTrue(self.is_accepted(JobSubmission(payload="p", steps=(step,))))


class CostTest(AdmissionCase):
    """Submissions while hundreds of jobs are open on hundreds of workers."""

    def setUp(self) -> None:
        super().setUp()
        for number in range(200):
            self.accept(f"f{number}", make_finite(1, 1.0))
        for number in range(5):
            self.accept(f"s{number}", make_standing(1))

    def test_capacities_and_finite_jobs_are_not_added_up_again(self) -> None:
        self.assertTrue(self.is_accepted(make_finite(1, 1.0)))
        with (
            count_calls(Demand, "plus") as sums,
            count_calls(WorkerKinds, "__init__") as kinds,
        ):
            self.assertTrue(self.is_accepted(make_finite(1, 1.0)))
        self.assertLessEqual(sums.count, 5 + 1)
        self.assertEqual(kinds.count, 0)

    def test_changed_workers_are_noticed(self) -> None:
        large = Step(demand=Demand(CAPACITY.millicores + 1), estimate_ms=1000)
        submission = JobSubmission(payload="p", steps=(large,))
        index = KindsIndex()

        def is_possible() -> bool:
            kinds = index.find(QUEUE.service, self.state.workers.values())
            return kinds.list_possible(JobId("j"), submission)[0]

        self.assertFalse(is_possible())
        worker = next(iter(self.state.workers.values()))
        worker.capacity = Demand(CAPACITY.millicores + 1, CAPACITY.memory_mb)
        self.assertTrue(is_possible())
        worker.capacity = CAPACITY
        self.assertFalse(is_possible())


class RejectionTest(unittest.TestCase):
    async def submit(
        self, deployment: Deployment, *, knows_rejection: bool = True
    ) -> JobReply:
        for name in ("a", "b"):
            deployment.add_worker(name, capacity=CAPACITY)
        await deployment.submit("first", Step(demand=Demand(1000)))
        async with deployment.lead():
            service = SchedulingService(deployment.log, lambda: None, deployment.clock)
            return await service.answer(
                JobRequest(
                    verb=JobVerb.SUBMIT,
                    host=QUEUE.host,
                    path=f"{QUEUE.prefix}j",
                    submission=make_standing(2 * CORES),
                    knows_rejection=knows_rejection,
                )
            )

    @with_deployment()
    async def test_rejected_job_is_not_stored(self, deployment: Deployment) -> None:
        reply = await self.submit(deployment)
        assert isinstance(reply, NotAdmitted)
        self.assertEqual(reply.retry_after, STANDING_RETRY_AFTER)
        self.assertEqual(list(deployment.state.jobs), ["first"])

    @with_deployment()
    async def test_entry_of_an_earlier_version_gets_an_answer_it_knows(
        self, deployment: Deployment
    ) -> None:
        reply = await self.submit(deployment, knows_rejection=False)
        assert isinstance(reply, Unavailable)
        self.assertFalse(reply.in_doubt)

    def test_request_of_an_earlier_version_is_read(self) -> None:
        request = JobRequest(verb=JobVerb.READ, host="h", path="/q/j")
        fields = msgspec.to_builtins(request)
        fields.pop("knows_rejection", None)
        self.assertEqual(msgspec.convert(fields, JobRequest), request)


if __name__ == "__main__":
    unittest.main()
