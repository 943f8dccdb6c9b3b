"""Checkpoints that the latest views of workers show, for runs that are lost."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

from rhubarbfield.scheduling.model import (
    CheckpointToken,
    TaskName,
    name_step,
)
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import SchedulingState
from rhubarbfield.types import WorkerId

if TYPE_CHECKING:
    from rhubarbfield.scheduling.session import WorkerSession


def list_shown_checkpoints(
    state: SchedulingState,
    sessions: Mapping[WorkerId, WorkerSession],
    worker: WorkerId,
) -> dict[TaskName, CheckpointToken]:
    """Return the newest checkpoint shown of each run that is recorded on a worker.

    For a member of a gang it is the one in the latest view of any member.
    """
    record = state.workers.get(worker)
    shown = {}
    for task, run in ({} if record is None else record.runs).items():
        views = list(_list_views(state, sessions, RunKey(task, run), worker))
        if views:
            shown[task] = min(views)[1]
    return shown


def _list_views(
    state: SchedulingState,
    sessions: Mapping[WorkerId, WorkerSession],
    key: RunKey,
    worker: WorkerId,
) -> Iterator[tuple[timedelta, CheckpointToken]]:
    """Yield age and checkpoint of each view of a run, or of any member of its gang."""
    found = state.find_task(key.task)
    workers = {worker}
    gang = None
    if found is not None and found[0].get_step(found[2]).gang:
        job, occurrence, step, _ = found
        gang = name_step(key.task)
        members = job.occurrences[occurrence][step].tasks
        workers |= {each.live[key.run] for each in members if key.run in each.live}
    for session in (sessions[each] for each in workers & sessions.keys()):
        age = session.view_age
        if age is None:
            continue
        for active in session.active.values():
            is_shown = active.task == key.task or name_step(active.task) == gang
            if is_shown and active.run == key.run and active.checkpoint:
                yield age, active.checkpoint
