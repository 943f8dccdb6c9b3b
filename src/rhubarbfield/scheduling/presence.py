"""Since when a worker has had its runs, and for how long it is known to have worked."""

from __future__ import annotations

from collections.abc import Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.crashes import CrashedRun, CrashEvidence
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.orders import StartState
from rhubarbfield.scheduling.ports import ListedEnd
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.silences import Silence
from rhubarbfield.scheduling.state import RunEnd

# A worker that has worked with a run for so long was not crashed by its start.
PROOF_TIME = timedelta(milliseconds=300)


class PresentRun(msgspec.Struct, frozen=True):
    """A run of which the start may have crashed the worker if it has crashed.

    Attributes
    ----------
    key
        The run.
    worked
        For how long the worker is known to have worked since it started the run;
        zero if it may just have started it, None if an earlier leader started it and
        nothing was heard of it since.
    is_certain
        Whether the worker has certainly started it, and not been told to stop it.
    has_ended
        Whether its end is recorded: it was stopped, or failed, right after its start.
    """

    key: RunKey
    worked: timedelta | None
    is_certain: bool = True
    has_ended: bool = False

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
        """Return the runs of which one may have crashed the worker if it has crashed.

        They are the recorded ones that it has, or may have, started, and the brief
        ones, which ended right after their start. Each task is listed once.
        """
        runs = {
            key.task: PresentRun(key, self._measure_work(key), self._has_started(key))
            for key in self._list_recorded()
            if self._ledger.starts.get(key) is not StartState.QUEUED
        }
        for key in self._list_brief():
            worked = self._measure_work(key)
            ended = PresentRun(key, worked, is_certain=False, has_ended=True)
            runs.setdefault(key.task, ended)
        return list(runs.values())

    def select_brief(self, ends: Iterable[ListedEnd]) -> tuple[CrashedRun, ...]:
        """Return the ended runs whose start may crash the worker yet.

        Those of tasks that can't start again are left out.

        Parameters
        ----------
        ends
            Ends of recorded runs that a view lists.
        """
        keys = (RunKey(end.task, end.run) for end in ends if self._may_recur(end))
        return tuple(
            CrashedRun(key.task, key.run, CrashEvidence.EARLIER, is_certain=False)
            for key in keys
            if not self.is_proven(key)
        )

    def list_proven(self) -> tuple[CrashedRun, ...]:
        """Return the recorded brief runs with which the worker has worked on."""
        return tuple(
            each
            for each in self._get_brief()
            if self._is_outlived(RunKey(each.task, each.run))
        )

    def is_proven(self, key: RunKey) -> bool:
        """Return whether the worker is known to have worked with a run for a while.

        A run whose order is not sent yet is not proven.
        """
        worked = self._measure_work(key)
        return worked is not None and worked >= PROOF_TIME

    def find_start(self, key: RunKey) -> timedelta | None:
        """Return when a run started, or was first listed; None if it is not known."""
        return self._ledger.find_presence(key)

    def count_unproven(self) -> int:
        """Return the number of runs, recorded or brief, that are not proven."""
        unproven = sum(not self.is_proven(key) for key in self._list_recorded())
        return unproven + len(self._list_brief())

    def _list_recorded(self) -> list[RunKey]:
        worker = self._host.find_worker(self._contact.worker)
        runs = {} if worker is None else worker.runs
        return [RunKey(task, run) for task, run in runs.items()]

    def _get_brief(self) -> list[CrashedRun]:
        worker = self._host.find_worker(self._contact.worker)
        return [] if worker is None else worker.brief

    def _list_brief(self) -> list[RunKey]:
        """Return the latest brief run of each task that the worker has not outlived."""
        recorded = (RunKey(each.task, each.run) for each in self._get_brief())
        latest = {key.task: key for key in (*recorded, *self._ledger.brief)}
        return [key for key in latest.values() if not self._is_outlived(key)]

    def _is_outlived(self, key: RunKey) -> bool:
        """Return whether the worker has worked for a while since a brief run."""
        worked = self._measure_work(key)
        if worked is None:  # an earlier leader recorded its end
            worked = self._contact.worked
        return worked >= PROOF_TIME

    def _may_recur(self, end: ListedEnd) -> bool:
        if end.end is RunEnd.DONE and not self._host.is_standing(end.task):
            return False
        return self._host.is_wanted(end.task)

    def _has_started(self, key: RunKey) -> bool:
        """Return whether the worker has answered the start of a run, or listed it.

        Not for a run that may have ended there since.
        """
        if self._ledger.is_unsettled(key) or self._ledger.may_have_ended(key):
            return False
        return self._ledger.find_presence(key) is not None

    def _measure_work(self, key: RunKey) -> timedelta | None:
        """Return for how long the worker is known to have worked with a run."""
        since = self._ledger.find_presence(key)
        if since is None:
            return None
        if self._ledger.is_unsettled(key):  # it may have started at any time
            return timedelta()
        return max(self._contact.last_contact_at - since, timedelta())
