"""The leader of a domain plans what runs where, round after round."""

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
FORGET_INTERVAL = timedelta(minutes=5)
FINISHED_KEPT = timedelta(hours=6)


class Planner:
    """Runs the placement policy and proposes what it wants.

    Parameters
    ----------
    log
        The domain's log, led by this instance.
    feed
        Where throttle orders go.
    usage
        What workers reported.
    get_settings
        Returns the policy's settings in force.
    clock, rng
        The time and the random source.
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
        """Plan after each change, and now and then without one, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._forget_finished)
            while True:
                seen = self._log.changes
                await self._run_round()
                await self._clock.sleep(ROUND_INTERVAL)
                with trio.move_on_after(IDLE_INTERVAL.total_seconds()):
                    await self._log.wait_change(seen)

    async def _run_round(self) -> None:
        view = self._usage.observations
        wanted = plan(
            self._log.state.work,
            view,
            self._get_settings(),
            self._clock.now(),
            self._rng,
        )
        self.waits = wanted.waits
        view.start_round()
        await self._carry_out(wanted)

    async def _carry_out(self, wanted: Plan) -> None:
        for command in wanted.commands:
            proposed = await self._log.propose(command)
            if not isinstance(proposed, Success):
                logger.warning("plan-not-committed %r", proposed)
                return
        for order in wanted.throttles:
            self._usage.note_throttle(order.attempt, order.fraction)
            self._feed.throttle(
                order.worker, order.attempt, order.fraction, self._log.position
            )

    async def _forget_finished(self) -> None:
        while True:
            await self._clock.sleep(FORGET_INTERVAL)
            now = self._clock.now()
            await self._log.propose(ForgetFinished(at=now, before=now - FINISHED_KEPT))
