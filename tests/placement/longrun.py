"""Long seeded runs: ``python -m tests.placement.longrun --seed N --hours H``.

Random events affect jobs and workers; the observer of
:mod:`tests.placement.simulation` checks which attempts run where. The same seed
gives the same run.
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
from tests.placement.simulation import SECOND, FakeWorker, Simulation

Event = Callable[["LongRun"], None]


class LongRun:
    """A simulation and the random events in it, with their weights."""

    def __init__(self, seed: int) -> None:
        self.simulation = Simulation(seed, workers=6)
        self.random = self.simulation.random
        self.jobs = 0
        self.events: list[tuple[Event, int]] = [
            (LongRun.submit, 6),
            (LongRun.plan, 20),
            (LongRun.exchange_messages, 40),
            (LongRun.finish, 20),
            (LongRun.fail, 4),
            (LongRun.save, 6),
            (LongRun.evict, 3),
            (LongRun.cancel_many, 1),
            (LongRun.disconnect, 1),
            (LongRun.reconnect, 2),
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
        self.simulation.pass_time(timedelta(seconds=self.random.choice((0, 0.2, 1, 3))))

    def pick_worker(self) -> FakeWorker:
        return self.random.choice(list(self.simulation.workers.values()))

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
        self.simulation.apply(AcceptJob(at=self.simulation.now, spec=spec))

    def plan(self) -> None:
        for worker in self.simulation.workers.values():
            if self.random.random() < 0.5:
                self.simulation.report(worker)
        self.simulation.plan()

    def exchange_messages(self) -> None:
        worker = self.pick_worker()
        self.simulation.send_orders(worker)
        if self.random.random() < 0.8:
            self.simulation.deliver(worker, twice=self.random.random() < 0.3)

    def end_random(self, state: AttemptState) -> None:
        worker = self.pick_worker()
        if worker.running and not worker.lapsed:
            attempt = self.random.choice(list(worker.running))
            self.simulation.end(worker, attempt, state)

    def finish(self) -> None:
        self.end_random(AttemptState.SUCCEEDED)

    def fail(self) -> None:
        self.end_random(AttemptState.FAILED)

    def save(self) -> None:
        worker = self.pick_worker()
        if worker.running and not worker.lapsed:
            self.simulation.save(worker, self.random.choice(list(worker.running)))

    def evict(self) -> None:
        worker = self.pick_worker()
        live = list(self.simulation.state.workers[worker.name].live)
        chosen = self.random.sample(live, min(2, len(live)))
        orders = tuple(Eviction(one, worker.name, "by chance") for one in chosen)
        self.simulation.apply(EvictAttempts(at=self.simulation.now, evictions=orders))

    def cancel_many(self) -> None:
        jobs = list(self.simulation.state.jobs)
        chosen = tuple(self.random.sample(jobs, len(jobs) // 2))
        for _ in range(self.random.choice((1, 2))):
            self.simulation.apply(CancelJobs(at=self.simulation.now, jobs=chosen))

    def disconnect(self) -> None:
        self.simulation.disconnect(self.pick_worker())

    def reconnect(self) -> None:
        for worker in self.simulation.workers.values():
            if not worker.connected:
                self.simulation.reconnect(worker)

    def lose(self) -> None:
        worker = self.pick_worker()
        if worker.lapsed and self.simulation.state.workers[worker.name].present:
            self.simulation.lose(worker, "its lease lapsed")

    def restart_worker(self) -> None:
        self.simulation.join(self.pick_worker())

    def restart_leader(self) -> None:
        self.simulation.restart_leader()

    def drain(self) -> None:
        draining = self.random.random() < 0.3
        name = self.pick_worker().name
        self.simulation.apply(
            SetDraining(at=self.simulation.now, worker=name, draining=draining)
        )

    def set_quota(self) -> None:
        limit = self.random.choice((None, Resources.of(6, 60_000, 2)))
        tenant = Tenant(f"t{self.random.randrange(3)}")
        self.simulation.apply(
            SetQuota(at=self.simulation.now, tenant=tenant, quota=Quota(limit=limit))
        )

    def forget(self) -> None:
        before = self.simulation.now - timedelta(minutes=5)
        self.simulation.apply(ForgetFinished(at=self.simulation.now, before=before))

    def settle(self) -> None:
        """Let all workers recover and all jobs finish; fail if any job does not."""
        for worker in self.simulation.workers.values():
            if not worker.connected:
                self.simulation.reconnect(worker)
            self.simulation.apply(
                SetDraining(at=self.simulation.now, worker=worker.name, draining=False)
            )
        for tenant in list(self.simulation.state.accounts):
            self.simulation.apply(
                SetQuota(at=self.simulation.now, tenant=tenant, quota=Quota())
            )
        endless = tuple(
            name for name, job in self.simulation.state.jobs.items() if job.spec.endless
        )
        self.simulation.apply(CancelJobs(at=self.simulation.now, jobs=endless))
        for _ in range(4000):
            self.plan()
            for worker in self.simulation.workers.values():
                self.simulation.send_orders(worker)
                for attempt in list(worker.running):
                    if self.random.random() < 0.5:
                        self.simulation.end(worker, attempt, AttemptState.SUCCEEDED)
                self.simulation.deliver(worker)
            self.simulation.pass_time(30 * SECOND)
            if all(job.finished_at for job in self.simulation.state.jobs.values()):
                return
        left = [
            (name, job.state)
            for name, job in self.simulation.state.jobs.items()
            if job.finished_at is None
        ]
        raise AssertionError(f"jobs left over: {left}")


def run(seed: int, hours: float) -> str:
    """Run for a virtual time and return a line with a digest of the final state."""
    longrun = LongRun(seed)
    steps = 0
    end = longrun.simulation.now + timedelta(hours=hours)
    while longrun.simulation.now < end:
        longrun.step()
        steps += 1
        if steps % 50 == 0:
            longrun.simulation.check()
    longrun.settle()
    longrun.simulation.check()
    snapshot = longrun.simulation.machine.take_snapshot()
    digest = hashlib.sha256(snapshot).hexdigest()[:12]
    return f"seed {seed}: {steps} steps, {longrun.simulation.index} commands, {digest}"


def main() -> None:
    """Run with the seed and duration given on the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--hours", type=float, default=1.0)
    arguments = parser.parse_args()
    print(run(arguments.seed, arguments.hours))


if __name__ == "__main__":
    main()
