"""Tests of the replicated state of jobs, with random interleavings."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from rhubarbfield.machine import Command, Refused, Reply
from rhubarbfield.scheduling.appliers import (
    MAX_WITHDRAWN_JOBS,
    make_scheduling_machine,
)
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    CancelJob,
    EndedRun,
    EndRuns,
    OpenOccurrences,
    PutConfiguration,
    RaiseStateVersion,
    RemoveWorker,
    RunsRecorded,
    RunStart,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
    WorkerReport,
)
from rhubarbfield.scheduling.crashes import CrashedRun, CrashEvidence
from rhubarbfield.scheduling.model import (
    STATE_VERSION,
    CheckpointToken,
    Demand,
    JobSubmission,
    MachineName,
    Recurrence,
    RunNumber,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.state import (
    MAX_ABANDONED_RUNS,
    JobPhase,
    RunEnd,
    SchedulingState,
    Task,
    TaskPhase,
)
from rhubarbfield.types import JobId, LogIndex, ServiceName, WorkerId
from tests.scheduling.deployments import CONFIGURATION, QUEUE

MAX_ATTEMPTS = QUEUE.max_attempts
# The users: given up after two crashes, started twice after the third at most.
MIN_CRASHES = 2
MAX_CRASHES = 3 + 2
WORKERS = [WorkerId(f"w{number}") for number in range(3)]
LISTED_ENDS = [end for end in RunEnd if end.is_listed]
JOBS = [JobId(f"j{number}") for number in range(2)]
STEPS = (Step(tasks=2), Step(tasks=2, after=(0,)))


class Log:
    """Applies encoded commands to the state machine, as the replicated log does."""

    def __init__(self) -> None:
        self.machine = make_scheduling_machine()
        self.index = 0
        self.encoded_bytes = 0

    @property
    def state(self) -> SchedulingState:
        return self.machine.state.scheduling

    def apply(self, command: Command) -> Reply:
        self.index += 1
        encoded = self.machine.encode_command(command)
        self.encoded_bytes += len(encoded)
        reply = self.machine.apply(LogIndex(self.index), encoded)
        return self.machine.decode_reply(reply)

    def restart(self) -> None:
        snapshot = self.machine.take_snapshot()
        self.machine = make_scheduling_machine()
        self.machine.restore(snapshot)


def make_report(worker: WorkerId, *, draining: bool = False) -> WorkerReport:
    return WorkerReport(
        worker=worker,
        machine=MachineName(f"m-{worker}"),
        service=ServiceName("s"),
        address=f"{worker}:1",
        zone="z",
        capacity=Demand(8000, 8000),
        labels=(),
        draining=draining,
    )


class Interleavings(RuleBasedStateMachine):
    """Random sequences of starts, ends, losses, cancellations and restarts."""

    @initialize()
    def begin(self) -> None:
        self.log = Log()
        self.done: set[str] = set()
        self.failures: dict[str, int] = {}
        self.crashed: dict[str, set[RunNumber]] = {}
        self.abandoned: list[tuple[WorkerId, TaskName, RunNumber]] = []
        self.log.apply(PutConfiguration(configuration=CONFIGURATION))
        self.log.apply(RaiseStateVersion(version=STATE_VERSION))
        for worker in WORKERS:
            self.log.apply(UpdateWorkers(reports=(make_report(worker),)))

    @rule(job=st.sampled_from(JOBS))
    def accept(self, job: JobId) -> None:
        submission = JobSubmission(payload="", steps=STEPS)
        self.log.apply(AcceptJob(job=job, queue=QUEUE.name, submission=submission))

    @rule(job=st.sampled_from(JOBS))
    def cancel(self, job: JobId) -> None:
        self.log.apply(CancelJob(job=job))

    @rule(
        job=st.sampled_from(JOBS),
        step=st.integers(0, 1),
        index=st.integers(0, 1),
        worker=st.sampled_from(WORKERS),
        is_number_used=st.booleans(),
    )
    def start(
        self,
        job: JobId,
        step: int,
        index: int,
        worker: WorkerId,
        is_number_used: bool,
    ) -> None:
        name = name_task(job, 0, step, index)
        found = self.log.state.find_task(name)
        last = found[3].last_run if found else 0
        was_live = bool(found and found[3].live)
        was_open = bool(found and found[0].is_open)
        before = found[0].occurrences[0][0].is_done if found else False
        run = RunNumber(last + 1 - is_number_used)
        reply = self.log.apply(StartRuns(starts=(RunStart(name, run, worker),)))
        assert isinstance(reply, RunsRecorded)
        if reply.recorded:
            assert not is_number_used, "a run number was used twice"
            assert was_open, "a task of an ended job was started"
            assert not was_live, "a task was started twice at the same time"
            assert name not in self.done, "a finished task was started again"
            assert step == 0 or before, "a task was started before its step was ready"
            assert self.failures.get(name, 0) < MAX_ATTEMPTS, "too many attempts"
            crashes = len(self.crashed.get(name, ()))
            assert crashes < MAX_CRASHES, "too many starts after crashes"

    @precondition(lambda self: self._list_waiting())
    @rule(data=st.data(), worker=st.sampled_from(WORKERS))
    def start_waiting(self, data: Any, worker: WorkerId) -> None:
        """Start a task that may start, as most of a leader's commands do."""
        job, step, index = data.draw(st.sampled_from(self._list_waiting()))
        self.start(job, step, index, worker, False)

    @precondition(lambda self: self._list_live())
    @rule(data=st.data(), end=st.sampled_from(list(RunEnd)), repeat=st.booleans())
    def end(self, data: Any, end: RunEnd, repeat: bool) -> None:
        worker, name, run = data.draw(st.sampled_from(self._list_live()))
        ended = EndedRun(name, run, end)
        command = EndRuns(workers=(WorkerEnds(worker, (ended,), 1),))
        for _ in range(1 + repeat):
            self.log.apply(command)
        if end is RunEnd.DONE:
            self.done.add(name)
        if end is RunEnd.FAILED:
            self.failures[name] = self.failures.get(name, 0) + 1
        if not end.is_listed:
            self.abandoned.append((worker, name, run))

    @precondition(lambda self: self.abandoned)
    @rule(data=st.data(), end=st.sampled_from(LISTED_ENDS), repeat=st.booleans())
    def list_late(self, data: Any, end: RunEnd, repeat: bool) -> None:
        """Let a worker list the end of a run that was recorded as ended otherwise."""
        worker, name, run = data.draw(st.sampled_from(self.abandoned))
        found = self.log.state.find_task(name)
        assert found is not None
        job, _, _, task = found
        runs = sorted({run for _, other, run in self.abandoned if other == name})
        is_known = run in runs[-MAX_ABANDONED_RUNS:]
        is_unended = job.is_open and not task.phase.is_final
        if end is RunEnd.DONE and is_known and is_unended:
            self.done.add(name)
        report = WorkerEnds(worker, (EndedRun(name, run, end),))
        for _ in range(1 + repeat):
            self.log.apply(EndRuns(workers=(report,)))

    def _abandon_all(self, worker: WorkerId) -> None:
        runs = self.log.state.workers[worker].runs.items()
        self.abandoned.extend((worker, task, run) for task, run in runs)

    @rule(worker=st.sampled_from(WORKERS))
    def lose(self, worker: WorkerId) -> None:
        self._abandon_all(worker)
        self.log.apply(RemoveWorker(worker=worker))
        self.log.apply(UpdateWorkers(reports=(make_report(worker),)))

    @rule(worker=st.sampled_from(WORKERS), data=st.data(), repeat=st.booleans())
    def crash(self, worker: WorkerId, data: Any, repeat: bool) -> None:
        self._abandon_all(worker)
        record = self.log.state.workers[worker]
        crashed = [
            *record.lapsed,
            *(self._draw_crashed(data, task, run) for task, run in record.runs.items()),
        ]
        command = RemoveWorker(worker=worker, crashed=tuple(crashed))
        for _ in range(1 + repeat):
            self.log.apply(command)
        for each in crashed:
            if each.evidence is CrashEvidence.CLEARED:
                self.crashed.pop(each.task, None)
            else:
                self.crashed.setdefault(each.task, set()).add(each.run)
        self.log.apply(UpdateWorkers(reports=(make_report(worker),)))

    @rule(worker=st.sampled_from(WORKERS), data=st.data())
    def lapse(self, worker: WorkerId, data: Any) -> None:
        self._abandon_all(worker)
        runs = self.log.state.workers[worker].runs.items()
        ends = tuple(EndedRun(task, run, RunEnd.LOST) for task, run in runs)
        lapsed = tuple(self._draw_crashed(data, task, run) for task, run in runs)
        self.log.apply(EndRuns(workers=(WorkerEnds(worker, ends, 0, lapsed),)))

    def _draw_crashed(self, data: Any, task: TaskName, run: RunNumber) -> CrashedRun:
        evidence = data.draw(st.sampled_from(list(CrashEvidence)))
        recent, is_certain = data.draw(st.integers(0, 4)), data.draw(st.booleans())
        return CrashedRun(task, run, evidence, recent, is_certain)

    @rule()
    def restart(self) -> None:
        self.log.restart()

    @precondition(lambda self: self._list_live())
    @rule(data=st.data())
    def lapse_with_runs(self, data: Any) -> None:
        worker, _, _ = data.draw(st.sampled_from(self._list_live()))
        self.lapse(worker, data)

    def _list_waiting(self) -> list[tuple[JobId, int, int]]:
        return [
            (job.job, step, index)
            for job in self.log.state.jobs.values()
            if job.is_open
            for _, step in job.waiting_steps
            for index, task in enumerate(job.occurrences[0][step].tasks)
            if task.phase is TaskPhase.WAITING
        ]

    def _list_live(self) -> list[tuple[WorkerId, Any, RunNumber]]:
        return [
            (worker.worker, task, run)
            for worker in self.log.state.workers.values()
            for task, run in worker.runs.items()
        ]

    @invariant()
    def agrees(self) -> None:
        """Check that task and worker agree on runs, and that final phases are due."""
        live = {(worker, task, run) for worker, task, run in self._list_live()}
        for job in self.log.state.jobs.values():
            tasks = [
                (name_task(job.job, 0, step, index), task)
                for step, progress in enumerate(job.occurrences[0])
                for index, task in enumerate(progress.tasks)
            ]
            for name, task in tasks:
                assert len(task.live) <= 1
                for run, worker in task.live.items():
                    assert (worker, name, run) in live
                assert (task.phase is TaskPhase.DONE) == (name in self.done)
            if job.phase is JobPhase.COMPLETED:
                assert all(task.phase is TaskPhase.DONE for _, task in tasks)
            if job.phase is JobPhase.FAILED:
                assert any(
                    self.failures.get(name, 0) >= MAX_ATTEMPTS
                    or len(self.crashed.get(name, ())) >= MIN_CRASHES
                    for name, _ in tasks
                )


InterleavingsTest = Interleavings.TestCase
InterleavingsTest.settings = settings(
    max_examples=300, stateful_step_count=40, derandomize=True, deadline=None
)


class ConfigurationTest(unittest.TestCase):
    def put(self, log: Log, version: int, document: bytes) -> Reply:
        changed = msgspec.structs.replace(
            CONFIGURATION, version=version, document=document
        )
        return log.apply(PutConfiguration(configuration=changed))

    def test_highest_version_stays_and_older_ones_change_nothing(self) -> None:
        log = Log()
        self.put(log, 5, b"five")
        self.assertEqual(type(self.put(log, 3, b"three")).__name__, "Done")
        assert log.state.configuration is not None
        self.assertEqual(log.state.configuration.document, b"five")

    def test_other_content_with_the_current_version_is_refused(self) -> None:
        log = Log()
        self.put(log, 5, b"five")
        self.assertEqual(type(self.put(log, 5, b"other")).__name__, "Refused")
        self.assertEqual(type(self.put(log, 5, b"five")).__name__, "Done")


class GangTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log = Log()
        self.log.apply(PutConfiguration(configuration=CONFIGURATION))
        for worker in WORKERS:
            self.log.apply(UpdateWorkers(reports=(make_report(worker),)))
        gang = Step(tasks=3, gang=True)
        submission = JobSubmission(payload="", steps=(gang,))
        self.log.apply(AcceptJob(job=JOBS[0], queue=QUEUE.name, submission=submission))
        self.names = [name_task(JOBS[0], 0, 0, index) for index in range(3)]

    def start(self, run: int) -> Reply:
        starts = zip(self.names, WORKERS, strict=True)
        return self.log.apply(
            StartRuns(
                starts=tuple(
                    RunStart(name, RunNumber(run), worker) for name, worker in starts
                )
            )
        )

    def end(self, index: int, run: int, end: RunEnd) -> None:
        ended = EndedRun(self.names[index], RunNumber(run), end)
        self.log.apply(EndRuns(workers=(WorkerEnds(WORKERS[index], (ended,)),)))

    def test_all_members_start_or_none(self) -> None:
        leaving = make_report(WORKERS[2], draining=True)
        self.log.apply(UpdateWorkers(reports=(leaving,)))
        self.assertEqual(self.start(1), RunsRecorded(recorded=()))

    def test_gang_starts_as_a_whole_or_not_at_all_under_a_used_number(self) -> None:
        self.start(1)
        for index in range(3):
            self.end(index, 1, RunEnd.BROKEN)
        self.assertEqual(self.start(1), RunsRecorded(recorded=()))
        self.assertEqual(self.start(2), RunsRecorded(recorded=(0, 1, 2)))

    def test_part_of_a_gang_does_not_start(self) -> None:
        starts = zip(self.names[:2], WORKERS, strict=False)
        part = tuple(RunStart(name, RunNumber(1), worker) for name, worker in starts)
        reply = self.log.apply(StartRuns(starts=part))
        self.assertEqual(reply, RunsRecorded(recorded=()))

    def test_gang_does_not_start_if_one_member_has_a_higher_number(self) -> None:
        self.start(2)
        for index in range(3):
            self.end(index, 2, RunEnd.BROKEN)
        starts = [
            RunStart(name, RunNumber(run), worker)
            for name, worker, run in zip(self.names, WORKERS, (3, 3, 4), strict=True)
        ]
        reply = self.log.apply(StartRuns(starts=tuple(starts)))
        self.assertEqual(reply, RunsRecorded(recorded=()))

    def test_success_of_one_member_completes_the_gang(self) -> None:
        self.assertEqual(self.start(1), RunsRecorded(recorded=(0, 1, 2)))
        self.end(0, 1, RunEnd.DONE)
        self.assertEqual(self.log.state.jobs[JOBS[0]].phase, JobPhase.COMPLETED)

    def test_failures_of_one_run_count_once(self) -> None:
        self.start(1)
        for index, end in enumerate((RunEnd.FAILED, RunEnd.FAILED, RunEnd.BROKEN)):
            self.end(index, 1, end)
        self.assertEqual(self.log.state.jobs[JOBS[0]].phase, JobPhase.RUNNING)
        self.start(2)
        self.end(0, 2, RunEnd.FAILED)
        self.assertEqual(self.log.state.jobs[JOBS[0]].phase, JobPhase.FAILED)


class SingleTaskCase(unittest.TestCase):
    """A log with workers, and a task that they may be given."""

    def setUp(self) -> None:
        self.log = Log()
        self.log.apply(PutConfiguration(configuration=CONFIGURATION))
        for worker in WORKERS:
            self.log.apply(UpdateWorkers(reports=(make_report(worker),)))
        self.name = name_task(JOBS[0], 0, 0, 0)

    def accept(self, *steps: Step) -> None:
        submission = JobSubmission(payload="", steps=steps)
        self.log.apply(AcceptJob(job=JOBS[0], queue=QUEUE.name, submission=submission))

    def start(self, run: int, worker: WorkerId) -> Reply:
        start = RunStart(self.name, RunNumber(run), worker)
        return self.log.apply(StartRuns(starts=(start,)))


class RepeatedProposalsTest(SingleTaskCase):
    """A leader may propose anew what it does not know to be committed."""

    def setUp(self) -> None:
        super().setUp()
        self.accept(Step(copies_allowed=True))

    def test_copy_with_a_used_run_number_is_not_recorded(self) -> None:
        self.assertEqual(self.start(1, WORKERS[0]), RunsRecorded(recorded=(0,)))
        self.assertEqual(self.start(1, WORKERS[1]), RunsRecorded(recorded=()))
        self.assertEqual(self.start(2, WORKERS[1]), RunsRecorded(recorded=(0,)))

    def test_start_with_the_number_of_an_ended_run_is_not_recorded(self) -> None:
        self.start(1, WORKERS[0])
        ended = EndedRun(self.name, RunNumber(1), RunEnd.STOPPED)
        self.log.apply(EndRuns(workers=(WorkerEnds(WORKERS[0], (ended,)),)))
        self.assertEqual(self.start(1, WORKERS[1]), RunsRecorded(recorded=()))
        self.assertEqual(self.start(2, WORKERS[1]), RunsRecorded(recorded=(0,)))

    def test_commands_about_tasks_that_a_job_does_not_have_change_nothing(self) -> None:
        """A worker may list runs of an earlier job with the same id, or of nobody."""
        job = JOBS[0]
        for name in (
            name_task(job, 0, 0, 7),
            name_task(job, 0, 7, 0),
            name_task(job, 7, 0, 0),
            name_task(job, 0, 0, -1),
            TaskName(job),
            TaskName(f"{job}.0.0"),
            TaskName(f"{job}.0.0.x"),
        ):
            start = RunStart(name, RunNumber(1), WORKERS[0])
            reply = self.log.apply(StartRuns(starts=(start,)))
            self.assertEqual(reply, RunsRecorded(recorded=()), name)
            ended = EndedRun(name, RunNumber(1), RunEnd.DONE)
            self.log.apply(EndRuns(workers=(WorkerEnds(WORKERS[0], (ended,)),)))
        self.assertEqual(self.log.state.jobs[job].phase, JobPhase.QUEUED)


class LateEndsTest(SingleTaskCase):
    """A worker may list how a run ended that was recorded as lost."""

    def setUp(self) -> None:
        super().setUp()
        self.log.apply(RaiseStateVersion(version=STATE_VERSION))

    def end(self, run: int, worker: WorkerId, end: RunEnd, saved: str = "") -> None:
        ended = EndedRun(self.name, RunNumber(run), end, CheckpointToken(saved))
        self.log.apply(EndRuns(workers=(WorkerEnds(worker, (ended,)),)))

    def find(self) -> Task:
        found = self.log.state.find_task(self.name)
        assert found is not None
        return found[3]

    def test_only_the_worker_that_had_the_run_can_list_its_success(self) -> None:
        self.accept(Step())
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST)
        self.end(1, WORKERS[1], RunEnd.DONE)
        self.end(2, WORKERS[0], RunEnd.DONE)
        self.assertIs(self.find().phase, TaskPhase.WAITING)
        self.end(1, WORKERS[0], RunEnd.DONE)
        self.assertIs(self.find().phase, TaskPhase.DONE)

    def test_failures_listed_late_do_not_count_as_attempts(self) -> None:
        """The job would be shown as failed while a later run may succeed."""
        self.accept(Step())
        for run in range(1, MAX_ATTEMPTS + 1):
            self.start(run, WORKERS[0])
            self.end(run, WORKERS[0], RunEnd.LOST)
            self.end(run, WORKERS[0], RunEnd.FAILED)
        self.assertEqual(self.find().failures, 0)
        reply = self.start(MAX_ATTEMPTS + 1, WORKERS[0])
        self.assertEqual(reply, RunsRecorded(recorded=(0,)))

    def test_checkpoint_listed_late_is_that_of_the_next_run(self) -> None:
        self.accept(Step())
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST)
        self.end(1, WORKERS[0], RunEnd.LAPSED, "saved")
        self.assertEqual(self.find().checkpoint, "saved")

    def test_gang_resumes_from_the_checkpoint_that_a_lapsed_member_lists(self) -> None:
        self.accept(Step(gang=True))
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST, "shown")
        self.end(1, WORKERS[0], RunEnd.LAPSED, "saved")
        progress = self.log.state.jobs[JOBS[0]].occurrences[0][0]
        self.assertEqual(progress.find_gang_checkpoint(), "saved")

    def test_checkpoint_of_an_earlier_run_does_not_replace_that_of_a_later_one(
        self,
    ) -> None:
        self.accept(Step())
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST)
        self.start(2, WORKERS[1])
        self.end(1, WORKERS[0], RunEnd.LAPSED, "first")
        self.end(2, WORKERS[1], RunEnd.STOPPED, "second")
        self.end(1, WORKERS[0], RunEnd.LAPSED, "first")
        self.assertEqual(self.find().checkpoint, "second")

    def test_success_counts_for_a_worker_that_was_removed_and_reports_again(
        self,
    ) -> None:
        self.accept(Step())
        self.start(1, WORKERS[0])
        self.log.apply(RemoveWorker(worker=WORKERS[0]))
        self.log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        self.end(1, WORKERS[0], RunEnd.DONE)
        self.assertIs(self.find().phase, TaskPhase.DONE)

    def test_success_of_a_copy_counts_beside_a_later_one(self) -> None:
        self.accept(Step(copies_allowed=True))
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST)
        self.start(2, WORKERS[1])
        self.end(1, WORKERS[0], RunEnd.DONE)
        self.assertIs(self.log.state.jobs[JOBS[0]].phase, JobPhase.COMPLETED)
        self.end(2, WORKERS[1], RunEnd.DONE)
        self.assertEqual(self.log.state.jobs[JOBS[0]].finished, 1)

    def test_occurrence_ends_once_a_later_run_has_ended_too(self) -> None:
        recurrence = Recurrence(times=2, first_ms=0, interval_ms=1000)
        submission = JobSubmission(payload="", steps=(Step(),), recurrence=recurrence)
        self.log.apply(AcceptJob(job=JOBS[0], queue=QUEUE.name, submission=submission))
        self.log.apply(OpenOccurrences(due=((JOBS[0], 0),)))
        self.start(1, WORKERS[0])
        self.end(1, WORKERS[0], RunEnd.LOST)
        self.start(2, WORKERS[1])
        self.end(1, WORKERS[0], RunEnd.DONE)
        job = self.log.state.jobs[JOBS[0]]
        self.assertEqual((job.finished, list(job.unfinished)), (1, [0]))
        self.end(2, WORKERS[1], RunEnd.STOPPED)
        self.assertEqual((job.finished, list(job.unfinished)), (1, []))

    def test_abandoned_runs_take_bounded_room(self) -> None:
        self.accept(Step())
        for run in range(1, 2 * MAX_ABANDONED_RUNS):
            self.start(run, WORKERS[0])
            self.end(run, WORKERS[0], RunEnd.LOST)
        self.assertEqual(len(self.find().abandoned), MAX_ABANDONED_RUNS)


class WithdrawnJobsTest(unittest.TestCase):
    def test_cancelled_jobs_are_accepted_as_cancelled_after_a_restart(self) -> None:
        log, job = Log(), JOBS[0]
        self.assertIsInstance(log.apply(CancelJob(job=job)), Refused)
        log.restart()
        submission = JobSubmission(payload="", steps=STEPS)
        log.apply(AcceptJob(job=job, queue=QUEUE.name, submission=submission))
        self.assertEqual(log.state.jobs[job].phase, JobPhase.CANCELLED)
        self.assertEqual(log.state.withdrawn, {})

    def test_cancels_of_unknown_jobs_take_bounded_room(self) -> None:
        log = Log()
        for number in range(MAX_WITHDRAWN_JOBS + 2):
            log.apply(CancelJob(job=JobId(f"j{number}")))
            log.apply(CancelJob(job=JobId("j1")))
        self.assertEqual(len(log.state.withdrawn), MAX_WITHDRAWN_JOBS)
        self.assertNotIn(JobId("j0"), log.state.withdrawn)
        self.assertIn(JobId("j1"), log.state.withdrawn)


class DrainingTest(unittest.TestCase):
    def test_nothing_starts_on_a_draining_worker(self) -> None:
        log = Log()
        log.apply(PutConfiguration(configuration=CONFIGURATION))
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0], draining=True),)))
        submission = JobSubmission(payload="", steps=STEPS)
        log.apply(AcceptJob(job=JOBS[0], queue=QUEUE.name, submission=submission))
        start = RunStart(name_task(JOBS[0], 0, 0, 0), RunNumber(1), WORKERS[0])
        self.assertEqual(
            log.apply(StartRuns(starts=(start,))), RunsRecorded(recorded=())
        )

    def test_late_report_does_not_bring_a_leaving_worker_back(self) -> None:
        log = Log()
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0], draining=True),)))
        log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        self.assertTrue(log.state.workers[WORKERS[0]].draining)


if __name__ == "__main__":
    unittest.main()
