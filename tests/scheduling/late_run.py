"""Random days on which workers carry out orders late, and no task may run twice.

``python -m tests.scheduling.late_run --seeds 50`` plays that many days on a virtual
clock, each with other luck, and prints what went wrong. The same seed gives the same
day.
"""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta
from functools import partial

import trio

from rhubarbfield.scheduling.heartbeats import Heartbeat, HeartbeatDigest, Sighting
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import Term, WorkerId
from tests.scheduling import inputs, late_days
from tests.scheduling.deployments import Deployment
from tests.scheduling.inputs import Dimension, Inputs
from tests.scheduling.late_checks import list_early_starts
from tests.scheduling.late_days import RandomDay
from tests.scheduling.late_jobs import LateJobs
from tests.scheduling.late_orders import LateFleet, LateWorker, Trouble
from tests.scheduling.late_pairs import silence_after_late_starts
from tests.scheduling.longrun import find_torn_gangs

SETTINGS = SchedulingSettings(lease=timedelta(seconds=9))
WORKERS = 6
TERMS = 4
WIDE_TERMS = 8
TERM_SECONDS = (8.0, 35.0)
UNLED_SECONDS = (0.0, 4.0)
SUBMIT_SECONDS = (0.0, 0.6)
TROUBLE_SECONDS = (0.5, 13.0)
CALM_SECONDS = (0.2, 5.0)
LEASELESS_SECONDS = (0.3, 2.0)
LEAVING_SECONDS = (0.0, 8.0)
WATCH_SECONDS = 0.05
REPORT_SECONDS = 0.5
REPORT_DELAYS = (0.0, 0.0, 0.0, 0.3, 2.0, 6.0)
UNANSWERED = ("StartRuns", "EndRuns", "RemoveWorker", "UpdateWorkers")
KINDS = (
    *("late", "late", "late", "deaf", "mute", "lossy"),
    *("crash", "leave", "leaseless", "uncommitted", "stuck"),
)
WIDE_KINDS = (*KINDS, "pair", "pair", "pair")


class LateDay:
    """One day and what was seen to go wrong on it.

    Parameters
    ----------
    seed
        Seed of the day.
    has_single_lease
        Whether a start is late by its worker's lease, instead of by its own.
    is_wide
        Whether all dimensions of :mod:`tests.scheduling.inputs` are drawn.
    """

    def __init__(
        self, seed: int, *, has_single_lease: bool = False, is_wide: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.drawn = Inputs(self.random) if is_wide else None
        self.has_single_lease = has_single_lease
        self.deployment = Deployment(SETTINGS)
        self.fleet: LateFleet
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self._leader: SchedulingLeader | None = None

    async def play(self) -> None:
        """Play the day."""
        deployment = self.deployment
        async with trio.open_nursery() as nursery:
            self.fleet = LateFleet(deployment.clock, self.random, nursery)
            self.fleet.has_single_lease = self.has_single_lease
            self.fleet.drawn = self.drawn
            deployment.fleet = self.fleet
            await deployment.configure(max_attempts=3)
            for number in range(WORKERS):
                worker = LateWorker(WorkerId(f"w{number}"), deployment.clock)
                self.fleet.add(worker)
                deployment.reporting.append(worker)
            for work in (self._submit, self._disturb, self._watch, self._report):
                nursery.start_soon(work)
            led_until = None
            terms = TERMS if self.drawn is None else WIDE_TERMS
            for term in range(1, terms + 1):
                deployment.elect(term, led_until)
                await self._lead()
                led_until = deployment.clock.monotonic()
                deployment.replica.leadership = None
                if self.random.random() < 0.3:
                    machine = deployment.log.machine
                    machine.restore(machine.take_snapshot())
                await trio.sleep(self._draw(inputs.UNLED_SECONDS, UNLED_SECONDS))
            nursery.cancel_scope.cancel()
        self.faults.extend(self.fleet.list_repeated_starts())
        self.faults.extend(self.fleet.list_starts_of_known())
        self.faults.extend(self.fleet.list_early_acknowledgements())
        self.faults.extend(list_early_starts(self.fleet))
        self.faults.extend(find_torn_gangs(self.fleet))
        self.counts += self.fleet.count_runs()

    def _draw(self, wide: Dimension, narrow: tuple[float, float]) -> float:
        if self.drawn is None:
            return self.random.uniform(*narrow)
        return self.drawn.draw(wide)

    async def _lead(self) -> None:
        leadership = self.deployment.replica.leadership
        assert leadership is not None
        async with trio.open_nursery() as nursery:
            self._leader = self.deployment.make_leader(leadership)
            nursery.start_soon(self._leader.run)
            await trio.sleep(self._draw(inputs.TERM_SECONDS, TERM_SECONDS))
            self._leader = None
            nursery.cancel_scope.cancel()

    def _list_workers(self) -> list[LateWorker]:
        latest = map(self.fleet.find_latest, self.deployment.reporting)
        return [each for each in latest if isinstance(each, LateWorker)]

    async def _report(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for worker in self._list_workers():
                    if self._is_heard(worker):
                        nursery.start_soon(self._deliver, worker.make_heartbeat())
                await trio.sleep(REPORT_SECONDS)

    def _is_heard(self, worker: LateWorker) -> bool:
        if worker.is_down or worker.trouble is Trouble.MUTE:
            return False
        return worker.trouble is not Trouble.LOSSY or self.random.random() < 0.5

    async def _deliver(self, heartbeat: Heartbeat) -> None:
        """Let the leader receive a heartbeat, itself or through another controller."""
        delay = self.random.choice(REPORT_DELAYS)
        is_direct = self.random.random() < 0.5
        await trio.sleep(delay)
        leader = self._leader
        if leader is None or self.deployment.replica.leadership is None:
            return
        worker = heartbeat.report.worker
        if is_direct or leader.find_worker(worker) is None:
            await leader.handle_heartbeat(heartbeat)
            return
        age = timedelta(seconds=delay * self.random.random())
        sighting = Sighting(worker, heartbeat.sequence, heartbeat.clock, age)
        leader.handle_digest(HeartbeatDigest((sighting,)))

    async def _submit(self) -> None:
        jobs = LateJobs(self.fleet, self.random, self.drawn)
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                number += 1
                name = f"j{number}"
                steps = jobs.make(name)
                if self.deployment.replica.leadership is not None:
                    await self.deployment.submit(name, *steps)
                    if (delay := jobs.draw_cancel()) is not None:
                        nursery.start_soon(self._cancel, name, delay)
                await trio.sleep(self.random.uniform(*SUBMIT_SECONDS))

    async def _cancel(self, name: str, delay: float) -> None:
        await trio.sleep(delay)
        if self.deployment.replica.leadership is not None:
            await self.deployment.cancel(name)

    async def _disturb(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.uniform(*CALM_SECONDS))
                kind = self.random.choice(KINDS if self.drawn is None else WIDE_KINDS)
                self.counts[kind] += 1
                worker = self.random.choice(self._list_workers())
                match kind:
                    case "leaseless":
                        nursery.start_soon(self._lose_lease)
                    case "uncommitted":
                        chosen = self.random.choice(UNANSWERED)
                        self.deployment.replica.unanswered.append(chosen)
                    case "leave":
                        nursery.start_soon(self._leave, worker, nursery)
                    case "pair":
                        assert self.drawn is not None
                        nursery.start_soon(
                            silence_after_late_starts, worker, self.drawn
                        )
                    case "crash":
                        self.fleet.crash(worker)
                    case "stuck":
                        worker.is_stuck = not worker.is_stuck
                    case _:
                        nursery.start_soon(self._trouble, worker, Trouble(kind))

    async def _trouble(self, worker: LateWorker, trouble: Trouble) -> None:
        worker.trouble = trouble
        if self.drawn is not None:
            worker.troubled_calls = self.drawn.choose_calls(trouble.value)
        await trio.sleep(self._draw(inputs.TROUBLE_SECONDS, TROUBLE_SECONDS))
        for each in self._list_workers():
            if each.machine == worker.machine:
                each.trouble = Trouble.NONE
        worker.trouble = Trouble.NONE

    async def _lose_lease(self) -> None:
        """Let the leader be without its lease for a while, and regain it."""
        replica = self.deployment.replica
        if replica.leadership is None or self._leader is None:
            return
        leader, replica.leadership = self._leader, None
        await trio.sleep(self.random.uniform(*LEASELESS_SECONDS))
        if self._leader is leader and replica.leadership is None:
            assert replica.led_term is not None
            former_until = leader._former_until
            self.deployment.elect(Term(replica.led_term), former_until)

    async def _leave(self, worker: LateWorker, nursery: trio.Nursery) -> None:
        """Let a worker drain and announce its exit, and work on for a while."""
        worker.is_draining = True
        await trio.sleep(self.random.uniform(*LEAVING_SECONDS))
        if self.drawn is not None:
            trouble = Trouble(self.drawn.choose(inputs.EXIT_TROUBLE))
            if trouble is not Trouble.NONE:
                nursery.start_soon(self._trouble, worker, trouble)
        if self._leader is not None and self._is_heard(worker):
            await self._leader.handle_departure(worker.worker)
        await trio.sleep(self._draw(inputs.EXIT_SECONDS, LEAVING_SECONDS))
        self.fleet.crash(worker)

    async def _watch(self) -> None:
        while True:
            await trio.sleep(WATCH_SECONDS)
            if self.fleet.count_runs_at_once() > 1:
                self.faults.append(f"a task runs twice at {trio.current_time():.2f}")


def play_day(
    seed: int, *, has_single_lease: bool = False, is_wide: bool = False
) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(
        LateDay, seed, has_single_lease=has_single_lease, is_wide=is_wide
    )
    return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day, has_wide_days=True)
