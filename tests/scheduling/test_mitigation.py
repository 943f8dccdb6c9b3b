"""Tests of mitigating interference with serving tasks."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import cast
from unittest import mock

from rhubarbfield.clock import ManualClock
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    PutConfiguration,
    RunStart,
    StartRuns,
    UpdateWorkers,
)
from rhubarbfield.scheduling.headroom import WorkerHeadroom
from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.interference import InterferenceModel, ServingTask
from rhubarbfield.scheduling.mitigation import InterferenceMitigator
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    Demand,
    ImageName,
    JobSubmission,
    RunNumber,
    Step,
    TaskName,
    name_task,
)
from rhubarbfield.scheduling.orders import StopReason
from rhubarbfield.scheduling.ports import ActiveRun
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.relocation import REJECTION_LIFETIME
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import JobId, WorkerId
from tests.scheduling.deployments import CONFIGURATION, QUEUE
from tests.scheduling.test_appliers import WORKERS, Log, make_report

SERVING, LIGHT, HEAVY = ImageName("serving"), ImageName("light"), ImageName("heavy")
GOAL_MS = 50
VIEW_INTERVAL = timedelta(milliseconds=650)
# Near the goal once the heavy image runs on the same worker.
TAIL_WITHOUT_RESERVE_MS = 7.7
HARM_LIMIT = timedelta(seconds=4)  # the platform counts longer harm as a fault
find_headroom = HeadroomIndex.find_headroom


class FakeSession:
    """Records which runs were paced and stopped."""

    def __init__(self) -> None:
        self.active: dict[TaskName, ActiveRun] = {}
        self.paces: dict[RunKey, int] = {}
        self.stopped: set[RunKey] = set()
        self.is_new = False

    def pace(self, key: RunKey, percent: int) -> None:
        self.paces[key] = percent

    def get_pace(self, key: RunKey) -> int | None:
        return self.paces.get(key, None if self.is_new else 100)

    def stop(self, key: RunKey, reason: StopReason) -> None:
        self.stopped.add(key)

    def is_stopping(self, key: RunKey) -> bool:
        return key in self.stopped


class FakeLeader:
    """State with one worker that runs a serving task and two spare-core tasks."""

    def __init__(self, *, checkpoints: bool = True) -> None:
        self.log = Log()
        self.measured: list[WorkerId] = []
        self.log.apply(PutConfiguration(configuration=CONFIGURATION))
        self.log.apply(UpdateWorkers(reports=(make_report(WORKERS[0]),)))
        serving = Step(
            image=SERVING, tail_goal_ms=GOAL_MS, standing=True, demand=Demand(4000)
        )
        steps = [serving] + [
            Step(
                image=image,
                uses_spare_cores=True,
                demand=Demand(2000),
                checkpoints=checkpoints,
            )
            for image in (LIGHT, HEAVY)
        ]
        submission = JobSubmission(payload="", steps=tuple(steps))
        job = JobId("j")
        self.log.apply(AcceptJob(job=job, queue=QUEUE.name, submission=submission))
        self.names = [name_task(job, 0, step, 0) for step in range(3)]
        starts = [RunStart(name, RunNumber(1), WORKERS[0]) for name in self.names]
        self.log.apply(StartRuns(starts=tuple(starts)))

    @property
    def state(self) -> SchedulingState:
        return self.log.state

    @property
    def worker(self) -> Worker:
        return self.state.workers[WORKERS[0]]

    def measure_worker(self, worker: Worker) -> WorkerHeadroom | None:
        self.measured.append(worker.worker)
        return HeadroomIndex().measure(self.state, worker)

    def add_other_worker(self) -> None:
        self.log.apply(UpdateWorkers(reports=(make_report(WORKERS[1]),)))

    def fill_other_worker(self) -> None:
        """Let a task use all cores of the other worker."""
        submission = JobSubmission(
            payload="",
            steps=(Step(image=HEAVY, uses_spare_cores=True, demand=Demand(8000)),),
        )
        job = JobId("k")
        self.log.apply(AcceptJob(job=job, queue=QUEUE.name, submission=submission))
        start = RunStart(name_task(job, 0, 0, 0), RunNumber(1), WORKERS[1])
        self.log.apply(StartRuns(starts=(start,)))


class InterferenceMitigatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=100))
        self.interference = InterferenceModel()
        self.host = FakeLeader()
        for _ in range(40):
            for image, tail in ((LIGHT, 20.0), (HEAVY, 100.0)):
                self.clock.advance(VIEW_INTERVAL)
                task = ServingTask(self.host.names[0], SERVING, GOAL_MS, tail)
                shares = {image: 0.25}
                self.interference.learn([task], shares, self.clock.monotonic())
        self.session = FakeSession()

    def show_views(self, tail_ms: float, views: int = 1) -> None:
        mitigator = self.mitigator
        for _ in range(views):
            self.clock.advance(VIEW_INTERVAL)
            used = [2000.0 * (self.get_pace(step) or 0) / 100 for step in (1, 2)]
            measures = (tail_ms, *used)
            self.session.active = {
                name: ActiveRun(name, RunNumber(1), NO_CHECKPOINT, 100, measure)
                for name, measure in zip(self.host.names, measures, strict=True)
            }
            mitigator.handle_view(self.host.worker, cast(WorkerSession, self.session))

    @property
    def mitigator(self) -> InterferenceMitigator:
        if not hasattr(self, "_mitigator"):
            self._mitigator = InterferenceMitigator(
                self.host, self.interference, HeadroomIndex(), self.clock
            )
        return self._mitigator

    def get_pace(self, step: int) -> int | None:
        return self.session.get_pace(RunKey(self.host.names[step], RunNumber(1)))

    def test_only_harmful_run_is_paused_first(self) -> None:
        self.show_views(60)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 0))

    def test_all_runs_are_paused_before_the_limit_if_latency_stays_high(self) -> None:
        began = self.clock.monotonic()
        while self.get_pace(1) != 0:
            self.show_views(60)
            self.assertLess(self.clock.monotonic() - began, HARM_LIMIT * 0.75)

    def test_all_runs_resume_once_latency_leaves_enough_margin(self) -> None:
        self.show_views(60, views=5)
        self.show_views(5, views=8)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_run_that_would_harm_again_stays_paused(self) -> None:
        self.show_views(60, views=5)
        self.show_views(20, views=2)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 0))

    def test_latency_that_is_high_from_own_load_pauses_no_harmless_run(self) -> None:
        """Tail latency is at 0.98 of the goal; the co-located image is harmless."""
        for _ in range(40):
            self.clock.advance(VIEW_INTERVAL)
            task = ServingTask(self.host.names[0], SERVING, GOAL_MS, 49.0)
            self.interference.learn([task], {}, self.clock.monotonic())
            self.clock.advance(VIEW_INTERVAL)
            shares = {LIGHT: 0.25}
            self.interference.learn([task], shares, self.clock.monotonic())
        self.session.stopped.add(RunKey(self.host.names[2], RunNumber(1)))
        self.show_views(49)
        self.assertEqual(self.get_pace(1), 100)

    def test_run_with_checkpoints_is_moved_if_another_worker_fits(self) -> None:
        self.host.add_other_worker()
        self.show_views(60)
        self.assertEqual(
            self.session.stopped, {RunKey(self.host.names[2], RunNumber(1))}
        )
        self.assertEqual(self.session.paces, {})

    def test_run_that_an_earlier_leader_may_have_paused_is_resumed(self) -> None:
        self.session.is_new = True
        self.show_views(20, views=2)
        self.show_views(5, views=8)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_paused_runs_resume_once_no_serving_task_is_left(self) -> None:
        self.show_views(60, views=5)
        del self.host.worker.runs[self.host.names[0]]
        self.show_views(60)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_run_without_checkpoints_is_moved_after_the_longest_pause(self) -> None:
        """The move loses the run's progress, but the run can continue elsewhere."""
        self.host = FakeLeader(checkpoints=False)
        self.show_views(60)
        self.assertEqual(self.get_pace(2), 0)
        self.host.add_other_worker()
        self.show_views(20, views=2)
        self.assertEqual(self.session.stopped, set())
        self.show_views(20, views=3)
        self.assertEqual(
            self.session.stopped, {RunKey(self.host.names[2], RunNumber(1))}
        )

    def test_run_paused_for_the_longest_time_needs_no_reserve(self) -> None:
        self.host = FakeLeader(checkpoints=False)
        self.show_views(60)
        self.show_views(TAIL_WITHOUT_RESERVE_MS, views=2)
        self.assertEqual(self.get_pace(2), 0)
        self.show_views(TAIL_WITHOUT_RESERVE_MS, views=3)
        self.assertEqual(self.get_pace(2), 100)

    def test_each_worker_is_measured_once_per_view(self) -> None:
        self.show_views(60, views=5)
        paused = [step for step in (1, 2) if self.get_pace(step) == 0]
        self.assertEqual(len(paused), 2)
        self.host.add_other_worker()
        self.show_views(47)
        self.assertEqual(len(self.session.stopped), 2)
        self.assertEqual(self.host.measured, [WORKERS[1]])

    def test_a_worker_without_spare_cores_is_not_measured(self) -> None:
        self.host.add_other_worker()
        self.host.fill_other_worker()
        self.show_views(60, views=5)
        self.assertEqual([self.get_pace(step) for step in (1, 2)], [0, 0])
        self.assertEqual(self.host.measured, [])

    def test_a_search_that_found_no_worker_is_not_repeated_at_once(self) -> None:
        """Each view of a worker with paused runs searched all workers for them."""
        self.show_views(60, views=5)
        self.host.add_other_worker()
        self.host.fill_other_worker()
        with mock.patch.object(
            HeadroomIndex, "find_headroom", autospec=True, side_effect=find_headroom
        ) as search:
            self.show_views(47)
            self.assertEqual(search.call_count, 2)
            self.repeat_view()
            self.assertEqual(search.call_count, 2)
            self.clock.advance(REJECTION_LIFETIME)
            self.repeat_view()
            self.assertGreater(search.call_count, 2)

    def repeat_view(self) -> None:
        session = cast(WorkerSession, self.session)
        self.mitigator.handle_view(self.host.worker, session)

    def test_nothing_is_stopped_while_latency_is_low(self) -> None:
        self.show_views(10)
        self.assertEqual(self.session.stopped, set())


if __name__ == "__main__":
    unittest.main()
