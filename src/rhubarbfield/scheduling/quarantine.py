"""Which workers are believed to carry out what they start.

Answers the load of days on which some workers fail, or never finish, all that
they start: such a worker is always free, and would attract every task.
"""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.types import WorkerId


class WorkerOutcomes(msgspec.Struct):
    """The latest outcomes on one worker.

    Attributes
    ----------
    failures
        Failed runs since the last success.
    distrusted_until
        When it is given work again, and then one task first.
    probed_at
        When it was given that task.
    """

    failures: int = 0
    quarantined_until: timedelta | None = None
    probed_at: timedelta | None = None


class WorkerQuarantine:
    """The record of all workers, in the leader's memory.

    Parameters
    ----------
    settings
        When a worker is distrusted, and for how long.
    """

    def __init__(self, settings: SchedulingSettings) -> None:
        self._settings = settings
        self._records: dict[WorkerId, WorkerOutcomes] = {}

    def note_success(self, worker: WorkerId) -> None:
        """Learn that a run was done."""
        record = self._get(worker)
        record.failures = 0
        record.quarantined_until = None
        record.probed_at = None

    def note_failure(self, worker: WorkerId, now: timedelta) -> None:
        """Learn that a run failed by its own fault or the worker's."""
        record = self._get(worker)
        record.failures += 1
        if record.failures >= self._settings.quarantine_failures:
            self._quarantine_worker(record, now)

    def note_stall(self, worker: WorkerId, now: timedelta) -> None:
        """Learn that runs on the worker make no progress."""
        self._quarantine_worker(self._get(worker), now)

    def note_probe(self, worker: WorkerId, now: timedelta) -> None:
        """Learn that a worker on probation was given a task."""
        if self.is_on_probation(worker, now):
            self._get(worker).probed_at = now

    def forget(self, worker: WorkerId) -> None:
        """Drop the record of a worker that is gone."""
        self._records.pop(worker, None)

    def is_eligible(self, worker: WorkerId, now: timedelta) -> bool:
        """Say whether any work may be given to the worker."""
        record = self._records.get(worker)
        if record is None or record.quarantined_until is None:
            return True
        return now >= record.quarantined_until

    def is_on_probation(self, worker: WorkerId, now: timedelta) -> bool:
        """Say whether the worker was distrusted and has not been proved since.

        Standing tasks never succeed; one that goes on for a while is proof.
        """
        record = self._records.get(worker)
        if record is None or record.quarantined_until is None:
            return False
        probed_at = record.probed_at
        if probed_at is not None and now - probed_at > self._settings.probe_duration:
            self.note_success(worker)
            return False
        return True

    def may_probe(self, worker: WorkerId) -> bool:
        """Say whether a worker on probation may be given its one task."""
        record = self._records.get(worker)
        return record is None or record.probed_at is None

    def count_failures(self, worker: WorkerId) -> int:
        """Return the failures since the last success."""
        record = self._records.get(worker)
        return record.failures if record is not None else 0

    def _quarantine_worker(self, record: WorkerOutcomes, now: timedelta) -> None:
        record.quarantined_until = now + self._settings.quarantine_duration
        record.probed_at = None

    def _get(self, worker: WorkerId) -> WorkerOutcomes:
        return self._records.setdefault(worker, WorkerOutcomes())
