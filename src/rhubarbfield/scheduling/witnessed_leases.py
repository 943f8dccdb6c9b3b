"""Leases of marked workers, counted by the clocks of other workers."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.scheduling.witnesses import (
    MAX_WITNESSES,
    MIN_WITNESSES,
    Witness,
    find_unextended_since,
)
from rhubarbfield.types import Term, WorkerId

logger = logging.getLogger(__name__)

LOGGED_GAIN = timedelta(milliseconds=100)  # later readings tell slightly more


class WitnessedLeases:
    """Chooses witnesses for new marks, and counts leases by those of present marks.

    Parameters
    ----------
    find_worker
        Returns the replicated record of a worker.
    sessions
        The leader's session with each worker.
    clock
        Source of time.
    settings
        Timeouts and limits.
    term
        The leader's term.
    """

    def __init__(
        self,
        find_worker: Callable[[WorkerId], Worker | None],
        sessions: Mapping[WorkerId, WorkerSession],
        *,
        clock: Clock,
        settings: SchedulingSettings,
        term: Term,
    ) -> None:
        self._find_worker = find_worker
        self._sessions = sessions
        self._clock = clock
        self._settings = settings
        self._term = term
        self._prepared: set[WorkerId] = set()
        self._logged: dict[WorkerId, timedelta] = {}  # saved until the latest line
        self._known: dict[WorkerId, tuple[Witness, ...]] = {}
        self._ignored: set[tuple[WorkerId, WorkerId]] = set()

    def remember(self, workers: Iterable[Worker]) -> None:
        """Note the witnesses at the begin of the term, to log which of them end."""
        self._known = {each.worker: each.witnesses for each in workers}

    def prepare(self) -> None:
        """Read clocks of other workers, for the marks that may soon be needed.

        Workers without runs are not called otherwise.
        """
        missed = {name for name, each in self._sessions.items() if each.awaits_mark}
        if missed - self._prepared:
            for witness in self._list_usable()[:MAX_WITNESSES]:
                witness.request_view()
        self._prepared = missed

    def choose(
        self, marked: list[WorkerSession]
    ) -> dict[WorkerId, tuple[Witness, ...]]:
        """Return witnesses for workers that are to be marked.

        Only a reading counts whose call was sent after the lease was extended last.

        Parameters
        ----------
        marked
            Sessions with the workers; their leases are not extended any more.
        """
        usable = self._list_usable() if marked else []
        return {each.worker: self._select(each, usable) for each in marked}

    def list_incomplete(self) -> list[WorkerSession]:
        """Return the marked workers with too few witnesses, for which there are enough.

        When they were marked, views of the others were still in progress.
        """
        incomplete = []
        for name, session in self._sessions.items():
            if not session.is_suspended or session.has_outdated_mark:
                continue
            worker = self._find_worker(name)
            if worker is None or not worker.silent:
                continue
            if len(worker.witnesses) < MIN_WITNESSES:
                incomplete.append(session)
        chosen = self.choose(incomplete)
        return [
            session
            for session in incomplete
            if len(chosen[session.worker]) >= MIN_WITNESSES
        ]

    def count(self) -> None:
        """Count the leases that this leader has not extended, by their witnesses."""
        for name, session in self._sessions.items():
            if not session.is_former_lease:
                continue
            worker = self._find_worker(name)
            if worker is None or not worker.silent:
                continue
            self._note_ended(worker)
            if name not in self._logged:
                self._logged[name] = timedelta()
                self._log(session, session.lease_basis, timedelta())
            since = self._find_since(worker)
            if since is not None:
                self._shorten(session, since)

    def _list_usable(self) -> list[WorkerSession]:
        """Return the workers that may be witnesses, of different domains first."""
        of_zones: Counter[str] = Counter()
        of_racks: Counter[tuple[object, ...]] = Counter()
        ranks = []
        for session in self._sessions.values():
            worker = self._find_worker(session.worker)
            if worker is None or not session.is_witness:
                continue
            rack = (worker.zone, worker.labels)
            ranks.append((of_racks[rack], of_zones[worker.zone], session))
            of_racks[rack] += 1
            of_zones[worker.zone] += 1
        ranks.sort(key=lambda rank: rank[:2])
        return [session for _, _, session in ranks]

    def _select(
        self, marked: WorkerSession, usable: list[WorkerSession]
    ) -> tuple[Witness, ...]:
        found = []
        for session in usable:
            reading = session.reading
            if reading is None or session is marked:
                continue
            age = reading.sent_at - marked.unextended_since
            if age >= timedelta():
                found.append(Witness(session.worker, reading.clock, age))
            if len(found) == MAX_WITNESSES:
                break
        return tuple(found)

    def _find_since(self, worker: Worker) -> timedelta | None:
        readings = {}
        for witness in worker.witnesses:
            session = self._sessions.get(witness.worker)
            if session is None or not session.is_witness or session.reading is None:
                continue
            readings[witness.worker] = session.reading
            if not session.reading.follows(witness):
                self._log_ignored(worker, witness, "it runs backwards")
        return find_unextended_since(
            worker.witnesses, readings, self._settings.clock_drift
        )

    def _note_ended(self, worker: Worker) -> None:
        """Log the witnesses that were dropped with their workers."""
        for witness in self._known.get(worker.worker, ()):
            if self._find_worker(witness.worker) is None:
                self._log_ignored(worker, witness, "its life has ended")
        self._known[worker.worker] = worker.witnesses

    def _shorten(self, session: WorkerSession, since: timedelta) -> None:
        saved = session.shorten_lease(since)
        if saved - self._logged[session.worker] >= LOGGED_GAIN:
            self._logged[session.worker] = saved
            self._log(session, "witnesses", saved)

    def _log(self, session: WorkerSession, basis: str, saved: timedelta) -> None:
        log_event(
            logger,
            logging.INFO,
            "lease-counted",
            worker=session.worker,
            term=self._term,
            basis=basis,
            unextended=self._clock.monotonic() - session.unextended_since,
            saved=saved,
        )

    def _log_ignored(self, worker: Worker, witness: Witness, reason: str) -> None:
        key = (worker.worker, witness.worker)
        if key in self._ignored:
            return
        self._ignored.add(key)
        log_event(
            logger,
            logging.WARNING,
            "witness-ignored",
            worker=worker.worker,
            witness=witness.worker,
            reason=reason,
        )
