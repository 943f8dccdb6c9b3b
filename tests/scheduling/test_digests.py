"""Tests of digests of heartbeats at the leader."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.scheduling.heartbeats import HeartbeatDigest, Sighting
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import Step
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)
from tests.scheduling.test_leader import MAX_LAPSE_SECONDS

SILENCE_SECONDS = 3  # after a last report the worker is silent


class SlowClockWorker(StandInWorker):
    """A worker whose clock is two percent slow."""

    def read_clock(self) -> timedelta:
        return super().read_clock() * 0.98


def make_sighting(
    worker: StandInWorker, *, age_seconds: float = 0, sequence: int | None = None
) -> Sighting:
    """Return a sighting of the worker's next heartbeat, as if ``age_seconds`` ago."""
    heartbeat = worker.make_heartbeat()
    assert heartbeat.clock is not None
    return Sighting(
        worker.worker,
        heartbeat.sequence if sequence is None else sequence,
        heartbeat.clock - timedelta(seconds=age_seconds),
        timedelta(seconds=age_seconds),
    )


def is_usable(leader: SchedulingLeader, worker: StandInWorker) -> bool:
    session = leader.get_session(worker.worker)
    assert session is not None
    return session.is_usable_at(leader._clock.monotonic())


class DigestTest(unittest.TestCase):
    @with_deployment()
    async def test_worker_counts_as_heard_for_the_age_of_its_heartbeat(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        async with deployment.lead() as leader:
            deployment.reporting.remove(worker)
            await trio.sleep(SILENCE_SECONDS)
            self.assertFalse(is_usable(leader, worker))
            old = make_sighting(worker, age_seconds=2.6)
            leader.handle_digest(HeartbeatDigest((old,)))
            self.assertFalse(is_usable(leader, worker))
            recent = make_sighting(worker, age_seconds=1)
            leader.handle_digest(HeartbeatDigest((recent,)))
            self.assertTrue(is_usable(leader, worker))
            await trio.sleep(1.6)
            self.assertFalse(is_usable(leader, worker))

    @with_deployment()
    async def test_stale_heartbeat_changes_nothing(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        async with deployment.lead() as leader:
            await trio.sleep(1)
            deployment.reporting.remove(worker)
            await trio.sleep(SILENCE_SECONDS)
            stale = make_sighting(worker, sequence=1)
            leader.handle_digest(HeartbeatDigest((stale,)))
            self.assertFalse(is_usable(leader, worker))

    @with_deployment()
    async def test_workers_without_a_record_are_named(
        self, deployment: Deployment
    ) -> None:
        known = deployment.add_worker("w1")
        async with deployment.lead() as leader:
            unknown = StandInWorker(WorkerId("w2"), deployment.clock)
            digest = HeartbeatDigest((make_sighting(known), make_sighting(unknown)))
            self.assertEqual(leader.handle_digest(digest), (unknown.worker,))
            self.assertNotIn(unknown.worker, deployment.state.workers)

    @with_deployment()
    async def test_lease_from_an_aged_clock_lapses_before_the_task_restarts(
        self, deployment: Deployment
    ) -> None:
        first = SlowClockWorker(WorkerId("w1"), deployment.clock, duration=None)
        deployment.fleet.add(first)
        async with deployment.lead() as leader:
            await leader.handle_heartbeat(first.make_heartbeat())
        deployment.elect(2)
        first.unanswered_starts = 1
        async with deployment.lead() as leader:
            sighting = make_sighting(first, age_seconds=1)
            leader.handle_digest(HeartbeatDigest((sighting,)))
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.5)
            first.is_unreachable = True
            deployment.fleet.deliver_delayed_starts()
            self.assertEqual(len(first.runs), 1)
            second = deployment.add_worker("w2", duration=None)
            for _ in range(int(MAX_LAPSE_SECONDS * 10)):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(second.runs), 1)


if __name__ == "__main__":
    unittest.main()
