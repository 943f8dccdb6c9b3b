"""A small model of workers whose work harms one another, for measuring policy.

The policy sees of it what it would see of real workers: late reports of use
and latency, and words on attempts. Harm, real sizes and real run times stay
inside.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

import msgspec

from rhubarbfield.measurement._nature import Nature
from rhubarbfield.placement import (
    AttemptReport,
    AttemptUsage,
    JobSpec,
    Resources,
    ServiceLatency,
    StartedAttempt,
    UsageReport,
    make_task_id,
)
from rhubarbfield.types import (
    AttemptId,
    AttemptState,
    CheckpointId,
    Epoch,
    ServiceName,
    TaskId,
    WorkerId,
    WorkKind,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
STEP = timedelta(seconds=5)
STEP_SECONDS = 5.0
REPORT_STEPS = 2
LEAST_LAG_STEPS, MOST_LAG_STEPS = 2, 5
CHECKPOINT_SECONDS = 300.0
EVICTION_STEPS = 2
RAMP_SECONDS = 150.0
QUEUEING_COST = 0.6
OVERLOAD_COST = 4.0
LATENCY_NOISE = 0.12
SIZE_NOISE = 0.15
RUN_TIME = (math.log(600.0), 0.7)
CROWDED_ABOVE = 0.85
CROWDING_COST = 0.5


class Deployment(msgspec.Struct, frozen=True):
    """The sizes of one deployment.

    Attributes
    ----------
    services
        Runners of each service.
    tail, throughput, eviction
        Weights of the deployment's own measure; they sum to 1.
    """

    name: str
    workers: int
    cores: int
    memory_mb: int
    per_rack: int
    services: dict[ServiceName, int]
    tail: float
    throughput: float
    eviction: float


@dataclass
class Body:
    """One attempt as it really is.

    Attributes
    ----------
    left_seconds
        Work left at full speed; ``saved_seconds`` at the last checkpoint.
    """

    order: StartedAttempt
    spec: JobSpec
    cores: float
    memory_mb: float
    left_seconds: float
    saved_seconds: float
    age: float = 0.0
    since_checkpoint: float = 0.0
    throttle: float = 1.0
    stop_in: int | None = None

    @property
    def is_service(self) -> bool:
        """Whether it serves callers."""
        return self.spec.kind is WorkKind.SERVICE

    @property
    def memory_now(self) -> float:
        """Megabytes in use, which grow after the start."""
        return self.memory_mb * min(1.0, 0.3 + 0.7 * self.age / RAMP_SECONDS)

    @property
    def cores_now(self) -> float:
        """Cores that it would use were there no others."""
        return self.cores * self.throttle


@dataclass
class Ending:
    """An attempt that ended, and the seconds of work that are lost with it."""

    body: Body
    state: AttemptState
    redone_seconds: float = 0.0
    reason: str = ""


@dataclass
class Host:
    """One worker as it really is."""

    name: WorkerId
    capacity: Resources
    epoch: Epoch
    bodies: dict[AttemptId, Body] = field(default_factory=dict)
    broken_for: int = 0
    down_for: int = 0
    overflows: int = 0
    late: list[tuple[int, UsageReport]] = field(default_factory=list)
    saved: list[AttemptReport] = field(default_factory=list)

    def start(self, body: Body) -> None:
        """Begin an attempt."""
        self.bodies[body.order.attempt] = body

    def stop(self, attempt: AttemptId) -> None:
        """Begin to end an attempt; it takes a few steps."""
        body = self.bodies.get(attempt)
        if body is not None and body.stop_in is None:
            body.stop_in = EVICTION_STEPS

    def crash(self) -> list[Ending]:
        """Lose everything that runs."""
        lost = [_lose(body, AttemptState.LOST) for body in self.bodies.values()]
        self.bodies.clear()
        self.late.clear()
        self.saved.clear()
        return lost

    def step(self, nature: Nature, seconds: float) -> list[Ending]:
        """Let one step pass; return what ended in it."""
        crowding = self._measure_crowding(nature, seconds)
        speed = 1.0 - CROWDING_COST * max(0.0, min(1.0, crowding) - CROWDED_ABOVE)
        speed /= max(1.0, crowding)
        endings = []
        for body in list(self.bodies.values()):
            ending = self._advance(body, speed)
            if ending is not None:
                del self.bodies[body.order.attempt]
                endings.append(ending)
        return endings + self._guard()

    def _advance(self, body: Body, speed: float) -> Ending | None:
        body.age += STEP_SECONDS
        if body.stop_in is not None:
            body.stop_in -= 1
            if body.stop_in <= 0:
                return _lose(body, AttemptState.EVICTED)
            return None
        if body.is_service:
            return None
        if self.broken_for:
            return _lose(body, AttemptState.FAILED)
        body.left_seconds -= STEP_SECONDS * speed * body.throttle
        body.since_checkpoint += STEP_SECONDS
        if body.left_seconds <= 0:
            return Ending(body, AttemptState.SUCCEEDED)
        if body.since_checkpoint >= CHECKPOINT_SECONDS:
            self._save(body)
        return None

    def _save(self, body: Body) -> None:
        body.since_checkpoint = 0.0
        body.saved_seconds = body.left_seconds
        checkpoint = CheckpointId(f"{body.left_seconds:.3f}")
        attempt = body.order.attempt
        self.saved.append(
            AttemptReport(
                attempt, self.name, self.epoch, AttemptState.RUNNING, checkpoint
            )
        )

    def _guard(self) -> list[Ending]:
        """Stop the largest batch work while memory is overfull."""
        endings = []
        while self.memory_used > self.capacity.memory_mb:
            batch = [body for body in self.bodies.values() if not body.is_service]
            if not batch:
                break
            largest = max(batch, key=lambda body: body.memory_now)
            del self.bodies[largest.order.attempt]
            self.overflows += 1
            endings.append(_lose(largest, AttemptState.EVICTED))
        return endings

    @property
    def memory_used(self) -> float:
        """Megabytes in use."""
        return sum(body.memory_now for body in self.bodies.values())

    def _measure_crowding(self, nature: Nature, seconds: float) -> float:
        """Return wanted cores over cores."""
        wanted = 0.0
        for body in self.bodies.values():
            if body.is_service and body.spec.service is not None:
                load = nature.find_load(body.spec.service, seconds)
                wanted += body.cores * load
            else:
                wanted += body.cores_now
        return wanted * 1000 / self.capacity.millicores

    def measure_latency(
        self, body: Body, nature: Nature, seconds: float, random: Random
    ) -> float:
        """Return the tail latency of one service, in seconds."""
        service = body.spec.service
        assert service is not None
        load = nature.find_load(service, seconds)
        harm = 0.0
        for other in self.bodies.values():
            if not other.is_service:
                share = other.cores_now * 1000 / self.capacity.millicores
                harm += share * nature.find_harm(service, other.spec.batch_kind, load)
        overload = max(0.0, self._measure_crowding(nature, seconds) - 1.0)
        latency = nature.base_seconds[service] * (1 + QUEUEING_COST * load * load)
        noise = random.gauss(0.0, LATENCY_NOISE)
        return latency * math.exp(harm + noise) * (1 + OVERLOAD_COST * overload)

    def make_report(
        self, nature: Nature, seconds: float, random: Random
    ) -> UsageReport:
        """Return what the worker measures now."""
        usages, latencies = [], []
        for attempt, body in self.bodies.items():
            cores = body.cores_now
            if body.is_service and body.spec.service is not None:
                load = nature.find_load(body.spec.service, seconds)
                cores = body.cores * load
                p99 = self.measure_latency(body, nature, seconds, random)
                latencies.append(ServiceLatency(attempt, load, timedelta(seconds=p99)))
            usages.append(
                AttemptUsage(
                    attempt, round(cores * 1000), round(body.memory_now), body.throttle
                )
            )
        taken_at = START + timedelta(seconds=seconds)
        return UsageReport(
            self.name, self.epoch, taken_at, tuple(usages), tuple(latencies)
        )


def _lose(body: Body, state: AttemptState) -> Ending:
    """Return an ending that throws away what was done since the checkpoint."""
    return Ending(body, state, max(0.0, body.saved_seconds - body.left_seconds))


class TaskNature(msgspec.Struct, frozen=True):
    """What is true of one task: deviation of its size, and seconds at full speed."""

    noise: float
    seconds: float


class Truth:
    """Real sizes and run times, the same for all strategies.

    Parameters
    ----------
    seed
        Source of the hidden numbers.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def find_factor(self, spec: JobSpec, dimension: str) -> float:
        """Return real over declared size of a tenant's kind of work."""
        label = f"{self._seed}/{dimension}/{spec.tenant}/{spec.batch_kind}"
        return 10.0 ** Random(label).uniform(-1, 1)

    def find_work(self, spec: JobSpec, index: int) -> float:
        """Return the core-seconds of one task of a job."""
        nature = self._find_nature(make_task_id(spec.job, index))
        return self._find_cores(spec, nature) * nature.seconds

    def find_whole(self, body: Body) -> float:
        """Return the core-seconds of a task that has finished."""
        return body.cores * self._find_nature(body.order.task).seconds

    def make_body(self, order: StartedAttempt, spec: JobSpec) -> Body:
        """Return an attempt with its real size and what is left of its work."""
        if spec.kind is WorkKind.SERVICE:
            return Body(order, spec, spec.cores, spec.memory_mb * 0.8, 0.0, 0.0)
        nature = self._find_nature(order.task)
        factor = self.find_factor(spec, "memory") * nature.noise
        left = float(order.checkpoint) if order.checkpoint else nature.seconds
        cores = self._find_cores(spec, nature)
        return Body(order, spec, cores, spec.memory_mb * factor, left, left)

    def _find_cores(self, spec: JobSpec, nature: TaskNature) -> float:
        return spec.cores * self.find_factor(spec, "cores") * nature.noise

    def _find_nature(self, task: TaskId) -> TaskNature:
        random = Random(f"{self._seed}/{task}")
        noise = math.exp(random.gauss(0.0, SIZE_NOISE))
        return TaskNature(noise, random.lognormvariate(*RUN_TIME))
