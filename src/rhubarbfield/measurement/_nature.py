"""What is true of services and batch work in the model."""

from __future__ import annotations

import math
from datetime import timedelta
from random import Random

from rhubarbfield.placement import BatchKind
from rhubarbfield.types import ServiceName

LOAD_PERIOD_SECONDS = 5400.0
HARMFUL_SHARE = 0.3
HARMFUL_RANGE = (2.0, 4.5)
BENIGN_RANGE = (0.0, 0.4)
GOAL_OF_BASE = 2.5


class Nature:
    """What is true of services and kinds of batch work, hidden from the policy.

    Parameters
    ----------
    services, kinds
        Their names.
    random
        Source of the hidden numbers.
    """

    def __init__(
        self,
        services: tuple[ServiceName, ...],
        kinds: tuple[BatchKind, ...],
        random: Random,
    ) -> None:
        self._harm = {
            (service, kind): random.uniform(
                *(HARMFUL_RANGE if random.random() < HARMFUL_SHARE else BENIGN_RANGE)
            )
            for service in services
            for kind in kinds
        }
        self._phase = {service: random.random() for service in services}
        self.base_seconds = {
            service: random.uniform(0.015, 0.05) for service in services
        }

    def find_goal(self, service: ServiceName) -> timedelta:
        """Return the latency goal that an operator would have set."""
        return timedelta(seconds=self.base_seconds[service] * GOAL_OF_BASE)

    def find_load(self, service: ServiceName, seconds: float) -> float:
        """Return the load of a service, which shifts slowly."""
        turn = seconds / LOAD_PERIOD_SECONDS + self._phase[service]
        return 0.45 + 0.35 * math.sin(2 * math.pi * turn)

    def find_harm(self, service: ServiceName, kind: BatchKind, load: float) -> float:
        """Return growth of log latency if a kind used the whole worker."""
        return self._harm[service, kind] * (0.4 + 1.2 * load)
