"""Periodic placement rounds on the leader of a domain."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable
from datetime import timedelta

import trio
from returns.result import Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.orders import OrderFeed
from rhubarbfield.controller.statemachines import DomainLogState
from rhubarbfield.controller.usage import UsageSink
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.placement import (
    ForgetFinished,
    PlacementSettings,
    Plan,
    WaitReason,
    plan,
)

logger = logging.getLogger(__name__)

ROUND_INTERVAL = timedelta(milliseconds=250)
IDLE_INTERVAL = timedelta(seconds=5)
CLEANUP_INTERVAL = timedelta(minutes=5)
FINISHED_RETENTION = timedelta(hours=6)


class Planner:
    """Runs the placement policy and commits the commands that it plans.

    Parameters
    ----------
    log
        The domain's log, led by this instance.
    feed
        Receives throttle orders.
    usage
        Usage reported by workers.
    get_settings
        Returns the policy's settings in force.
    clock, rng
        Sources of time and of random numbers.
    """

    def __init__(
        self,
        log: ReplicatedLog[DomainLogState],
        *,
        feed: OrderFeed,
        usage: UsageSink,
        get_settings: Callable[[], PlacementSettings],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self._log = log
        self._feed = feed
        self._usage = usage
        self._get_settings = get_settings
        self._clock = clock
        self._rng = rng
        self.waits: tuple[WaitReason, ...] = ()

    async def run(self) -> None:
        """Plan after each change, or after ``IDLE_INTERVAL`` without one.

        Runs until cancelled.
        """
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forget_finished)
            while True:
                seen = self._log.changes
                await self._run_round()
                await self._clock.sleep(ROUND_INTERVAL)
                with trio.move_on_after(IDLE_INTERVAL.total_seconds()):
                    await self._log.wait_change(seen)

    async def _run_round(self) -> None:
        observations = self._usage.observations
        round_plan = plan(
            self._log.state.work,
            observations,
            self._get_settings(),
            self._clock.now(),
            self._rng,
        )
        self.waits = round_plan.waits
        observations.start_round()
        await self._apply_plan(round_plan)

    async def _apply_plan(self, round_plan: Plan) -> None:
        for command in round_plan.commands:
            proposed = await self._log.propose(command)
            if not isinstance(proposed, Success):
                logger.warning("plan-not-committed %r", proposed)
                return
        for order in round_plan.throttles:
            self._usage.record_throttle(order.attempt, order.fraction)
            self._feed.throttle(
                order.worker, order.attempt, order.fraction, self._log.position
            )

    async def _forget_finished(self) -> None:
        while True:
            await self._clock.sleep(CLEANUP_INTERVAL)
            now = self._clock.now()
            await self._log.propose(
                ForgetFinished(at=now, before=now - FINISHED_RETENTION)
            )
