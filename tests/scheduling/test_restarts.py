"""Tests of the leases of marked workers after restarts of all controllers."""

from __future__ import annotations

import unittest
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from unittest.mock import patch

import msgspec
import trio
from returns.result import Failure

from rhubarbfield.replication import OutcomeUnknown
from rhubarbfield.storage import MemoryStore
from rhubarbfield.testing.memory_transport import MemoryTransport
from rhubarbfield.types import Term
from tests.replication.determinism import run_deterministic
from tests.scheduling.controllers import NAMES, Controllers
from tests.scheduling.deployments import Deployment, with_deployment
from tests.scheduling.losses import (
    DOWN_SECONDS,
    DRIFT,
    LEASE_SECONDS,
    LIMIT_SECONDS,
    MARKED_SECONDS,
    Loss,
)

UNREACHED_SECONDS = 2.0


class RestartTest(unittest.TestCase):
    @with_deployment()
    async def test_tasks_of_a_marked_worker_do_not_wait_for_a_second_lease(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
            self.assertTrue(loss.is_marked)
        async with loss.restart():
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_wait_does_not_begin_anew_with_a_second_restart(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
        async with loss.restart(down=0.5):
            await trio.sleep(1)
        async with loss.restart(down=0.5):
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_mark_of_a_leader_that_never_extended_the_lease_counts_in_full(
        self, deployment: Deployment
    ) -> None:
        """The leader was lost with the worker, and all controllers after that."""
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
        ended_at = deployment.clock.monotonic()
        deployment.elect(2, former_until=ended_at)
        loss.term = 2
        async with deployment.lead():
            await trio.sleep(MARKED_SECONDS)
            self.assertTrue(loss.is_marked)
        async with loss.restart():
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_mark_that_was_not_certainly_removed_still_counts(
        self, deployment: Deployment
    ) -> None:
        """The worker answered again, just before the controllers were killed."""
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
            deployment.replica.leadership = None  # nothing is committed
            loss.lost.is_unreachable = False
            await trio.sleep(0.5)
            loss.lost.is_unreachable = True
        self.assertTrue(loss.is_marked)
        async with loss.restart():
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_lease_is_extended_before_the_mark_is_removed(
        self, deployment: Deployment
    ) -> None:
        """The worker answered again, and the controllers were killed at once."""
        loss = Loss(deployment, rate=1 - DRIFT)
        propose = deployment.replica.propose

        async def refuse_removals(command: bytes, term: Term | None = None) -> object:
            if msgspec.msgpack.decode(command).get("heard"):
                return Failure(OutcomeUnknown())
            return await propose(command, term)

        async with deployment.lead() as leader:
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
            session = leader.get_session(loss.lost.worker)
            assert session is not None
            extended_at = session.unextended_since
            with patch.object(deployment.replica, "propose", refuse_removals):
                loss.lost.is_unreachable = False
                await trio.sleep(UNREACHED_SECONDS)
                loss.lost.is_unreachable = True
        self.assertTrue(loss.is_marked)
        self.assertEqual(session.unextended_since, extended_at)
        async with loss.restart(down=0.5):
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_lease_that_was_extended_after_a_mark_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        """The worker answered again just before the controllers were killed."""
        for seconds in (0.3, 0.8, 1.3, 3.0):
            with self.subTest(seconds=seconds):
                deployment = Deployment()
                await deployment.configure()
                loss = Loss(deployment, rate=1 - DRIFT)
                async with deployment.lead():
                    await loss.begin()
                    await trio.sleep(MARKED_SECONDS)
                    loss.lost.is_unreachable = False
                    await trio.sleep(seconds)
                    loss.silence()
                async with loss.restart():
                    await loss.measure()

    @with_deployment()
    async def test_lease_has_lapsed_on_a_slow_clock_before_its_tasks_start_elsewhere(
        self, deployment: Deployment
    ) -> None:
        for rate in (1 - DRIFT, 1.0, 1 + DRIFT):
            with self.subTest(rate=rate):
                deployment = Deployment()
                await deployment.configure()
                loss = Loss(deployment, rate=1 - DRIFT)
                async with deployment.lead():
                    await loss.begin()
                    for worker in loss.others:
                        worker.rate = rate
                        worker.jumped = (1 - rate) * deployment.clock.monotonic()
                    await trio.sleep(MARKED_SECONDS)
                async with loss.restart():
                    await loss.measure()

    @with_deployment()
    async def test_clocks_that_are_read_late_shorten_the_wait_at_once(
        self, deployment: Deployment
    ) -> None:
        """The controllers came back some time before the other workers did."""
        loss = Loss(deployment)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(MARKED_SECONDS)
        for worker in loss.others:
            worker.is_unreachable = True
        async with loss.restart():
            await trio.sleep(UNREACHED_SECONDS)
            for worker in loss.others:
                worker.is_unreachable = False
            self.assertLess(await loss.measure(), LIMIT_SECONDS)

    @with_deployment()
    async def test_worker_without_a_mark_is_waited_for(
        self, deployment: Deployment
    ) -> None:
        loss = Loss(deployment, rate=1 - DRIFT)
        async with deployment.lead():
            await loss.begin()
            await trio.sleep(0.5)
            self.assertFalse(loss.is_marked)
        async with loss.restart():
            self.assertGreater(await loss.measure(), LEASE_SECONDS)


class RestartedControllers(Controllers):
    """Controllers that are killed together, and started again on their disks."""

    def __init__(self) -> None:
        self.disks = {name: MemoryStore() for name in NAMES}
        super().__init__(make_store=lambda name: self.disks[name])

    def prepare_restart(self) -> None:
        """Make the controllers anew; those of before have ended."""
        for name in NAMES:
            self.network.disconnect_host(name)
            self._members[name] = self.make(name, MemoryTransport)

    @asynccontextmanager
    async def run_again(self) -> AsyncIterator[None]:
        """Run the new controllers during the block, which begins without a leader."""
        async with trio.open_nursery() as nursery:
            for member in self._members.values():
                nursery.start_soon(member.run)
            yield
            nursery.cancel_scope.cancel()


async def measure_restart(lost_disks: tuple[str, ...]) -> float:
    """Return for how long a task stands still around a restart of all controllers."""
    controllers = RestartedControllers()
    first = controllers.add_worker("w1")
    first.duration = None
    async with controllers.run(), trio.open_nursery() as nursery:
        nursery.start_soon(controllers.report_all, [first])
        await trio.sleep(2)
        await controllers.submit("j")
        await trio.sleep(2)
        others = [controllers.add_worker(f"w{number}") for number in (2, 3, 4)]
        nursery.start_soon(controllers.report_all, others)
        await trio.sleep(2)
        first.is_unreachable = True
        silent_at = trio.current_time()
        await trio.sleep(MARKED_SECONDS)
        nursery.cancel_scope.cancel()
    await trio.sleep(DOWN_SECONDS)
    for name in lost_disks:
        controllers.disks[name] = MemoryStore()
    controllers.prepare_restart()
    async with controllers.run_again(), trio.open_nursery() as nursery:
        nursery.start_soon(controllers.report_all, others)
        while not any(each.started for each in others):
            first.end_due_runs()
            await trio.sleep(0.05)
            if trio.current_time() - silent_at > 2 * LIMIT_SECONDS:
                break
        first.end_due_runs()
        assert not first.runs
        nursery.cancel_scope.cancel()
    return trio.current_time() - silent_at


class ControllersTest(unittest.TestCase):
    def test_restarted_controllers_do_not_wait_for_a_second_lease(self) -> None:
        """All were killed for 1.6 s, and one of them may have lost its disk."""
        for lost in ((), *((name,) for name in NAMES)):
            with self.subTest(lost=lost):
                took = run_deterministic(partial(measure_restart, lost), seed=1)
                self.assertLess(took, LIMIT_SECONDS)


if __name__ == "__main__":
    unittest.main()
