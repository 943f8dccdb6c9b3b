"""Jobs of the random days on which workers carry out orders late."""

from __future__ import annotations

import random
from datetime import timedelta

from rhubarbfield.scheduling.model import Demand, Step, StepName, TaskName
from rhubarbfield.scheduling.state import RunEnd
from tests.scheduling import inputs
from tests.scheduling.deployments import ONE_CORE
from tests.scheduling.inputs import Inputs
from tests.scheduling.late_gangs import StepPlan
from tests.scheduling.late_orders import LateFleet

WIDE_TASKS = 48  # as many or more have the smallest demand
WIDE_DEMAND = Demand(10, 10)


class LateJobs:
    """Draws jobs, and tells the workers what their runs do.

    Parameters
    ----------
    fleet
        The workers.
    rng
        Source of luck of the narrow days.
    drawn
        Draws of the wide days; None on a narrow one.
    """

    def __init__(
        self, fleet: LateFleet, rng: random.Random, drawn: Inputs | None
    ) -> None:
        self._fleet = fleet
        self._random = rng
        self._drawn = drawn

    def make(self, name: str) -> tuple[Step, ...]:
        """Return the steps of a new job."""
        if self._drawn is None:
            steps = (self._make_narrow(),)
        else:
            count = int(self._drawn.draw(inputs.STEPS, (8, 2, 1)))
            steps = tuple(
                self._draw_step(StepName(f"{name}.0.{index}"), index, self._drawn)
                for index in range(count)
            )
        for index, step in enumerate(steps):
            tasks = [TaskName(f"{name}.0.{index}.{i}") for i in range(step.tasks)]
            for worker in self._fleet.lives:
                worker.demands.update(dict.fromkeys(tasks, step.demand))
            if step.standing:
                self._fleet.endless.update(tasks)
        return steps

    def draw_cancel(self) -> float | None:
        """Return after how many seconds a new job is cancelled, or None for never."""
        drawn = self._drawn
        if drawn is None or drawn.choose(inputs.IS_CANCELLED, (9, 1)) == "no":
            return None
        return drawn.draw(inputs.CANCEL_SECONDS)

    def _make_narrow(self) -> Step:
        draw = self._random
        is_standing = draw.random() < 0.05
        return Step(
            tasks=draw.randint(1, 3),
            demand=ONE_CORE,
            estimate_ms=1000,
            standing=is_standing,
        )

    def _draw_step(self, name: StepName, index: int, drawn: Inputs) -> Step:
        kind = drawn.choose(inputs.STEP_KIND, (16, 2, 2, 1))
        saves = kind == "gang that saves"
        is_gang = saves or kind == "gang"
        if is_gang:
            tasks, demand = int(drawn.draw(inputs.GANG_WIDTH)), ONE_CORE
        else:
            tasks = int(drawn.draw(inputs.WIDTH, (30, 5, 1, 1, 0.5)))
            demand = Demand(int(drawn.draw(inputs.CORES, (2, 2, 8, 1))), 1000)
        if tasks >= WIDE_TASKS:
            demand = WIDE_DEMAND
        seconds = drawn.draw(inputs.RUN_SECONDS, (2, 2, 1))
        end = RunEnd(drawn.choose(inputs.RUN_END, (19, 1)))
        duration = timedelta(seconds=seconds)
        self._fleet.plans[name] = StepPlan(tasks, duration, end, is_gang, saves)
        if is_gang:
            self._fleet.gang_steps.add(name)
        return Step(
            tasks=tasks,
            demand=demand,
            estimate_ms=1000,
            after=(index - 1,) if index else (),
            checkpoints=saves,
            gang=is_gang,
            standing=kind == "standing",
        )
