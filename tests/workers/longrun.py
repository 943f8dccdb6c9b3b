"""Long randomised runs of controllers and workers under combined faults.

``python -m tests.workers.longrun --seed N --minutes M`` runs M minutes of
virtual time. An observer of the stand-in workers records which attempts ran.
"""

from __future__ import annotations

import argparse
import random
from datetime import timedelta

from rhubarbfield.types import AttemptId, AttemptState
from tests.leases.clocks import SkewedClock
from tests.workers.fleet import Fleet, run_fleet

WORKERS = 4
TASKS = 12
SLOTS = 8
REPLACED_STATES = frozenset(
    {AttemptState.EVICTED, AttemptState.LOST, AttemptState.CANCELLED}
)


class Run:
    """Places tasks as a scheduler would and injects faults meanwhile."""

    def __init__(self, fleet: Fleet, rng: random.Random) -> None:
        self.fleet = fleet
        self.rng = rng
        self.current: dict[str, AttemptId] = {}
        self.leader = 0
        self.faults: dict[str, int] = {}

    async def start(self) -> None:
        for number in range(WORKERS):
            await self.start_worker(f"w{number}")

    async def start_worker(self, name: str) -> None:
        clock = SkewedClock(self.fleet.clock, self.rng.uniform(0.99, 1.01))
        await self.fleet.start_worker(name, clock)

    async def place_repeatedly(self) -> None:
        while True:
            self.place_tasks()
            await self.fleet.sleep(0.3)

    def place_tasks(self) -> None:
        attempts = self.fleet.log.attempts
        for number in range(TASKS):
            task = f"t{number}"
            attempt = self.current.get(task)
            if attempt is not None and attempts[attempt].state not in REPLACED_STATES:
                continue
            worker = f"w{self.rng.randrange(WORKERS)}"
            used = sum(a.worker == worker and not a.ended for a in attempts.values())
            if used >= SLOTS:
                continue
            options = {}
            if attempt is not None and attempts[attempt].checkpoint is not None:
                options["checkpoint"] = str(attempts[attempt].checkpoint)
            placed = self.fleet.place(worker, task, **options)
            self.current[task] = AttemptId(placed)

    async def inject_fault(self) -> None:
        faults = (
            self.freeze,
            self.kill_worker,
            self.replace_worker,
            self.silence,
            self.cut,
            self.partition,
            self.move_leader,
            self.isolate_leader,
            self.evict,
        )
        fault = self.rng.choice(faults)
        self.faults[fault.__name__] = self.faults.get(fault.__name__, 0) + 1
        await fault()

    def pick_worker(self) -> str:
        return f"w{self.rng.randrange(WORKERS)}"

    async def freeze(self) -> None:
        worker = self.fleet.workers[self.pick_worker()]
        worker.freeze(timedelta(seconds=self.rng.uniform(0.5, 40)))

    async def kill_worker(self) -> None:
        name = self.pick_worker()
        self.fleet.workers[name].kill()
        await self.fleet.sleep(self.rng.choice((0, 1, 15)))
        await self.start_worker(name)

    async def replace_worker(self) -> None:
        """Start a second process of a worker while the first still runs."""
        name = self.pick_worker()
        former = self.fleet.workers[name]
        await self.start_worker(name)
        await self.fleet.sleep(self.rng.uniform(0, 20))
        former.kill()

    async def silence(self) -> None:
        for stream in self.fleet.streams():
            if self.rng.random() < 0.5:
                stream.blackhole(both_ways=self.rng.random() < 0.5)

    async def cut(self) -> None:
        for stream in self.fleet.streams():
            if self.rng.random() < 0.5:
                stream.cut()

    async def partition(self) -> None:
        self.fleet.network.unreachable = {"c0:1", "c1:1"}
        await self.silence()
        await self.fleet.sleep(self.rng.uniform(1, 20))
        self.fleet.network.unreachable = set()

    async def move_leader(self) -> None:
        old, self.leader = self.leader, 1 - self.leader
        if self.rng.random() < 0.5:
            self.fleet.controllers[old].kill()
        else:
            self.fleet.controllers[old].depose("")
        await self.fleet.sleep(self.rng.uniform(0, 5))
        self.fleet.controllers[self.leader].lead()

    async def isolate_leader(self) -> None:
        log = self.fleet.controllers[self.leader].log
        log.reachable = False
        await self.fleet.sleep(self.rng.uniform(1, 12))
        log.reachable = True
        await self.move_leader()

    async def evict(self) -> None:
        live = [
            a for a in self.current.values() if not self.fleet.log.attempts[a].ended
        ]
        if live:
            self.fleet.log.stop(self.rng.choice(live), evict=True)

    def unfinished(self) -> list[str]:
        attempts = self.fleet.log.attempts
        return [
            task
            for task, attempt in self.current.items()
            if attempts[attempt].state is not AttemptState.SUCCEEDED
        ]


def run_for(seed: int, length: timedelta, *, run_time: float = 300) -> Run:
    runs: list[Run] = []

    async def scenario(fleet: Fleet) -> None:
        run = Run(fleet, random.Random(seed))
        runs.append(run)
        await run.start()
        fleet.nursery.start_soon(run.place_repeatedly)
        while fleet.clock.monotonic() < length:
            await fleet.sleep(run.rng.uniform(0.2, 6))
            await run.inject_fault()
        for _ in range(200):
            await fleet.sleep(10)
            if not run.unfinished():
                break

    run_fleet(scenario, run_time=run_time, seed=seed)
    return runs[0]


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--minutes", type=float, default=30.0)
    options = parser.parse_args()
    run = run_for(options.seed, timedelta(minutes=options.minutes))
    observer = run.fleet.observer
    attempts, spans = len(run.fleet.log.attempts), len(observer.spans)
    print(f"seed {options.seed}: {attempts} attempts, {spans} spans, {run.faults}")
    for line in [*observer.violations[:5], *run.unfinished()]:
        print(f"broken: {line}")
    raise SystemExit(1 if observer.violations or run.unfinished() else 0)


if __name__ == "__main__":
    main()
