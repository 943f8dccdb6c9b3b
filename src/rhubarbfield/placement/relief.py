"""Relief of workers whose services are slow or whose memory is nearly exhausted."""

from __future__ import annotations

import math
from datetime import timedelta

import msgspec

from rhubarbfield.placement.commands import Resize
from rhubarbfield.placement.fleet import Fleet, PlannedWorker
from rhubarbfield.placement.harm import find_band
from rhubarbfield.placement.observations import AttemptUsage, UsageReport
from rhubarbfield.placement.replies import Eviction
from rhubarbfield.placement.resources import MILLICORES_PER_CORE, Resources
from rhubarbfield.placement.state import Attempt, JobSpec, Task
from rhubarbfield.placement.throttling import (
    THROTTLE_LEVELS,
    ThrottleOrder,
    next_level,
    previous_level,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    Tenant,
    WorkKind,
)

# Throttles are relaxed below this fraction of memory or of the latency threshold.
RELAX_FRACTION = 0.7
# No relief is planned if batch work explains less of the log latency ratio.
MIN_EXPLAINED_FRACTION = 0.25
IN_USE_MARGIN = 1.05
GROW_ABOVE, SHRINK_BELOW = 1.03, 0.8  # multiples of the present commitment
REACTION_TIME = timedelta(seconds=10)
NO_SHRINK_PERIOD = timedelta(minutes=2)  # after the start of an attempt
MIN_CONTRIBUTION = 0.01  # log latency
MIN_LOST_SECONDS = 30.0


class Relief(msgspec.Struct):
    """Changes to live attempts that one round plans.

    Attributes
    ----------
    throttles, evictions, resizes
        Orders for attempts.
    usage_growth
        Change of each tenant's usage by the resizes.
    """

    throttles: list[ThrottleOrder] = msgspec.field(default_factory=list)
    evictions: list[Eviction] = msgspec.field(default_factory=list)
    resizes: list[Resize] = msgspec.field(default_factory=list)
    usage_growth: dict[Tenant, Resources] = msgspec.field(default_factory=dict)


class Contributor(msgspec.Struct):
    """A batch attempt and its contribution to the latency of slow services.

    Attributes
    ----------
    attempt, usage, spec
        The attempt, its reported usage and the spec of its job.
    contribution
        Predicted share of log latency, summed over the slow services.
    """

    attempt: Attempt
    usage: AttemptUsage
    spec: JobSpec
    contribution: float


def measure_lost_work(task: Task, attempt: Attempt, fleet: Fleet) -> float:
    """Return the core-seconds of work that are lost if an attempt is evicted.

    A gang is evicted as a whole.
    """
    seconds = (fleet.now - attempt.checkpoint_at).total_seconds()
    cores = attempt.size.millicores / MILLICORES_PER_CORE
    job = fleet.state.jobs[task.job]
    attempts = len(job.live) if job.spec.gang else 1
    return max(MIN_LOST_SECONDS, seconds) * cores * attempts


def may_evict(attempt: Attempt, spec: JobSpec) -> bool:
    """Return whether an attempt may be evicted in favour of other work."""
    live = attempt.state in (AttemptState.STARTING, AttemptState.RUNNING)
    return live and spec.kind is WorkKind.BATCH


class Reliever:
    """Plans the relief of one worker on the basis of a new report.

    Parameters
    ----------
    fleet
        Workers of the planning round.
    planned, report
        The worker and its report.
    relief
        Collects the orders.
    relieves_services
        Whether to throttle and evict batch work that slows services.
    """

    def __init__(
        self,
        fleet: Fleet,
        planned: PlannedWorker,
        report: UsageReport,
        relief: Relief,
        *,
        relieves_services: bool,
    ) -> None:
        self._relieves_services = relieves_services
        self._fleet = fleet
        self._planned = planned
        self._relief = relief
        self._report = report
        self._attempts = fleet.list_attempts(planned)
        self._usages = {usage.attempt: usage for usage in report.usages}

    def _throttle(self, attempt: Attempt, fraction: float, reason: str) -> None:
        worker = self._planned.worker
        self._relief.throttles.append(
            ThrottleOrder(
                worker.worker, worker.epoch, attempt.attempt, fraction, reason
            )
        )

    def _evict(self, attempt: Attempt, reason: str) -> None:
        self._relief.evictions.append(
            Eviction(attempt.attempt, self._planned.name, reason)
        )

    def relieve(self) -> None:
        """Plan resizes, throttles and evictions; those for memory take precedence."""
        self.resize()
        if self._relieves_services:
            self.relieve_latency()
        self.relieve_memory()

    def resize(self) -> None:
        """Adjust commitments to estimates, never below the memory in use."""
        for _, attempt, spec in self._attempts:
            usage = self._usages.get(attempt.attempt)
            if usage is None or attempt.state is AttemptState.EVICTING:
                continue
            wanted = self._find_wanted(attempt, spec, usage)
            if wanted is not None:
                growth = wanted - attempt.size
                usage_growth = self._relief.usage_growth.get(spec.tenant, Resources())
                self._relief.usage_growth[spec.tenant] = usage_growth + growth
                self._planned.headroom = self._planned.headroom - growth
                self._relief.resizes.append(
                    Resize(attempt.attempt, self._planned.name, wanted)
                )

    def _find_wanted(
        self, attempt: Attempt, spec: JobSpec, usage: AttemptUsage
    ) -> Resources | None:
        estimate = self._fleet.observations.sizes.estimate(spec)
        in_use = math.ceil(usage.memory_mb * IN_USE_MARGIN)
        memory_mb = max(in_use, estimate.memory_mb)
        millicores = estimate.millicores
        if self._fleet.now - attempt.started_at < NO_SHRINK_PERIOD:
            memory_mb = max(memory_mb, attempt.size.memory_mb)
            millicores = max(millicores, attempt.size.millicores)
        size = attempt.size
        memory_mb = _apply_hysteresis(size.memory_mb, memory_mb, in_use)
        millicores = _apply_hysteresis(size.millicores, millicores, 0)
        # A size that does not fit is cut to the worker's headroom, so that the part
        # that fits takes effect.
        headroom = self._planned.worker.announced - self._planned.worker.committed
        memory_mb = min(memory_mb, size.memory_mb + max(0, headroom.memory_mb))
        millicores = min(millicores, size.millicores + max(0, headroom.millicores))
        wanted = Resources(millicores, memory_mb, size.accelerators)
        return None if wanted == size else wanted

    def relieve_memory(self) -> None:
        """Throttle, then evict, before the memory in use fills the worker."""
        settings = self._fleet.settings
        whole = self._planned.capacity.memory_mb
        used = self._project_memory()
        if used < settings.memory_throttle_above * whole:
            if used < RELAX_FRACTION * whole:
                self._relax_memory_throttle()
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

    def _relax_memory_throttle(self) -> None:
        """Relax the throttle of batch work unless a co-located service requires it."""
        if self._relieves_services and self._measure_ratios():
            return
        for _, attempt, spec in self._attempts:
            usage = self._usages.get(attempt.attempt)
            level = previous_level(usage.throttle) if usage else None
            if level is not None and may_evict(attempt, spec):
                self._throttle(attempt, level, "memory is no longer short")

    def _project_memory(self) -> float:
        """Return the memory in use by the time an eviction ordered now takes effect."""
        used = sum(
            self._memory_of(attempt)
            for _, attempt, _ in self._attempts
            if attempt.state is not AttemptState.EVICTING
        )
        lag = self._fleet.now - self._report.taken_at + REACTION_TIME
        growth = self._fleet.observations.memory_growth.get(self._planned.name, 0.0)
        return used + growth * lag.total_seconds()

    def _memory_of(self, attempt: Attempt) -> int:
        usage = self._usages.get(attempt.attempt)
        return usage.memory_mb if usage else attempt.size.memory_mb

    def _cost_per_mb(self, task: Task, attempt: Attempt) -> float:
        lost_work = measure_lost_work(task, attempt, self._fleet)
        return lost_work / max(1, self._memory_of(attempt))

    def relieve_latency(self) -> None:
        """Throttle, then evict, batch work that slows a service."""
        settings = self._fleet.settings
        ratios = self._measure_ratios()
        if not ratios:
            return
        worst = max(ratios.values())
        if worst < settings.throttle_above * RELAX_FRACTION:
            self._relax_throttle(ratios, settings.throttle_above)
        if worst <= settings.throttle_above:
            return
        slow = [name for name, ratio in ratios.items() if ratio > 1.0]
        contributors = [
            entry
            for entry in self._find_contributors(slow)
            if entry.contribution > MIN_CONTRIBUTION
        ]
        total = sum(entry.contribution for entry in contributors)
        if total < MIN_EXPLAINED_FRACTION * math.log(worst):
            return
        contributors.sort(key=lambda entry: -entry.contribution)
        reason = f"a service beside it is at {worst:.1f} times its latency goal"
        if not self._throttle_contributors(contributors, math.log(worst), reason):
            self._evict_one(contributors, worst, reason)

    def _measure_ratios(self) -> dict[AttemptId, float]:
        """Return the ratio of smoothed latency to its goal for services with a goal."""
        ratios = {}
        for _, attempt, spec in self._attempts:
            seconds = self._fleet.observations.latency.get(attempt.attempt)
            if spec.latency_goal is not None and seconds is not None:
                goal = spec.latency_goal.total_seconds()
                ratios[attempt.attempt] = seconds / goal
        return ratios

    def _find_contributors(self, slow: list[AttemptId]) -> list[Contributor]:
        """Return the batch attempts with their contributions to slow services."""
        services = [
            (
                spec.service,
                find_band(self._fleet.observations.load.get(attempt.attempt, 1.0)),
            )
            for _, attempt, spec in self._attempts
            if attempt.attempt in slow
        ]
        contributors = []
        whole = max(1, self._planned.capacity.millicores)
        for _, attempt, spec in self._attempts:
            usage = self._usages.get(attempt.attempt)
            if usage is None or not may_evict(attempt, spec):
                continue
            rate = sum(
                self._fleet.observations.harm.find_rate(service, spec.batch_kind, band)
                for service, band in services
                if service is not None
            )
            share = usage.millicores / whole
            contributors.append(Contributor(attempt, usage, spec, rate * share))
        return contributors

    def _throttle_contributors(
        self, contributors: list[Contributor], excess: float, reason: str
    ) -> bool:
        """Throttle the largest contributors until the excess latency is covered.

        Returns
        -------
        bool
            Whether any throttle was ordered.
        """
        ordered = False
        for entry in contributors:
            level = next_level(entry.usage.throttle)
            if excess <= 0:
                break
            if level is None:
                continue
            self._throttle(entry.attempt, level, reason)
            excess -= entry.contribution * (1 - level / entry.usage.throttle)
            ordered = True
        return ordered

    def _evict_one(
        self, contributors: list[Contributor], worst: float, reason: str
    ) -> None:
        """Evict the attempt with the least lost work relative to its contribution."""
        if worst <= self._fleet.settings.evict_above or self._tasks_have_changed():
            return
        tasks = {attempt.attempt: task for task, attempt, _ in self._attempts}

        def cost_per_contribution(entry: Contributor) -> float:
            task = tasks[entry.attempt.attempt]
            lost_work = measure_lost_work(task, entry.attempt, self._fleet)
            return lost_work / entry.contribution

        self._evict(min(contributors, key=cost_per_contribution).attempt, reason)

    def _tasks_have_changed(self) -> bool:
        """Return whether the worker's tasks have changed since the report.

        The latency in the report does not reflect such a change yet.
        """
        live = {attempt.attempt for _, attempt, _ in self._attempts}
        if any(usage.attempt not in live for usage in self._report.usages):
            return True
        return any(
            attempt.state is AttemptState.EVICTING for _, attempt, _ in self._attempts
        )

    def _relax_throttle(self, ratios: dict[AttemptId, float], limit: float) -> None:
        """Relax the throttle of the least harmful attempt if the limit still holds."""
        if all(usage.throttle >= THROTTLE_LEVELS[0] for usage in self._report.usages):
            return
        worst = max(ratios.values())
        for entry in sorted(
            self._find_contributors(list(ratios)), key=lambda e: e.contribution
        ):
            level = previous_level(entry.usage.throttle)
            if level is None:
                continue
            growth = entry.contribution * (level / entry.usage.throttle - 1)
            if worst * math.exp(growth) < limit:
                self._throttle(entry.attempt, level, "services are fast again")
                return


def _apply_hysteresis(current: int, wanted: int, floor: int) -> int:
    """Return ``wanted`` if it differs enough from the commitment ``current``.

    The result is never below ``floor``.
    """
    if wanted > current * GROW_ABOVE or wanted < current * SHRINK_BELOW:
        return max(wanted, floor)
    return max(current, floor)
