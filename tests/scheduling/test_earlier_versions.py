"""Tests that logs and snapshots of earlier versions are read, and read alike."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec

from rhubarbfield.scheduling.commands import (
    AcceptJob,
    EndedRun,
    EndRuns,
    PutConfiguration,
    RaiseStateVersion,
    RemoveWorker,
    RunStart,
    StartRuns,
    UpdateWorkers,
    WorkerEnds,
)
from rhubarbfield.scheduling.crashes import CrashedRun, CrashEvidence
from rhubarbfield.scheduling.gang_checkpoints import CheckpointSource
from rhubarbfield.scheduling.model import (
    LATE_SUCCESS_VERSION,
    CheckpointToken,
    JobSubmission,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.ports import CallFailure, NoReply
from rhubarbfield.scheduling.state import RunEnd, StepProgress, Task, TaskPhase
from rhubarbfield.types import JobId, LogIndex
from tests.scheduling.deployments import CONFIGURATION, QUEUE
from tests.scheduling.test_appliers import WORKERS, Log, make_report

TASK = TaskName("j.0.0.0")
# Number of fields of a task, and of a worker's report, before crashes were counted.
EARLIER_TASK_FIELDS = 5
EARLIER_REPORT_FIELDS = 8
EARLIER_STEP_FIELDS = 3  # before gangs had a checkpoint
NEW_WORKER_FIELDS = ("sequence", "lapsed", "brief", "witnesses")


class EarlierTask(msgspec.Struct, array_like=True):
    """A task as an earlier version reads it."""

    phase: int
    last_run: int
    failures: int
    checkpoint: str
    live: dict[int, str]


class EarlierStep(msgspec.Struct, array_like=True):
    """The progress of a step as an earlier version reads it."""

    tasks: list[EarlierTask]
    done: int
    failed_runs: list[int]


class EarlierEnds(msgspec.Struct, array_like=True):
    """Ends of runs on one worker as an earlier version reads them."""

    worker: str
    ends: list[Any]
    recorded_ends: int = 0
    lapsed: list[Any] = []
    brief: list[Any] = []
    proven: list[Any] = []


def make_running_log() -> Log:
    """Return a log with a run on the first worker."""
    log = Log()
    log.apply(PutConfiguration(configuration=CONFIGURATION))
    log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
    submission = JobSubmission(payload="", steps=(Step(),))
    log.apply(AcceptJob(job=JobId("j"), queue=QUEUE.name, submission=submission))
    log.apply(StartRuns(starts=(RunStart(TASK, RunNumber(1), WORKERS[0]),)))
    return log


def find_steps(snapshot: Any) -> list[list[Any]]:
    """Return the encoded steps of a decoded snapshot."""
    jobs = snapshot["scheduling"]["jobs"].values()
    return [
        step for job in jobs for steps in job["occurrences"].values() for step in steps
    ]


def find_tasks(snapshot: Any) -> list[list[Any]]:
    """Return the encoded tasks of a decoded snapshot."""
    return [task for step in find_steps(snapshot) for task in step[0]]


class SnapshotsTest(unittest.TestCase):
    def test_snapshot_of_an_earlier_version_is_restored(self) -> None:
        log = make_running_log()
        snapshot = msgspec.msgpack.decode(log.machine.take_snapshot(), strict=False)
        for task in find_tasks(snapshot):
            del task[EARLIER_TASK_FIELDS:]
        for step in find_steps(snapshot):
            del step[EARLIER_STEP_FIELDS:]
        for worker in snapshot["scheduling"]["workers"].values():
            for name in NEW_WORKER_FIELDS:
                del worker[name]
        del snapshot["scheduling"]["withdrawn"]
        expected = msgspec.to_builtins(log.state)
        log.machine.restore(msgspec.msgpack.encode(snapshot))
        self.assertEqual(msgspec.to_builtins(log.state), expected)

    def test_earlier_version_reads_tasks_of_this_one(self) -> None:
        log = make_running_log()
        snapshot = msgspec.msgpack.decode(log.machine.take_snapshot(), strict=False)
        for task in find_tasks(snapshot):
            encoded = msgspec.msgpack.encode(task)
            read = msgspec.msgpack.decode(encoded, type=EarlierTask)
            self.assertEqual((read.phase, read.last_run), (TaskPhase.LIVE, 1))

    def test_earlier_version_reads_the_steps_of_gangs(self) -> None:
        checkpoint = CheckpointToken("saved")
        progress = StepProgress([Task(checkpoint=checkpoint)])
        run = RunNumber(1)
        progress.save_gang_checkpoint(checkpoint, run, CheckpointSource.END)
        encoded = msgspec.msgpack.encode(progress)
        read = msgspec.msgpack.decode(encoded, type=EarlierStep)
        self.assertEqual((read.done, read.tasks[0].checkpoint), (0, "saved"))


class CommandsTest(unittest.TestCase):
    def apply_without(self, log: Log, command: Any, *names: str) -> None:
        """Apply a command as an earlier version encoded it."""
        encoded = msgspec.msgpack.decode(log.machine.encode_command(command))
        for name in names:
            del encoded[name]
        log.machine.apply(LogIndex(99), msgspec.msgpack.encode(encoded))

    def test_removal_of_an_earlier_version_counts_no_crash(self) -> None:
        log = make_running_log()
        self.apply_without(log, RemoveWorker(worker=WORKERS[0]), "crashed")
        found = log.state.find_task(TASK)
        assert found is not None
        self.assertEqual((found[3].phase, found[3].crashes), (TaskPhase.WAITING, 0))

    def test_removal_of_this_version_counts_a_crash_once(self) -> None:
        log = make_running_log()
        crashed = CrashedRun(TASK, RunNumber(1), CrashEvidence.ALONE, 1)
        command = RemoveWorker(worker=WORKERS[0], crashed=(crashed,))
        log.apply(command)
        log.apply(command)
        found = log.state.find_task(TASK)
        assert found is not None
        self.assertEqual((found[3].crashes, found[3].blame), (1, 100))

    def test_report_of_an_earlier_version_is_applied(self) -> None:
        log = make_running_log()
        command = UpdateWorkers(reports=(make_report(WORKERS[1]),))
        encoded = msgspec.msgpack.decode(log.machine.encode_command(command))
        encoded["reports"] = [
            each[:EARLIER_REPORT_FIELDS] for each in encoded["reports"]
        ]
        log.machine.apply(LogIndex(99), msgspec.msgpack.encode(encoded))
        self.assertIn(WORKERS[1], log.state.workers)

    def test_ends_of_an_earlier_version_are_read(self) -> None:
        encoded = msgspec.msgpack.encode([WORKERS[0], [[TASK, 1, "lost", ""]], 2])
        report = msgspec.msgpack.decode(encoded, type=WorkerEnds)
        ended = EndedRun(TASK, RunNumber(1), RunEnd.LOST)
        self.assertEqual(report, WorkerEnds(WORKERS[0], (ended,), 2))

    def test_ends_of_an_earlier_version_keep_their_effect(self) -> None:
        log = make_running_log()
        ended = EndedRun(TASK, RunNumber(1), RunEnd.STOPPED)
        encoded = msgspec.msgpack.decode(
            log.machine.encode_command(EndRuns(workers=(WorkerEnds(WORKERS[0], ()),)))
        )
        encoded["workers"] = [[WORKERS[0], [msgspec.to_builtins(ended)], 1, []]]
        log.machine.apply(LogIndex(99), msgspec.msgpack.encode(encoded))
        found = log.state.find_task(TASK)
        assert found is not None
        self.assertEqual((found[3].phase, found[3].crashes), (TaskPhase.WAITING, 0))
        self.assertEqual(log.state.workers[WORKERS[0]].unresolved, [])

    def list_success_late(self, log: Log) -> TaskPhase:
        """Let the worker list a run as done that was recorded as lost."""
        done = EndedRun(TASK, RunNumber(1), RunEnd.DONE)
        lost = EndedRun(TASK, RunNumber(1), RunEnd.LOST)
        log.apply(EndRuns(workers=(WorkerEnds(WORKERS[0], (lost,)),)))
        encoded = msgspec.msgpack.decode(
            log.machine.encode_command(EndRuns(workers=(WorkerEnds(WORKERS[0], ()),)))
        )
        report = [WORKERS[0], [msgspec.to_builtins(done)], 1, [], [], []]
        encoded["workers"] = [report]
        log.machine.apply(LogIndex(99), msgspec.msgpack.encode(encoded))
        found = log.state.find_task(TASK)
        assert found is not None
        return found[3].phase

    def test_late_success_in_a_log_of_an_earlier_version_stays_without_effect(
        self,
    ) -> None:
        """The run that an earlier leader then recorded is in that log, too."""
        phase = self.list_success_late(make_running_log())
        self.assertIs(phase, TaskPhase.WAITING)

    def test_late_success_of_this_version_completes_its_task(self) -> None:
        log = make_running_log()
        log.apply(RaiseStateVersion(version=LATE_SUCCESS_VERSION))
        phase = self.list_success_late(log)
        self.assertIs(phase, TaskPhase.DONE)

    def test_earlier_version_reads_the_ends_of_this_one(self) -> None:
        report = WorkerEnds(WORKERS[0], (), 1)
        read = msgspec.convert(msgspec.to_builtins(report), type=EarlierEnds)
        self.assertEqual(read, EarlierEnds(WORKERS[0], [], 1))


class RelayedRepliesTest(unittest.TestCase):
    def test_failure_at_a_relay_of_an_earlier_version_is_in_doubt(self) -> None:
        encoded = msgspec.msgpack.encode(["no-reply", "refused"])
        failure = msgspec.msgpack.decode(encoded, type=CallFailure)
        self.assertEqual(failure, NoReply("refused", was_sent=True))


if __name__ == "__main__":
    unittest.main()
