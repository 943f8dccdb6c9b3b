"""Random days of finite jobs that have few places, on which none may stand still.

``python -m tests.scheduling.waits_run --seeds 50`` plays that many days on a virtual
clock, each with other luck, and prints what went wrong. The same seed gives the same
day. Drawn are gangs with and without racks, limits per worker, labels that vanish,
steps and gangs on spare cores whose image harms all serving tasks, recurring jobs
and refusals, beside workers that are lost for a while.
"""

from __future__ import annotations

import itertools
import random
import sys
from collections import Counter
from collections.abc import Sequence
from datetime import timedelta

import trio
from absl import app, flags, logging

from rhubarbfield.replication import Leadership
from rhubarbfield.scheduling.commands import AcceptJob
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.model import (
    Demand,
    JobSubmission,
    Label,
    Recurrence,
    Step,
    TaskName,
)
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import JobId
from tests.replication.determinism import run_deterministic
from tests.scheduling.deployments import QUEUE, Deployment
from tests.scheduling.disturbed_serving import (
    BATCH_IMAGE,
    SERVING_JOB,
    SERVING_MILLICORES,
    WORKERS,
    DisturbedServing,
)
from tests.scheduling.waiting_watch import WaitingWatch

SETTINGS = SchedulingSettings(lease=timedelta(seconds=9))
RACKS = 3
LABEL = Label("large")
LABELLED = (0, 1)  # workers with the label
SPELLS = 4
CALM_SECONDS = (16.0, 22.0)  # longer than a lease, a calm and a standstill
TROUBLE_SECONDS = (0.1, 2.0)  # until the first jobs that meet it
JOBS = (1, 3)  # of a spell
GROWTH = 1.6  # of log latency by one batch task: more than any margin
MEMORY_MB = 1000
KINDS = ("gang", "limited", "labelled", "spare", "spare gang", "recurring", "plain")
TROUBLES = ("one of each rack", "label", "refuse", "depose", "none")


class WatchedDeployment(Deployment):
    """A deployment that tells a watch which leader is the latest."""

    watch: WaitingWatch

    def make_leader(self, leadership: Leadership) -> SchedulingLeader:
        self.watch.leader = super().make_leader(leadership)
        return self.watch.leader


class WaitsDay:
    """One day, with a disturbance that stays and some jobs in each spell.

    Parameters
    ----------
    seed
        Seed of the day.

    Attributes
    ----------
    watch
        What broke a rule.
    counts
        How often each kind was drawn.
    """

    def __init__(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.deployment = WatchedDeployment(SETTINGS)
        self.serving = DisturbedServing(self.deployment, GROWTH)
        self.counts: Counter[str] = Counter()
        self._steps: dict[TaskName, Step] = {}
        self._numbers = itertools.count(1)
        for number, worker in enumerate(self.serving.workers):
            rack = Label(f"r{number % RACKS}")
            labels = (LABEL,) if number in LABELLED else ()
            worker.labels = (Label("a"), rack, *labels)
        self.watch = self.deployment.watch = WaitingWatch(
            self.deployment, [*self.serving.workers], self._steps
        )

    async def play(self) -> None:
        """Play the day."""
        await self.deployment.configure(max_attempts=100, slowdown_goal=20.0)
        serving = Step(demand=Demand(SERVING_MILLICORES, MEMORY_MB), standing=True)
        for index in range(WORKERS):
            self._steps[TaskName(f"{SERVING_JOB}.0.0.{index}")] = serving
        async with (
            self.serving.lead_while_leading(),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(self.watch.run)
            for _ in range(SPELLS):
                await self._play_spell()
            nursery.cancel_scope.cancel()

    async def _play_spell(self) -> None:
        draw = self.random
        await self._disturb(draw.choice(TROUBLES))
        await trio.sleep(draw.uniform(*TROUBLE_SECONDS))
        for _ in range(draw.randint(*JOBS)):
            await self._submit(draw.choice(KINDS))
        await trio.sleep(draw.uniform(*CALM_SECONDS))
        for worker in self.serving.workers:
            worker.is_unreachable = False
            worker.rejected_starts = 0
        for number in LABELLED:
            worker = self.serving.workers[number]
            if LABEL not in worker.labels:
                worker.labels = (*worker.labels, LABEL)
        for job in list(self.deployment.state.jobs.values()):
            if job.is_open and job.job != SERVING_JOB:
                await self.deployment.cancel(job.job)
        await trio.sleep(draw.uniform(*TROUBLE_SECONDS))

    async def _disturb(self, trouble: str) -> None:
        self.counts[trouble] += 1
        workers = self.serving.workers
        match trouble:
            case "one of each rack":
                for rack in range(RACKS):
                    lost = self.random.choice(workers[rack::RACKS])
                    lost.is_unreachable = True
            case "label":
                for number in LABELLED:
                    labels = workers[number].labels
                    workers[number].labels = tuple(e for e in labels if e != LABEL)
            case "refuse":
                for worker in workers:
                    worker.rejected_starts = self.random.randint(1, 3)
            case "depose":
                await self.serving.depose(self.random.uniform(0.1, 2.0))

    async def _submit(self, kind: str) -> None:
        self.counts[kind] += 1
        draw = self.random
        recurrence = None
        demand = Demand(draw.choice((1000, 1000, 2000)), MEMORY_MB)
        limit = draw.choice((0, 1, 2))
        match kind:
            case "gang":
                steps: tuple[Step, ...] = (
                    Step(
                        tasks=draw.randint(2, 3),
                        demand=demand,
                        gang=True,
                        same_rack=draw.random() < 0.7,
                        max_per_worker=limit,
                    ),
                )
            case "limited":
                steps = (Step(tasks=3, demand=demand, max_per_worker=limit),)
            case "labelled":
                steps = (Step(tasks=2, demand=demand, required_label=LABEL),)
            case "spare" | "spare gang":
                steps = (
                    Step(
                        tasks=draw.randint(2, 3),
                        demand=Demand(1000, MEMORY_MB),
                        gang=kind == "spare gang",
                        image=BATCH_IMAGE,
                        uses_spare_cores=True,
                    ),
                )
            case "recurring":
                steps = (
                    Step(tasks=draw.randint(1, 3), demand=demand),
                    Step(
                        tasks=draw.choice((8, 64)),
                        demand=demand,
                        required_label=LABEL,
                        after=(0,),
                    ),
                )
                now_ms = int(self.deployment.clock.now().timestamp() * 1000)
                recurrence = Recurrence(
                    times=draw.randint(3, 40), first_ms=now_ms, interval_ms=200
                )
            case _:
                steps = (Step(tasks=draw.randint(1, 4), demand=demand),)
        await self._accept(steps, recurrence)

    async def _accept(
        self, steps: tuple[Step, ...], recurrence: Recurrence | None
    ) -> None:
        name = f"j{next(self._numbers)}"
        times = 1 if recurrence is None else recurrence.times
        for occurrence, (number, step) in itertools.product(
            range(times), enumerate(steps)
        ):
            for index in range(step.tasks):
                task = TaskName(f"{name}.{occurrence}.{number}.{index}")
                self._steps[task] = step
        submission = JobSubmission(payload="p", steps=steps, recurrence=recurrence)
        await self.deployment.propose(
            AcceptJob(job=JobId(name), queue=QUEUE.name, submission=submission)
        )


def play_day(seed: int) -> WaitsDay:
    """Play the day of a seed and return it."""
    days: list[WaitsDay] = []

    async def play() -> None:
        day = WaitsDay(seed)
        days.append(day)
        await day.play()

    run_deterministic(play, seed=seed)
    return days[0]


def main(_: Sequence[str]) -> None:
    """Play days and print what went wrong."""
    logging.set_verbosity(logging.FATAL)
    failed = judged = 0
    counts: Counter[str] = Counter()
    for seed in range(FLAGS.first, FLAGS.first + FLAGS.seeds):
        day = play_day(seed)
        counts += day.counts
        judged += len(day.watch.judged)
        failed += bool(day.watch.faults)
        for fault in day.watch.faults:
            print(f"seed {seed}: {fault}", flush=True)
    total = f"{FLAGS.seeds} days, {failed} with faults; {judged} jobs judged"
    print(f"{total}; {dict(counts)}")
    sys.exit(1 if failed else 0)


FLAGS = flags.FLAGS
if __name__ == "__main__":
    flags.DEFINE_integer("seeds", 50, "Number of days to play.")
    flags.DEFINE_integer("first", 1, "Seed of the first day.")
    app.run(main)
