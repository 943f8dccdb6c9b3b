"""Relieving workers whose services are slow or whose memory runs short."""

from __future__ import annotations

import math
from datetime import timedelta

import msgspec

from rhubarbfield.placement.commands import Resize
from rhubarbfield.placement.fleet import Fleet, Seat
from rhubarbfield.placement.harm import find_band
from rhubarbfield.placement.observations import AttemptUsage, UsageReport
from rhubarbfield.placement.replies import Eviction
from rhubarbfield.placement.resources import MILLICORES_PER_CORE, Resources
from rhubarbfield.placement.state import Attempt, JobSpec, Task
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    Epoch,
    Tenant,
    WorkerId,
    WorkKind,
)

THROTTLE_LEVELS = (1.0, 0.5, 0.25)
CALM_FRACTION = 0.7
LEAST_BLAME = 0.25
IN_USE_MARGIN = 1.05
GROW_ABOVE, SHRINK_BELOW = 1.03, 0.8
REACTION_TIME = timedelta(seconds=10)
SETTLING_TIME = timedelta(minutes=2)
LEAST_CONTRIBUTION = 0.01
MIN_REDONE_SECONDS = 30.0


class ThrottleOrder(msgspec.Struct, frozen=True):
    """Fraction of its processors that a worker has to let an attempt use.

    Not kept in the log: a lost order is repeated after the next report.
    """

    worker: WorkerId
    epoch: Epoch
    attempt: AttemptId
    fraction: float
    reason: str


class Relief(msgspec.Struct):
    """What one round does to attempts that run.

    Attributes
    ----------
    grown
        What the resizes add to each tenant's usage.
    """

    throttles: list[ThrottleOrder] = msgspec.field(default_factory=list)
    evictions: list[Eviction] = msgspec.field(default_factory=list)
    resizes: list[Resize] = msgspec.field(default_factory=list)
    grown: dict[Tenant, Resources] = msgspec.field(default_factory=dict)


class Blamed(msgspec.Struct):
    """A batch attempt and what it adds to the latency of slow services."""

    attempt: Attempt
    usage: AttemptUsage
    spec: JobSpec
    contribution: float


def measure_redone(task: Task, attempt: Attempt, fleet: Fleet) -> float:
    """Return core-seconds of work that evicting an attempt would throw away."""
    seconds = (fleet.now - attempt.checkpoint_at).total_seconds()
    cores = attempt.size.millicores / MILLICORES_PER_CORE
    return max(MIN_REDONE_SECONDS, seconds) * cores


def may_evict(attempt: Attempt, spec: JobSpec) -> bool:
    """Return whether an attempt may be evicted for the good of others."""
    live = attempt.state in (AttemptState.STARTING, AttemptState.RUNNING)
    return live and spec.kind is WorkKind.BATCH


def next_level(fraction: float) -> float | None:
    """Return the throttle level below ``fraction``, if there is one."""
    return next((level for level in THROTTLE_LEVELS if level < fraction), None)


def previous_level(fraction: float) -> float | None:
    """Return the throttle level above ``fraction``, if there is one."""
    above = [level for level in THROTTLE_LEVELS if level > fraction]
    return above[-1] if above else None


class Reliever:
    """Judges one worker by a new report.

    Parameters
    ----------
    fleet
        The round.
    seat, report
        The worker and its report.
    relief
        Where orders are added.
    """

    def __init__(
        self, fleet: Fleet, seat: Seat, report: UsageReport, relief: Relief
    ) -> None:
        self._fleet = fleet
        self._seat = seat
        self._relief = relief
        self._report = report
        self._attempts = fleet.list_attempts(seat)
        self._usages = {usage.attempt: usage for usage in report.usages}

    def _throttle(self, attempt: Attempt, fraction: float, reason: str) -> None:
        worker = self._seat.worker
        self._relief.throttles.append(
            ThrottleOrder(
                worker.worker, worker.epoch, attempt.attempt, fraction, reason
            )
        )

    def _evict(self, attempt: Attempt, reason: str) -> None:
        self._relief.evictions.append(
            Eviction(attempt.attempt, self._seat.name, reason)
        )

    def resize(self) -> None:
        """Bring commitments to estimates, never below what is in use."""
        for _, attempt, spec in self._attempts:
            usage = self._usages.get(attempt.attempt)
            if usage is None or attempt.state is AttemptState.EVICTING:
                continue
            wanted = self._find_wanted(attempt, spec, usage)
            if wanted is not None:
                growth = wanted - attempt.size
                grown = self._relief.grown.get(spec.tenant, Resources())
                self._relief.grown[spec.tenant] = grown + growth
                self._seat.room = self._seat.room - growth
                self._relief.resizes.append(
                    Resize(attempt.attempt, self._seat.name, wanted)
                )

    def _find_wanted(
        self, attempt: Attempt, spec: JobSpec, usage: AttemptUsage
    ) -> Resources | None:
        estimate = self._fleet.view.sizes.estimate(spec)
        in_use = math.ceil(usage.memory_mb * IN_USE_MARGIN)
        memory_mb = max(in_use, estimate.memory_mb)
        millicores = estimate.millicores
        if self._fleet.now - attempt.started_at < SETTLING_TIME:
            memory_mb = max(memory_mb, attempt.size.memory_mb)
            millicores = max(millicores, attempt.size.millicores)
        size = attempt.size
        memory_mb = _settle(size.memory_mb, memory_mb, in_use)
        millicores = _settle(size.millicores, millicores, 0)
        # What does not fit is cut to the worker's room, so that the rest is kept.
        room = self._seat.worker.announced - self._seat.worker.committed
        memory_mb = min(memory_mb, size.memory_mb + max(0, room.memory_mb))
        millicores = min(millicores, size.millicores + max(0, room.millicores))
        wanted = Resources(millicores, memory_mb, size.accelerators)
        return None if wanted == size else wanted

    def relieve_memory(self) -> None:
        """Throttle, then evict, before memory in real use fills the worker."""
        settings = self._fleet.settings
        whole = self._seat.capacity.memory_mb
        used = self._project_memory()
        if used < settings.memory_throttle_above * whole:
            return
        batch = [
            (task, attempt)
            for task, attempt, spec in self._attempts
            if may_evict(attempt, spec)
        ]
        for _, attempt in batch:
            usage = self._usages.get(attempt.attempt)
            if usage is not None and usage.throttle > THROTTLE_LEVELS[-1]:
                self._throttle(attempt, THROTTLE_LEVELS[-1], "memory runs short")
        if used < settings.memory_evict_above * whole:
            return
        excess = used - settings.memory_throttle_above * whole
        batch.sort(key=lambda pair: self._cost_per_mb(*pair))
        for _, attempt in batch:
            if excess <= 0:
                break
            self._evict(attempt, "memory runs short")
            excess -= self._memory_of(attempt)

    def _project_memory(self) -> float:
        """Return memory in use once an eviction ordered now has taken effect."""
        used = sum(
            self._memory_of(attempt)
            for _, attempt, _ in self._attempts
            if attempt.state is not AttemptState.EVICTING
        )
        lag = self._fleet.now - self._report.taken_at + REACTION_TIME
        growth = self._fleet.view.memory_growth.get(self._seat.name, 0.0)
        return used + growth * lag.total_seconds()

    def _memory_of(self, attempt: Attempt) -> int:
        usage = self._usages.get(attempt.attempt)
        return usage.memory_mb if usage else attempt.size.memory_mb

    def _cost_per_mb(self, task: Task, attempt: Attempt) -> float:
        redone = measure_redone(task, attempt, self._fleet)
        return redone / max(1, self._memory_of(attempt))

    def relieve_latency(self) -> None:
        """Throttle, then evict, batch work that makes a service slow."""
        settings = self._fleet.settings
        ratios = self._measure_ratios()
        if not ratios:
            return
        worst = max(ratios.values())
        if worst < settings.throttle_above * CALM_FRACTION:
            self._loosen(ratios, settings.throttle_above)
        if worst <= settings.throttle_above:
            return
        slow = [name for name, ratio in ratios.items() if ratio > 1.0]
        blamed = [
            entry
            for entry in self._blame(slow)
            if entry.contribution > LEAST_CONTRIBUTION
        ]
        total = sum(entry.contribution for entry in blamed)
        if total < LEAST_BLAME * math.log(worst):
            return
        blamed.sort(key=lambda entry: -entry.contribution)
        reason = f"a service beside it is at {worst:.1f} times its latency goal"
        if not self._tighten(blamed, math.log(worst), reason):
            self._evict_one(blamed, worst, reason)

    def _measure_ratios(self) -> dict[AttemptId, float]:
        """Return smoothed latency over goal of the services with a goal."""
        ratios = {}
        for _, attempt, spec in self._attempts:
            seconds = self._fleet.view.latency.get(attempt.attempt)
            if spec.latency_goal is not None and seconds is not None:
                goal = spec.latency_goal.total_seconds()
                ratios[attempt.attempt] = seconds / goal
        return ratios

    def _blame(self, slow: list[AttemptId]) -> list[Blamed]:
        """Return the batch attempts with what they add to slow services."""
        services = [
            (spec.service, find_band(self._fleet.view.load.get(attempt.attempt, 1.0)))
            for _, attempt, spec in self._attempts
            if attempt.attempt in slow
        ]
        blamed = []
        whole = max(1, self._seat.capacity.millicores)
        for _, attempt, spec in self._attempts:
            usage = self._usages.get(attempt.attempt)
            if usage is None or not may_evict(attempt, spec):
                continue
            rate = sum(
                self._fleet.view.harm.find_rate(service, spec.batch_kind, band)
                for service, band in services
                if service is not None
            )
            share = usage.millicores / whole
            blamed.append(Blamed(attempt, usage, spec, rate * share))
        return blamed

    def _tighten(self, blamed: list[Blamed], excess: float, reason: str) -> bool:
        """Throttle the most harmful until the excess is taken away."""
        ordered = False
        for entry in blamed:
            level = next_level(entry.usage.throttle)
            if excess <= 0:
                break
            if level is None:
                continue
            self._throttle(entry.attempt, level, reason)
            excess -= entry.contribution * (1 - level / entry.usage.throttle)
            ordered = True
        return ordered

    def _evict_one(self, blamed: list[Blamed], worst: float, reason: str) -> None:
        """Evict the attempt with the least work redone for the relief it brings."""
        if worst <= self._fleet.settings.evict_above or self._has_changed():
            return
        tasks = {attempt.attempt: task for task, attempt, _ in self._attempts}

        def price(entry: Blamed) -> float:
            task = tasks[entry.attempt.attempt]
            redone = measure_redone(task, entry.attempt, self._fleet)
            return redone / entry.contribution

        self._evict(min(blamed, key=price).attempt, reason)

    def _has_changed(self) -> bool:
        """Return whether who shares the worker changed since the report."""
        live = {attempt.attempt for _, attempt, _ in self._attempts}
        if any(usage.attempt not in live for usage in self._report.usages):
            return True
        return any(
            attempt.state is AttemptState.EVICTING for _, attempt, _ in self._attempts
        )

    def _loosen(self, ratios: dict[AttemptId, float], limit: float) -> None:
        """Give the least harmful throttled attempt more, if that looks safe."""
        if all(usage.throttle >= THROTTLE_LEVELS[0] for usage in self._report.usages):
            return
        worst = max(ratios.values())
        for entry in sorted(self._blame(list(ratios)), key=lambda e: e.contribution):
            level = previous_level(entry.usage.throttle)
            if level is None:
                continue
            growth = entry.contribution * (level / entry.usage.throttle - 1)
            if worst * math.exp(growth) < limit:
                self._throttle(entry.attempt, level, "services beside it are calm")
                return


def _settle(now: int, wanted: int, floor: int) -> int:
    """Return a new commitment only if it differs enough from the present one."""
    if wanted > now * GROW_ABOVE or wanted < now * SHRINK_BELOW:
        return max(wanted, floor)
    return max(now, floor)
