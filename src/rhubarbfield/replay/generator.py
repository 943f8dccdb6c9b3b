"""Generation of random traces with requests, commands and faults."""

from __future__ import annotations

import random

from rhubarbfield.replay.events import (
    AnyEvent,
    Ask,
    Command,
    Cut,
    FailEverything,
    Freeze,
    HealAll,
    Kill,
    LoseDisk,
    Reset,
    Silence,
    Slow,
    Start,
    Trace,
    TracedFleet,
)

DOMAINS: dict[str, tuple[str, ...]] = {
    "north": ("a1", "a2"),
    "south": ("b1", "b2"),
    "west": ("c1", "c2"),
}
DISKLESS = ("b2", "c2")
REQUESTS_PER_SECOND = 4.0
COMMANDS_PER_MINUTE = 6.0
FAULTS_PER_MINUTE = 5.0
SECONDS_IN_MINUTE = 60.0
MAX_FAULT_SECONDS = 25.0
REPEAT_PROBABILITY = 0.4
KEY_PROBABILITY = 0.4
CONFIGURE_PROBABILITY = 0.3
CANCEL_PROBABILITY = 0.15
RACE_PROBABILITY = 0.25
INSTANCE_CUT_PROBABILITY = 0.4
ONE_WAY_CUT_PROBABILITY = 0.25
MAX_SLOWDOWN = 40.0
REPLICA_REPAIR_SECONDS = 45.0
SIZE_FACTOR_RANGE = (0.5, 3.0)
MEAN_RUN_SECONDS = (0.05, 0.3, 1.0)


class TraceGenerator:
    """Generates one random trace.

    Parameters
    ----------
    seed
        Seed of all random choices; equal seeds give equal traces.
    minutes
        Length of the period in which events begin, in minutes.
    """

    def __init__(self, seed: int, minutes: float) -> None:
        self._rng = random.Random(f"trace/{seed}")
        self._seed = seed
        self._duration_seconds = minutes * SECONDS_IN_MINUTE
        self._instances = [name for names in DOMAINS.values() for name in names]
        self._events: list[AnyEvent] = []
        self._command_number = 0
        self._data_loss_allowed_at = 0.0

    def make(self) -> Trace:
        """Generate the trace; to be called once."""
        self._add_requests()
        self._add_commands()
        self._add_faults()
        self._events.sort(key=lambda event: event.at)
        fleet = TracedFleet(
            name=f"random, seed {self._seed}",
            domains=DOMAINS,
            diskless=DISKLESS,
            seed=self._seed,
            size_factor=round(self._rng.uniform(*SIZE_FACTOR_RANGE), 2),
            mean_run_seconds=self._rng.choice(MEAN_RUN_SECONDS),
            settle_seconds=240.0,
        )
        return Trace(fleet, tuple(self._events))

    def _draw_times(self, per_second: float) -> list[float]:
        times = []
        at = self._rng.expovariate(per_second)
        while at < self._duration_seconds:
            times.append(round(at, 3))
            at += self._rng.expovariate(per_second)
        return times

    def _add_requests(self) -> None:
        keys: list[tuple[str, str]] = []
        for at in self._draw_times(REQUESTS_PER_SECOND):
            entry = self._rng.choice(self._instances)
            if self._rng.random() >= KEY_PROBABILITY:
                self._events.append(Ask(at=at, entry=entry))
                continue
            if keys and self._rng.random() < REPEAT_PROBABILITY:
                tenant, key = self._rng.choice(keys[-20:])
            else:
                tenant, key = f"house-{self._rng.randrange(5)}", f"k{len(keys)}"
                keys.append((tenant, key))
            self._events.append(Ask(at=at, entry=entry, tenant=tenant, key=key))

    def _add_commands(self) -> None:
        for at in self._draw_times(COMMANDS_PER_MINUTE / SECONDS_IN_MINUTE):
            self._command_number += 1
            text = self._make_command_text()
            self._add_command(at, "ana", text)
            if self._rng.random() < REPEAT_PROBABILITY:
                self._add_command(at + self._rng.uniform(0, 10), "ana", text)
            if self._rng.random() < RACE_PROBABILITY:
                self._add_command(at, "rui", self._make_command_text())

    def _add_command(self, at: float, operator: str, text: str) -> None:
        controller = self._rng.choice(self._instances)
        self._events.append(
            Command(
                at=at,
                controller=controller,
                operator=operator,
                number=self._command_number,
                text=text,
            )
        )

    def _make_command_text(self) -> str:
        choice = self._rng.random()
        if choice < CONFIGURE_PROBABILITY:
            value = round(self._rng.uniform(0, 1), 3)
            return f"configure routing.retry_budget_fraction = {value}"
        if (
            choice < CONFIGURE_PROBABILITY + CANCEL_PROBABILITY
            and self._command_number > 1
        ):
            return f"cancel job {self._rng.randrange(1, self._command_number)}-batch"
        tasks = self._rng.randint(1, 6)
        memory = self._rng.choice((500, 2000, 8000))
        return (
            f"create batch batch for tenant house-{self._rng.randrange(3)}"
            f" tasks {tasks} cores {self._rng.choice((1, 2, 4))} memory {memory} mb"
        )

    def _add_faults(self) -> None:
        for at in self._draw_times(FAULTS_PER_MINUTE / SECONDS_IN_MINUTE):
            duration = self._rng.uniform(1, MAX_FAULT_SECONDS)
            add_fault = self._rng.choice(
                (
                    self._add_kill,
                    self._add_kill,
                    self._add_worker_kill,
                    self._add_lost_disk,
                    self._add_cut,
                    self._add_cut,
                    self._add_silence,
                    self._add_reset,
                    self._add_freeze,
                    self._add_failing_worker,
                    self._add_slowness,
                )
            )
            add_fault(at, at + duration)

    def _may_lose_data(self, at: float, until: float) -> bool:
        """Return whether a replica may lose its data at ``at``, and reserve the loss.

        If two of three replicas lose their data before the first is repaired,
        their group has no quorum until an operator intervenes. A trace must
        contain only faults that the fleet recovers from by itself.
        """
        if at < self._data_loss_allowed_at:
            return False
        self._data_loss_allowed_at = until + REPLICA_REPAIR_SECONDS
        return True

    def _add_kill(self, at: float, until: float) -> None:
        kind = self._rng.choice(("controller", "entry"))
        instance = self._rng.choice(self._instances)
        loses_data = kind == "controller" and instance in DISKLESS
        if loses_data and not self._may_lose_data(at, until):
            return
        process = f"{kind} {instance}"
        self._events.append(Kill(at=at, process=process))
        self._events.append(Start(at=until, process=process))

    def _add_worker_kill(self, at: float, until: float) -> None:
        process = f"worker {self._choose_worker()}"
        self._events.append(Kill(at=at, process=process))
        self._events.append(Start(at=until, process=process))

    def _add_lost_disk(self, at: float, until: float) -> None:
        instance = self._rng.choice(self._instances)
        if not self._may_lose_data(at, until):
            return
        self._events.append(LoseDisk(at=at, instance=instance))
        self._events.append(Start(at=until, process=f"controller {instance}"))

    def _add_cut(self, at: float, until: float) -> None:
        one_way = self._rng.random() < ONE_WAY_CUT_PROBABILITY
        if self._rng.random() < INSTANCE_CUT_PROBABILITY:
            source, target = self._rng.sample(self._instances, 2)
            cut = Cut(at=at, sources=(source,), targets=(target,), one_way=one_way)
        else:
            domain = self._rng.choice(list(DOMAINS))
            others = tuple(name for name in DOMAINS if name != domain)
            cut = Cut(at=at, sources=(domain,), targets=others, one_way=one_way)
        self._events.append(cut)
        self._events.append(HealAll(at=until))

    def _add_silence(self, at: float, until: float) -> None:
        one, other = self._rng.sample(self._instances, 2)
        self._events.append(Silence(at=at, one=one, other=other))

    def _add_reset(self, at: float, until: float) -> None:
        domain = self._rng.choice(list(DOMAINS))
        one = self._rng.choice(DOMAINS[domain])
        server = f"s-{domain}-{self._rng.randrange(2)}"
        self._events.append(Reset(at=at, one=one, other=server))

    def _add_freeze(self, at: float, until: float) -> None:
        worker = self._choose_worker()
        self._events.append(Freeze(at=at, worker=worker, seconds=until - at))

    def _add_failing_worker(self, at: float, until: float) -> None:
        worker = self._choose_worker()
        self._events.append(FailEverything(at=at, worker=worker))
        self._events.append(FailEverything(at=until, worker=worker, fails=False))

    def _choose_worker(self) -> str:
        return f"w-{self._rng.choice(list(DOMAINS))}-{self._rng.randrange(2)}"

    def _add_slowness(self, at: float, until: float) -> None:
        factor = round(self._rng.uniform(2, MAX_SLOWDOWN), 1)
        self._events.append(Slow(at=at, factor=factor))
        self._events.append(Slow(at=until, factor=1.0))


def generate_trace(seed: int, minutes: float) -> Trace:
    """Return a random trace; equal arguments give equal traces."""
    return TraceGenerator(seed, minutes).make()
