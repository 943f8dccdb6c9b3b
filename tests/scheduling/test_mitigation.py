"""Tests of easing what tasks do to those that serve beside them."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import cast

import msgspec

from rhubarbfield.clock import ManualClock
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    PutConfiguration,
    RunStart,
    StartRuns,
    UpdateWorkers,
)
from rhubarbfield.scheduling.headroom import WorkerHeadroom
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
from rhubarbfield.scheduling.ports import ActiveRun
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import SchedulingState, Worker
from rhubarbfield.types import JobId, WorkerId
from tests.scheduling.deployments import CONFIGURATION, QUEUE
from tests.scheduling.test_appliers import WORKERS, Log, make_report

SERVING, LIGHT, HEAVY = ImageName("serving"), ImageName("light"), ImageName("heavy")
GOAL_MS = 50
VIEW_PAUSE = timedelta(milliseconds=650)
TAIL_WITHOUT_RESERVE_MS = 7.7  # beside the heavy image it would be near its goal
HARM_LIMIT = timedelta(seconds=4)  # what the platform bears


class FakeSession:
    """Remembers what was paced and stopped."""

    def __init__(self) -> None:
        self.active: dict[TaskName, ActiveRun] = {}
        self.paces: dict[RunKey, int] = {}
        self.stopped: set[RunKey] = set()
        self.is_new = False

    def pace(self, key: RunKey, percent: int) -> None:
        self.paces[key] = percent

    def get_pace(self, key: RunKey) -> int | None:
        return self.paces.get(key, None if self.is_new else 100)

    def stop(self, key: RunKey) -> None:
        self.stopped.add(key)

    def is_stopping(self, key: RunKey) -> bool:
        return key in self.stopped


class Host:
    """A worker with one task that serves and two of spare cores."""

    def __init__(self, *, has_place: bool = False, checkpoints: bool = True) -> None:
        self.log = Log()
        self.has_place = has_place
        self.measured = 0
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

    def measure_headroom(self) -> dict[WorkerId, WorkerHeadroom]:
        self.measured += 1
        if not self.has_place:
            return {}
        other = msgspec.structs.replace(self.worker, worker=WORKERS[1], runs={})
        capacity = other.capacity
        return {WORKERS[1]: WorkerHeadroom(other, capacity, capacity.millicores)}


class NeighboursTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock(timedelta(seconds=100))
        self.interference = InterferenceModel()
        self.host = Host()
        for _ in range(40):
            for image, tail in ((LIGHT, 20.0), (HEAVY, 100.0)):
                self.clock.advance(VIEW_PAUSE)
                task = ServingTask(self.host.names[0], SERVING, GOAL_MS, tail)
                shares = {image: 0.25}
                self.interference.learn([task], shares, self.clock.monotonic())
        self.session = FakeSession()

    def watch(self, tail_ms: float, views: int = 1) -> None:
        mitigator = self.mitigator
        for _ in range(views):
            self.clock.advance(VIEW_PAUSE)
            used = [2000.0 * (self.get_pace(step) or 0) / 100 for step in (1, 2)]
            measures = (tail_ms, *used)
            self.session.active = {
                name: ActiveRun(name, RunNumber(1), NO_CHECKPOINT, 100, measure)
                for name, measure in zip(self.host.names, measures, strict=True)
            }
            mitigator.note_view(self.host.worker, cast(WorkerSession, self.session))

    @property
    def mitigator(self) -> InterferenceMitigator:
        if not hasattr(self, "_mitigator"):
            self._mitigator = InterferenceMitigator(
                self.host, self.interference, self.clock
            )
        return self._mitigator

    def get_pace(self, step: int) -> int | None:
        return self.session.get_pace(RunKey(self.host.names[step], RunNumber(1)))

    def test_only_what_harms_is_paused_first(self) -> None:
        self.watch(60)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 0))

    def test_all_are_paused_well_before_the_limit_if_that_was_not_enough(self) -> None:
        began = self.clock.monotonic()
        while self.get_pace(1) != 0:
            self.watch(60)
            self.assertLess(self.clock.monotonic() - began, HARM_LIMIT * 0.75)

    def test_all_go_on_once_the_tail_leaves_room_for_them(self) -> None:
        self.watch(60, views=5)
        self.watch(5, views=8)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_what_would_harm_again_stays_paused(self) -> None:
        self.watch(60, views=5)
        self.watch(20, views=2)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 0))

    def test_tail_that_is_high_by_its_own_load_costs_nobody_a_pause(self) -> None:
        """At 0.98 of its goal; what runs beside it is known to be harmless."""
        for _ in range(40):
            self.clock.advance(VIEW_PAUSE)
            task = ServingTask(self.host.names[0], SERVING, GOAL_MS, 49.0)
            self.interference.learn([task], {}, self.clock.monotonic())
            self.clock.advance(VIEW_PAUSE)
            shares = {LIGHT: 0.25}
            self.interference.learn([task], shares, self.clock.monotonic())
        self.session.stopped.add(RunKey(self.host.names[2], RunNumber(1)))
        self.watch(49)
        self.assertEqual(self.get_pace(1), 100)

    def test_what_saves_its_work_is_moved_if_there_is_another_place(self) -> None:
        self.host.has_place = True
        self.watch(60)
        self.assertEqual(
            self.session.stopped, {RunKey(self.host.names[2], RunNumber(1))}
        )
        self.assertEqual(self.session.paces, {})

    def test_what_an_earlier_leader_may_have_paused_goes_on(self) -> None:
        self.session.is_new = True
        self.watch(20, views=2)
        self.watch(5, views=8)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_what_is_paused_goes_on_once_nothing_serves_there(self) -> None:
        self.watch(60, views=5)
        del self.host.worker.runs[self.host.names[0]]
        self.watch(60)
        self.assertEqual((self.get_pace(1), self.get_pace(2)), (100, 100))

    def test_run_that_saves_nothing_is_not_paused_for_long(self) -> None:
        """It loses what it has done, and has a place where it can go on."""
        self.host = Host(checkpoints=False)
        self.watch(60)
        self.assertEqual(self.get_pace(2), 0)
        self.host.has_place = True
        self.watch(20, views=2)
        self.assertEqual(self.session.stopped, set())
        self.watch(20, views=3)
        self.assertEqual(
            self.session.stopped, {RunKey(self.host.names[2], RunNumber(1))}
        )

    def test_run_that_was_paused_for_long_needs_no_reserve(self) -> None:
        self.host = Host(checkpoints=False)
        self.watch(60)
        self.watch(TAIL_WITHOUT_RESERVE_MS, views=2)
        self.assertEqual(self.get_pace(2), 0)
        self.watch(TAIL_WITHOUT_RESERVE_MS, views=3)
        self.assertEqual(self.get_pace(2), 100)

    def test_rooms_are_measured_once_a_view(self) -> None:
        self.watch(60, views=5)
        paused = [step for step in (1, 2) if self.get_pace(step) == 0]
        self.assertEqual(len(paused), 2)
        before = self.host.measured
        self.watch(40)
        self.assertEqual(self.host.measured, before + 1)

    def test_nothing_is_done_while_the_tail_is_low(self) -> None:
        self.watch(10)
        self.assertEqual(self.session.stopped, set())


if __name__ == "__main__":
    unittest.main()
