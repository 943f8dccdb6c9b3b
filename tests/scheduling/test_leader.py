"""Tests of a scheduling leader with stand-in workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.logs import find_event
from rhubarbfield.scheduling.commands import RunStart, StartRuns
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    Demand,
    JobPhase,
    RunNumber,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.orders import Start
from rhubarbfield.scheduling.ports import StartOrder
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.testing.scheduling_workers import StandInWorker
from rhubarbfield.types import WorkerId
from tests.scheduling.deployments import (
    ONE_CORE,
    Deployment,
    count_runs_at_once,
    with_deployment,
)

FAILING_DURATION = timedelta(milliseconds=30)
DRAINING_TIME = timedelta(seconds=2)  # workers that drain accept tasks for so long
GANG_WAIT_SECONDS = 3.0  # members that wait for longer end alone
MAX_LAPSE_SECONDS = 11.0  # the longest lease on a slow clock, plus a call
VIEW_SECONDS = 1.6  # a view that is in progress ends within this time
# What a clock that is 2% slow adds to a lease of 6 s, an order in flight, and a call.
LAPSE_DELAY_SECONDS = 0.13 + 0.2 + 1.2


class RunningJobsTest(unittest.TestCase):
    @with_deployment()
    async def test_steps_run_in_order_and_complete_the_job(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        async with deployment.lead():
            first = Step(tasks=3, demand=ONE_CORE, estimate_ms=1000)
            second = Step(tasks=2, demand=ONE_CORE, estimate_ms=1000, after=(0,))
            await deployment.submit("j", first, second)
            await trio.sleep(3)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)
        steps = [task.split(".")[2] for task, _, _ in worker.started]
        self.assertEqual(steps, ["0", "0", "0", "1", "1"])

    @with_deployment()
    async def test_cancelled_job_is_stopped_and_stays_stopped(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=4, demand=ONE_CORE))
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 4)
            await deployment.cancel("j")
            await trio.sleep(1)
            self.assertEqual(len(worker.runs), 0)
            started = len(worker.started)
            await trio.sleep(5)
            self.assertEqual(len(worker.started), started)

    @with_deployment(max_attempts=2)
    async def test_failed_tasks_use_up_their_attempts(
        self, deployment: Deployment
    ) -> None:
        for name in ("w1", "w2", "w3"):
            deployment.add_worker(name).end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(30)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.FAILED)
        started = [
            each
            for worker in deployment.fleet.workers.values()
            for each in worker.started
        ]
        self.assertEqual(len(started), 2)

    @with_deployment(max_attempts=1)
    async def test_standing_tasks_are_restarted_however_they_end(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=timedelta(seconds=2))
        worker.end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(20)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.RUNNING)
        self.assertGreater(len(worker.started), 3)


class GangsTest(unittest.TestCase):
    @with_deployment()
    async def test_members_wait_alone_for_one_that_was_refused(
        self, deployment: Deployment
    ) -> None:
        workers = [
            deployment.add_worker(f"w{number}", duration=None, capacity=ONE_CORE)
            for number in range(3)
        ]
        workers[2].rejected_starts = 1
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=3, demand=ONE_CORE, gang=True))
            await trio.sleep(0.2)
            self.assertEqual([len(each.runs) for each in workers], [0, 0, 0])
            await trio.sleep(2)
            runs = {run.run for each in workers for run in each.runs.values()}
            self.assertEqual(runs, {2})

    @with_deployment()
    async def test_members_wait_alone_for_one_whose_worker_has_shrunk(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w0", duration=None, capacity=ONE_CORE)
        second = deployment.add_worker("w1", duration=None, capacity=ONE_CORE)
        async with deployment.lead() as leader:
            await trio.sleep(0.3)
            second.unanswered_starts = 1
            await deployment.submit("j", Step(tasks=2, demand=ONE_CORE, gang=True))
            await trio.sleep(0.1)
            second.capacity = Demand()
            await leader.handle_heartbeat(second.make_heartbeat())
            await trio.sleep(GANG_WAIT_SECONDS)
            self.assertEqual(len(first.runs), 0)


class LostWorkersTest(unittest.TestCase):
    @with_deployment()
    async def test_start_that_reached_no_worker_goes_to_another_at_once(
        self, deployment: Deployment
    ) -> None:
        """The crash of an idle worker is noticed by the next order only."""
        first = deployment.add_worker("w1")
        deployment.add_worker("w2")
        async with deployment.lead():
            await trio.sleep(0.5)
            deployment.fleet.crash(first)
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(1.5)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)
        sent = deployment.list_sent(StartOrder, "j")
        self.assertEqual([each.worker for each in sent], ["w1", "w2"])

    @with_deployment()
    async def test_removal_in_doubt_ends_no_run_of_a_worker_that_came_back(
        self, deployment: Deployment
    ) -> None:
        """A repeated removal would free a task that has started since."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await trio.sleep(0.5)
            first.is_unreachable = True
            deployment.replica.unanswered.append("RemoveWorker")
            while deployment.replica.unanswered:
                await trio.sleep(0.02)
            first.is_unreachable = False
            await leader.handle_heartbeat(first.make_heartbeat())
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(0.6)
            deployment.add_worker("w2", duration=None)
            ends_at = trio.current_time() + 5
            while trio.current_time() < ends_at:
                await trio.sleep(0.01)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(first.runs), 1)

    @with_deployment()
    async def test_queued_starts_are_not_sent_long_after_draining_began(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await trio.sleep(0.3)
            worker.unanswered_starts = 5
            await deployment.submit("a", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(0.1)
            await leader.handle_heartbeat(worker.make_heartbeat(draining=True))
            acknowledged_at = deployment.clock.monotonic()
            await trio.sleep(10)
            limit = acknowledged_at + DRAINING_TIME
            late = [at for _, _, at in worker.started if at > limit]
            self.assertEqual(late, [])

    @with_deployment()
    async def test_tasks_of_unresponsive_worker_restart_once_its_lease_lapses(
        self, deployment: Deployment
    ) -> None:
        """Repeated views must not extend the lease whose lapse the leader awaits."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            self.assertEqual(len(first.runs), 1)
            second = deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            for _ in range(int(MAX_LAPSE_SECONDS * 10)):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(second.runs), 1)

    @with_deployment()
    async def test_next_leader_waits_for_a_lost_worker_no_longer_than_its_lease(
        self, deployment: Deployment
    ) -> None:
        """A standing task stood still for 18 s around a change of leader."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(MAX_LAPSE_SECONDS)
            second = deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            await trio.sleep(5)
        deployment.elect(2)
        async with deployment.lead():
            lease = deployment.settings.lease.total_seconds()
            for _ in range(int((lease + LAPSE_DELAY_SECONDS) * 10)):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(second.runs), 1)

    @with_deployment()
    async def test_starts_queued_for_a_silent_worker_do_not_extend_its_lease(
        self, deployment: Deployment
    ) -> None:
        """A standing task waited for several starts, of which each extended it."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(MAX_LAPSE_SECONDS)  # of a lease of an earlier leader
            first.is_unreachable = True
            await deployment.submit("k", Step(tasks=6, demand=ONE_CORE))
            second = deployment.add_worker("w2", duration=None)
            lease = deployment.settings.lease.total_seconds()
            await trio.sleep(VIEW_SECONDS + lease + LAPSE_DELAY_SECONDS)
            self.assertIn(TaskName("j.0.0.0"), second.runs)
            self.assertEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_starts_queued_for_a_silent_worker_go_to_another(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await trio.sleep(1)
            first.is_unreachable = True
            await deployment.submit("k", Step(tasks=6, demand=ONE_CORE))
            second = deployment.add_worker("w2", duration=None)
            attempts = deployment.settings.order_attempts
            await trio.sleep(attempts + 1)  # each takes less than a second
            # The first order may have arrived.
            self.assertEqual(len(second.runs), 5)

    @with_deployment()
    async def test_other_incarnation_at_the_address_frees_tasks_at_once(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            deployment.reporting.remove(first)
            other_incarnation = StandInWorker(
                WorkerId("w2"), deployment.clock, duration=None
            )
            deployment.fleet.add(other_incarnation, first.address)
            await trio.sleep(3)
            self.assertNotIn(WorkerId("w1"), deployment.state.workers)
            third = deployment.add_worker("w3", duration=None)
            await trio.sleep(1.5)
            self.assertEqual(len(third.runs), 1)

    @with_deployment()
    async def test_connections_to_a_removed_worker_are_closed(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1")
        second = deployment.add_worker("w2")
        async with deployment.lead() as leader:
            await trio.sleep(1)
            deployment.reporting.remove(first)
            await leader.remove_worker(first.worker, {})
            await trio.sleep(1)
            self.assertEqual(deployment.fleet.forgotten, [first.address])
        self.assertEqual(deployment.fleet.forgotten, [first.address, second.address])

    @with_deployment()
    async def test_worker_that_announced_its_exit_may_work_until_its_lease_lapses(
        self, deployment: Deployment
    ) -> None:
        """An announcement is no end: the worker may be cut off, and work on."""
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            second = deployment.add_worker("w2", duration=None)
            await leader.handle_departure(first.worker)
            first.is_unreachable = True
            for _ in range(int(MAX_LAPSE_SECONDS * 10)):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(second.runs), 1)
            self.assertNotIn(first.worker, deployment.state.workers)

    @with_deployment()
    async def test_task_of_a_worker_that_left_restarts_once_its_lease_has_lapsed(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(MAX_LAPSE_SECONDS)  # of a lease of an earlier leader
            second = deployment.add_worker("w2", duration=None)
            await leader.handle_departure(first.worker)
            first.is_unreachable = True
            await trio.sleep(VIEW_SECONDS)
            first.runs.clear()
            left = first.lease_end - first.read_clock()
            await trio.sleep(left.total_seconds())
            self.assertEqual(len(second.runs), 0)
            # A call without a reply may have extended the lease after that view.
            longest = deployment.settings.lease - left
            await trio.sleep(longest.total_seconds() + LAPSE_DELAY_SECONDS)
            self.assertEqual(len(second.runs), 1)

    @with_deployment()
    async def test_no_start_is_sent_to_a_worker_that_announced_its_exit(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        first.unanswered_starts = 1
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.3)
            await leader.handle_departure(first.worker)
            await trio.sleep(3)
        self.assertEqual(len(deployment.list_sent(StartOrder, "j")), 1)

    @with_deployment()
    async def test_standing_task_leaves_a_draining_worker_if_another_fits(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            deployment.reporting.remove(first)
            await leader.handle_heartbeat(first.make_heartbeat(draining=True))
            await trio.sleep(1)
            self.assertEqual(len(first.runs), 1)
            second = deployment.add_worker("w2", duration=None)
            await trio.sleep(3)
            self.assertEqual((len(first.runs), len(second.runs)), (0, 1))


class WaitingTest(unittest.TestCase):
    def find_reason(self, step: Step) -> str:
        reasons: list[str] = []

        @with_deployment()
        async def wait(_case: WaitingTest, deployment: Deployment) -> None:
            deployment.add_worker("w1", duration=None)
            async with deployment.lead():
                await deployment.submit("j", step)
                await trio.sleep(1.5)

        with self.assertLogs("rhubarbfield.scheduling.leader", "INFO") as logs:
            wait(self)
        for record in logs.records:
            if find_event(record) == "step-waiting":
                reasons.append(vars(record)["rhubarbfield_ids"]["reason"])
        self.assertEqual(len(set(reasons)), 1)
        return reasons[0]

    def test_log_gives_the_reason_why_a_step_waits(self) -> None:
        huge = Demand(10**6, 1000)
        reserved = Step(demand=huge)
        filling = Step(demand=huge, uses_spare_cores=True)
        spread = Step(tasks=2, demand=ONE_CORE, max_per_worker=1)
        self.assertEqual(self.find_reason(reserved), "no-capacity")
        self.assertEqual(self.find_reason(filling), "no-spare-cores")
        self.assertEqual(self.find_reason(spread), "spread")


class QuarantineTest(unittest.TestCase):
    @with_deployment()
    async def test_recovered_worker_gets_tasks_beside_its_running_ones(
        self, deployment: Deployment
    ) -> None:
        """Standing tasks that kept running on a worker must not prolong probation."""
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("a", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(1)
            worker.duration, worker.end = timedelta(seconds=0.03), RunEnd.FAILED
            await deployment.submit("b", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(3)
            worker.duration = None
            await trio.sleep(9)
            self.assertEqual(len(worker.runs), 2)

    @with_deployment()
    async def test_worker_that_fails_every_run_only_gets_probes(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=timedelta(seconds=0.03))
        worker.end = RunEnd.FAILED
        async with deployment.lead():
            step = Step(tasks=8, demand=ONE_CORE, standing=True)
            await deployment.submit("a", step)
            await trio.sleep(2)
            before = len(worker.started)
            await trio.sleep(20)
            self.assertLessEqual(len(worker.started) - before, 4)

    @with_deployment()
    async def test_gang_returns_to_a_recovered_worker(self, _: Deployment) -> None:
        """A gang that needs several tasks of a worker on probation waited for ever."""
        for same_rack in (False, True):
            with self.subTest(same_rack=same_rack):
                deployment = Deployment()
                await deployment.configure()
                worker = deployment.add_worker("w1", duration=FAILING_DURATION)
                worker.end = RunEnd.FAILED
                step = Step(tasks=3, demand=ONE_CORE, gang=True, same_rack=same_rack)
                async with deployment.lead():
                    await deployment.submit("j", step)
                    await trio.sleep(1)
                    worker.end = RunEnd.DONE
                    await trio.sleep(10)
                self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)

    @with_deployment(max_attempts=3)
    async def test_nothing_else_starts_beside_a_gang_that_is_the_probe(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=FAILING_DURATION)
        worker.end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=3, demand=ONE_CORE, gang=True))
            await trio.sleep(1)
            before = len(worker.started)
            await deployment.submit("b", Step(tasks=4, demand=ONE_CORE, estimate_ms=99))
            await trio.sleep(6)
        started = [task for task, _, _ in worker.started[before:]]
        self.assertEqual(started, ["a.0.0.0", "a.0.0.1", "a.0.0.2"])

    @with_deployment()
    async def test_gang_that_can_not_start_leaves_the_probe_to_others(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=FAILING_DURATION)
        worker.end = RunEnd.FAILED
        async with deployment.lead():
            await deployment.submit("a", Step(tasks=2, demand=ONE_CORE, gang=True))
            await trio.sleep(0.5)
            await deployment.submit("b", Step(tasks=99, demand=ONE_CORE, gang=True))
            await deployment.submit("c", Step(tasks=4, demand=ONE_CORE, standing=True))
            await deployment.cancel("a")
            before = len(worker.started)
            await trio.sleep(6.5)
            self.assertEqual(len(worker.started) - before, 1)


class StalledRunsTest(unittest.TestCase):
    @with_deployment()
    async def test_standing_tasks_do_not_count_as_stalled(
        self, deployment: Deployment
    ) -> None:
        """Each round looked at every standing task, whose percentage never changes."""
        worker = deployment.add_worker("w1", duration=None)
        worker.is_stuck = True  # keeps the percentage
        async with deployment.lead() as leader:
            await deployment.submit("j1", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(6)
            session = leader.get_session(WorkerId("w1"))
            self.assertEqual(len(session.active), 1)
            self.assertEqual(session.list_stalled(timedelta(seconds=2)), [])

    @with_deployment()
    async def test_stalled_task_restarts_on_another_worker(
        self, deployment: Deployment
    ) -> None:
        stuck = deployment.add_worker("w1")
        stuck.is_stuck = True
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(1)
            self.assertEqual(len(stuck.runs), 1)
            deployment.add_worker("w2")
            await trio.sleep(6)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)


class UnknownOutcomeTest(unittest.TestCase):
    """The log commits starts whose proposal timed out."""

    @with_deployment()
    async def test_run_number_is_not_given_to_two_workers(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        second = deployment.add_worker("w2", duration=None)
        async with deployment.lead() as leader:
            deployment.replica.unanswered = ["StartRuns"]
            await deployment.submit("j", Step(demand=ONE_CORE, copies_allowed=True))
            await trio.sleep(1)
            await leader.handle_departure(first.worker)
            for _ in range(100):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(len(first.runs) + len(second.runs), 1)

    @with_deployment()
    async def test_start_is_sent_once_it_is_known_to_be_recorded(
        self, deployment: Deployment
    ) -> None:
        """An idle worker is not viewed, so that no view would find its run."""
        worker = deployment.add_worker("w1")
        async with deployment.lead():
            deployment.replica.unanswered = ["StartRuns"]
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(5)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)
        self.assertEqual([run for _, run, _ in worker.started], [1])


class UnansweredOrdersTest(unittest.TestCase):
    @with_deployment()
    async def test_start_carried_out_late_does_not_duplicate_the_task(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        deployment.add_worker("w2", duration=None)
        first.unanswered_starts = 3
        async with deployment.lead():
            for number in range(4):
                await deployment.submit(f"j{number}", Step(demand=ONE_CORE))
            for _ in range(60):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            deployment.fleet.deliver_delayed_starts()
            for _ in range(60):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_late_start_does_not_duplicate_a_task_after_a_lapse_within_a_term(
        self, deployment: Deployment
    ) -> None:
        """The fencing token of the term can't exclude an order of the same term."""
        first = deployment.add_worker("w1", duration=None)
        first.unanswered_starts = 1
        async with deployment.lead_while_leading():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.3)
            deployment.add_worker("w2", duration=None)
            deployment.replica.leadership = None
            await trio.sleep(0.6)
            deployment.elect(1)
            await trio.sleep(3)
            deployment.fleet.deliver_delayed_starts()
            for _ in range(30):
                self.assertLessEqual(count_runs_at_once(deployment), 1)
                await trio.sleep(0.1)
            self.assertEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_late_start_does_not_duplicate_a_task_of_a_worker_that_moved(
        self, deployment: Deployment
    ) -> None:
        """A session at a new address must know the orders of the one before it."""
        first = deployment.add_worker("w1", duration=None)
        first.unanswered_starts = 1
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.3)
            deployment.add_worker("w2", duration=None)
            del deployment.fleet.workers[first.address]
            first.machine = "elsewhere"
            deployment.fleet.add(first)
            await trio.sleep(1.5)
            deployment.fleet.deliver_delayed_starts()
            for _ in range(30):
                self.assertLessEqual(count_runs_at_once(deployment), 1)
                await trio.sleep(0.1)
            self.assertEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_late_start_does_not_duplicate_a_task_after_the_lease_has_lapsed(
        self, deployment: Deployment
    ) -> None:
        """A worker may take the lease that it has now for that of an old order."""
        first = deployment.add_worker("w1", duration=None)
        first.has_single_lease = True
        first.unanswered_starts = 3
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.3)
            second = deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            while not second.runs:
                await trio.sleep(0.1)
            first.lost_stops = 2
            first.is_unreachable = False
            others = Step(tasks=2, demand=ONE_CORE, standing=True, max_per_worker=1)
            await deployment.submit("k", others)
            for _ in range(80):
                await trio.sleep(0.05)
                if first.lease_end > first.read_clock():
                    deployment.fleet.deliver_delayed_starts()
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertEqual(deployment.fleet.delayed_starts, [])

    @with_deployment()
    async def test_late_start_does_not_duplicate_a_task_after_its_worker_came_back(
        self, deployment: Deployment
    ) -> None:
        """A worker that announced its exit is removed, works on and reports again."""
        first = deployment.add_worker("w1", duration=None)
        first.has_single_lease = True
        first.unanswered_starts = 3
        async with deployment.lead() as leader:
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.3)
            second = deployment.add_worker("w2", duration=None)
            first.is_unreachable = True
            await leader.handle_departure(first.worker)
            while not second.runs:
                await trio.sleep(0.1)
            first.is_unreachable = False
            for _ in range(80):
                await trio.sleep(0.05)
                if first.lease_end > first.read_clock():
                    deployment.fleet.deliver_delayed_starts()
                self.assertLessEqual(count_runs_at_once(deployment), 1)
            self.assertIn(first.worker, leader.state.workers)

    @with_deployment()
    async def test_start_rejected_after_one_in_doubt_is_stopped_before_it_moves(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        first.unanswered_starts = 1
        first.rejected_starts = 1
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE, standing=True))
            await trio.sleep(0.5)
            second = deployment.add_worker("w2", duration=None)
            for _ in range(30):
                await trio.sleep(0.1)
                if second.runs or first.has_ended(TaskName("j.0.0.0")):
                    deployment.fleet.deliver_delayed_starts()
                self.assertLessEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_queued_start_is_not_sent_once_its_run_is_lost(
        self, deployment: Deployment
    ) -> None:
        first = deployment.add_worker("w1", duration=None)
        async with deployment.lead() as leader:
            await deployment.submit("a", Step(demand=ONE_CORE))
            await trio.sleep(1)
            first.is_unreachable = True
            await deployment.cancel("a")
            await trio.sleep(0.3)
            session = leader.get_session(first.worker)
            assert session is not None
            key = RunKey(TaskName("b.0.0.0"), RunNumber(1))
            await deployment.submit("b", Step(demand=ONE_CORE, standing=True))
            start = RunStart(key.task, key.run, first.worker)
            await deployment.propose(StartRuns(starts=(start,)))
            now = deployment.clock.monotonic()
            session.start(Start(key, "p", NO_CHECKPOINT, now, now))
            second = deployment.add_worker("w2", duration=None)
            await trio.sleep(MAX_LAPSE_SECONDS)
            self.assertEqual(len(second.runs), 1)
            first.is_unreachable = False
            for _ in range(30):
                await trio.sleep(0.1)
                self.assertLessEqual(count_runs_at_once(deployment), 1)

    @with_deployment()
    async def test_next_leader_keeps_running_tasks(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1", duration=None)
        async with deployment.lead():
            await deployment.submit("j", Step(tasks=3, demand=ONE_CORE))
            await trio.sleep(1)
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(5)
            self.assertEqual(len(worker.started), 3)
            self.assertEqual(len(worker.runs), 3)

    @with_deployment()
    async def test_start_without_effect_is_repeated_under_the_next_leader(
        self, deployment: Deployment
    ) -> None:
        worker = deployment.add_worker("w1")
        worker.unanswered_starts = 1
        async with deployment.lead():
            await deployment.submit("j", Step(demand=ONE_CORE))
            await trio.sleep(0.3)
        deployment.elect(2)
        async with deployment.lead():
            await trio.sleep(4)
            self.assertEqual(deployment.get_job("j").phase, JobPhase.COMPLETED)


if __name__ == "__main__":
    unittest.main()
