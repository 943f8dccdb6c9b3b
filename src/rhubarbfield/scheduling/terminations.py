"""Stops of runs whose job, task or gang has ended."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.commands import CancelJob, EndRuns, RemoveWorker
from rhubarbfield.scheduling.model import TaskName, name_task
from rhubarbfield.scheduling.orders import StopReason
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import (
    Job,
    RunEnd,
    SchedulingState,
    Task,
)
from rhubarbfield.types import JobId, LogIndex, WorkerId


class Terminations:
    """Orders runs to stop once their job or task has ended.

    Members of a gang that lacks one are stopped, too: they would wait for it, and then
    end for want of it.

    It examines only what the applied commands may have ended, so that its cost
    does not grow with the number of jobs.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    sessions
        The leader's session with each worker.
    """

    def __init__(
        self,
        get_state: Callable[[], SchedulingState],
        sessions: Mapping[WorkerId, WorkerSession],
    ) -> None:
        self._get_state = get_state
        self._sessions = sessions
        # Sets in the order of insertion, so that each run of a test is alike.
        self._jobs: dict[JobId, None] = {}
        self._tasks: dict[TaskName, None] = {}
        self._workers: dict[WorkerId, None] = {}
        self._ended_runs: dict[RunKey, None] = {}

    def watch_command(self, _index: LogIndex, command: Command, _reply: Reply) -> None:
        """Note which jobs and tasks an applied command may have ended."""
        match command:
            case CancelJob(job=job):
                self._jobs[job] = None
            case EndRuns(workers=workers):
                for report in workers:
                    for ended in report.ends:
                        if ended.end in (RunEnd.DONE, RunEnd.FAILED):
                            self._tasks[ended.task] = None
                        if ended.end is not RunEnd.DONE:
                            self.add_ended_run(RunKey(ended.task, ended.run))
            case RemoveWorker(crashed=crashed):
                for each in crashed:
                    self._tasks[each.task] = None

    def add_ended_run(self, key: RunKey) -> None:
        """Examine the gang of a run that has ended without success, if it has one."""
        self._ended_runs[key] = None

    def add_worker(self, worker: WorkerId) -> None:
        """Examine all runs of a worker, whose session is new."""
        self._workers[worker] = None

    def stop_obsolete(self) -> None:
        """Order the runs to stop that became obsolete since the last call."""
        state = self._get_state()
        tasks, self._tasks = self._tasks, {}
        for name in tasks:
            self._stop_siblings(state, name)
        jobs, self._jobs = self._jobs, {}
        for job in jobs:
            found = state.jobs.get(job)
            if found is not None and not found.is_open:
                self._stop_job(found)
        ended_runs, self._ended_runs = self._ended_runs, {}
        for key in ended_runs:
            self._stop_gang(state, key)
        workers, self._workers = self._workers, {}
        for worker in workers:
            record = state.workers.get(worker)
            runs = {} if record is None else record.runs
            for name, run in runs.items():
                if not state.is_wanted(name):
                    self._stop(worker, RunKey(name, run))

    def _stop_siblings(self, state: SchedulingState, name: TaskName) -> None:
        """Stop the other runs that the end of a task makes obsolete."""
        found = state.find_task(name)
        if found is None:
            return
        job, occurrence, step, task = found
        if not job.is_open:
            self._jobs[job.job] = None
        elif task.phase.is_final:
            is_gang = job.get_step(step).gang
            tasks = job.occurrences[occurrence][step].tasks if is_gang else ()
            self._stop_runs(name, task)
            for index, sibling in enumerate(tasks):
                self._stop_runs(name_task(job.job, occurrence, step, index), sibling)

    def _stop_gang(self, state: SchedulingState, key: RunKey) -> None:
        """Stop the other members of a gang's run, of which one has ended."""
        found = state.find_task(key.task)
        if found is None:
            return
        job, occurrence, step, _ = found
        if not job.get_step(step).gang:
            return
        for index, member in enumerate(job.occurrences[occurrence][step].tasks):
            worker = member.live.get(key.run)
            if worker is not None:
                name = name_task(job.job, occurrence, step, index)
                self._stop(worker, RunKey(name, key.run), StopReason.GANG)

    def _stop_job(self, job: Job) -> None:
        for occurrence, steps in job.unfinished.items():
            for step, progress in enumerate(steps):
                for index, task in enumerate(progress.tasks):
                    if task.live:
                        name = name_task(job.job, occurrence, step, index)
                        self._stop_runs(name, task)

    def _stop_runs(self, name: TaskName, task: Task) -> None:
        for run, worker in task.live.items():
            self._stop(worker, RunKey(name, run))

    def _stop(
        self, worker: WorkerId, key: RunKey, reason: StopReason = StopReason.OBSOLETE
    ) -> None:
        session = self._sessions.get(worker)
        if session is not None:
            session.stop(key, reason)
