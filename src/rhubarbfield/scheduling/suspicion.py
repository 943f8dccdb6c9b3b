"""Which tasks are suspected of crashing the workers that start them.

A worker that crashes takes all its runs with it, and only one of them may be the
cause. The load it answers: a few tasks that end each worker within moments of their
start, among many others that are lost with it. A run is suspected if the worker is
not known to have worked with it for a while, the more the fewer others had just
started. A task that was the only one, and was suspected before, is given up; a
suspect is therefore started where no other run has just started
(:mod:`rhubarbfield.scheduling.candidates`).
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta

from rhubarbfield.scheduling.crashes import CrashedRun, CrashEvidence
from rhubarbfield.scheduling.model import Step, TaskName, name_step
from rhubarbfield.scheduling.presence import PresentRun
from rhubarbfield.scheduling.state import Task

# A standing task that has worked for so long is cleared of earlier crashes.
CLEARING_TIME = timedelta(seconds=30)
# Number of other workers that fell silent at the same moment, from which on the cause
# is a common one; with the smaller number, if no run had just started on one of them.
COMMON_CAUSE_WORKERS = 3
MIN_COMMON_CAUSE_WORKERS = 2

WHOLE_BLAME = 100
# Two crashes decide if four runs at most had just started at the first, and none but
# the suspect at the second.
BLAME_TO_GIVE_UP = WHOLE_BLAME + WHOLE_BLAME // 4
MIN_CERTAIN_CRASHES = 2
# The users allow two starts after the third crash.
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
    unknown = sum(run.worked is None for run in runs)
    recent = len(units) + unknown

    def assess(run: PresentRun) -> CrashEvidence | None:
        step = find_step(run.key.task)
        if run.worked is None:
            return CrashEvidence.EARLIER
        if run.is_fresh:
            if has_common_cause:
                return CrashEvidence.EARLIER
            return CrashEvidence.ALONE if recent == 1 else CrashEvidence.RECENT
        if step is not None and step.standing and run.worked >= CLEARING_TIME:
            return CrashEvidence.CLEARED
        return None if has_common_cause else CrashEvidence.EARLIER

    assessed = ((run, assess(run)) for run in runs)
    return [
        CrashedRun(run.key.task, run.key.run, evidence, recent, run.is_certain)
        for run, evidence in assessed
        if evidence is not None
    ]


def is_common_cause(simultaneous: int, count_without_start: Callable[[], int]) -> bool:
    """Return whether a worker fell silent for a reason that others share.

    Parameters
    ----------
    simultaneous
        Number of other workers that may have fallen silent at the same moment.
    count_without_start
        Returns the number of these on which no run had just started.
    """
    if simultaneous >= COMMON_CAUSE_WORKERS:
        return True
    return simultaneous >= MIN_COMMON_CAUSE_WORKERS and count_without_start() > 0


def record_crash(task: Task, crashed: CrashedRun) -> bool:
    """Count a crash for a task; return whether the task is to be given up.

    It counts once for each run: several members of a gang share the number, and a
    crash may be proved long after later ones.
    """
    if crashed.run in task.crashed_runs:
        return False
    if crashed.evidence is CrashEvidence.CLEARED:
        task.crashed_runs.clear()
        task.certain_crashes = task.blame = 0
        return False
    task.crashed_runs.append(crashed.run)
    task.certain_crashes += crashed.is_certain
    if crashed.evidence is not CrashEvidence.EARLIER:
        task.blame += WHOLE_BLAME // max(crashed.recent, 1)
    is_convincing = (
        crashed.evidence is CrashEvidence.ALONE
        and task.blame >= BLAME_TO_GIVE_UP
        and task.certain_crashes >= MIN_CERTAIN_CRASHES
    )
    return is_convincing or task.crashes >= MAX_CRASHES


def _find_unit(task: TaskName, step: Step | None) -> str:
    """Return the name of what starts and ends together: a task, or a whole gang."""
    is_gang = step is not None and step.gang
    return name_step(task) if is_gang else task
