"""Which tasks are suspected of crashing the workers that start them.

A worker that crashes takes all its runs with it, and only one of them may be the
cause. The load it answers: a few tasks that end each worker within moments of their
start, among many others that are lost with it. A run is suspected if the worker is
not known to have worked with it for a while. A task that was the only one, and was
suspected before, is given up; a suspect is therefore started where no other run has
just started (:mod:`rhubarbfield.scheduling.candidates`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from rhubarbfield.scheduling.model import Step, TaskName
from rhubarbfield.scheduling.silences import PresentRun
from rhubarbfield.scheduling.state import CrashedRun, CrashEvidence, Task

# A standing task that has worked for so long is cleared of earlier crashes.
CLEARING_TIME = timedelta(seconds=30)
# Others that fell silent at the same moment, from which on the cause is a common one;
# a single one is enough if no run had just started there, and there are two at least.
COMMON_CAUSE_WORKERS = 4
MIN_COMMON_CAUSE_WORKERS = 2

MIN_CRASHES_TO_GIVE_UP = 2
# The users allow two starts after the third crash. One is kept for an order that is
# carried out late.
MAX_SUSPICIONS = 4
MAX_CRASHES = 5


def assess_runs(
    runs: Sequence[PresentRun],
    *,
    has_common_cause: bool,
    find_step: Callable[[TaskName], Step | None],
) -> list[CrashedRun]:
    """Return what the crash of a worker says about its runs.

    A run that had worked for a while is left out if the crash had a common cause.

    Parameters
    ----------
    runs
        The runs that the worker had, or may have, started.
    has_common_cause
        Whether other workers fell silent at the same moment.
    find_step
        Returns the step of a task, or None if it is not known.
    """
    fresh = (run.key.task for run in runs if run.is_fresh)
    units = {_find_unit(task, find_step(task)) for task in fresh}
    is_only_one = len(units) == 1 and all(run.worked is not None for run in runs)

    def assess(run: PresentRun) -> CrashEvidence | None:
        step = find_step(run.key.task)
        if run.worked is None:
            return CrashEvidence.EARLIER
        if run.is_fresh:
            if has_common_cause:
                return CrashEvidence.EARLIER
            return CrashEvidence.ALONE if is_only_one else CrashEvidence.RECENT
        if step is not None and step.standing and run.worked >= CLEARING_TIME:
            return CrashEvidence.CLEARED
        return None if has_common_cause else CrashEvidence.EARLIER

    assessed = ((run.key, assess(run)) for run in runs)
    return [
        CrashedRun(key.task, key.run, evidence)
        for key, evidence in assessed
        if evidence is not None
    ]


def has_common_cause(simultaneous: int, without_start: int) -> bool:
    """Return whether a worker fell silent for a reason that others share.

    Parameters
    ----------
    simultaneous
        Number of other workers that may have fallen silent at the same moment.
    without_start
        Number of these on which no run had just started.
    """
    if simultaneous >= COMMON_CAUSE_WORKERS:
        return True
    return simultaneous >= MIN_COMMON_CAUSE_WORKERS and without_start > 0


def record_crash(task: Task, crashed: CrashedRun) -> bool:
    """Count a crash for a task; return whether the task is to be given up.

    It counts once for each run: several members of a gang share the number.
    """
    if crashed.run <= task.crashed_run:
        return False
    task.crashed_run = crashed.run
    if crashed.evidence is CrashEvidence.CLEARED:
        task.crashes = task.suspicions = 0
        return False
    task.crashes += 1
    task.suspicions += crashed.evidence is not CrashEvidence.EARLIER
    is_only_one = crashed.evidence is CrashEvidence.ALONE
    return (
        (is_only_one and task.suspicions >= MIN_CRASHES_TO_GIVE_UP)
        or task.suspicions >= MAX_SUSPICIONS
        or task.crashes >= MAX_CRASHES
    )


def _find_unit(task: TaskName, step: Step | None) -> str:
    """Return the name of what starts and ends together: a task, or a whole gang."""
    is_gang = step is not None and step.gang
    return task.rpartition(".")[0] if is_gang else task
