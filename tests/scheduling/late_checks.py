"""Checks of the starts on the days on which orders are carried out late."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from rhubarbfield.scheduling.model import StepName, TaskName, name_step
from tests.scheduling.late_gangs import StepPlan
from tests.scheduling.late_orders import LateFleet


def list_early_starts(fleet: LateFleet) -> list[str]:
    """Return the starts of tasks before the end of the step before theirs."""
    done: dict[TaskName | StepName, timedelta] = {}
    for worker in fleet.lives:
        for each in worker.done:
            name = fleet.name_whole(each.task)
            done[name] = min(done.get(name, each.ended_at), each.ended_at)
    return [
        f"{task} starts at {at} before the end of {before}"
        for worker in fleet.lives
        for task, _, at in worker.started
        for before in _list_before(fleet.plans, name_step(task))
        if done.get(before, timedelta.max) > at
    ]


def _list_before(
    plans: Mapping[StepName, StepPlan], step: StepName
) -> list[TaskName | StepName]:
    """Return the tasks, or the gang, that have to be done before a step starts."""
    occurrence, _, index = step.rpartition(".")
    before = StepName(f"{occurrence}.{int(index) - 1}")
    plan = plans.get(before)
    if plan is None:
        return []
    if plan.is_gang:
        return [before]
    return [TaskName(f"{before}.{position}") for position in range(plan.tasks)]
