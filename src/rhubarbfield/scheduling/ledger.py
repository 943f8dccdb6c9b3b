"""Ledger of the orders that one worker was given in this term."""

from __future__ import annotations

import logging
from collections.abc import Container, Iterable, Mapping
from datetime import timedelta

from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.commands import EndedRun, WorkerEnds
from rhubarbfield.scheduling.crashes import CrashedRun
from rhubarbfield.scheduling.late_ends import AbandonCause
from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.scheduling.orders import StartState, Stop, StopReason
from rhubarbfield.scheduling.ports import ActiveRun, ListedEnd, WorkerView
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.session")

FULL_SPEED = 100  # percent


class OrderLedger:
    """What one worker was ordered to do, until the ends of the runs are recorded.

    Parameters
    ----------
    worker
        The worker.
    host
        The leader.

    Attributes
    ----------
    starts
        State of the orders to start, by run.
    stops
        Orders to stop, by run.
    doubtful
        Runs that are recorded as lost although an order to start them may still be
        carried out. The worker may take a later lease for theirs, so none is offered
        until it has confirmed that they can't start.
    brief
        Since when runs may have been on the worker that ended soon after that.
    """

    def __init__(self, worker: WorkerId, host: SessionHost) -> None:
        self._worker = worker
        self._host = host
        self._ending: set[RunKey] = set()  # their ends are not committed yet
        self._paces: dict[RunKey, int | None] = {}
        self._known_since: dict[RunKey, timedelta] = {}
        self._is_replaced = False
        self.starts: dict[RunKey, StartState] = {}
        self.stops: dict[RunKey, Stop] = {}
        self.doubtful: set[RunKey] = set()
        self.brief: dict[RunKey, timedelta] = {}

    @property
    def settled(self) -> set[RunKey]:
        """Runs that were ordered here and have started or can't start any more."""
        return {
            key for key, state in self.starts.items() if state is StartState.SETTLED
        }

    @property
    def unanswered(self) -> set[RunKey]:
        """Runs that an order without an answer may still start, recorded or not."""
        return self.doubtful | self._find_unanswered(self.starts)

    def adopt(self, former: OrderLedger) -> list[tuple[RunKey, StopReason]]:
        """Adopt the starts in a former ledger of the worker in this term.

        Those that are queued can't be sent by the former ledger's session any more.

        Returns
        -------
        list[tuple[RunKey, StopReason]]
            Runs that have to be stopped here, since the former orders to start or to
            stop them have no answer.
        """
        former._is_replaced = True
        self.starts = dict(former.starts)
        self._known_since = dict(former._known_since)
        self.doubtful = set(former.doubtful)
        self.brief = dict(former.brief)
        stops = {key: stop.reason for key, stop in former.stops.items()}
        unsettled = [key for key in self.starts if former.is_unsettled(key)]
        return list((dict.fromkeys(unsettled, StopReason.UNANSWERED) | stops).items())

    def may_order(self, key: RunKey) -> bool:
        """Return whether a recorded run may be ordered to start.

        It may not once it is to stop, once a view has shown it to be missing, or once
        another ledger has adopted it.
        """
        is_open = key not in self._ending and key not in self.stops
        return is_open and not self._is_replaced

    def is_ending(self, key: RunKey) -> bool:
        """Return whether the end of a run is about to be recorded."""
        return key in self._ending

    def is_unsettled(self, key: RunKey) -> bool:
        """Return whether a run is recorded and may still start by an order."""
        is_open = self.starts.get(key) in (StartState.QUEUED, StartState.SENT)
        return is_open and not self.has_ended(key)

    def may_have_ended(self, key: RunKey) -> bool:
        """Return whether a run is brief, or an order to stop it may be carried out."""
        stop = self.stops.get(key)
        return key in self.brief or (stop is not None and stop.may_be_done)

    def record_order(self, key: RunKey, now: timedelta) -> None:
        """Record that a run is ordered to start now; it may not have started before."""
        self._known_since[key] = now

    def record_presence(self, key: RunKey, now: timedelta) -> None:
        """Record that a view lists a run, unless it was ordered to start."""
        self._known_since.setdefault(key, now)

    def record_listed_end(self, key: RunKey, now: timedelta) -> None:
        """Record that a view lists the end of a run, which may have just started."""
        if self.is_unsettled(key):
            self._known_since[key] = now
        self._known_since.setdefault(key, now)

    def drop_brief(self, before: timedelta) -> None:
        """Forget the brief runs that were on the worker before a time."""
        if self.brief:
            self.brief = {
                key: since for key, since in self.brief.items() if since > before
            }

    def find_presence(self, key: RunKey) -> timedelta | None:
        """Return since when a run may be on the worker; None if it is not known.

        An order of an earlier leader may have started it, and no view has listed it.
        """
        return self._known_since.get(key, self.brief.get(key))

    def settle(self, key: RunKey) -> None:
        """Record that a run has started or can no longer start."""
        if key in self.starts:
            self.starts[key] = StartState.SETTLED

    def confirm_stop(self, key: RunKey) -> None:
        """Record that the worker has confirmed that a run can no longer start."""
        self.settle(key)
        self.doubtful.discard(key)

    def set_pace(self, key: RunKey, percent: int | None) -> None:
        """Record the pace of a run, in percent of full speed; None if unknown."""
        self._paces[key] = percent

    def get_pace(self, key: RunKey) -> int | None:
        """Return the pace that was ordered for a run, in percent of full speed.

        None if it is unknown: an earlier leader may have set it, or an order got
        no reply.
        """
        if key in self._paces:
            return self._paces[key]
        return FULL_SPEED if key in self.starts else None

    def has_ended(self, key: RunKey) -> bool:
        """Return whether the run is not recorded as live on the worker."""
        worker = self._host.find_worker(self._worker)
        return worker is None or worker.runs.get(key.task) != key.run

    def expects_no_end(self, active: Container[TaskName]) -> bool:
        """Return whether a run that was stopped may never have started.

        A view that lists neither it nor its end shows that; a worker that waits for
        an end before it replies would hold that up.

        Parameters
        ----------
        active
            Tasks of the runs in the latest view.
        """
        return any(
            self.starts.get(key) is StartState.SETTLED and key.task not in active
            for key in self.stops
        )

    def find_missing(
        self,
        view: WorkerView,
        recorded_runs: Mapping[TaskName, RunNumber],
        settled: Container[RunKey],
        active_before: Mapping[TaskName, ActiveRun],
    ) -> list[EndedRun]:
        """Return recorded runs that a view lists neither as active nor as ended.

        Parameters
        ----------
        view
            The view.
        recorded_runs, settled
            Recorded runs and settled orders when the view was requested.
        active_before
            Runs that the view before listed as active. A worker lists the end of each
            of them until it is acknowledged.
        """
        present = {(run.task, run.run) for run in view.active}
        present |= {(end.task, end.run) for end in view.ends}
        missing = []
        for task, run in recorded_runs.items():
            if (task, run) in present:
                continue
            key = RunKey(task, run)
            # The worker rejects orders of earlier leaders once it has seen this term.
            is_certain = key in settled or key not in self.starts
            is_open = not self.is_ending(key) and not self.has_ended(key)
            if is_certain and is_open:
                before = active_before.get(task)
                was_listed = before is not None and before.run == run
                log_event(
                    logger,
                    logging.WARNING if was_listed else logging.INFO,
                    "run-vanished",
                    worker=self._worker,
                    task=task,
                    run=run,
                    listed=was_listed,
                )
                missing.append(EndedRun(task, run, RunEnd.LOST))
        return missing

    def check_numbers(self, ends: Iterable[ListedEnd], recorded_ends: int) -> None:
        """Log a gap between the recorded ends and those that a view lists.

        The worker was told that the ends in the gap are recorded. A worker that has
        registered again counts from 0; in any other case the state lacks them.

        Parameters
        ----------
        ends
            Listed ends that are not recorded.
        recorded_ends
            Number of the last end that is recorded.
        """
        first = min((end.number for end in ends), default=recorded_ends + 1)
        if first <= recorded_ends + 1:
            return
        log_event(
            logger,
            logging.WARNING if recorded_ends else logging.INFO,
            "ends-missing",
            worker=self._worker,
            recorded=recorded_ends,
            first=first,
        )

    async def record_end(self, key: RunKey, end: RunEnd) -> None:
        """Drop a run and record its end; returns once the end is committed."""
        if end is RunEnd.REJECTED:
            self._host.record_abandoned(key, AbandonCause.REFUSED)
        await self.record_ends((EndedRun(key.task, key.run, end),))

    async def record_ends(
        self,
        ends: tuple[EndedRun, ...],
        recorded_ends: int = 0,
        lapsed: tuple[CrashedRun, ...] = (),
        brief: tuple[CrashedRun, ...] = (),
        since: timedelta | None = None,
    ) -> None:
        """Drop ended runs and record their ends; returns once they are committed.

        Parameters
        ----------
        ends
            The ends.
        recorded_ends
            Number of the last of them that the worker listed; 0 for none.
        lapsed
            Runs that are lost with the worker's lease.
        brief
            Those of the ended runs whose start may crash the worker yet.
        since
            When they may have ended, if that is long ago.
        """
        for each in brief:
            key = RunKey(each.task, each.run)
            self.brief[key] = self._known_since[key]
        keys = {RunKey(end.task, end.run) for end in ends}
        self.doubtful |= self._find_unanswered(_list_lost(ends))
        for key in keys:
            self.starts.pop(key, None)
            self.stops.pop(key, None)
            self._paces.pop(key, None)
            self._known_since.pop(key, None)
        self._ending |= keys
        await self._host.record_ends(
            WorkerEnds(self._worker, ends, recorded_ends, lapsed, brief), since
        )
        self._ending -= keys

    def _find_unanswered(self, keys: Iterable[RunKey]) -> set[RunKey]:
        """Return those of some runs whose order to start has no answer."""
        return {key for key in keys if self.starts.get(key) is StartState.SENT}


def _list_lost(ends: Iterable[EndedRun]) -> list[RunKey]:
    return [RunKey(end.task, end.run) for end in ends if end.end is RunEnd.LOST]
