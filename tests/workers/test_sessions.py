"""Tests of worker sessions, with stand-in workers and injected faults."""

from __future__ import annotations

import unittest

import msgspec

from rhubarbfield.testing.streams import memory_stream_pair
from rhubarbfield.types import AttemptId, Epoch
from rhubarbfield.workers import (
    ConnectionRefused,
    FromWorker,
    GoToLeader,
    RenewLease,
    StartAttempt,
    TakeCheckpoint,
    Throttle,
    ToWorker,
)
from tests.workers.fleet import SECOND, SETTINGS, SMALL, Fleet, run_fleet


class SessionsTest(unittest.TestCase):
    def check(self, fleet: Fleet) -> None:
        self.assertEqual(fleet.observer.violations, [])

    def test_a_task_runs_to_its_end_and_is_measured(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            await fleet.sleep(10)
            self.assertEqual(fleet.state(attempt), "running")
            await fleet.sleep(20)
            self.assertEqual(fleet.state(attempt), "succeeded")
            self.assertEqual(fleet.workers["w1"].workload.attempts, {})

        fleet = run_fleet(scenario)
        self.assertEqual(fleet.observer.finished, {"t1": ["t1-1"]})
        self.assertTrue(any(r.attempts for r in fleet.observations.reports))
        self.check(fleet)

    def test_evicted_work_resumes_from_its_checkpoint(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            await fleet.start_worker("w2")
            first = fleet.place("w1", "t1")
            await fleet.sleep(15)
            fleet.log.stop(AttemptId(first), evict=True)
            await fleet.sleep(1)
            self.assertEqual(fleet.state(first), "evicted")
            checkpoint = fleet.log.attempts[AttemptId(first)].checkpoint
            self.assertIsNotNone(checkpoint)
            fleet.place("w2", "t1", checkpoint=str(checkpoint))
            await fleet.sleep(9)
            self.assertEqual(fleet.state("t1-2"), "succeeded")

        fleet = run_fleet(scenario)
        self.assertEqual(list(fleet.observer.resumed.values()), [["t1-2"]])
        self.check(fleet)

    def test_a_silent_worker_holds_its_attempts_and_resumes_in_place(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            worker = await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            await fleet.sleep(5)
            fleet.network.unreachable = {"c0:1", "c1:1"}
            for stream in fleet.streams():
                stream.blackhole()  # type: ignore[attr-defined]
            fleet.controllers[0].depose()
            await fleet.sleep(20)
            held = worker.workload.attempts[AttemptId(attempt)]
            self.assertEqual(held.state.value, "held")
            fleet.network.unreachable = set()
            fleet.controllers[0].lead()
            await fleet.sleep(25)
            self.assertEqual(fleet.state(attempt), "succeeded")

        fleet = run_fleet(scenario)
        self.assertEqual(len({s.attempt for s in fleet.observer.spans}), 1)
        self.check(fleet)

    def test_a_silent_connection_is_replaced_before_the_lease_lapses(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            for _ in range(3):
                await fleet.sleep(5)
                for stream in fleet.streams():
                    stream.blackhole()  # type: ignore[attr-defined]
            await fleet.sleep(20)
            self.assertEqual(fleet.state(attempt), "succeeded")

        fleet = run_fleet(scenario)
        self.assertEqual(len(fleet.observer.spans), 1, "it was never held")
        self.check(fleet)

    def test_a_frozen_worker_is_lost_and_runs_nothing_afterwards(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            worker = await fleet.start_worker("w1")
            await fleet.start_worker("w2")
            first = fleet.place("w1", "t1")
            await fleet.sleep(5)
            worker.freeze(30 * SECOND)
            await fleet.sleep(12)
            self.assertEqual(fleet.state(first), "lost")
            fleet.place("w2", "t1")
            await fleet.sleep(40)
            self.assertEqual(fleet.state("t1-2"), "succeeded")
            self.assertEqual(worker.workload.attempts, {})

        self.check(run_fleet(scenario, run_time=30))

    def test_a_dead_worker_is_lost_only_after_its_lease(self) -> None:
        for delay in (0.01, 0.3, 2.9, 6.0):
            with self.subTest(delay=delay):

                async def scenario(fleet: Fleet, delay: float = delay) -> None:
                    worker = await fleet.start_worker("w1")
                    attempt = fleet.place("w1", "t1")
                    await fleet.sleep(5)
                    await fleet.sleep(delay)
                    worker.kill()
                    await fleet.sleep(6.5)
                    self.assertEqual(fleet.state(attempt), "running")
                    await fleet.sleep(5)
                    self.assertEqual(fleet.state(attempt), "lost")

                self.check(run_fleet(scenario))

    def test_a_reconnect_around_the_lapse_runs_nothing_twice(self) -> None:
        # The lapse and the hello are committed concurrently.
        for seed in range(12):
            with self.subTest(seed=seed):

                async def scenario(fleet: Fleet) -> None:
                    await fleet.start_worker("w1")
                    await fleet.start_worker("w2")
                    fleet.place("w1", "t1")
                    await fleet.sleep(5)
                    fleet.network.unreachable = {"c0:1"}
                    fleet.streams()[0].blackhole()  # type: ignore[attr-defined]
                    await fleet.sleep(9.2)
                    fleet.network.unreachable = set()
                    for _ in range(80):
                        await fleet.sleep(0.05)
                        if fleet.state("t1-1") == "lost":
                            fleet.place("w2", "t1")
                            break
                    await fleet.sleep(2)

                self.check(run_fleet(scenario, run_time=60, seed=seed))

    def test_a_restarted_worker_waits_for_its_predecessors_lease(
        self,
    ) -> None:
        async def scenario(fleet: Fleet) -> None:
            former = await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            await fleet.sleep(5)
            fleet.network.unreachable = {"c0:1"}
            for stream in fleet.streams():
                stream.blackhole()  # type: ignore[attr-defined]
            await fleet.start_worker("w1")
            fleet.network.unreachable = set()
            former.freeze(SECOND)
            await fleet.sleep(2)
            self.assertEqual(fleet.state(attempt), "running")
            former.kill()
            await fleet.sleep(12)
            self.assertEqual(fleet.state(attempt), "lost")
            again = fleet.place("w1", "t1")
            await fleet.sleep(2)
            self.assertEqual(fleet.state(again), "running")

        self.check(run_fleet(scenario))

    def test_lost_orders_are_resent_and_run_once(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            await fleet.sleep(1)
            for stream in fleet.streams():
                stream.blackhole()  # type: ignore[attr-defined]
            first = fleet.place("w1", "t1")
            second = fleet.place("w1", "t2")
            fleet.log.stop(AttemptId(second), evict=False)
            await fleet.sleep(35)
            self.assertEqual(fleet.state(first), "succeeded")
            self.assertEqual(fleet.state(second), "cancelled")

        fleet = run_fleet(scenario)
        self.assertEqual(set(fleet.observer.finished), {"t1"})
        self.check(fleet)

    def test_an_end_sent_into_a_dead_connection_is_reported_again(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            await fleet.sleep(17)
            for stream in fleet.streams():
                stream.blackhole()  # type: ignore[attr-defined]
            await fleet.sleep(10)
            self.assertEqual(fleet.state(attempt), "succeeded")

        fleet = run_fleet(scenario)
        self.assertEqual(fleet.observer.finished, {"t1": ["t1-1"]})
        self.check(fleet)

    def test_workers_follow_a_new_leader_and_keep_running(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            attempt = fleet.place("w1", "t1")
            await fleet.sleep(5)
            fleet.controllers[0].kill()
            fleet.controllers[1].lead()
            await fleet.sleep(20)
            self.assertEqual(fleet.state(attempt), "succeeded")

        fleet = run_fleet(scenario)
        self.assertEqual(len(fleet.observer.spans), 1, "it was never held")
        self.check(fleet)

    def test_a_deposed_leader_renews_nothing(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            worker = await fleet.start_worker("w1")
            fleet.place("w1", "t1")
            await fleet.sleep(5)
            fleet.controllers[0].depose("c1:1")
            fleet.network.unreachable = {"c1:1"}
            await fleet.sleep(11)
            self.assertFalse(worker.lease.holds())
            fleet.controllers[1].lead()
            fleet.network.unreachable = set()
            await fleet.sleep(20)
            self.assertEqual(fleet.state("t1-1"), "succeeded")

        self.check(run_fleet(scenario))

    def test_connections_of_a_former_term_renew_nothing(self) -> None:
        # The worker sends no request in between, so it does not notice the change.
        async def scenario(fleet: Fleet) -> None:
            worker = await fleet.start_worker("w1")
            fleet.place("w1", "t1")
            await fleet.sleep(3)
            fleet.controllers[0].depose()
            await fleet.sleep(1)
            fleet.controllers[0].lead()
            for _ in range(120):
                await fleet.sleep(0.1)
                lost = fleet.state("t1-1") == "lost"
                self.assertFalse(lost and worker.lease.holds())

        self.check(run_fleet(scenario, run_time=60))

    def test_throttled_work_is_slower_and_checkpoints_are_reported(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            attempt = AttemptId(fleet.place("w1", "t1"))
            await fleet.sleep(10)
            fleet.log.order(Throttle(attempt=attempt, fraction=0.5))
            fleet.log.order(TakeCheckpoint(attempt=attempt))
            await fleet.sleep(1)
            self.assertIsNotNone(fleet.log.attempts[attempt].checkpoint)
            await fleet.sleep(12)
            self.assertEqual(fleet.state(attempt), "running")
            await fleet.sleep(9)
            self.assertEqual(fleet.state(attempt), "succeeded")

        self.check(run_fleet(scenario))

    def test_orders_of_an_old_session_are_refused(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            workload = (await fleet.start_worker("w1")).workload
            await fleet.sleep(1)
            start = StartAttempt(
                attempt=AttemptId("x"),
                task="t",  # type: ignore[arg-type]
                epoch=Epoch(1),
                resources=SMALL,
                session=Epoch(3),
            )
            workload.apply_order(start, Epoch(4))
            self.assertEqual((workload.refused_orders, workload.attempts), (1, {}))

        run_fleet(scenario)


class RefusalsTest(unittest.TestCase):
    def exchange(self, *messages: msgspec.Struct | bytes) -> list[msgspec.Struct]:
        answers: list[msgspec.Struct] = []

        async def scenario(fleet: Fleet) -> None:
            near, far = memory_stream_pair(ToWorker, FromWorker)
            assert fleet.controllers[0].sessions is not None
            fleet.nursery.start_soon(fleet.controllers[0].sessions.serve, far)
            for message in messages:
                if isinstance(message, bytes):
                    await near.outgoing.send(message)
                else:
                    await near.send(message)
            while (answer := await near.receive()) is not None:
                answers.append(answer)

        run_fleet(scenario)
        return answers

    def get_refusal(self, *messages: msgspec.Struct | bytes) -> str:
        (answer,) = self.exchange(*messages)
        assert isinstance(answer, ConnectionRefused), answer
        return answer.reason

    def test_the_first_message_has_to_be_a_hello(self) -> None:
        reason = self.get_refusal(RenewLease(number=1, epoch=Epoch(1)))
        self.assertIn("worker-hello", reason)

    def test_a_bad_message_is_answered_with_its_field(self) -> None:
        bad = b'{"type": "worker-hello", "worker": ""}'
        self.assertIn("$.worker", self.get_refusal(bad))

    def test_a_silent_connection_is_closed(self) -> None:
        self.assertIn("nothing was heard", self.get_refusal())

    def test_a_controller_that_does_not_lead_names_the_leader(self) -> None:
        async def scenario(fleet: Fleet) -> None:
            await fleet.start_worker("w1")
            await fleet.sleep(1)
            fleet.controllers[0].depose("c1:1")
            await fleet.sleep(SETTINGS.renew_interval.total_seconds() + 1)
            fleet.controllers[1].lead()
            await fleet.sleep(5)
            sessions = fleet.controllers[1].sessions
            self.assertEqual(sessions and sessions.connected, 1)

        run_fleet(scenario)
        self.assertEqual(GoToLeader().address, "")
