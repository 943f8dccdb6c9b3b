"""One round of planning: from what is known to what should change."""

from __future__ import annotations

from datetime import datetime
from random import Random

import msgspec

from rhubarbfield.machine import Command
from rhubarbfield.placement._jobs import make_harm_key
from rhubarbfield.placement.commands import (
    EvictAttempts,
    RejectJobs,
    ResizeAttempts,
    SetEstimates,
    StartAttempts,
)
from rhubarbfield.placement.fleet import Fleet
from rhubarbfield.placement.observations import Observations
from rhubarbfield.placement.preemption import plan_drain, plan_shrink
from rhubarbfield.placement.quarantine import find_failing_workers
from rhubarbfield.placement.queueing import Placer, WaitReason
from rhubarbfield.placement.relief import Relief, Reliever
from rhubarbfield.placement.settings import PlacementSettings
from rhubarbfield.placement.state import HarmEstimate, SizeEstimate, WorkState
from rhubarbfield.placement.strategies import Strategy, find_strategy
from rhubarbfield.placement.throttling import ThrottleOrder

MAX_ESTIMATES = 64
MIN_ESTIMATE_CHANGE = 0.15
MIN_RATE_CHANGE = 0.1


class Plan(msgspec.Struct, frozen=True):
    """What one round wants.

    Attributes
    ----------
    commands
        To be proposed to the log, in this order. Workers are told only what the
        replies say took effect.
    throttles
        To be sent to workers as they are.
    waits
        Why jobs that could start did not.
    """

    commands: tuple[Command, ...] = ()
    throttles: tuple[ThrottleOrder, ...] = ()
    waits: tuple[WaitReason, ...] = ()


def plan(
    state: WorkState,
    observations: Observations,
    settings: PlacementSettings,
    now: datetime,
    random: Random,
) -> Plan:
    """Decide what should change; changes nothing itself.

    Parameters
    ----------
    state
        The replicated state, as applied by this leader.
    view
        What was observed. Workers are judged by reports that came in since
        :meth:`Observations.start_round`, to be called once the plan is proposed.
    settings
        The policy's settings.
    now
        The leader's wall time; becomes ``at`` of the commands.
    random
        Source of all chance.

    Returns
    -------
    Plan
        The same for the same arguments.
    """
    fleet = Fleet(state, observations, settings, now)
    return _PlanningRound(fleet, find_strategy(settings.strategy), random).run()


class _PlanningRound:
    """The steps of one round, in order of their effect on room."""

    def __init__(self, fleet: Fleet, strategy: Strategy, random: Random) -> None:
        self._fleet = fleet
        self._strategy = strategy
        self._random = random
        self._relief = Relief()

    def run(self) -> Plan:
        """Return the plan."""
        fleet = self._fleet
        quarantine_commands = find_failing_workers(fleet.state, fleet.now)
        for quarantine_command in quarantine_commands:
            fleet.by_name[quarantine_command.worker].being_quarantined = True
        commands: list[Command] = [*quarantine_commands]
        self._relieve()
        self._drain_and_shrink()
        placer = Placer(fleet, self._strategy, self._random, self._relief)
        placer.place()
        commands += self._list_estimates()
        if self._relief.resizes:
            resizes = tuple(self._relief.resizes)
            commands.append(ResizeAttempts(at=fleet.now, resizes=resizes))
        evictions = {order.attempt: order for order in self._relief.evictions}
        if evictions:
            orders = tuple(evictions.values())
            commands.append(EvictAttempts(at=fleet.now, evictions=orders))
        if placer.rejections:
            rejections = tuple(placer.rejections)
            commands.append(RejectJobs(at=fleet.now, rejections=rejections))
        if placer.starts:
            commands.append(StartAttempts(at=fleet.now, starts=tuple(placer.starts)))
        throttles = {order.attempt: order for order in self._relief.throttles}
        return Plan(
            commands=tuple(commands),
            throttles=tuple(
                order for name, order in throttles.items() if name not in evictions
            ),
            waits=tuple(WaitReason(job, why) for job, why in placer.waits.items()),
        )

    def _relieve(self) -> None:
        """Act on reports that are new."""
        observations = self._fleet.observations
        relieves_services = (
            self._strategy.harm_aware and self._fleet.settings.relieves_latency
        )
        for name in observations.reported_workers:
            planned = self._fleet.by_name.get(name)
            report = observations.reports.get(name)
            if (
                planned is None
                or report is None
                or report.epoch != planned.worker.epoch
            ):
                continue
            reliever = Reliever(
                self._fleet,
                planned,
                report,
                self._relief,
                relieves_services=relieves_services,
            )
            reliever.relieve()

    def _drain_and_shrink(self) -> None:
        """Evict from workers that drain or shrank."""
        for planned in self._fleet.planned_workers:
            if planned.worker.draining and planned.worker.live:
                self._relief.evictions += plan_drain(self._fleet, planned)
            elif not planned.worker.committed.fits(planned.worker.announced):
                self._relief.evictions += plan_shrink(self._fleet, planned)

    def _list_estimates(self) -> list[Command]:
        """Return what was learned and differs enough from what the log keeps."""
        observations, state = self._fleet.observations, self._fleet.state
        sizes = [
            size
            for size in observations.sizes.list_changed()
            if _has_size_changed(state, size)
        ]
        harm = [
            one
            for one in observations.harm.list_changed()
            if _has_rate_changed(state, one)
        ]
        if not sizes and not harm:
            return []
        return [
            SetEstimates(
                at=self._fleet.now,
                sizes=tuple(sizes[:MAX_ESTIMATES]),
                harm=tuple(harm[:MAX_ESTIMATES]),
            )
        ]


def _has_size_changed(state: WorkState, size: SizeEstimate) -> bool:
    kept = state.sizes.get(size.key)
    if kept is None or size.samples >= 2 * kept.samples:
        return True
    memory = abs(size.memory_mb - kept.memory_mb) > MIN_ESTIMATE_CHANGE * kept.memory_mb
    cores = (
        abs(size.millicores - kept.millicores) > MIN_ESTIMATE_CHANGE * kept.millicores
    )
    return memory or cores


def _has_rate_changed(state: WorkState, harm: HarmEstimate) -> bool:
    kept = state.harm.get(make_harm_key(harm))
    if kept is None or harm.samples >= 2 * kept.samples:
        return True
    change = max(MIN_RATE_CHANGE, MIN_ESTIMATE_CHANGE * abs(kept.rate))
    return abs(harm.rate - kept.rate) > change
