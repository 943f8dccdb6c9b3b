"""Runs of gangs on stand-in workers, whose members work and end together."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import TYPE_CHECKING

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.model import (
    CheckpointToken,
    RunNumber,
    StepName,
    TaskName,
    name_step,
)
from rhubarbfield.scheduling.state import RunEnd

if TYPE_CHECKING:
    from tests.scheduling.late_orders import LateWorker

WAIT_FOR_MEMBERS = timedelta(seconds=3)
SAVE_INTERVAL = timedelta(seconds=2)


class StepPlan(msgspec.Struct, frozen=True):
    """What the runs of a step do.

    Attributes
    ----------
    tasks
        Number of tasks.
    duration
        How long a run, or the work of a whole gang, takes.
    end
        How runs may end by themselves.
    is_gang
        Whether the tasks work and end together.
    saves
        Whether the gang saves progress.
    """

    tasks: int
    duration: timedelta
    end: RunEnd = RunEnd.DONE
    is_gang: bool = False
    saves: bool = False


class GangRun(msgspec.Struct):
    """A run of a gang of which members have started.

    Attributes
    ----------
    members
        The members that have started, with the checkpoint that each was given.
    joined_at
        Monotonic time of the first start.
    began_at
        Monotonic time at which all worked; None before.
    saves
        Number of saves.
    """

    joined_at: timedelta
    members: dict[TaskName, tuple[LateWorker, CheckpointToken]] = {}
    began_at: timedelta | None = None
    saves: int = 0


class Gangs:
    """The runs of gangs on all workers.

    Parameters
    ----------
    clock
        Clock that tells how long a gang waits and works.
    plans
        What the runs of each step do.
    """

    def __init__(self, clock: Clock, plans: Mapping[StepName, StepPlan]) -> None:
        self._clock = clock
        self._plans = plans
        self._open: dict[tuple[StepName, RunNumber], GangRun] = {}

    def join(
        self,
        worker: LateWorker,
        task: TaskName,
        run: RunNumber,
        checkpoint: CheckpointToken,
    ) -> None:
        """Add a member that has started."""
        key = (name_step(task), run)
        gang = self._open.setdefault(key, GangRun(self._clock.monotonic()))
        gang.members.setdefault(task, (worker, checkpoint))

    def advance(self) -> None:
        """Let gangs begin, save, and end as is due by now."""
        for key, gang in list(self._open.items()):
            if self._advance(key, gang):
                del self._open[key]

    def _advance(self, key: tuple[StepName, RunNumber], gang: GangRun) -> bool:
        """Advance a gang; return whether its run is over."""
        now = self._clock.monotonic()
        plan = self._plans[key[0]]
        present = {
            task: worker
            for task, (worker, _) in gang.members.items()
            if _works_on(worker, task, key[1])
        }
        if len(present) < len(gang.members):
            _end_members(present, RunEnd.BROKEN)
            return True
        if gang.began_at is None:
            given = {checkpoint for _, checkpoint in gang.members.values()}
            if len(present) == plan.tasks and len(given) == 1:
                gang.began_at = now
            elif now - gang.joined_at > WAIT_FOR_MEMBERS:
                _end_members(present, RunEnd.ALONE)
                return True
            return False
        if now - gang.began_at >= plan.duration:
            _end_members(present, plan.end)
            return True
        if plan.saves and (now - gang.began_at) // SAVE_INTERVAL > gang.saves:
            gang.saves += 1
            for task, worker in present.items():
                token = CheckpointToken(f"{key[0]}/{key[1]}/{gang.saves}")
                worker.runs[task].checkpoint = token
        return False


def _works_on(worker: LateWorker, task: TaskName, run: RunNumber) -> bool:
    if worker.is_down:
        return False
    worker.end_due_runs()
    return task in worker.runs and worker.runs[task].run == run


def _end_members(members: Mapping[TaskName, LateWorker], end: RunEnd) -> None:
    for task, worker in members.items():
        worker.end_run(task, end)
