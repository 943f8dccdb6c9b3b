"""Random days of three controllers whose workers carry out orders late.

``python -m tests.scheduling.late_controllers_run --seeds 50`` plays that many days on
a virtual clock, each with other luck, and prints what went wrong. The same seed gives
the same day.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.controller import SchedulingController
from rhubarbfield.scheduling.handover import HANDOVER_TIMEOUT
from rhubarbfield.scheduling.model import JobSubmission
from rhubarbfield.scheduling.requests import JobRequest, JobVerb
from rhubarbfield.storage import LogStore, MemoryStore
from rhubarbfield.testing.memory_transport import MemoryTransport
from rhubarbfield.types import ServiceName, WorkerId
from tests.scheduling import inputs, late_days
from tests.scheduling.controllers import NAMES, SETTLING_SECONDS, Controllers
from tests.scheduling.deployments import CONFIGURATION, QUEUE
from tests.scheduling.inputs import Dimension, Inputs
from tests.scheduling.late_checks import list_early_starts
from tests.scheduling.late_days import RandomDay
from tests.scheduling.late_jobs import LateJobs
from tests.scheduling.late_orders import LateFleet, LateWorker, Trouble
from tests.scheduling.late_pairs import silence_after_late_starts
from tests.scheduling.longrun import find_torn_gangs

WORKERS = 6
DAY_SECONDS = 90.0
SUBMIT_SECONDS = (0.0, 0.8)
TROUBLE_SECONDS = (0.5, 13.0)
CALM_SECONDS = (0.2, 4.0)
CUT_SECONDS = (0.3, 6.0)
DOWN_SECONDS = (0.3, 5.0)
SLOWNESS = (50.0, 1500.0)  # factor of the delay of messages between controllers
WATCH_SECONDS = 0.05
REPORT_SECONDS = 1.0
ANSWER_SECONDS = 1.0
KINDS = (
    *("late", "late", "late", "deaf", "mute", "lossy", "crash", "leave"),
    *("cut", "cut one way", "slow", "kill", "release"),
)
WIDE_KINDS = ("pair", "pair", "pair")


class ControllersDay:
    """One day and what was seen to go wrong on it.

    Parameters
    ----------
    seed
        Seed of the day.
    has_single_lease
        Whether a start is late by its worker's lease, instead of by its own.
    is_wide
        Whether all dimensions of :mod:`tests.scheduling.inputs` are drawn.

    Attributes
    ----------
    kinds
        Kinds of disturbances, each as often as it is to be drawn.
    services
        Services of the workers, in turn.
    """

    kinds: tuple[str, ...] = KINDS
    services: tuple[ServiceName, ...] = (ServiceName("s"),)

    def __init__(
        self, seed: int, *, has_single_lease: bool = False, is_wide: bool = False
    ) -> None:
        self.random = random.Random(seed)
        self.drawn = Inputs(self.random) if is_wide else None
        self.has_single_lease = has_single_lease
        self.faults: list[str] = []
        self.counts: Counter[str] = Counter()
        self.controllers: Controllers
        self.fleet: LateFleet
        self._workers: list[LateWorker] = []
        self._stores: dict[str, LogStore] = {name: MemoryStore() for name in NAMES}
        self._nurseries: dict[str, trio.Nursery] = {}  # of the controllers that run

    async def play(self) -> None:
        """Play the day."""
        async with trio.open_nursery() as nursery:
            self.controllers = Controllers(
                make_store=self._stores.__getitem__,
                make_fleet=lambda clock: self.make_fleet(clock, nursery),
            )
            fleet = self.controllers.fleet
            assert isinstance(fleet, LateFleet)
            self.fleet = fleet
            self.fleet.has_single_lease = self.has_single_lease
            self.fleet.drawn = self.drawn
            for number in range(WORKERS):
                worker = self.make_worker(WorkerId(f"w{number}"))
                worker.service = self.services[number % len(self.services)]
                self.fleet.add(worker)
                self._workers.append(worker)
            for name in NAMES:
                nursery.start_soon(self._run_member, name)
            await trio.sleep(SETTLING_SECONDS)
            await self.controllers.leader.service.put_configuration(CONFIGURATION)
            for work in self.list_activities():
                nursery.start_soon(work)
            await trio.sleep(DAY_SECONDS)
            nursery.cancel_scope.cancel()
        self.judge()
        self.counts += self.fleet.count_runs()

    def judge(self) -> None:
        """Record what went wrong on the day."""
        self.faults.extend(self.fleet.list_repeated_starts())
        self.faults.extend(self.fleet.list_starts_of_known())
        self.faults.extend(self.fleet.list_early_acknowledgements())
        self.faults.extend(list_early_starts(self.fleet))
        self.faults.extend(find_torn_gangs(self.fleet))

    def make_fleet(self, clock: Clock, nursery: trio.Nursery) -> LateFleet:
        """Return the port to the workers, whose late calls ``nursery`` runs."""
        return LateFleet(clock, self.random, nursery)

    def make_worker(self, name: WorkerId) -> LateWorker:
        """Return a worker."""
        return LateWorker(name, self.controllers.clock)

    def list_activities(self) -> list[Callable[[], Awaitable[None]]]:
        """Return what goes on during the day."""
        return [self._submit, self._disturb, self._watch, self._report]

    async def _run_member(self, name: str) -> None:
        """Run a controller, again with the same store each time it is killed."""
        members = self.controllers._members
        while True:
            async with trio.open_nursery() as nursery:
                self._nurseries[name] = nursery
                nursery.start_soon(members[name].run)
            del self._nurseries[name]
            self.controllers.network.disconnect_host(name)
            await trio.sleep(self.random.uniform(*DOWN_SECONDS))
            members[name] = self.controllers.make(name, MemoryTransport)

    async def _ask(
        self, name: str, call: Callable[[SchedulingController], Awaitable[object]]
    ) -> object:
        """Return the answer of a controller; None if it is killed, or too slow."""
        nursery = self._nurseries.get(name)
        if nursery is None:
            return None
        answers: list[object] = []
        has_ended = trio.Event()

        async def ask() -> None:
            try:
                with trio.move_on_after(ANSWER_SECONDS):
                    answers.append(await call(self.controllers._members[name]))
            finally:
                has_ended.set()

        nursery.start_soon(ask)
        await has_ended.wait()
        return answers[0] if answers else None

    def _list_workers(self) -> list[LateWorker]:
        latest = map(self.fleet.find_latest, self._workers)
        return [each for each in latest if isinstance(each, LateWorker)]

    def _is_heard(self, worker: LateWorker) -> bool:
        if worker.is_down or worker.trouble is Trouble.MUTE:
            return False
        return worker.trouble is not Trouble.LOSSY or self.random.random() < 0.5

    async def _report(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                for worker in self._list_workers():
                    if self._is_heard(worker):
                        nursery.start_soon(self._report_one, worker)
                await trio.sleep(REPORT_SECONDS)

    async def _report_one(self, worker: LateWorker) -> None:
        heartbeat = worker.make_heartbeat()
        for name in self.random.sample(NAMES, len(NAMES)):
            reply = await self._ask(
                name, lambda member: member.service.handle_heartbeat(heartbeat)
            )
            if reply is True:
                return

    async def _submit(self) -> None:
        jobs = LateJobs(self.fleet, self.random, self.drawn)
        number = 0
        async with trio.open_nursery() as nursery:
            while True:
                number += 1
                name = f"j{number}"
                submission = JobSubmission(payload="p", steps=jobs.make(name))
                await self._request(name, JobVerb.SUBMIT, submission)
                if (delay := jobs.draw_cancel()) is not None:
                    nursery.start_soon(self._cancel, name, delay)
                await trio.sleep(self.random.uniform(*SUBMIT_SECONDS))

    async def _cancel(self, job: str, delay: float) -> None:
        await trio.sleep(delay)
        await self._request(job, JobVerb.CANCEL)

    async def _request(
        self, job: str, verb: JobVerb, submission: JobSubmission | None = None
    ) -> None:
        request = JobRequest(
            verb=verb,
            host=QUEUE.host,
            path=f"{QUEUE.prefix}{job}",
            submission=submission,
        )
        for leader in self.controllers.list_leaders():
            name = self.controllers.get_name(leader)
            await self._ask(name, partial(_submit_to, request=request))

    def _draw(self, wide: Dimension, narrow: tuple[float, float]) -> float:
        if self.drawn is None:
            return self.random.uniform(*narrow)
        return self.drawn.draw(wide)

    async def _disturb(self) -> None:
        async with trio.open_nursery() as nursery:
            while True:
                await trio.sleep(self.random.uniform(*CALM_SECONDS))
                kinds = self.kinds if self.drawn is None else (*self.kinds, *WIDE_KINDS)
                kind = self.random.choice(kinds)
                self.counts[kind] += 1
                self.disturb_once(kind, nursery)

    def disturb_once(self, kind: str, nursery: trio.Nursery) -> None:
        """Begin a disturbance of a kind, of which ``nursery`` runs the rest."""
        worker = self.random.choice(self._list_workers())
        name = self.random.choice(NAMES)
        match kind:
            case "cut":
                nursery.start_soon(self._cut, name, (True, True))
            case "cut one way":
                ways = self.random.choice(((True, False), (False, True)))
                nursery.start_soon(self._cut, name, ways)
            case "slow":
                nursery.start_soon(self._slow_down)
            case "kill":
                if name in self._nurseries:
                    self._nurseries[name].cancel_scope.cancel()
            case "release":
                self._release(name, nursery)
            case "pair":
                assert self.drawn is not None
                nursery.start_soon(silence_after_late_starts, worker, self.drawn)
            case "crash":
                self.fleet.crash(worker)
            case "leave":
                nursery.start_soon(self._leave, worker, nursery)
            case _:
                nursery.start_soon(self._trouble, worker, Trouble(kind))

    def _release(self, name: str, nursery: trio.Nursery) -> None:
        """Let a controller step down: at once, and as a planned stop does, in turn."""
        member = self.controllers._members[name]
        if self.counts["release"] % 2:
            member.release_leadership()
        else:
            nursery.start_soon(member.hand_over, HANDOVER_TIMEOUT)

    async def _trouble(self, worker: LateWorker, trouble: Trouble) -> None:
        worker.trouble = trouble
        if self.drawn is not None:
            worker.troubled_calls = self.drawn.choose_calls(trouble.value)
        await trio.sleep(self._draw(inputs.TROUBLE_SECONDS, TROUBLE_SECONDS))
        for each in (worker, *self._list_workers()):
            if each.machine == worker.machine:
                each.trouble = Trouble.NONE

    async def _leave(self, worker: LateWorker, nursery: trio.Nursery) -> None:
        """Let a worker drain and announce its exit, and work on for a while."""
        worker.is_draining = True
        await trio.sleep(self.random.uniform(*DOWN_SECONDS))
        if self.drawn is not None:
            trouble = Trouble(self.drawn.choose(inputs.EXIT_TROUBLE))
            if trouble is not Trouble.NONE:
                nursery.start_soon(self._trouble, worker, trouble)
        name = self.random.choice(NAMES)
        if self._is_heard(worker):
            await self._ask(
                name, lambda member: member.service.handle_departure(worker.worker)
            )
        await trio.sleep(self._draw(inputs.EXIT_SECONDS, DOWN_SECONDS))
        self.fleet.crash(worker)

    async def _cut(self, name: str, ways: tuple[bool, bool]) -> None:
        """Cut a controller off from one other or both, in one way or both."""
        network = self.controllers.network
        others = [each for each in NAMES if each != name]
        for other in self.random.sample(others, self.random.randint(1, 2)):
            if ways[0]:
                network.cut(name, other)
            if ways[1]:
                network.cut(other, name)
        await trio.sleep(self.random.uniform(*CUT_SECONDS))
        for other in others:
            network.heal(name, other)
            network.heal(other, name)

    async def _slow_down(self) -> None:
        """Let messages between controllers arrive late for a while."""
        network = self.controllers.network
        network.delay_factor = self.random.uniform(*SLOWNESS)
        await trio.sleep(self.random.uniform(*CUT_SECONDS))
        network.delay_factor = 1.0

    async def _watch(self) -> None:
        while True:
            await trio.sleep(WATCH_SECONDS)
            if self.fleet.count_runs_at_once() > 1:
                self.faults.append(f"a task runs twice at {trio.current_time():.2f}")


async def _submit_to(member: SchedulingController, request: JobRequest) -> object:
    return await member.service.answer(request)


def play_day(
    seed: int, *, has_single_lease: bool = False, is_wide: bool = False
) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(
        ControllersDay, seed, has_single_lease=has_single_lease, is_wide=is_wide
    )
    return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day, has_wide_days=True)
