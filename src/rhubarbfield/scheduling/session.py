"""Session of the leader with one worker: orders, views and the lease."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.commands import EndedRun
from rhubarbfield.scheduling.contact import RECENT_REPLY, WorkerContact
from rhubarbfield.scheduling.dispatch import OrderDispatcher
from rhubarbfield.scheduling.late_ends import AbandonCause
from rhubarbfield.scheduling.ledger import OrderLedger
from rhubarbfield.scheduling.metrics import LEASES_LAPSED
from rhubarbfield.scheduling.model import (
    NO_CHECKPOINT,
    RunNumber,
    TaskName,
)
from rhubarbfield.scheduling.orders import Start, StopReason
from rhubarbfield.scheduling.ports import (
    ActiveRun,
    ListedEnd,
    OtherLife,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerView,
)
from rhubarbfield.scheduling.presence import PROOF_TIME, RunPresence
from rhubarbfield.scheduling.progress import Progress, RunKey
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.state import RunEnd, Worker
from rhubarbfield.scheduling.stops import RETRY_DELAY
from rhubarbfield.scheduling.witnesses import ClockReading
from rhubarbfield.types import WorkerId

logger = logging.getLogger(__name__)

MARK_DELAY = timedelta(milliseconds=500)  # most silences are shorter


class WorkerSession:
    """Sends orders to one worker and polls its state while the leader leads.

    Parameters
    ----------
    address
        Id and address of the worker.
    host
        The leader.
    calls
        Client for calls to workers.
    clock
        Source of time.
    settings
        Timeouts and limits.
    marked_at
        Monotonic time since which the worker is marked as silent; None if it isn't.
    former_until
        Monotonic time by which all earlier leaders had ended, if known, and if this
        one has not extended the lease.

    Attributes
    ----------
    active
        Runs on the worker, from the latest view.
    presence
        Since when the worker has had its recorded runs.
    """

    def __init__(
        self,
        address: WorkerAddress,
        *,
        host: SessionHost,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
        marked_at: timedelta | None = None,
        former_until: timedelta | None = None,
    ) -> None:
        self._host = host
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._ledger = OrderLedger(address.worker, host)
        self._contact = WorkerContact(
            address,
            self._ledger,
            clock=clock,
            settings=settings,
            marked_at=marked_at,
            former_until=former_until,
        )
        self.presence = RunPresence(self._contact, self._ledger, host)
        self._orders = OrderDispatcher(
            self._contact,
            self._ledger,
            host=host,
            calls=calls,
            clock=clock,
            settings=settings,
            request_view=self.request_view,
            remove_worker=self._remove_worker,
        )
        self._view_requested = trio.Event()
        self._silence_noticed = trio.Event()
        self._lease_shortened = trio.Event()
        self._view_answered = trio.Event()  # the latest request
        self._view_answered.set()
        self._acknowledged_ends = 0
        self._viewed_at: timedelta | None = None
        self._progress = Progress()
        self.active: dict[TaskName, ActiveRun] = {}

    @property
    def address(self) -> WorkerAddress:
        """Id and address of the worker."""
        return self._contact.address

    @property
    def worker(self) -> WorkerId:
        """Id of the worker."""
        return self._contact.worker

    def is_usable_at(self, now: timedelta) -> bool:
        """Return whether new runs may be started on the worker at this time."""
        return self._contact.is_usable_at(now)

    @property
    def is_leaving(self) -> bool:
        """Whether the worker drains or has announced its exit."""
        worker = self._host.find_worker(self.worker)
        is_draining = worker is not None and worker.draining
        return is_draining or self._contact.exit_announced_at is not None

    @property
    def view_age(self) -> timedelta | None:
        """Age of the latest view of the worker; None before the first."""
        if self._viewed_at is None:
            return None
        return self._clock.monotonic() - self._viewed_at

    @property
    def report_age(self) -> timedelta | None:
        """Age of the worker's latest report; None before the first in this term."""
        reported_at = self._contact.reported_at
        return None if reported_at is None else self._clock.monotonic() - reported_at

    @property
    def last_contact_at(self) -> timedelta:
        """Monotonic time of the last report or reply of the worker."""
        return self._contact.last_contact_at

    def handle_report(
        self, worker_clock: timedelta | None, age: timedelta = timedelta()
    ) -> None:
        """Record that the worker reported itself; the report may be late.

        Parameters
        ----------
        worker_clock
            The worker's clock in the report, if it has one.
        age
            Time since the report was received.
        """
        self._contact.handle_report(worker_clock, age)
        if not self._contact.is_responsive or self._contact.is_lease_withheld:
            self.request_view()

    def handle_exit_announcement(self) -> None:
        """Record that the worker announced its exit."""
        self._contact.handle_exit_announcement()
        self.request_view()

    def start(self, start: Start) -> bool:
        """Queue an order to start a run that is recorded; return whether it was.

        A run that is stopping, or that a view has shown to be missing, is not
        started.
        """
        return self._orders.start(start)

    def stop(self, key: RunKey, reason: StopReason) -> None:
        """Order a run to stop, unless that was ordered before.

        The order does not wait for others. It is repeated until the worker confirms
        it; a start that is still queued is not sent.
        """
        self._orders.stop(key, reason)

    def take_over(self, former: WorkerSession) -> None:
        """Settle the orders of a former session with the worker in this term.

        Starts without an answer may still be carried out, so their runs are stopped
        before they can count as missing.
        """
        self._contact.is_suspended |= former._contact.is_suspended
        for key, reason in self._ledger.adopt(former._ledger):
            self.stop(key, reason)

    @property
    def unanswered(self) -> set[RunKey]:
        """Runs that an order without an answer may still start, recorded or not."""
        return self._ledger.unanswered

    def doubt(self, keys: Iterable[RunKey]) -> None:
        """Offer no lease until the worker has confirmed that lost runs can't start."""
        self._ledger.doubtful.update(keys)

    @property
    def awaits_mark(self) -> bool:
        """Whether the worker is silent without being marked."""
        return not (self._contact.is_responsive or self._contact.is_suspended)

    @property
    def needs_mark(self) -> bool:
        """Whether the worker has been silent for a while without being marked."""
        since = self._contact.unresponsive_since
        if since is None or not self.awaits_mark:
            return False
        return self._clock.monotonic() - since >= MARK_DELAY

    @property
    def has_outdated_mark(self) -> bool:
        """Whether the worker is marked as silent although it replied."""
        return self._contact.is_suspended and self._contact.has_replied

    @property
    def is_witness(self) -> bool:
        """Whether the worker replies without a mark, so that its clock may count."""
        return self._contact.has_replied and not self._contact.is_suspended

    @property
    def reading(self) -> ClockReading | None:
        """The worker's clock in the latest view of this term, or None."""
        return self._contact.reading

    @property
    def is_former_lease(self) -> bool:
        """Whether the lease is not extended, and was not in this session."""
        return self._contact.is_suspended and self._contact.lease.is_former

    @property
    def lease_basis(self) -> str:
        """What the lease counts from, unless witnesses tell of an earlier time."""
        return self._contact.lease_basis

    @property
    def unextended_since(self) -> timedelta:
        """Monotonic time since which no leader has extended the lease."""
        return self._contact.lease.unextended_since

    def shorten_lease(self, since: timedelta) -> timedelta:
        """Let a lease that is not extended count from an earlier time.

        Returns by how much earlier it counts as lapsed than without this.
        """
        lease = self._contact.lease
        before = lease.lapses_at
        lease.shorten(since)
        if lease.lapses_at < before:
            self._lease_shortened.set()
        return lease.saved

    @property
    def is_suspended(self) -> bool:
        """Whether the lease is not extended, for a mark that is set or about to be."""
        return self._contact.is_suspended

    def suspend_lease(self) -> None:
        """Stop extending the lease, since the worker is to be marked as silent."""
        self._contact.is_suspended = True

    def resume_lease(self) -> None:
        """Extend the lease again, since the mark is certainly removed."""
        self._contact.is_suspended = False
        self.request_view()

    def is_stopping(self, key: RunKey) -> bool:
        """Return whether the run was ordered to stop."""
        return key in self._ledger.stops

    def pace(self, key: RunKey, percent: int) -> None:
        """Queue an order to let a run work at ``percent`` of its full speed."""
        if self._orders.pace(key, percent):
            self._progress.reset(key, self.view_age or timedelta())

    def get_pace(self, key: RunKey) -> int | None:
        """Return the pace that was ordered for a run, in percent of full speed.

        None if it is unknown: an earlier leader may have set it, or an order got
        no reply.
        """
        return self._ledger.get_pace(key)

    def list_stalled(self, limit: timedelta) -> list[RunKey]:
        """Return runs without progress for ``limit``, unless paused or stopping."""
        return [
            key
            for key in self._progress.list_stalled(limit)
            if self.get_pace(key) != 0 and not self.is_stopping(key)
        ]

    def has_run(self, key: RunKey) -> bool:
        """Return whether the latest view lists a run as active."""
        run = self.active.get(key.task)
        return run is not None and run.run == key.run

    def has_advanced(self, key: RunKey) -> bool:
        """Return whether views have shown that a finite run makes progress."""
        return self._progress.has_advanced(key)

    def list_unrecorded(self) -> list[TaskName]:
        """Return the tasks of runs in the latest view that are not recorded here."""
        worker = self._host.find_worker(self.worker)
        runs = {} if worker is None else worker.runs
        return [run.task for run in self.active.values() if run.task not in runs]

    def request_view(self) -> None:
        """Request a view of the worker now."""
        self._view_requested.set()

    async def wait_for_view(self) -> None:
        """Return once no view is under way; the ends in it are passed on by then."""
        await self._view_answered.wait()

    async def run(self) -> None:
        """Send orders and poll the worker until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._orders.run)
            nursery.start_soon(self._poll_views)
            nursery.start_soon(self._await_lapses)

    async def _poll_views(self) -> None:
        while True:
            if not self._needs_view():
                self._view_requested = trio.Event()
                await self._view_requested.wait()
            views = self._host.views
            if views.is_closed or (
                views.is_closing and not self._contact.is_responsive
            ):
                return
            with views.track():
                await self._view_once()
            await self._clock.sleep(self._settings.view_interval)

    def _needs_view(self) -> bool:
        worker = self._host.find_worker(self.worker)
        if worker is None:
            return False
        if self._contact.exit_announced_at is not None or self._contact.is_untried:
            return True
        return bool(worker.runs) or worker.recorded_ends > self._acknowledged_ends

    async def _view_once(self) -> None:
        worker = self._host.find_worker(self.worker)
        now = self._clock.monotonic()
        term = self._host.get_term()
        if worker is None or term is None:
            return
        recorded_runs = dict(worker.runs)
        recorded_ends = worker.recorded_ends
        settled = self._ledger.settled
        contact = self._contact
        request = ViewRequest(
            recorded_ends=recorded_ends,
            lease_end=contact.offer_lease(now),
            wait_timeout=self._choose_wait_timeout(),
            term=term,
        )
        self._view_answered = trio.Event()
        try:
            result = await self._calls.view(contact.address, request)
        finally:
            self._view_answered.set()
        match result:
            case Success(view):
                was_silent = not contact.is_responsive
                contact.handle_view(view.clock, now)
                self._acknowledged_ends = recorded_ends
                await self._apply_view(
                    view, recorded_runs, settled, was_silent=was_silent
                )
            case Failure(OtherLife()):
                await self._remove_worker()
            case Failure(failure):
                contact.log_failure("view-failed", None, failure)
                contact.handle_no_reply()
                self._silence_noticed.set()
                await self._clock.sleep(RETRY_DELAY)

    def _choose_wait_timeout(self) -> timedelta:
        contact = self._contact
        is_awaited = contact.may_extend_lease and contact.has_replied_lately
        if not is_awaited or self._ledger.expects_no_end(self.active):
            return timedelta()
        worker = self._host.find_worker(self.worker)
        wait = self._settings.view_timeout
        if worker is not None:
            wait = self._host.choose_view_timeout(worker)
        return self._host.views.limit_wait(wait)

    async def _apply_view(
        self,
        view: WorkerView,
        recorded_runs: dict[TaskName, RunNumber],
        settled: set[RunKey],
        *,
        was_silent: bool = False,
    ) -> None:
        active_before = self.active
        self.active = {run.task: run for run in view.active}
        viewed_before, self._viewed_at = self._viewed_at, self._clock.monotonic()
        worker = self._host.find_worker(self.worker)
        self._progress.update(self._select_finite(view, worker), view.clock)
        if worker is None:
            return
        for run in view.active:
            if worker.runs.get(run.task) == run.run:
                self._ledger.record_presence(RunKey(run.task, run.run), self._viewed_at)
        listed = [end for end in view.ends if end.number > worker.recorded_ends]
        self._ledger.check_numbers(listed, worker.recorded_ends)
        recorded = [end for end in listed if worker.runs.get(end.task) == end.run]
        since = self._find_late_time(recorded, viewed_before, was_silent=was_silent)
        for end in recorded:
            self._ledger.record_listed_end(RunKey(end.task, end.run), self._viewed_at)
        brief = self.presence.select_brief(recorded) if recorded else ()
        self._ledger.drop_brief(self._contact.last_contact_at - PROOF_TIME)
        ends = [_convert_end(end) for end in listed]
        if not view.truncated:
            missing = self._ledger.find_missing(
                view, recorded_runs, settled, active_before
            )
            for lost in missing:
                key = RunKey(lost.task, lost.run)
                self._host.record_abandoned(key, AbandonCause.VANISHED)
            ends.extend(missing)
        self._stop_doubtful()
        self._stop_unrecorded(view, worker)
        self._host.handle_view(self.worker)
        if ends:
            last = max((end.number for end in listed), default=0)
            await self._ledger.record_ends(tuple(ends), last, brief=brief, since=since)

    def _find_late_time(
        self,
        ends: Iterable[ListedEnd],
        viewed_before: timedelta | None,
        *,
        was_silent: bool,
    ) -> timedelta | None:
        """Return when runs may have ended, if that is long before their view."""
        now = self._clock.monotonic()
        unknown = self._contact.created_at
        known = viewed_before or unknown
        starts = [self._ledger.find_presence(RunKey(end.task, end.run)) for end in ends]
        times = [max(start or unknown, known) for start in starts]
        is_first = viewed_before is None and None in starts
        since = min(times, default=now)
        is_late = is_first or was_silent or now - since > RECENT_REPLY
        return since if is_late else None

    def _select_finite(
        self, view: WorkerView, worker: Worker | None
    ) -> list[ActiveRun]:
        """Return the runs in a view whose tasks end by themselves."""
        steps = {} if worker is None else self._host.find_steps(worker)
        finite = []
        for run in view.active:
            step = steps.get(run.task)
            if step is None:
                is_standing = self._host.is_standing(run.task)
            else:
                is_standing = step.standing
            if not is_standing:
                finite.append(run)
        return finite

    def _stop_unrecorded(self, view: WorkerView, worker: Worker) -> None:
        """Stop runs on the worker that are not recorded."""
        for run in view.active:
            if worker.runs.get(run.task) == run.run:
                continue
            key = RunKey(run.task, run.run)
            if key not in self._ledger.starts:
                self.stop(key, StopReason.UNRECORDED)

    def _stop_doubtful(self) -> None:
        """Stop lost runs that an order without an answer may still start."""
        for key in sorted(self._ledger.doubtful, key=msgspec.structs.astuple):
            if not self._ledger.is_ending(key):
                self.stop(key, StopReason.UNANSWERED)

    async def _remove_worker(self) -> None:
        saved = self._host.list_checkpoints(self.worker)
        await self._host.remove_worker(self.worker, saved)

    async def _await_lapses(self) -> None:
        """Handle the lapse of the lease when it is due, whatever calls wait for."""
        while True:
            await self._silence_noticed.wait()
            self._silence_noticed = trio.Event()
            while not self._contact.is_responsive:
                left = self._contact.lease.lapses_at - self._clock.monotonic()
                if left <= timedelta():
                    await self._check_lapse()
                    break
                self._lease_shortened = trio.Event()
                with trio.move_on_after(left.total_seconds()):
                    await self._lease_shortened.wait()

    async def _check_lapse(self) -> None:
        """Record runs as lost once their lease has certainly lapsed.

        A worker that announced its exit is then removed. The announcement alone proves
        nothing: it may work on for a while, cut off from the leader.
        """
        if self._clock.monotonic() < self._contact.lease.lapses_at:
            return
        if self._contact.exit_announced_at is not None:
            await self._remove_worker()
            return
        worker = self._host.find_worker(self.worker)
        if worker is None or not worker.runs:
            return
        LEASES_LAPSED.inc()
        lease = self._contact.lease
        basis = self.lease_basis if lease.is_former else "extended"
        log_event(
            logger,
            logging.WARNING,
            "lease-lapsed",
            worker=self.worker,
            runs=len(worker.runs),
            silent=self._clock.monotonic() - self.last_contact_at,
            basis=basis,
            unextended=self._clock.monotonic() - lease.unextended_since,
            saved=lease.saved,
        )
        lease.record_lapse()
        for task, run in worker.runs.items():
            key = RunKey(task, run)
            self._host.record_abandoned(key, AbandonCause.LAPSED, basis)
        saved = self._host.list_checkpoints(self.worker)
        lapsed = tuple(
            each
            for each in self._host.assess_runs(self)
            if worker.runs.get(each.task) == each.run
        )
        ends = tuple(
            EndedRun(task, run, RunEnd.LOST, saved.get(task, NO_CHECKPOINT))
            for task, run in worker.runs.items()
        )
        await self._ledger.record_ends(ends, lapsed=lapsed)


def _convert_end(end: ListedEnd) -> EndedRun:
    return EndedRun(end.task, end.run, end.end, end.checkpoint)
