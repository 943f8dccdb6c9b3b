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
from rhubarbfield.placement.preemption import drain_worker, shrink_worker
from rhubarbfield.placement.quarantine import judge_workers
from rhubarbfield.placement.queueing import Placer, WaitReason
from rhubarbfield.placement.relief import Relief, Reliever
from rhubarbfield.placement.settings import PlacementSettings
from rhubarbfield.placement.state import HarmEstimate, SizeEstimate, WorkState
from rhubarbfield.placement.strategies import Strategy, find_strategy
from rhubarbfield.placement.throttling import ThrottleOrder

MAX_ESTIMATES = 64
ESTIMATE_CHANGE = 0.15
LEAST_RATE_CHANGE = 0.1


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
    view: Observations,
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
    fleet = Fleet(state, view, settings, now)
    return _Round(fleet, find_strategy(settings.strategy), random).run()


class _Round:
    """The steps of one round, in order of their effect on room."""

    def __init__(self, fleet: Fleet, strategy: Strategy, random: Random) -> None:
        self._fleet = fleet
        self._strategy = strategy
        self._random = random
        self._relief = Relief()

    def run(self) -> Plan:
        """Return the plan."""
        fleet = self._fleet
        judgements = judge_workers(fleet.state, fleet.now)
        for judgement in judgements:
            fleet.by_name[judgement.worker].judged = True
        commands: list[Command] = [*judgements]
        self._relieve()
        self._empty()
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
        view = self._fleet.view
        relieves = self._strategy.aware and self._fleet.settings.relieves_latency
        for name in view.fresh:
            seat = self._fleet.by_name.get(name)
            report = view.reports.get(name)
            if seat is None or report is None or report.epoch != seat.worker.epoch:
                continue
            reliever = Reliever(
                self._fleet, seat, report, self._relief, relieves=relieves
            )
            reliever.relieve()

    def _empty(self) -> None:
        """Evict from workers that drain or shrank."""
        for seat in self._fleet.seats:
            if seat.worker.draining and seat.worker.live:
                self._relief.evictions += drain_worker(self._fleet, seat)
            elif not seat.worker.committed.fits(seat.worker.announced):
                self._relief.evictions += shrink_worker(self._fleet, seat)

    def _list_estimates(self) -> list[Command]:
        """Return what was learned and differs enough from what the log keeps."""
        view, state = self._fleet.view, self._fleet.state
        sizes = [size for size in view.sizes.list_changed() if _is_new(state, size)]
        harm = [one for one in view.harm.list_changed() if _is_new_rate(state, one)]
        if not sizes and not harm:
            return []
        return [
            SetEstimates(
                at=self._fleet.now,
                sizes=tuple(sizes[:MAX_ESTIMATES]),
                harm=tuple(harm[:MAX_ESTIMATES]),
            )
        ]


def _is_new(state: WorkState, size: SizeEstimate) -> bool:
    kept = state.sizes.get(size.key)
    if kept is None or size.samples >= 2 * kept.samples:
        return True
    memory = abs(size.memory_mb - kept.memory_mb) > ESTIMATE_CHANGE * kept.memory_mb
    cores = abs(size.millicores - kept.millicores) > ESTIMATE_CHANGE * kept.millicores
    return memory or cores


def _is_new_rate(state: WorkState, harm: HarmEstimate) -> bool:
    kept = state.harm.get(make_harm_key(harm))
    if kept is None or harm.samples >= 2 * kept.samples:
        return True
    change = max(LEAST_RATE_CHANGE, ESTIMATE_CHANGE * abs(kept.rate))
    return abs(harm.rate - kept.rate) > change
