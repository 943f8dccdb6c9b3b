"""Delayed usage reports of a stand-in worker."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.testing.attempts import SimulatedAttempt
from rhubarbfield.types import AttemptId, AttemptState, ServiceName
from rhubarbfield.workers.messages import (
    LatencySample,
    UsageReport,
)
from rhubarbfield.workers.orders import (
    StartAttempt,
)

INITIAL_INTERVAL = timedelta(seconds=5)
SAMPLE_REQUESTS = 100
BASE_MEDIAN_MS = 20.0
TAIL_FACTOR = 4.0
MAX_HARM = 0.8

LatencyModel = Callable[[tuple[StartAttempt, ...]], tuple[LatencySample, ...]]
"""Return the latency of services on a worker, given the attempts that run on it."""


def measure_nothing(running: tuple[StartAttempt, ...]) -> tuple[LatencySample, ...]:
    """Return no samples, as on a worker without requests of services.

    Parameters
    ----------
    running
        Attempts that run on the worker.
    """
    return ()


def make_seeded_latency_model(
    seed: int, services: tuple[ServiceName, ...]
) -> LatencyModel:
    """Return a model in which co-located attempts raise the latency of services.

    Parameters
    ----------
    seed
        Equal seeds give equal harm for equal pairs of service and argument.
    services
        Services with requests on the worker.
    """

    def measure_one(
        service: ServiceName, running: tuple[StartAttempt, ...]
    ) -> LatencySample:
        harm = sum(
            random.Random(f"{seed}/{service}/{order.argument}").uniform(0, MAX_HARM)
            for order in running
        )
        return LatencySample(
            service=service,
            requests=SAMPLE_REQUESTS,
            median_ms=BASE_MEDIAN_MS * (1 + harm),
            tail_ms=BASE_MEDIAN_MS * TAIL_FACTOR * (1 + harm) ** 2,
        )

    def measure_all(running: tuple[StartAttempt, ...]) -> tuple[LatencySample, ...]:
        return tuple(measure_one(service, running) for service in services)

    return measure_all


class UsageReporter:
    """Measures at equal intervals and returns each report with a delay.

    Parameters
    ----------
    clock
        The worker's clock.
    latency
        Latency model of the services on the worker.
    lag
        Minimum age of a report when it is returned.

    Attributes
    ----------
    interval
        Time between measurements.
    """

    def __init__(
        self,
        clock: Clock,
        latency: LatencyModel,
        *,
        lag: timedelta,
    ) -> None:
        self.interval = INITIAL_INTERVAL
        self._clock = clock
        self._latency = latency
        self._lag = lag
        self._delayed_reports: deque[tuple[timedelta, UsageReport]] = deque()

    async def measure(
        self, attempts: Mapping[AttemptId, SimulatedAttempt]
    ) -> UsageReport:
        """Measure until the oldest report is old enough, and return it.

        Parameters
        ----------
        attempts
            Attempts on the worker; read again at each measurement.
        """
        while True:
            await self._clock.sleep(self.interval)
            now = self._clock.monotonic()
            self._delayed_reports.append((now, self._measure_now(attempts)))
            measured_at, report = self._delayed_reports[0]
            if now - measured_at >= self._lag:
                self._delayed_reports.popleft()
                return report

    def _measure_now(
        self, attempts: Mapping[AttemptId, SimulatedAttempt]
    ) -> UsageReport:
        running = [
            attempt
            for attempt in attempts.values()
            if attempt.state is AttemptState.RUNNING
        ]
        return UsageReport(
            taken_at=self._clock.now(),
            attempts=tuple(attempt.measure() for attempt in running),
            services=self._latency(tuple(attempt.order for attempt in running)),
        )
