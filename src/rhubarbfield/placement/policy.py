"""One planning round, which derives commands from state and observations."""

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

MAX_ESTIMATES = 64  # per type of estimate and round
MIN_ESTIMATE_CHANGE = 0.15  # fraction; smaller changes are not committed
MIN_RATE_CHANGE = 0.1  # absolute, for rates near zero


class Plan(msgspec.Struct, frozen=True):
    """Result of one planning round.

    Attributes
    ----------
    commands
        Commands to propose to the log, in this order. Only what took effect
        according to the replies is sent to workers.
    throttles
        Orders to send to workers directly.
    waits
        Why jobs that have pending tasks were not placed.
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
    """Plan one round without changing the state.

    Parameters
    ----------
    state
        The replicated state, as applied by this leader.
    observations
        Reports and learned models. Workers are relieved on the basis of reports
        since :meth:`Observations.start_round`, which the caller calls once the
        plan has been proposed.
    settings
        Settings of the policy.
    now
        The leader's wall time; becomes ``at`` of the commands.
    random
        The only source of randomness.

    Returns
    -------
    Plan
        The plan; equal arguments give equal plans.
    """
    fleet = Fleet(state, observations, settings, now)
    return _PlanningRound(fleet, find_strategy(settings.strategy), random).run()


class _PlanningRound:
    """The steps of one planning round, in the order in which they affect headroom."""

    def __init__(self, fleet: Fleet, strategy: Strategy, random: Random) -> None:
        self._fleet = fleet
        self._strategy = strategy
        self._random = random
        self._relief = Relief()

    def run(self) -> Plan:
        """Return the plan of the round."""
        fleet = self._fleet
        quarantine_commands = find_failing_workers(fleet.state, fleet.now)
        for quarantine_command in quarantine_commands:
            fleet.by_name[quarantine_command.worker].being_quarantined = True
        commands: list[Command] = [*quarantine_commands]
        self._relieve_workers()
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

    def _relieve_workers(self) -> None:
        """Relieve the workers that have reported since the last round."""
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
        """Plan evictions from workers that are draining or have shrunk."""
        for planned in self._fleet.planned_workers:
            if planned.worker.draining and planned.worker.live:
                self._relief.evictions += plan_drain(self._fleet, planned)
            elif not planned.worker.committed.fits(planned.worker.announced):
                self._relief.evictions += plan_shrink(self._fleet, planned)

    def _list_estimates(self) -> list[Command]:
        """Return a command for the estimates that differ enough from stored ones."""
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
