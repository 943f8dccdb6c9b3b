"""Access to the domain's log for the sessions of workers."""

from __future__ import annotations

import copy
from collections.abc import Callable, Mapping

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.orders import OrderFeed, make_start, make_stop
from rhubarbfield.controller.statemachines import DomainLogState
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import Command, Refused, Reply
from rhubarbfield.placement import (
    AddWorker,
    LoseWorker,
    ReportAttempts,
    UpdateWorker,
    WorkerAdded,
)
from rhubarbfield.placement import AttemptReport as CommittedReport
from rhubarbfield.placement import Resources as PlacementResources
from rhubarbfield.protocol import NotLeading as NotLeadingReply
from rhubarbfield.protocol import Unavailable as UnavailableReply
from rhubarbfield.types import (
    AttemptState,
    Epoch,
    FailureDomain,
    InstanceName,
    LogIndex,
    Term,
    WorkerId,
)
from rhubarbfield.workers import (
    Admitted,
    AttemptReport,
    CommittedOrder,
    LiveAttempt,
    NotLeading,
    SessionEnded,
    Unavailable,
    WorkerHello,
    WorkerRefused,
)

# States from workers' reports that are committed as another state.
COMMITTED_STATES = {
    AttemptState.LOST: AttemptState.EVICTED,
    AttemptState.CANCELLED: AttemptState.EVICTED,
}


class DomainWorkLog:
    """Translates workers' sessions into commands of placement.

    Parameters
    ----------
    log
        The domain's log.
    feed
        Orders to workers, in the order of their commitment.
    domain
        The failure domain; workers of another one are refused.
    clock
        Source of time.
    find_workers_address
        Returns ``host:port`` of an instance's port for workers, or an empty
        string if the instance is unknown or serves another domain.
    """

    def __init__(
        self,
        log: ReplicatedLog[DomainLogState],
        feed: OrderFeed,
        domain: FailureDomain,
        clock: Clock,
        find_workers_address: Callable[[InstanceName | None], str],
    ) -> None:
        self._log = log
        self._feed = feed
        self._domain = domain
        self._clock = clock
        self._find_address = find_workers_address
        self._sessions: dict[WorkerId, Epoch] = {}
        self._admissions: dict[WorkerId, trio.Lock] = {}
        log.machine.watch(self._record_admission)

    def in_term(self, term: Term) -> DomainWorkLog:
        """Return this access for the sessions of one term; see ``ReplicatedLog``."""
        work_log = copy.copy(self)
        work_log._log = self._log.in_term(term)
        return work_log

    def _record_admission(
        self, index: LogIndex, command: Command, reply: Reply
    ) -> None:
        # Every hello is committed, so the log position of the latest one is an
        # epoch above all earlier ones, including those before a snapshot.
        if isinstance(command, AddWorker) and isinstance(reply, WorkerAdded):
            self._sessions[command.worker] = Epoch(index)

    def _find_session(self, worker: WorkerId) -> Epoch:
        return self._sessions.get(worker, Epoch(0))

    def leads(self) -> bool:
        """Return whether no other controller can lead at this moment."""
        return self._log.leads()

    def sessions(self) -> Mapping[WorkerId, Epoch]:
        """Return the open session of each worker in the log."""
        workers = self._log.state.work.workers.values()
        return {
            worker.worker: self._find_session(worker.worker)
            for worker in workers
            if worker.present
        }

    async def admit(
        self, hello: WorkerHello
    ) -> Result[Admitted, NotLeading | Unavailable | WorkerRefused]:
        """Commit a new session with the worker's description of itself."""
        if hello.domain != self._domain:
            return Failure(WorkerRefused(reason=f"this is domain {self._domain}"))
        # If two hellos of a worker were committed concurrently, both would read
        # the position of the later one as their session.
        async with self._admissions.setdefault(hello.worker, trio.Lock()):
            return await self._admit(hello)

    async def _admit(
        self, hello: WorkerHello
    ) -> Result[Admitted, NotLeading | Unavailable | WorkerRefused]:
        known = self._log.state.work.workers.get(hello.worker)
        same = known is not None and known.incarnation == hello.incarnation
        if known is not None and known.present and not same:
            # The previous process may be partitioned and still run its tasks. It
            # counts as lost only after its lease lapsed, whatever the new process
            # reports.
            return Failure(Unavailable())
        added = await self._propose(_make_add(hello, self._clock))
        match added:
            case Success(WorkerAdded(epoch=epoch)):
                await self._update_capacity(hello, epoch)
                return Success(self._describe_live(hello, same))
            case Success(Refused(reason=reason)):
                return Failure(WorkerRefused(reason=reason))
            case Failure(failure):
                return Failure(failure)
        check_invariant(False, "add-worker-answer-known", added)
        raise AssertionError

    async def _update_capacity(self, hello: WorkerHello, epoch: Epoch) -> None:
        capacity = _convert_capacity(hello)
        if self._log.state.work.workers[hello.worker].announced != capacity:
            await self._propose(
                UpdateWorker(
                    at=self._clock.now(),
                    worker=hello.worker,
                    epoch=epoch,
                    capacity=capacity,
                )
            )

    def _describe_live(self, hello: WorkerHello, same: bool) -> Admitted:
        work = self._log.state.work
        live = []
        for task_id in work.workers[hello.worker].live.values():
            start = make_start(work, task_id)
            task = work.tasks[task_id]
            if start is None or task.live is None:
                continue
            stop = make_stop(task)
            stopping = task.live.state is AttemptState.EVICTING
            live.append(
                LiveAttempt(
                    start=start,
                    state=task.live.state,
                    pending=(stop,) if stopping and stop is not None else (),
                )
            )
        return Admitted(
            session=self._find_session(hello.worker),
            position=self._log.position,
            same_incarnation=same,
            live=tuple(live),
        )

    async def report_attempts(
        self, worker: WorkerId, session: Epoch, reports: tuple[AttemptReport, ...]
    ) -> Result[None, NotLeading | Unavailable | SessionEnded]:
        """Commit the worker's reports of attempts; repeated reports have no effect."""
        if not self._is_open(worker, session):
            return Failure(SessionEnded())
        epoch = self._log.state.work.workers[worker].epoch
        committed = tuple(
            CommittedReport(
                attempt=report.attempt,
                worker=worker,
                epoch=epoch,
                state=COMMITTED_STATES.get(report.state, report.state),
                checkpoint=report.checkpoint,
                reason=report.detail,
            )
            for report in reports
        )
        proposed = await self._propose(
            ReportAttempts(at=self._clock.now(), reports=committed)
        )
        return proposed.map(lambda _: None)

    async def lose_worker(
        self, worker: WorkerId, session: Epoch
    ) -> Result[None, NotLeading | Unavailable | SessionEnded]:
        """Commit that this session of a worker has ended."""
        if not self._is_open(worker, session):
            return Failure(SessionEnded())
        proposed = await self._propose(
            LoseWorker(
                at=self._clock.now(),
                worker=worker,
                epoch=self._log.state.work.workers[worker].epoch,
                reason="its lease has lapsed",
                delays_restarts=True,
            )
        )
        return proposed.map(lambda _: None)

    async def wait_orders(
        self, worker: WorkerId, session: Epoch, after: LogIndex
    ) -> Result[tuple[CommittedOrder, ...], NotLeading | Unavailable | SessionEnded]:
        """Wait for orders committed after a position and return them in order."""
        while True:
            if not self._is_open(worker, session):
                return Failure(SessionEnded())
            orders = self._feed.list_after(worker, after)
            if orders is None:
                return Failure(SessionEnded())
            if orders:
                return Success(orders)
            await self._feed.wait(worker)

    def _is_open(self, worker: WorkerId, session: Epoch) -> bool:
        known = self._log.state.work.workers.get(worker)
        present = known is not None and known.present
        return present and self._find_session(worker) == session

    async def _propose(
        self, command: Command
    ) -> Result[Reply, NotLeading | Unavailable]:
        proposed = await self._log.propose(command)
        match proposed:
            case Success(reply):
                return Success(reply)
            case Failure(NotLeadingReply(leader=leader)):
                return Failure(NotLeading(leader=self._find_address(leader)))
            case Failure(UnavailableReply()):
                return Failure(Unavailable())
        raise AssertionError


def _make_add(hello: WorkerHello, clock: Clock) -> AddWorker:
    return AddWorker(
        at=clock.now(),
        worker=hello.worker,
        capacity=_convert_capacity(hello),
        rack=hello.rack,
        domain=hello.domain,
        incarnation=hello.incarnation,
    )


def _convert_capacity(hello: WorkerHello) -> PlacementResources:
    capacity = hello.capacity
    return PlacementResources.of(
        capacity.cores, capacity.memory_mb, capacity.accelerators
    )
