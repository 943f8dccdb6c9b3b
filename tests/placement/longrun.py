"""Long seeded runs: ``python -m tests.placement.longrun --seed N --hours H``.

Everything that may happen to work happens at random; the observer of
:mod:`tests.placement.world` checks what runs where. The same seed gives the
same run.
"""

from __future__ import annotations

import argparse
import hashlib
from collections.abc import Callable
from datetime import timedelta

from rhubarbfield.placement import (
    AcceptJob,
    BatchKind,
    CancelJobs,
    EvictAttempts,
    Eviction,
    ForgetFinished,
    JobSpec,
    Quota,
    Resources,
    SetDraining,
    SetQuota,
)
from rhubarbfield.types import (
    AttemptState,
    JobId,
    Priority,
    ServiceName,
    Tenant,
    WorkKind,
)
from tests.placement.world import SECOND, FakeWorker, World

Event = Callable[["LongRun"], None]


class LongRun:
    """One world and the events that befall it."""

    def __init__(self, seed: int) -> None:
        self.world = World(seed, workers=6)
        self.random = self.world.random
        self.jobs = 0
        self.events: list[tuple[Event, int]] = [
            (LongRun.submit, 6),
            (LongRun.plan, 20),
            (LongRun.speak, 40),
            (LongRun.finish, 20),
            (LongRun.fail, 4),
            (LongRun.save, 6),
            (LongRun.evict, 3),
            (LongRun.cancel_wave, 1),
            (LongRun.cut, 1),
            (LongRun.heal, 2),
            (LongRun.lose, 1),
            (LongRun.restart_worker, 1),
            (LongRun.restart_leader, 1),
            (LongRun.drain, 1),
            (LongRun.set_quota, 1),
            (LongRun.forget, 1),
        ]

    def step(self) -> None:
        events = [event for event, _ in self.events]
        weights = [weight for _, weight in self.events]
        self.random.choices(events, weights)[0](self)
        self.world.pass_time(timedelta(seconds=self.random.choice((0, 0.2, 1, 3))))

    def pick_worker(self) -> FakeWorker:
        return self.random.choice(list(self.world.workers.values()))

    def submit(self) -> None:
        self.jobs += 1
        kind = self.random.choice((WorkKind.BATCH,) * 6 + tuple(WorkKind))
        service = kind is WorkKind.SERVICE
        spec = JobSpec(
            job=JobId(f"j{self.jobs}"),
            tenant=Tenant(f"t{self.random.randrange(3)}"),
            kind=kind,
            priority=self.random.choice(tuple(Priority)),
            tasks=self.random.choice((1, 1, 2, 5, 12)),
            gang=kind is WorkKind.BATCH and self.random.random() < 0.2,
            cores=self.random.choice((0.5, 1, 2, 4, 9)),
            memory_mb=self.random.choice((200, 2000, 8000)),
            accelerators=self.random.choice((0, 0, 0, 1)),
            service=ServiceName("counter") if service else None,
            latency_goal=timedelta(milliseconds=80) if service else None,
            batch_kind=BatchKind(self.random.choice("abc")),
        )
        self.world.apply(AcceptJob(at=self.world.now, spec=spec))

    def plan(self) -> None:
        for worker in self.world.workers.values():
            if self.random.random() < 0.5:
                self.world.report(worker)
        self.world.plan()

    def speak(self) -> None:
        worker = self.pick_worker()
        self.world.tell(worker)
        if self.random.random() < 0.8:
            self.world.deliver(worker, twice=self.random.random() < 0.3)

    def end_some(self, state: AttemptState) -> None:
        worker = self.pick_worker()
        if worker.running and not worker.lapsed:
            attempt = self.random.choice(list(worker.running))
            self.world.end(worker, attempt, state)

    def finish(self) -> None:
        self.end_some(AttemptState.SUCCEEDED)

    def fail(self) -> None:
        self.end_some(AttemptState.FAILED)

    def save(self) -> None:
        worker = self.pick_worker()
        if worker.running and not worker.lapsed:
            self.world.save(worker, self.random.choice(list(worker.running)))

    def evict(self) -> None:
        worker = self.pick_worker()
        live = list(self.world.state.workers[worker.name].live)
        chosen = self.random.sample(live, min(2, len(live)))
        orders = tuple(Eviction(one, worker.name, "by chance") for one in chosen)
        self.world.apply(EvictAttempts(at=self.world.now, evictions=orders))

    def cancel_wave(self) -> None:
        jobs = list(self.world.state.jobs)
        chosen = tuple(self.random.sample(jobs, len(jobs) // 2))
        for _ in range(self.random.choice((1, 2))):
            self.world.apply(CancelJobs(at=self.world.now, jobs=chosen))

    def cut(self) -> None:
        self.world.cut(self.pick_worker())

    def heal(self) -> None:
        for worker in self.world.workers.values():
            if not worker.connected:
                self.world.heal(worker)

    def lose(self) -> None:
        worker = self.pick_worker()
        if worker.lapsed and self.world.state.workers[worker.name].present:
            self.world.lose(worker, "its lease lapsed")

    def restart_worker(self) -> None:
        self.world.join(self.pick_worker())

    def restart_leader(self) -> None:
        self.world.restart_leader()

    def drain(self) -> None:
        draining = self.random.random() < 0.3
        name = self.pick_worker().name
        self.world.apply(SetDraining(at=self.world.now, worker=name, draining=draining))

    def set_quota(self) -> None:
        limit = self.random.choice((None, Resources.of(6, 60_000, 2)))
        tenant = Tenant(f"t{self.random.randrange(3)}")
        self.world.apply(
            SetQuota(at=self.world.now, tenant=tenant, quota=Quota(limit=limit))
        )

    def forget(self) -> None:
        before = self.world.now - timedelta(minutes=5)
        self.world.apply(ForgetFinished(at=self.world.now, before=before))

    def settle(self) -> None:
        """Let everything recover and finish; nothing may be left over."""
        for worker in self.world.workers.values():
            if not worker.connected:
                self.world.heal(worker)
            self.world.apply(
                SetDraining(at=self.world.now, worker=worker.name, draining=False)
            )
        for tenant in list(self.world.state.accounts):
            self.world.apply(SetQuota(at=self.world.now, tenant=tenant, quota=Quota()))
        endless = tuple(
            name for name, job in self.world.state.jobs.items() if job.spec.endless
        )
        self.world.apply(CancelJobs(at=self.world.now, jobs=endless))
        for _ in range(4000):
            self.plan()
            for worker in self.world.workers.values():
                self.world.tell(worker)
                for attempt in list(worker.running):
                    if self.random.random() < 0.5:
                        self.world.end(worker, attempt, AttemptState.SUCCEEDED)
                self.world.deliver(worker)
            self.world.pass_time(30 * SECOND)
            if all(job.finished_at for job in self.world.state.jobs.values()):
                return
        left = [
            (name, job.state)
            for name, job in self.world.state.jobs.items()
            if job.finished_at is None
        ]
        raise AssertionError(f"jobs left over: {left}")


def run(seed: int, hours: float) -> str:
    """Run for a virtual time and return a digest of the final state."""
    longrun = LongRun(seed)
    steps = 0
    end = longrun.world.now + timedelta(hours=hours)
    while longrun.world.now < end:
        longrun.step()
        steps += 1
        if steps % 50 == 0:
            longrun.world.check()
    longrun.settle()
    longrun.world.check()
    snapshot = longrun.world.machine.take_snapshot()
    digest = hashlib.sha256(snapshot).hexdigest()[:12]
    return f"seed {seed}: {steps} steps, {longrun.world.index} commands, {digest}"


def main() -> None:
    """Read the arguments and run."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hours", type=float, default=1.0)
    arguments = parser.parse_args()
    print(run(arguments.seed, arguments.hours))


if __name__ == "__main__":
    main()
