"""Model of the load on services and of the interference from batch work."""

from __future__ import annotations

import math
from datetime import timedelta
from random import Random

from rhubarbfield.placement import BatchKind
from rhubarbfield.types import ServiceName

LOAD_PERIOD_SECONDS = 5400.0
HARMFUL_FRACTION = 0.3
HARMFUL_RANGE = (2.0, 4.5)
BENIGN_RANGE = (0.0, 0.4)
GOAL_TO_BASE_RATIO = 2.5


class InterferenceModel:
    """True loads, latencies and interference, hidden from the placement policy.

    Parameters
    ----------
    services, kinds
        Names of the services and of the kinds of batch work.
    random
        Source of the hidden values.
    """

    def __init__(
        self,
        services: tuple[ServiceName, ...],
        kinds: tuple[BatchKind, ...],
        random: Random,
    ) -> None:
        self._harm = {
            (service, kind): random.uniform(
                *(HARMFUL_RANGE if random.random() < HARMFUL_FRACTION else BENIGN_RANGE)
            )
            for service in services
            for kind in kinds
        }
        self._phase = {service: random.random() for service in services}
        self.base_seconds = {
            service: random.uniform(0.015, 0.05) for service in services
        }

    def find_goal(self, service: ServiceName) -> timedelta:
        """Return the latency goal that an operator would set for a service."""
        return timedelta(seconds=self.base_seconds[service] * GOAL_TO_BASE_RATIO)

    def find_load(self, service: ServiceName, seconds: float) -> float:
        """Return the load of a service, which varies slowly with time."""
        cycles = seconds / LOAD_PERIOD_SECONDS + self._phase[service]
        return 0.45 + 0.35 * math.sin(2 * math.pi * cycles)

    def find_harm(self, service: ServiceName, kind: BatchKind, load: float) -> float:
        """Return the increase of log latency due to a kind that uses a whole worker."""
        return self._harm[service, kind] * (0.4 + 1.2 * load)
