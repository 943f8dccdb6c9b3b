"""A model of workers with interference between attempts, to evaluate placement.

The placement policy gets the same input as from real workers: delayed reports
of usage and latency, and reports on attempts. Interference, true sizes and true
run times are hidden from it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from random import Random

import msgspec

from rhubarbfield.measurement._interference import InterferenceModel
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
MIN_LAG_STEPS, MAX_LAG_STEPS = 2, 5
CHECKPOINT_INTERVAL_SECONDS = 300.0
EVICTION_STEPS = 2
MEMORY_RAMP_SECONDS = 150.0
QUEUEING_COST = 0.6
OVERLOAD_COST = 4.0
LATENCY_NOISE = 0.12
SIZE_NOISE = 0.15
# Mean and standard deviation of the logarithm of the run time in seconds.
LOGNORMAL_RUN_TIME = (math.log(600.0), 0.7)
CONTENTION_THRESHOLD = 0.85
CONTENTION_COST = 0.5


class Deployment(msgspec.Struct, frozen=True):
    """Size and priorities of a deployment.

    Attributes
    ----------
    cores, memory_mb
        Capacity of each worker.
    per_rack
        Workers in each rack.
    services
        Number of runners of each service.
    tail_weight, throughput_weight, eviction_weight
        Weights of the parts of the deployment's score; they sum to 1.
    """

    name: str
    workers: int
    cores: int
    memory_mb: int
    per_rack: int
    services: dict[ServiceName, int]
    tail_weight: float
    throughput_weight: float
    eviction_weight: float


@dataclass
class SimulatedAttempt:
    """A running attempt with its true size and run time.

    Attributes
    ----------
    left_seconds, saved_seconds
        Remaining run time at full speed, now and at the last checkpoint.
    age, since_checkpoint
        Seconds since the start and since the last checkpoint.
    throttle
        Fraction of its cores that the attempt may use.
    stop_steps
        Steps until an eviction takes effect; None without an eviction.
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
    stop_steps: int | None = None

    @property
    def is_service(self) -> bool:
        """Whether the attempt is a runner of a service."""
        return self.spec.kind is WorkKind.SERVICE

    @property
    def memory_now(self) -> float:
        """Memory in use, in megabytes; it grows after the start."""
        return self.memory_mb * min(1.0, 0.3 + 0.7 * self.age / MEMORY_RAMP_SECONDS)

    @property
    def cores_now(self) -> float:
        """Cores in use if there is no contention."""
        return self.cores * self.throttle


@dataclass
class EndedAttempt:
    """An attempt that has ended.

    Attributes
    ----------
    redone_seconds
        Run time since the last checkpoint, which the next attempt repeats.
    """

    attempt: SimulatedAttempt
    state: AttemptState
    redone_seconds: float = 0.0
    reason: str = ""


@dataclass
class SimulatedWorker:
    """A worker with its true state.

    Attributes
    ----------
    attempts
        Running attempts by id.
    broken_steps
        Steps for which the worker still fails every batch attempt.
    down_steps
        Steps until the worker runs again after a crash; 0 if it is running.
    memory_overflows
        Number of attempts that were stopped because memory was exceeded.
    delayed_reports
        Usage reports with the steps at which they arrive.
    checkpoint_reports
        Reports of checkpoints that were not collected yet.
    """

    name: WorkerId
    capacity: Resources
    epoch: Epoch
    attempts: dict[AttemptId, SimulatedAttempt] = field(default_factory=dict)
    broken_steps: int = 0
    down_steps: int = 0
    memory_overflows: int = 0
    delayed_reports: list[tuple[int, UsageReport]] = field(default_factory=list)
    checkpoint_reports: list[AttemptReport] = field(default_factory=list)

    def start(self, attempt: SimulatedAttempt) -> None:
        """Start an attempt."""
        self.attempts[attempt.order.attempt] = attempt

    def stop(self, attempt_id: AttemptId) -> None:
        """Evict an attempt, which ends ``EVICTION_STEPS`` steps later."""
        attempt = self.attempts.get(attempt_id)
        if attempt is not None and attempt.stop_steps is None:
            attempt.stop_steps = EVICTION_STEPS

    def crash(self) -> list[EndedAttempt]:
        """End all attempts and drop all reports; return the ended attempts."""
        lost = [
            _abort(attempt, AttemptState.LOST) for attempt in self.attempts.values()
        ]
        self.attempts.clear()
        self.delayed_reports.clear()
        self.checkpoint_reports.clear()
        return lost

    def step(
        self, interference: InterferenceModel, seconds: float
    ) -> list[EndedAttempt]:
        """Advance by one step and return the attempts that ended in it."""
        demand = self._measure_core_demand(interference, seconds)
        speed = 1.0 - CONTENTION_COST * max(
            0.0, min(1.0, demand) - CONTENTION_THRESHOLD
        )
        speed /= max(1.0, demand)
        ended = []
        for attempt in list(self.attempts.values()):
            ended_attempt = self._advance(attempt, speed)
            if ended_attempt is not None:
                del self.attempts[attempt.order.attempt]
                ended.append(ended_attempt)
        return ended + self._enforce_memory_limit()

    def _advance(self, attempt: SimulatedAttempt, speed: float) -> EndedAttempt | None:
        attempt.age += STEP_SECONDS
        if attempt.stop_steps is not None:
            attempt.stop_steps -= 1
            if attempt.stop_steps <= 0:
                return _abort(attempt, AttemptState.EVICTED)
            return None
        if attempt.is_service:
            return None
        if self.broken_steps:
            return _abort(attempt, AttemptState.FAILED)
        attempt.left_seconds -= STEP_SECONDS * speed * attempt.throttle
        attempt.since_checkpoint += STEP_SECONDS
        if attempt.left_seconds <= 0:
            return EndedAttempt(attempt, AttemptState.SUCCEEDED)
        if attempt.since_checkpoint >= CHECKPOINT_INTERVAL_SECONDS:
            self._save(attempt)
        return None

    def _save(self, attempt: SimulatedAttempt) -> None:
        attempt.since_checkpoint = 0.0
        attempt.saved_seconds = attempt.left_seconds
        checkpoint = CheckpointId(f"{attempt.left_seconds:.3f}")
        attempt_id = attempt.order.attempt
        self.checkpoint_reports.append(
            AttemptReport(
                attempt_id, self.name, self.epoch, AttemptState.RUNNING, checkpoint
            )
        )

    def _enforce_memory_limit(self) -> list[EndedAttempt]:
        """Stop the largest batch attempts until memory suffices."""
        ended = []
        while self.memory_used > self.capacity.memory_mb:
            batch = [
                attempt for attempt in self.attempts.values() if not attempt.is_service
            ]
            if not batch:
                break
            largest = max(batch, key=lambda attempt: attempt.memory_now)
            del self.attempts[largest.order.attempt]
            self.memory_overflows += 1
            ended.append(_abort(largest, AttemptState.EVICTED))
        return ended

    @property
    def memory_used(self) -> float:
        """Memory in use, in megabytes."""
        return sum(attempt.memory_now for attempt in self.attempts.values())

    def _measure_core_demand(
        self, interference: InterferenceModel, seconds: float
    ) -> float:
        """Return the ratio of demanded cores to the worker's cores."""
        demanded = 0.0
        for attempt in self.attempts.values():
            if attempt.is_service and attempt.spec.service is not None:
                load = interference.find_load(attempt.spec.service, seconds)
                demanded += attempt.cores * load
            else:
                demanded += attempt.cores_now
        return demanded * 1000 / self.capacity.millicores

    def measure_latency(
        self,
        attempt: SimulatedAttempt,
        interference: InterferenceModel,
        seconds: float,
        random: Random,
    ) -> float:
        """Return the tail latency of a runner of a service, in seconds."""
        service = attempt.spec.service
        assert service is not None
        load = interference.find_load(service, seconds)
        harm = 0.0
        for other in self.attempts.values():
            if not other.is_service:
                share = other.cores_now * 1000 / self.capacity.millicores
                harm += share * interference.find_harm(
                    service, other.spec.batch_kind, load
                )
        overload = max(0.0, self._measure_core_demand(interference, seconds) - 1.0)
        latency = interference.base_seconds[service] * (1 + QUEUEING_COST * load * load)
        noise = random.gauss(0.0, LATENCY_NOISE)
        return latency * math.exp(harm + noise) * (1 + OVERLOAD_COST * overload)

    def make_report(
        self, interference: InterferenceModel, seconds: float, random: Random
    ) -> UsageReport:
        """Return the worker's current usage report."""
        usages, latencies = [], []
        for attempt_id, attempt in self.attempts.items():
            cores = attempt.cores_now
            if attempt.is_service and attempt.spec.service is not None:
                load = interference.find_load(attempt.spec.service, seconds)
                cores = attempt.cores * load
                p99 = self.measure_latency(attempt, interference, seconds, random)
                latencies.append(
                    ServiceLatency(attempt_id, load, timedelta(seconds=p99))
                )
            usages.append(
                AttemptUsage(
                    attempt_id,
                    round(cores * 1000),
                    round(attempt.memory_now),
                    attempt.throttle,
                )
            )
        taken_at = START + timedelta(seconds=seconds)
        return UsageReport(
            self.name, self.epoch, taken_at, tuple(usages), tuple(latencies)
        )


def _abort(attempt: SimulatedAttempt, state: AttemptState) -> EndedAttempt:
    """End an attempt, losing the work since its last checkpoint."""
    return EndedAttempt(
        attempt, state, max(0.0, attempt.saved_seconds - attempt.left_seconds)
    )


class TaskProfile(msgspec.Struct, frozen=True):
    """True properties of a task.

    Attributes
    ----------
    size_noise
        Random factor on the size of the task's kind of work.
    run_seconds
        Run time at full speed.
    """

    size_noise: float
    run_seconds: float


class TaskModel:
    """True sizes and run times of tasks, the same for all strategies.

    Parameters
    ----------
    seed
        Seed of the hidden values.
    """

    def __init__(self, seed: int) -> None:
        self._seed = seed

    def find_size_factor(self, spec: JobSpec, dimension: str) -> float:
        """Return the ratio of true to declared size of a tenant's kind of work."""
        label = f"{self._seed}/{dimension}/{spec.tenant}/{spec.batch_kind}"
        return 10.0 ** Random(label).uniform(-1, 1)

    def find_task_work(self, spec: JobSpec, index: int) -> float:
        """Return the work of one task of a job, in core-seconds."""
        profile = self._draw_profile(make_task_id(spec.job, index))
        return self._find_cores(spec, profile) * profile.run_seconds

    def find_attempt_work(self, attempt: SimulatedAttempt) -> float:
        """Return the work of the task of a finished attempt, in core-seconds."""
        return attempt.cores * self._draw_profile(attempt.order.task).run_seconds

    def make_attempt(self, order: StartedAttempt, spec: JobSpec) -> SimulatedAttempt:
        """Return an attempt with its true size and its remaining run time."""
        if spec.kind is WorkKind.SERVICE:
            return SimulatedAttempt(
                order, spec, spec.cores, spec.memory_mb * 0.8, 0.0, 0.0
            )
        profile = self._draw_profile(order.task)
        factor = self.find_size_factor(spec, "memory") * profile.size_noise
        left = float(order.checkpoint) if order.checkpoint else profile.run_seconds
        cores = self._find_cores(spec, profile)
        return SimulatedAttempt(order, spec, cores, spec.memory_mb * factor, left, left)

    def _find_cores(self, spec: JobSpec, profile: TaskProfile) -> float:
        return spec.cores * self.find_size_factor(spec, "cores") * profile.size_noise

    def _draw_profile(self, task: TaskId) -> TaskProfile:
        random = Random(f"{self._seed}/{task}")
        noise = math.exp(random.gauss(0.0, SIZE_NOISE))
        return TaskProfile(noise, random.lognormvariate(*LOGNORMAL_RUN_TIME))
