"""Delayed reports of workers on resource usage and service latency."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import datetime, timedelta

import msgspec

from rhubarbfield.placement.harm import HarmModel, find_band
from rhubarbfield.placement.sizes import SizeModel
from rhubarbfield.placement.state import BatchKind, JobSpec, WorkState
from rhubarbfield.types import AttemptId, Epoch, TaskId, WorkerId, WorkKind

SMOOTHING = 0.5  # weight of a new latency sample
MIN_THROTTLE = 0.1
MAX_LEARNING_COST = 150  # per report; one sample costs the square of (kinds + 1)


class AttemptUsage(msgspec.Struct, frozen=True, array_like=True):
    """Resource usage of one attempt when the report was taken.

    Attributes
    ----------
    throttle
        Fraction of its processors that the worker allowed it to use.
    """

    attempt: AttemptId
    millicores: int
    memory_mb: int
    throttle: float = 1.0


class ServiceLatency(msgspec.Struct, frozen=True, array_like=True):
    """Tail latency of one attempt that serves a service.

    Attributes
    ----------
    load
        Fraction of its slots in use, from 0 to 1.
    p99
        99th percentile of latency since the last report.
    """

    attempt: AttemptId
    load: float
    p99: timedelta


class UsageReport(msgspec.Struct, frozen=True):
    """One worker's usage report.

    Attributes
    ----------
    taken_at
        Time of measurement. A report that is not later than the last one is
        ignored.
    usages
        Exactly the attempts that were on the worker at that time: harm is
        attributed to these.
    """

    worker: WorkerId
    epoch: Epoch
    taken_at: datetime
    usages: tuple[AttemptUsage, ...]
    latencies: tuple[ServiceLatency, ...] = ()


class Observations:
    """Latest reports of workers, and the models learned from all reports.

    Kept only by the leader. A new leader creates its own and calls
    :meth:`restore` with the replicated state.

    Attributes
    ----------
    reports
        The latest report of each worker.
    latency
        Smoothed tail latency in seconds of each attempt that serves a service.
    load
        Latest load of each attempt that serves a service, from 0 to 1.
    unreachable
        Workers without a stream or lease at present; no tasks are placed on them.
    reported_workers
        Workers that reported since :meth:`start_round`.
    memory_growth
        Growth of the memory in use on each worker, in megabytes per second.
    sizes, harm
        Models of task sizes and of harm to services.
    """

    def __init__(self) -> None:
        self.reports: dict[WorkerId, UsageReport] = {}
        self.latency: dict[AttemptId, float] = {}
        self.load: dict[AttemptId, float] = {}
        self.unreachable: set[WorkerId] = set()
        self.reported_workers: dict[WorkerId, bool] = {}
        self.memory_growth: dict[WorkerId, float] = {}
        self.sizes = SizeModel()
        self.harm = HarmModel()

    def restore(self, state: WorkState) -> None:
        """Start from the estimates that an earlier leader stored in the state."""
        self.sizes.restore(state.sizes.values())
        self.harm.restore(state.harm.values())

    def record(self, state: WorkState, report: UsageReport) -> bool:
        """Process one report.

        Returns
        -------
        bool
            False if the report arrived out of order or is not of the worker's
            present epoch; it is ignored then.
        """
        worker = state.workers.get(report.worker)
        last = self.reports.get(report.worker)
        if worker is None or worker.epoch != report.epoch:
            return False
        if last is not None and last.epoch == report.epoch:
            if last.taken_at >= report.taken_at:
                return False
            self._drop_ended(last, report)
            self.memory_growth[report.worker] = measure_growth(last, report)
        self.reports[report.worker] = report
        self.reported_workers[report.worker] = True
        specs = {
            usage.attempt: find_spec(state, usage.attempt) for usage in report.usages
        }
        self._learn_sizes(report, specs)
        self._learn_harm(report, specs, worker.announced.millicores)
        return True

    def set_reachable(self, worker: WorkerId, reachable: bool) -> None:
        """Record whether a worker's stream is open and its lease valid."""
        if reachable:
            self.unreachable.discard(worker)
        else:
            self.unreachable.add(worker)

    def start_round(self) -> None:
        """Begin a new round, once the plan of the last one has been proposed."""
        self.reported_workers.clear()
        self.sizes.forget_changes()
        self.harm.forget_changes()

    def drop_worker(self, worker: WorkerId) -> None:
        """Drop the reports of a lost worker."""
        report = self.reports.pop(worker, None)
        self.reported_workers.pop(worker, None)
        self.memory_growth.pop(worker, None)
        for latency in report.latencies if report else ():
            self.latency.pop(latency.attempt, None)
            self.load.pop(latency.attempt, None)

    def _drop_ended(self, last: UsageReport, report: UsageReport) -> None:
        still = {latency.attempt for latency in report.latencies}
        for latency in last.latencies:
            if latency.attempt not in still:
                self.latency.pop(latency.attempt, None)
                self.load.pop(latency.attempt, None)

    def _learn_sizes(
        self, report: UsageReport, specs: dict[AttemptId, JobSpec | None]
    ) -> None:
        for usage in report.usages:
            spec = specs[usage.attempt]
            if spec is not None:
                # A throttled task would use more processor time without throttling.
                millicores = usage.millicores / max(usage.throttle, MIN_THROTTLE)
                self.sizes.learn(spec, millicores, usage.memory_mb)

    def _learn_harm(
        self,
        report: UsageReport,
        specs: dict[AttemptId, JobSpec | None],
        capacity_millicores: int,
    ) -> None:
        shares = sum_shares(
            ((specs[usage.attempt], usage.millicores) for usage in report.usages),
            capacity_millicores,
        )
        for sample in report.latencies:
            seconds = sample.p99.total_seconds()
            last = self.latency.get(sample.attempt, seconds)
            self.latency[sample.attempt] = last + SMOOTHING * (seconds - last)
            self.load[sample.attempt] = sample.load
        for sample in choose_samples(report, len(shares)):
            spec = specs.get(sample.attempt)
            if spec is not None and spec.service is not None:
                seconds = sample.p99.total_seconds()
                self.harm.learn(spec.service, find_band(sample.load), shares, seconds)


def choose_samples(report: UsageReport, kinds: int) -> list[ServiceLatency]:
    """Return the latency samples to learn from.

    The cost of a sample grows with the square of the number of co-located kinds of
    batch work. With many kinds only a few samples are used, a different part of
    the report each time.
    """
    count = max(1, MAX_LEARNING_COST // (kinds + 1) ** 2)
    if count >= len(report.latencies):
        return list(report.latencies)
    first = int(report.taken_at.timestamp()) % len(report.latencies)
    rotated = (*report.latencies[first:], *report.latencies[:first])
    return list(rotated[:count])


def measure_growth(last: UsageReport, report: UsageReport) -> float:
    """Return memory growth, in MB per second, of attempts that are in both reports."""
    seconds = (report.taken_at - last.taken_at).total_seconds()
    before = {usage.attempt: usage.memory_mb for usage in last.usages}
    growth = sum(
        usage.memory_mb - before[usage.attempt]
        for usage in report.usages
        if usage.attempt in before
    )
    return max(0.0, growth / seconds)


def find_spec(state: WorkState, attempt: AttemptId) -> JobSpec | None:
    """Return the job spec of a live or ended attempt, or None if it is not known."""
    task = state.tasks.get(TaskId(attempt.rpartition("#")[0]))
    return state.jobs[task.job].spec if task else None


def sum_shares(
    uses: Iterable[tuple[JobSpec | None, int]], capacity_millicores: int
) -> dict[BatchKind, float]:
    """Return the share of a worker's processors used by each kind of batch work."""
    shares: dict[BatchKind, float] = {}
    for spec, millicores in uses:
        if spec is not None and spec.kind is not WorkKind.SERVICE:
            share = millicores / max(1, capacity_millicores)
            shares[spec.batch_kind] = shares.get(spec.batch_kind, 0.0) + share
    return shares
