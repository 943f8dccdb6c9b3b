"""Steps for which no worker was found, so that alike ones are not searched again."""

from __future__ import annotations

from rhubarbfield.scheduling.headroom import WaitingStep
from rhubarbfield.scheduling.model import Demand, ImageName, Label
from rhubarbfield.types import ServiceName

# Service, required label, and the image of a task that works on spare cores.
Constraints = tuple[ServiceName, Label, ImageName | None]


class Rejections:
    """The demands of steps that no worker could take."""

    def __init__(self) -> None:
        self._demands: dict[Constraints, list[Demand]] = {}

    def add(self, waiting: WaitingStep) -> None:
        """Record that no worker could take a task of a step."""
        constraints = _get_constraints(waiting)
        self._demands.setdefault(constraints, []).append(waiting.step.demand)

    def covers(self, waiting: WaitingStep) -> bool:
        """Return whether a step needs no less than one that no worker could take."""
        demand = waiting.step.demand
        rejected = self._demands.get(_get_constraints(waiting), ())
        return any(smaller.fits(demand) for smaller in rejected)

    def clear(self) -> None:
        """Forget all steps."""
        self._demands.clear()


def _get_constraints(waiting: WaitingStep) -> Constraints:
    """Return what decides besides the demand whether a worker can take a task."""
    step = waiting.step
    image = step.image if step.uses_spare_cores else None
    return waiting.queue.service, step.required_label, image
