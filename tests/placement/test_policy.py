"""Tests of the policy's choice of tasks to start and of workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec

from rhubarbfield.exceptions import UsageError
from rhubarbfield.placement import (
    BatchKind,
    EvictAttempts,
    LoseWorker,
    QuarantineState,
    Quota,
    Resources,
    SetQuota,
    StartAttempts,
    find_strategy,
    list_strategies,
)
from rhubarbfield.types import (
    AttemptState,
    Epoch,
    JobId,
    JobState,
    Priority,
    TaskId,
    Tenant,
    WorkerId,
    WorkKind,
)
from tests.placement.builders import MINUTE, Bench

SMALL = {"memory_mb": 20}


class PlacingTest(unittest.TestCase):
    def test_standing_work_is_spread_over_racks(self) -> None:
        bench = Bench(workers=4, cores=32)
        bench.accept(kind=WorkKind.STANDING, tasks=4, **SMALL)
        bench.run_round()
        places = {bench.find_worker(f"j/{index}") for index in range(4)}
        self.assertEqual(places, {"w0", "w1", "w2", "w3"})
        bench = Bench(workers=4, cores=32, racks=2)
        bench.accept(kind=WorkKind.STANDING, tasks=2, **SMALL)
        bench.run_round()
        racks = {
            bench.state.workers[WorkerId(bench.find_worker(f"j/{index}") or "")].rack
            for index in range(2)
        }
        self.assertEqual(racks, {"r0", "r1"})

    def test_tenants_get_fair_shares(self) -> None:
        bench = Bench(workers=1, cores=16)
        bench.accept("many", tenant="a", tasks=100, **SMALL)
        bench.now += MINUTE
        bench.accept("few", tenant="b", tasks=8, **SMALL)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("few")].live), 8)
        self.assertEqual(len(bench.state.jobs[JobId("many")].live), 8)

    def test_shares_follow_weights(self) -> None:
        bench = Bench(workers=1, cores=32)
        quota = Quota(weight=3.0)
        bench.apply(SetQuota(at=bench.now, tenant=Tenant("a"), quota=quota))
        for tenant in "ab":
            bench.accept(tenant, tenant=tenant, tasks=100, **SMALL)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("a")].live), 24)

    def test_the_plan_respects_quotas(self) -> None:
        bench = Bench(workers=2)
        quota = Quota(limit=Resources.of(3, 32_000))
        bench.apply(SetQuota(at=bench.now, tenant=Tenant("t"), quota=quota))
        bench.accept(tasks=10, **SMALL)
        wanted = bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 3)
        self.assertIn("quota", wanted.waits[0].reason)

    def test_a_margin_does_not_push_a_job_past_its_quota(self) -> None:
        for gang, tasks, memory_mb in ((False, 1, 8_000), (True, 2, 4_000)):
            with self.subTest(gang=gang):
                bench = Bench(workers=2)
                quota = Quota(limit=Resources.of(2, 8_000))
                bench.apply(SetQuota(at=bench.now, tenant=Tenant("t"), quota=quota))
                bench.accept(tasks=tasks, memory_mb=memory_mb, gang=gang)
                bench.run_round()
                self.assertEqual(len(bench.state.jobs[JobId("j")].live), tasks)

    def test_a_job_waits_for_the_only_worker_that_fits_it(self) -> None:
        bench = Bench(workers=1, cores=8)
        bench.add_worker("large", cores=16)
        bench.accept(cores=12.0)
        large = WorkerId("large")
        bench.apply(LoseWorker(at=bench.now, worker=large, epoch=Epoch(1), reason="x"))
        bench.run_round()
        self.assertIsNone(bench.find_worker("j/0"))
        bench.add_worker("large", cores=16, incarnation="2")
        bench.run_round()
        self.assertEqual(bench.find_worker("j/0"), "large")

    def test_unproven_sizes_start_few_at_a_time(self) -> None:
        bench = Bench(workers=1, cores=64)
        bench.accept(tasks=20, memory_mb=1000)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 2)
        for _ in range(10):
            bench.now += timedelta(seconds=10)
            bench.observe("w0")
            bench.run_round()
        self.assertGreater(len(bench.state.jobs[JobId("j")].live), 15)

    def test_a_task_avoids_workers_on_which_it_failed(self) -> None:
        bench = Bench(workers=2)
        bench.accept(max_failures=5)
        bench.report_state(bench.begin("j/0", "w1"), AttemptState.FAILED)
        bench.now += MINUTE
        bench.run_round()
        self.assertEqual(bench.find_worker("j/0"), "w0")

    def test_no_tasks_start_on_an_unreachable_worker(self) -> None:
        bench = Bench(workers=2)
        bench.observations.set_reachable(WorkerId("w0"), False)
        bench.accept(tasks=20, **SMALL)
        bench.run_round()
        self.assertFalse(bench.state.workers[WorkerId("w0")].live)
        bench.observations.set_reachable(WorkerId("w0"), True)
        bench.run_round()
        self.assertEqual(len(bench.state.workers[WorkerId("w0")].live), 8)

    def test_a_large_job_is_not_starved_by_small_ones(self) -> None:
        bench = Bench(workers=1)
        bench.accept("small", tasks=1000, cores=2.0, **SMALL)
        bench.run_round()
        bench.accept("large", tenant="u", cores=8.0, **SMALL)
        started = False
        for _ in range(400):
            bench.now += timedelta(seconds=20)
            worker = bench.state.workers[WorkerId("w0")]
            if worker.live and not started:
                task = bench.state.tasks[next(iter(worker.live.values()))]
                assert task.live is not None
                order = bench.find_order(task)
                bench.report_state(order, AttemptState.SUCCEEDED)
            bench.run_round()
            started = started or bool(bench.state.jobs[JobId("large")].live)
        self.assertTrue(started)

    def test_the_same_arguments_give_the_same_plan(self) -> None:
        bench = Bench(workers=5)
        bench.accept(tasks=12, **SMALL)
        self.assertEqual(bench.plan(), bench.plan())

    def test_every_strategy_uses_all_capacity(self) -> None:
        for name in list_strategies():
            with self.subTest(strategy=name):
                bench = Bench(workers=3)
                bench.settings = msgspec.structs.replace(bench.settings, strategy=name)
                bench.accept(tasks=30, **SMALL)
                for _ in range(3):
                    bench.run_round()
                self.assertEqual(len(bench.state.jobs[JobId("j")].live), 24)

    def test_an_unknown_strategy_is_named(self) -> None:
        with self.assertRaisesRegex(UsageError, "no strategy 'best'"):
            find_strategy("best")


class GangTest(unittest.TestCase):
    def test_a_gang_waits_until_all_fit(self) -> None:
        bench = Bench(workers=2)
        bench.accept("filler", cores=6.0)
        bench.run_round()
        bench.accept(tasks=2, gang=True, cores=6.0)
        bench.run_round()
        self.assertFalse(bench.state.jobs[JobId("j")].live)
        filler = bench.state.tasks[TaskId("filler/0")]
        bench.report_state(bench.find_order(filler), AttemptState.SUCCEEDED)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 2)

    def test_a_margin_does_not_keep_a_gang_from_starting(self) -> None:
        bench = Bench(workers=2)
        bench.accept(tasks=2, gang=True, memory_mb=28_000)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 2)

    def test_a_gang_never_gets_less_than_observed_for_similar_tasks(self) -> None:
        bench = Bench(workers=1)
        bench.accept("filler", memory_mb=2_000, batch_kind=BatchKind("other"))
        bench.run_round()
        bench.accept(cores=4.0, memory_mb=2_000, gang=True)
        for _ in range(5):
            spec = bench.state.jobs[JobId("j")].spec
            bench.observations.sizes.learn(spec, 2_000, 25_000)
        bench.run_round()
        live = bench.state.tasks[TaskId("j/0")].live
        assert live is not None
        self.assertGreaterEqual(live.size.memory_mb, 25_000)

    def test_a_gang_waits_for_workers_that_have_not_joined_yet(self) -> None:
        bench = Bench(workers=0)
        bench.accept(tasks=2, cores=6.0, gang=True)
        for number in range(2):
            bench.add_worker(f"w{number}")
            bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("j")].live), 2)

    def test_a_gang_observed_to_outgrow_the_fleet_is_impossible(self) -> None:
        bench = Bench(workers=2)
        bench.accept(tasks=4, memory_mb=2_000, gang=True)
        for _ in range(20):
            spec = bench.state.jobs[JobId("j")].spec
            bench.observations.sizes.learn(spec, 1_000, 20_000)
        bench.run_round()
        job = bench.state.jobs[JobId("j")]
        self.assertIs(job.state, JobState.IMPOSSIBLE)
        self.assertIn("the workers hold 2 of the 4 tasks", job.reason)


class UrgentTest(unittest.TestCase):
    def test_urgent_work_goes_first(self) -> None:
        bench = Bench(workers=1)
        bench.accept("bulk", priority=Priority.BULK, tasks=8, **SMALL)
        bench.accept("now", priority=Priority.URGENT, tasks=8, **SMALL)
        bench.run_round()
        self.assertEqual(len(bench.state.jobs[JobId("now")].live), 8)

    def test_urgent_work_evicts_the_cheapest_attempt_and_no_more(self) -> None:
        bench = Bench(workers=2)
        bench.accept("bulk", tasks=16, **SMALL)
        bench.run_round()
        bench.now += 30 * MINUTE
        saved = bench.find_order(bench.state.tasks[TaskId("bulk/5")])
        bench.report_state(saved, AttemptState.RUNNING, "c1")
        bench.accept("now", priority=Priority.URGENT, **SMALL)
        evictions = []
        for _ in range(4):
            for command in bench.run_round().commands:
                if isinstance(command, EvictAttempts):
                    evictions += command.evictions
        self.assertEqual([one.attempt for one in evictions], ["bulk/5#1"])
        bench.accept("later", tasks=1, **SMALL)
        bench.report_state(evictions[0], AttemptState.EVICTED, "c2")
        bench.run_round()
        self.assertIsNotNone(bench.find_worker("now/0"))
        self.assertIsNone(bench.find_worker("later/0"))

    def test_preemption_is_bounded(self) -> None:
        bench = Bench(workers=8)
        bench.accept("bulk", tasks=64, **SMALL)
        bench.run_round()
        bench.accept("now", priority=Priority.URGENT, tasks=64, **SMALL)
        wanted = bench.run_round()
        evicted = [c for c in wanted.commands if isinstance(c, EvictAttempts)]
        most = bench.settings.max_preemptions
        self.assertLessEqual(len(evicted[0].evictions), most)

    def test_standing_work_is_never_evicted_for_urgent_work(self) -> None:
        bench = Bench(workers=1)
        bench.accept("stand", kind=WorkKind.STANDING, tasks=8, **SMALL)
        bench.run_round()
        bench.accept("now", priority=Priority.URGENT, **SMALL)
        self.assertFalse(bench.plan().commands)


class QuarantineTest(unittest.TestCase):
    def fail_all(self, bench: Bench, worker: str | None = None) -> None:
        for task in list(bench.state.tasks.values()):
            live = task.live
            if live is not None and worker in (None, live.worker):
                bench.report_state(bench.find_order(task), AttemptState.FAILED)

    def test_a_worker_that_fails_everything_is_quarantined_and_probed(self) -> None:
        bench = Bench(workers=4)
        bench.accept(tasks=1000, **SMALL)
        for _ in range(10):
            bench.run_round()
            for task in list(bench.state.tasks.values()):
                if task.live is not None:
                    bad = task.live.worker == "w2"
                    state = AttemptState.FAILED if bad else AttemptState.SUCCEEDED
                    bench.report_state(bench.find_order(task), state)
            bench.now += timedelta(seconds=5)
        worker = bench.state.workers[WorkerId("w2")]
        self.assertIs(worker.quarantine, QuarantineState.QUARANTINED)
        self.assertIsNot(bench.state.jobs[JobId("j")].state, JobState.FAILED)
        bench.now += MINUTE
        bench.run_round()
        self.assertEqual(len(worker.live), 1)

    def test_a_bad_job_does_not_quarantine_the_fleet(self) -> None:
        bench = Bench(workers=6)
        for number in range(5):
            bench.accept(f"bad{number}", tasks=30, max_failures=50, **SMALL)
        for _ in range(60):
            bench.run_round()
            self.fail_all(bench)
            bench.now += MINUTE
        states = {worker.quarantine for worker in bench.state.workers.values()}
        self.assertEqual(states, {QuarantineState.TRUSTED})

    def test_an_occasionally_failing_job_quarantines_no_worker(self) -> None:
        bench = Bench(workers=4)
        bench.accept(tasks=300, max_failures=50, batch_kind=BatchKind("flaky"), **SMALL)
        for turn in range(20):
            bench.run_round()
            live = [t for t in bench.state.tasks.values() if t.live]
            for index, task in enumerate(live):
                bad = (index + turn) % 2
                state = AttemptState.FAILED if bad else AttemptState.SUCCEEDED
                bench.report_state(bench.find_order(task), state)
            bench.now += MINUTE
        states = {worker.quarantine for worker in bench.state.workers.values()}
        self.assertEqual(states, {QuarantineState.TRUSTED})


class BoundsTest(unittest.TestCase):
    def test_starts_per_plan_are_bounded(self) -> None:
        bench = Bench(workers=20, cores=64)
        bench.settings = msgspec.structs.replace(bench.settings, max_starts=50)
        for number in range(20):
            bench.accept(f"j{number}", tasks=50, cores=0.5, memory_mb=20)
        starts = [c for c in bench.run_round().commands if isinstance(c, StartAttempts)]
        self.assertLess(len(starts[0].starts), 50 + 8)
