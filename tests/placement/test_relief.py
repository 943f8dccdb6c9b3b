"""Tests of throttles and evictions that relieve services and memory."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec

from rhubarbfield.placement import (
    BatchKind,
    EvictAttempts,
    Eviction,
    JobSpec,
    Observations,
    Plan,
    ResizeAttempts,
    Resources,
)
from rhubarbfield.placement.harm import HarmModel
from rhubarbfield.types import (
    AttemptState,
    JobId,
    ServiceName,
    TaskId,
    Tenant,
    WorkKind,
)
from tests.placement.builders import MINUTE, Bench

GOAL = timedelta(milliseconds=100)
FAST, SLOW, VERY_SLOW = GOAL * 0.4, GOAL * 1.4, GOAL * 4
COUNTER = ServiceName("counter")
HARMFUL, HARMLESS = BatchKind("harmful"), BatchKind("harmless")


def list_evictions(plan: Plan) -> list[Eviction]:
    return [
        eviction
        for command in plan.commands
        if isinstance(command, EvictAttempts)
        for eviction in command.evictions
    ]


class SharedWorkerTest(unittest.TestCase):
    """One worker with a service, a harmful task and a harmless one."""

    def setUp(self) -> None:
        self.bench = Bench(workers=1, cores=8)
        self.bench.accept(
            "svc", kind=WorkKind.SERVICE, service=COUNTER, latency_goal=GOAL
        )
        self.bench.begin("svc/0", "w0")
        for kind in (HARMFUL, HARMLESS):
            self.bench.accept(kind, batch_kind=kind, cores=2.0)
            self.bench.begin(f"{kind}/0", "w0", cores=2)
        self.learn(with_harmful=SLOW)

    def learn(self, with_harmful: timedelta) -> None:
        """Feed samples of the service's tail latency beside each of the two tasks."""
        self.bench.observations.harm = HarmModel()
        for _ in range(40):
            for shares, p99 in (
                ({}, FAST),
                ({HARMFUL: 0.25}, with_harmful),
                ({HARMLESS: 0.25}, FAST),
            ):
                self.bench.observations.harm.learn(
                    COUNTER, 2, shares, p99.total_seconds()
                )

    def report(self, p99: timedelta, throttle: float = 1.0) -> Plan:
        """Report three times, so that the smoothed latency has converged, and plan."""
        for _ in range(3):
            self.bench.now += timedelta(seconds=10)
            self.bench.observe("w0", p99=p99, throttle=throttle, cores=2.0)
        return self.bench.run_round()

    def test_the_harmful_task_is_throttled_before_any_eviction(self) -> None:
        wanted = self.report(SLOW)
        orders = [(order.attempt, order.fraction) for order in wanted.throttles]
        self.assertEqual(orders[0], ("harmful/0#1", 0.5))
        self.assertNotIn("harmless/0#1", [attempt for attempt, _ in orders])
        self.assertFalse(list_evictions(wanted))

    def test_a_harmful_task_at_the_lowest_throttle_is_evicted(self) -> None:
        wanted = self.report(VERY_SLOW, throttle=0.25)
        self.assertEqual(
            [one.attempt for one in list_evictions(wanted)], ["harmful/0#1"]
        )

    def test_nothing_more_is_evicted_until_a_report_shows_the_change(self) -> None:
        self.bench.accept("second", batch_kind=HARMFUL, cores=2.0)
        self.bench.begin("second/0", "w0", cores=2)
        first = list_evictions(self.report(VERY_SLOW, throttle=0.25))
        self.assertEqual(len(first), 1)
        self.assertFalse(list_evictions(self.report(VERY_SLOW, throttle=0.25)))
        self.bench.now += timedelta(seconds=10)
        self.bench.observe("w0", p99=VERY_SLOW, throttle=0.25)
        self.bench.report_state(first[0], AttemptState.EVICTED)
        self.assertFalse(list_evictions(self.bench.run_round()))
        second = list_evictions(self.report(VERY_SLOW, throttle=0.25))
        self.assertEqual(len(second), 1)

    def test_a_service_slow_by_itself_causes_no_eviction(self) -> None:
        self.learn(with_harmful=FAST)
        wanted = self.report(VERY_SLOW, throttle=0.25)
        self.assertFalse(list_evictions(wanted))

    def test_throttles_are_relaxed_beside_a_fast_service(self) -> None:
        wanted = self.report(FAST, throttle=0.25)
        self.assertEqual([order.fraction for order in wanted.throttles], [0.5])

    def test_harmful_work_waits_if_a_service_would_miss_its_goal(self) -> None:
        self.report(FAST)
        self.bench.accept("more-harmless", batch_kind=HARMLESS, memory_mb=20)
        self.bench.accept("more-harmful", batch_kind=HARMFUL, memory_mb=20)
        self.bench.run_round()
        self.assertEqual(self.bench.find_worker("more-harmless/0"), "w0")
        self.assertIsNone(self.bench.find_worker("more-harmful/0"))
        self.bench.now += timedelta(hours=2)
        self.bench.run_round()
        self.assertEqual(self.bench.find_worker("more-harmful/0"), "w0")

    def test_harmful_work_is_placed_away_from_services(self) -> None:
        self.bench.add_worker("w1", cores=8)
        self.bench.accept("more-harmful", batch_kind=HARMFUL, cores=1.0, memory_mb=20)
        self.bench.run_round()
        self.assertEqual(self.bench.find_worker("more-harmful/0"), "w1")

    def test_a_harm_blind_strategy_orders_nothing(self) -> None:
        self.bench.settings = msgspec.structs.replace(
            self.bench.settings, strategy="harm-blind"
        )
        wanted = self.report(VERY_SLOW)
        self.assertFalse(wanted.throttles or list_evictions(wanted))


class MemoryTest(unittest.TestCase):
    def test_commitments_follow_memory_in_use(self) -> None:
        bench = Bench(workers=1)
        bench.accept(memory_mb=1000)
        bench.run_round()
        bench.observe("w0", {"j/0": 10_000})
        wanted = bench.run_round()
        self.assertTrue(any(isinstance(c, ResizeAttempts) for c in wanted.commands))
        live = bench.state.tasks[TaskId("j/0")].live
        assert live is not None
        self.assertGreaterEqual(live.size.memory_mb, 10_000)

    def test_a_growing_task_is_throttled_then_evicted_before_memory_is_full(
        self,
    ) -> None:
        bench = Bench(workers=1)
        bench.accept(tasks=2, memory_mb=1000)
        bench.run_round()
        throttled_at = evicted_at = 0
        for used in range(5_000, 32_000, 1_000):
            bench.now += timedelta(seconds=10)
            bench.observe("w0", {"j/0": used, "j/1": 3_000})
            wanted = bench.run_round()
            if wanted.throttles and not throttled_at:
                throttled_at = used
            if list_evictions(wanted):
                evicted_at = used
                break
        self.assertTrue(0 < throttled_at < evicted_at, (throttled_at, evicted_at))
        self.assertLess(evicted_at + 3_000, 32_000)

    def test_throttles_for_memory_are_relaxed(self) -> None:
        bench = Bench(workers=1)
        bench.accept(memory_mb=1000)
        bench.run_round()
        for strategy in ("harm-aware", "first-fit"):
            with self.subTest(strategy=strategy):
                bench.settings = msgspec.structs.replace(
                    bench.settings, strategy=strategy
                )
                bench.now += MINUTE
                bench.observe("w0", {"j/0": 3_000}, throttle=0.25)
                orders = [order.fraction for order in bench.run_round().throttles]
                self.assertEqual(orders, [0.5])

    def test_the_attempt_with_the_least_lost_work_is_evicted(self) -> None:
        bench = Bench(workers=1)
        bench.accept(tasks=2, memory_mb=1000)
        bench.run_round()
        bench.now += 20 * MINUTE
        order = bench.find_order(bench.state.tasks[TaskId("j/1")])
        bench.report_state(order, AttemptState.RUNNING, "c1")
        bench.now += MINUTE
        bench.observe("w0", {"j/0": 15_500, "j/1": 15_500})
        evictions = list_evictions(bench.run_round())
        self.assertEqual([one.attempt for one in evictions], ["j/1#1"])

    def test_sizes_declared_ten_times_too_small_are_learned(self) -> None:
        bench = Bench(workers=2, cores=64)
        bench.accept("first", tasks=4, memory_mb=300)
        for _ in range(6):
            bench.run_round()
            bench.now += timedelta(seconds=10)
            for worker in ("w0", "w1"):
                live = bench.state.workers[worker].live  # type: ignore[index]
                bench.observe(worker, dict.fromkeys(live.values(), 3_000))
        bench.accept("many", tasks=100, memory_mb=300)
        bench.run_round()
        for worker in bench.state.workers.values():
            self.assertLessEqual(len(worker.live) * 3_000, 32_000)

    def test_sizes_declared_ten_times_too_large_are_learned(self) -> None:
        observations = Observations()
        spec = JobSpec(job=JobId("j"), tenant=Tenant("t"), memory_mb=10_000, cores=10.0)
        self.assertEqual(
            observations.sizes.estimate(spec), Resources(10_000, 14_000, 0)
        )
        for _ in range(400):
            observations.sizes.learn(spec, 1000, 1000)
        size = observations.sizes.estimate(spec)
        self.assertLess(size.memory_mb, 1_500)
        self.assertLess(size.millicores, 1_500)
