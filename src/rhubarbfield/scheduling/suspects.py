"""Suspected tasks of open jobs, and the workers that try them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.commands import RemoveWorker
from rhubarbfield.scheduling.model import RunNumber, TaskName, name_task
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import Job, SchedulingState, Task
from rhubarbfield.types import LogIndex, WorkerId

# How long a suspect waits for a worker on which no other run has just started.
MAX_TRIAL_DELAY = timedelta(seconds=1.5)
# Share of the workers on which suspects may keep others from starting.
MAX_TRIAL_SHARE = 0.5


class Suspects:
    """The tasks that may crash the workers that start them.

    They are few: its cost does not grow with the number of jobs or workers.

    Parameters
    ----------
    get_state
        Returns the replicated state.
    clock
        Source of time.
    """

    def __init__(self, get_state: Callable[[], SchedulingState], clock: Clock) -> None:
        self._get_state = get_state
        self._clock = clock
        self._waiting_since: dict[TaskName, tuple[RunNumber, timedelta]] = {}
        # A set in the order of insertion, so that each run of a test is alike.
        self._names: dict[TaskName, None] = {}
        self._runs: dict[WorkerId, list[RunKey]] | None = None

    def find_all(self) -> None:
        """Find the suspects that earlier leaders have left."""
        for job in self._get_state().jobs.values():
            if not job.is_open:
                continue
            for occurrence, steps in job.unfinished.items():
                for number, step in enumerate(steps):
                    for index, task in enumerate(step.tasks):
                        if task.is_suspect:
                            name = name_task(job.job, occurrence, number, index)
                            self._names[name] = None

    def watch_command(self, _index: LogIndex, command: Command, _reply: Reply) -> None:
        """Note the tasks that an applied command may have made suspects."""
        self._runs = None
        if isinstance(command, RemoveWorker):
            for each in command.crashed:
                self._names[each.task] = None

    def has_suspect(self, worker: WorkerId) -> bool:
        """Return whether a worker has a run of a suspect."""
        return bool(self._names) and bool(self._list_runs(worker))

    def is_trying(self, session: WorkerSession) -> bool:
        """Return whether nothing else may start on a worker that tries a suspect.

        It may once the worker has worked with the suspect for a while, or if so many
        workers have suspects that little would be left to others.
        """
        if not self._names:
            return False
        runs = self._list_runs(session.worker)
        if not runs or self._has_too_many_trials():
            return False
        return any(not session.presence.is_proven(key) for key in runs)

    def may_wait(self, name: TaskName, last_run: RunNumber) -> bool:
        """Return whether a suspect may wait for a worker to itself.

        Parameters
        ----------
        name
            The task, which has capacity elsewhere.
        last_run
            Its last run; a later one begins to wait anew.
        """
        now = self._clock.monotonic()
        run, since = self._waiting_since.get(name, (None, now))
        if run != last_run:
            since = now
        self._waiting_since[name] = last_run, since
        return now - since < MAX_TRIAL_DELAY

    def count_unresolved(self) -> Counter[TaskName]:
        """Return how many workers each task may have crashed without a proof yet."""
        return Counter(
            each.task
            for worker in self._get_state().workers.values()
            for each in worker.unresolved
        )

    def _list_runs(self, worker: WorkerId) -> list[RunKey]:
        if self._runs is None:
            self._runs = self._map_runs()
        return self._runs.get(worker, [])

    def _has_too_many_trials(self) -> bool:
        workers = len(self._get_state().workers)
        return len(self._runs or ()) > workers * MAX_TRIAL_SHARE

    def _map_runs(self) -> dict[WorkerId, list[RunKey]]:
        """Return the live runs of the suspects by worker; forget those that ended."""
        state = self._get_state()
        runs: dict[WorkerId, list[RunKey]] = {}
        for name in list(self._names):
            found = state.find_task(name)
            if found is None or not _is_open_suspect(found[0], found[3]):
                del self._names[name]
                self._waiting_since.pop(name, None)
                continue
            for run, worker in found[3].live.items():
                runs.setdefault(worker, []).append(RunKey(name, run))
        return runs


def _is_open_suspect(job: Job, task: Task) -> bool:
    return job.is_open and not task.phase.is_final and task.is_suspect
