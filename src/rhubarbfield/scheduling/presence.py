"""Since when a worker has had its runs, and for how long it is known to have worked."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.orders import StartState
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.silences import Silence

# A worker that has worked with a run for so long was not crashed by its start.
PROOF_TIME = timedelta(milliseconds=300)


class PresentRun(msgspec.Struct, frozen=True):
    """A recorded run that a worker has, or may have, started.

    Attributes
    ----------
    key
        The run.
    worked
        For how long the worker is known to have worked since it started the run;
        zero if it may just have started it, None if an earlier leader started it and
        nothing was heard of it since.
    is_certain
        Whether the worker has certainly started it.
    """

    key: RunKey
    worked: timedelta | None
    is_certain: bool = True

    @property
    def is_fresh(self) -> bool:
        """Whether the start of the run may be what ended its worker."""
        return self.worked is not None and self.worked < PROOF_TIME


class RunPresence:
    """The recorded runs of one worker, as far as its leader has heard of them.

    Parameters
    ----------
    contact
        The contact with the worker.
    ledger
        The orders that the worker was given, and the runs that it has listed.
    host
        The leader.
    """

    def __init__(
        self, contact: WorkerContact, ledger: OrderLedger, host: SessionHost
    ) -> None:
        self._contact = contact
        self._ledger = ledger
        self._host = host

    @property
    def silence(self) -> Silence | None:
        """When the worker fell silent; None if the latest call got a reply."""
        missed_at = self._contact.unresponsive_since
        if missed_at is None:
            return None
        return Silence(self._contact.last_contact_at, missed_at)

    @property
    def has_fresh_runs(self) -> bool:
        """Whether the start of a run may be what ended the worker."""
        return any(run.is_fresh for run in self.list_runs())

    def list_runs(self) -> list[PresentRun]:
        """Return the recorded runs that the worker has, or may have, started."""
        return [
            PresentRun(key, self._measure_work(key), self._has_started(key))
            for key in self._list_recorded()
            if self._ledger.starts.get(key) is not StartState.QUEUED
        ]

    def is_proven(self, key: RunKey) -> bool:
        """Return whether the worker is known to have worked with a run for a while.

        A run whose order is not sent yet is not proven.
        """
        worked = self._measure_work(key)
        return worked is not None and worked >= PROOF_TIME

    def count_unproven(self) -> int:
        """Return the number of recorded runs that are not proven."""
        return sum(not self.is_proven(key) for key in self._list_recorded())

    def _list_recorded(self) -> list[RunKey]:
        worker = self._host.find_worker(self._contact.worker)
        runs = {} if worker is None else worker.runs
        return [RunKey(task, run) for task, run in runs.items()]

    def _has_started(self, key: RunKey) -> bool:
        """Return whether the worker has answered the start of a run, or listed it."""
        is_known = self._ledger.find_presence(key) is not None
        return is_known and not self._ledger.is_unsettled(key)

    def _measure_work(self, key: RunKey) -> timedelta | None:
        """Return for how long the worker is known to have worked with a run."""
        since = self._ledger.find_presence(key)
        if since is None:
            return None
        if self._ledger.is_unsettled(key):  # it may have started at any time
            return timedelta()
        return max(self._contact.last_contact_at - since, timedelta())
