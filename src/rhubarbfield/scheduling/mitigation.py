"""Mitigation of the interference of spare-core tasks with co-located serving tasks."""

from __future__ import annotations

import logging
import math
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.headroom_index import HeadroomIndex
from rhubarbfield.scheduling.interference import (
    MARGIN_RESERVE,
    InterferenceModel,
    LatencyMargin,
    ServingTask,
    admits_share,
)
from rhubarbfield.scheduling.ledger import FULL_SPEED
from rhubarbfield.scheduling.metrics import RUNS_DISTURBED
from rhubarbfield.scheduling.model import ImageName, Step
from rhubarbfield.scheduling.orders import StopReason
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.relocation import RelocationHost, RelocationSearch
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.neighbours")

SERVING_PERCENT = 100  # progress that a standing task reports once it serves
PAUSED = 0  # percent of full speed; a task that is only slowed still interferes
# Ratios of measured tail latency to its goal: mitigation starts at the threshold
# and aims for the target.
MITIGATION_THRESHOLD_RATIO = 0.95
MITIGATION_TARGET_RATIO = 0.8
# Time of three views, after which all co-located runs are paused or moved; the
# platform counts 4 s of interference as a fault.
FULL_MITIGATION_DELAY = timedelta(milliseconds=1800)
MAX_PAUSE = timedelta(milliseconds=1500)  # the duration of most tasks
NEGLIGIBLE_HARM = 0.05  # growth of log latency that does not justify a pause


class ColocatedRun(msgspec.Struct, frozen=True):
    """A spare-core run on a worker, and the share of its processors it wants."""

    key: RunKey
    step: Step
    share: float


class InterferenceMitigator:
    """Pauses, moves and resumes spare-core runs that slow serving tasks.

    All its state is in the leader's memory.

    Parameters
    ----------
    host
        The leader.
    interference
        The model of how images slow each other.
    headroom_index
        The use of each worker.
    clock
        Source of time.
    """

    def __init__(
        self,
        host: RelocationHost,
        interference: InterferenceModel,
        headroom_index: HeadroomIndex,
        clock: Clock,
    ) -> None:
        self._host = host
        self._interference = interference
        self._headroom_index = headroom_index
        self._clock = clock
        self._over_threshold_since: dict[WorkerId, timedelta] = {}
        self._serving: dict[WorkerId, list[ServingTask]] = {}
        self._paused_since: dict[WorkerId, dict[RunKey, timedelta]] = {}
        self._relocation = RelocationSearch(host, interference, headroom_index, clock)

    def list_margins(self, worker: Worker) -> list[LatencyMargin]:
        """Return the latency margins on a worker, one for each serving image.

        Co-located runs affect all tasks of an image alike, so only the task
        with the smallest margin is listed.
        """
        serving = self._headroom_index.list_serving(self._host.state, worker)
        return self._interference.predict_smallest_margins(serving)

    def handle_view(self, worker: Worker, session: WorkerSession) -> None:
        """Update the model from a view of a worker, and pause or resume runs."""
        serving: list[ServingTask] = []
        colocated_runs: list[ColocatedRun] = []
        shares: dict[ImageName, float] = {}
        capacity = max(worker.capacity.millicores, 1)
        steps = self._headroom_index.find_steps(self._host.state, worker)
        for task, step in steps.items():
            active = session.active.get(task)
            run = worker.runs[task]
            if active is None or active.run != run:
                continue
            if step.tail_goal_ms and active.percent >= SERVING_PERCENT:
                serving.append(
                    ServingTask(task, step.image, step.tail_goal_ms, active.measure)
                )
            elif step.uses_spare_cores:
                share = min((active.measure or 0.0) / capacity, 1.0)
                shares[step.image] = shares.get(step.image, 0.0) + share
                key = RunKey(task, run)
                colocated_runs.append(ColocatedRun(key, step, worker.find_share(step)))
        self._interference.learn(serving, shares, self._clock.monotonic())
        self._forget_absent_tasks(worker.worker, serving)
        self._serving[worker.worker] = serving
        self._relocation.begin_view()
        if colocated_runs:
            self._mitigate(worker, session, serving, colocated_runs)

    def _forget_absent_tasks(
        self, worker: WorkerId, serving: Iterable[ServingTask] = ()
    ) -> None:
        kept = {task.task for task in serving}
        for task in self._serving.get(worker, ()):
            if task.task not in kept:
                self._interference.forget(task.task)

    def has_serving(self, worker: Worker) -> bool:
        """Return whether a worker runs tasks with a tail-latency goal."""
        return bool(self._headroom_index.list_serving(self._host.state, worker))

    def forget(self, worker: WorkerId) -> None:
        """Drop the state of a worker that was removed."""
        self._forget_absent_tasks(worker)
        self._serving.pop(worker, None)
        self._over_threshold_since.pop(worker, None)
        self._paused_since.pop(worker, None)

    def _mitigate(
        self,
        worker: Worker,
        session: WorkerSession,
        serving: list[ServingTask],
        colocated_runs: list[ColocatedRun],
    ) -> None:
        over_threshold = [
            task
            for task in serving
            if task.tail_ms is not None
            and task.tail_ms >= task.goal_ms * MITIGATION_THRESHOLD_RATIO
        ]
        if over_threshold:
            self._paused_since.pop(worker.worker, None)
            unpaused = [
                each for each in colocated_runs if session.get_pace(each.key) != PAUSED
            ]
            for colocated_run in self._choose_runs_to_mitigate(
                worker, over_threshold, unpaused
            ):
                self._move_or_pause(worker, session, colocated_run)
            return
        self._over_threshold_since.pop(worker.worker, None)
        # Runs of unknown pace count as paused: an earlier leader may have paused them.
        running = [
            each for each in colocated_runs if session.get_pace(each.key) == FULL_SPEED
        ]
        paused = [each for each in colocated_runs if each not in running]
        self._record_paused(worker, paused)
        self._resume(worker, session, running, paused)

    def _record_paused(self, worker: Worker, paused: list[ColocatedRun]) -> None:
        """Record the time at which each run was paused."""
        now = self._clock.monotonic()
        known = self._paused_since.get(worker.worker, {})
        self._paused_since[worker.worker] = {
            each.key: known.get(each.key, now) for each in paused
        }

    def _is_pause_overdue(self, worker: Worker, colocated_run: ColocatedRun) -> bool:
        """Return whether a run has been paused for at least ``MAX_PAUSE``."""
        now = self._clock.monotonic()
        since = self._paused_since.get(worker.worker, {}).get(colocated_run.key, now)
        return now - since >= MAX_PAUSE

    def _resume(
        self,
        worker: Worker,
        session: WorkerSession,
        running: list[ColocatedRun],
        paused: list[ColocatedRun],
    ) -> None:
        """Resume paused runs, here or on another worker, where that is harmless.

        A run paused for at least ``MAX_PAUSE`` needs no reserve, and may be
        moved even if that loses its progress.
        """
        margins = self.list_margins(worker)
        shares = _add_shares(running)
        for colocated_run in paused:
            is_overdue = self._is_pause_overdue(worker, colocated_run)
            image = colocated_run.step.image
            reserve = 0.0 if is_overdue else MARGIN_RESERVE
            slacks = self._interference.measure_slacks(margins, shares)
            if admits_share(slacks, image, colocated_run.share, reserve):
                self._set_pace(worker, session, colocated_run, FULL_SPEED)
                shares[image] = shares.get(image, 0.0) + colocated_run.share
            elif not self._try_to_move(
                worker, session, colocated_run, may_lose_progress=is_overdue
            ):
                self._set_pace(worker, session, colocated_run, PAUSED)

    def _move_or_pause(
        self, worker: Worker, session: WorkerSession, colocated_run: ColocatedRun
    ) -> None:
        """Move a run to another worker if that loses no progress, else pause it."""
        if not self._try_to_move(worker, session, colocated_run):
            self._set_pace(worker, session, colocated_run, PAUSED)

    def _try_to_move(
        self,
        worker: Worker,
        session: WorkerSession,
        colocated_run: ColocatedRun,
        *,
        may_lose_progress: bool = False,
    ) -> bool:
        """Stop a run that fits on another worker; return whether it is stopped.

        A run without checkpoints is moved only if it may lose its progress.
        """
        key = colocated_run.key
        if session.is_stopping(key):
            return True
        if not (colocated_run.step.checkpoints or may_lose_progress):
            return False
        if not self._relocation.is_possible(key.task, worker):
            return False
        log_event(
            logger,
            logging.INFO,
            "run-moved",
            task=key.task,
            run=key.run,
            worker=worker.worker,
            tails=self._format_tail_latencies(worker),
        )
        RUNS_DISTURBED.labels("moved").inc()
        session.stop(key, StopReason.MOVED)
        return True

    def _choose_runs_to_mitigate(
        self,
        worker: Worker,
        over_threshold: list[ServingTask],
        colocated_runs: list[ColocatedRun],
    ) -> list[ColocatedRun]:
        """Return the runs to pause or move, the most harmful first.

        Tail latency that is high because of the task's own load is left alone.
        Since the model may be wrong, all runs are returned once tail latency has
        been high for ``FULL_MITIGATION_DELAY``.
        """
        now = self._clock.monotonic()
        since = self._over_threshold_since.setdefault(worker.worker, now)
        if now - since >= FULL_MITIGATION_DELAY:
            return colocated_runs
        chosen: dict[RunKey, ColocatedRun] = {}
        for task in over_threshold:
            excess = math.log(
                (task.tail_ms or 0.0) / (task.goal_ms * MITIGATION_TARGET_RATIO)
            )
            harm = {
                each.key: self._interference.get_rate(task.image, each.step.image)
                * each.share
                for each in colocated_runs
            }
            for colocated_run in sorted(
                colocated_runs, key=lambda each: -harm[each.key]
            ):
                if excess <= 0 or harm[colocated_run.key] <= NEGLIGIBLE_HARM:
                    break
                excess -= harm[colocated_run.key]
                chosen[colocated_run.key] = colocated_run
        return list(chosen.values())

    def _format_tail_latencies(self, worker: Worker) -> str:
        """Return the latest tail latencies by image, in percent of their goals."""
        return " ".join(
            f"{task.image}:{100 * task.tail_ms / task.goal_ms:.0f}"
            for task in self._serving.get(worker.worker, ())
            if task.tail_ms is not None
        )

    def _set_pace(
        self,
        worker: Worker,
        session: WorkerSession,
        colocated_run: ColocatedRun,
        percent: int,
    ) -> None:
        if session.get_pace(colocated_run.key) == percent:
            return
        if session.is_stopping(colocated_run.key):
            return
        log_event(
            logger,
            logging.INFO,
            "run-paced",
            task=colocated_run.key.task,
            run=colocated_run.key.run,
            worker=worker.worker,
            percent=percent,
            tails=self._format_tail_latencies(worker),
        )
        RUNS_DISTURBED.labels("paced").inc()
        session.pace(colocated_run.key, percent)


def _add_shares(colocated_runs: Iterable[ColocatedRun]) -> dict[ImageName, float]:
    shares: dict[ImageName, float] = {}
    for each in colocated_runs:
        image = each.step.image
        shares[image] = shares.get(image, 0.0) + each.share
    return shares
