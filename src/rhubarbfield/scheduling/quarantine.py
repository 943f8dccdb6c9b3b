"""Quarantine of workers on which runs fail or stall.

Without quarantine, a worker that fails or never finishes its runs would attract
every task, since it is always free.
"""

from __future__ import annotations

import functools
import logging
from collections.abc import Callable, Collection, Set
from datetime import timedelta

from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.failing_steps import FailingSteps
from rhubarbfield.scheduling.model import StepName
from rhubarbfield.scheduling.outcomes import WorkerOutcomes
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")

MAX_STANDING_STARTS = 1_000_000  # capacity alone limits the tasks of a proven worker


class WorkerQuarantine:
    """Outcomes of runs by worker, and the quarantine that follows from them.

    All its state is in the leader's memory.

    Parameters
    ----------
    settings
        When a worker is quarantined, and for how long.
    find_running
        Returns the workers that have runs of a step.
    """

    def __init__(
        self,
        settings: SchedulingSettings,
        find_running: Callable[[StepName], Set[WorkerId]],
    ) -> None:
        self._settings = settings
        self._records: dict[WorkerId, WorkerOutcomes] = {}
        self._failing_steps = FailingSteps(settings.failure_retention, find_running)

    def record_success(self, worker: WorkerId, step: StepName | None = None) -> None:
        """Record that a run succeeded; ends quarantine and probation.

        Parameters
        ----------
        worker
            The worker.
        step
            The step of the run; None for a standing one.
        """
        if step is not None:
            self._failing_steps.record_success(step)
        self._clear_failures(worker)

    def _clear_failures(self, worker: WorkerId) -> None:
        self._end_quarantine(worker)
        record = self._get(worker)
        record.failures = 0
        record.failed_steps.clear()
        record.has_stalled = False

    def _end_quarantine(self, worker: WorkerId) -> None:
        record = self._get(worker)
        if record.quarantined_until is not None:
            log_event(logger, logging.INFO, "quarantine-ended", worker=worker)
        record.quarantined_until = None
        record.probed_from = None
        record.drop_probe()

    def record_failure(
        self,
        worker: WorkerId,
        now: timedelta,
        since: timedelta | None = None,
        step: StepName | None = None,
    ) -> None:
        """Record a failed run, whether the task or the worker is at fault.

        Until the probe starts only runs from before the quarantine can fail; they
        don't start it anew. Nor do those of steps whose runs fail on most workers.

        Parameters
        ----------
        worker, now
            The worker, and the monotonic time.
        since
            Time since which the run may have ended, if that is long ago. The worker
            may be sound by now, so that an interrupted standing task may find out;
            once, until a run succeeds.
        step
            The step of the run; None for a standing one, whose runs do not succeed.
        """
        record = self._get(worker)
        is_on_probation = self.is_on_probation(worker)
        age = now - record.failed_at
        if not is_on_probation and age > self._settings.failure_retention:
            record.failures = 0
            record.failed_steps.clear()
        record.failures += 1
        record.failed_at = now
        record.failed_steps.add(step)
        if step is not None:
            self._failing_steps.record_failure(step, worker, now)
            if worker in self._absolve_workers(step):
                return
        if is_on_probation and self.may_probe(worker):
            return
        if record.failures >= self._settings.quarantine_failures:
            if since is None or is_on_probation:  # a failed probe is no old news
                self._quarantine_worker(worker, now, "failures")
            else:
                self._quarantine_worker(worker, since, "failures")
                record.probed_from = now

    def _absolve_workers(self, step: StepName) -> list[WorkerId]:
        """End the quarantine of workers that failed only runs of faulty steps.

        Returns
        -------
        list[WorkerId]
            Those of them on which the step failed. Their failures go on to count
            beside one of a step that is not at fault.
        """
        is_at_fault = functools.cache(self._failing_steps.is_at_fault)
        if not is_at_fault(step):
            return []
        absolved = []
        for worker in self._failing_steps.list_workers(step):
            record = self._records.get(worker)
            if record is None or record.has_stalled:
                continue
            if all(each and is_at_fault(each) for each in record.failed_steps):
                self._end_quarantine(worker)
                absolved.append(worker)
        return absolved

    def record_stall(self, worker: WorkerId, now: timedelta) -> None:
        """Record that runs on the worker make no progress; starts a quarantine."""
        self._get(worker).has_stalled = True
        self._quarantine_worker(worker, now, "stall")

    def record_probe(
        self,
        worker: WorkerId,
        runs: Collection[RunKey],
        now: timedelta,
        *,
        is_standing: bool,
    ) -> None:
        """Record that runs were ordered; the first on probation are the probe.

        A run that was chosen before the quarantine began proves nothing, and those
        that follow the probe must not prolong the probation.
        """
        if not self.is_on_probation(worker) or not self.may_probe(worker):
            return
        if self.is_eligible(worker, now) or self.count_standing_starts(worker, now):
            record = self._get(worker)
            record.probes = dict.fromkeys(runs)
            record.is_probe_standing = is_standing
            log_event(logger, logging.INFO, "worker-probed", worker=worker)

    def record_presence(
        self,
        worker: WorkerId,
        run: RunKey,
        now: timedelta,
        *,
        has_advanced: bool = False,
    ) -> None:
        """Record that the worker has answered the start of a run, or shown the run."""
        record = self._records.get(worker)
        if record is None or run not in record.probes:
            return
        if record.probes[run] is None:
            record.probes[run] = now
        record.shown_at = now
        if has_advanced:
            record.advanced.add(run)

    def record_end(self, worker: WorkerId, run: RunKey) -> None:
        """Record that a run has ended without success, or is paused.

        A probe of which nothing is left proves nothing; the next one may follow.
        """
        record = self._records.get(worker)
        if record is not None:
            record.probes.pop(run, None)
            record.advanced.discard(run)

    def list_probes(self, worker: WorkerId) -> dict[RunKey, timedelta | None]:
        """Return the runs of the probe, and since when each is on the worker."""
        record = self._records.get(worker)
        return {} if record is None else dict(record.probes)

    def forget(self, worker: WorkerId) -> None:
        """Drop the record of a worker that was removed."""
        self._records.pop(worker, None)

    def is_eligible(self, worker: WorkerId, now: timedelta) -> bool:
        """Return whether the worker may receive tasks, if only a probe."""
        if not self.is_on_probation(worker):
            return True
        until = self._records[worker].quarantined_until
        return until is not None and now >= until

    def count_standing_starts(self, worker: WorkerId, now: timedelta) -> int:
        """Return how many standing tasks may start, but no other tasks.

        An interrupted one may be the probe shortly before the quarantine ends, and
        others may follow as soon as a probe is proven.
        """
        if self.has_proven_probe(worker):
            return MAX_STANDING_STARTS
        if not self.is_on_probation(worker) or not self.may_probe(worker):
            return 0
        probed_from = self._records[worker].probed_from
        if probed_from is None:
            return 0
        return int(now >= probed_from and not self.is_eligible(worker, now))

    def has_proven_probe(self, worker: WorkerId) -> bool:
        """Return whether a probe has outlasted those of faulty workers.

        Standing tasks may then start, even before probation ends.
        """
        if not self.is_on_probation(worker):
            return False
        record = self._records[worker]
        present = record.measure_presence()
        if record.probed_from is None or present is None:
            return False
        return present >= self._settings.standing_probe_duration

    def is_on_probation(self, worker: WorkerId) -> bool:
        """Return whether the worker has had no successful probe since quarantine.

        A probe that runs for ``probe_duration`` counts as a success, a finite one if
        it has made progress. A standing one, which shows none, doesn't after a stall;
        the next one may follow it. The first call after that time records it.
        """
        record = self._records.get(worker)
        if record is None or record.quarantined_until is None:
            return False
        present = record.measure_presence()
        if present is not None and present > self._settings.probe_duration:
            if record.is_probe_sound:
                self._clear_failures(worker)
                return False
            if record.is_probe_standing:
                record.drop_probe()
        return True

    def may_probe(self, worker: WorkerId) -> bool:
        """Return whether a worker on probation may receive its probe."""
        record = self._records.get(worker)
        return record is None or not record.probes

    def count_failures(self, worker: WorkerId) -> int:
        """Return the number of failures since the last success."""
        record = self._records.get(worker)
        return record.failures if record is not None else 0

    def _quarantine_worker(self, worker: WorkerId, now: timedelta, cause: str) -> None:
        record = self._get(worker)
        record.quarantined_until = now + self._settings.quarantine_duration
        record.probed_from = now + self._settings.standing_probe_delay
        record.drop_probe()
        log_event(
            logger,
            logging.INFO,
            "worker-quarantined",
            worker=worker,
            cause=cause,
            failures=record.failures,
        )

    def _get(self, worker: WorkerId) -> WorkerOutcomes:
        return self._records.setdefault(worker, WorkerOutcomes())
