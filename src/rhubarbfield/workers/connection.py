"""One worker's session on one connection."""

from __future__ import annotations

import logging
from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TypeVar

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.leases import Lease, LeaseTable
from rhubarbfield.types import Epoch, LogIndex, WorkerId
from rhubarbfield.workers.bounds import (
    MAX_ATTEMPTS,
)
from rhubarbfield.workers.messages import (
    AttemptReport,
    RenewLease,
    UsageReport,
    WorkerHello,
)
from rhubarbfield.workers.orders import (
    CommittedReport,
    GoToLeader,
    LeaseGranted,
    Order,
    ReportsCommitted,
    SessionOpened,
)
from rhubarbfield.workers.ports import (
    Admitted,
    NotLeading,
    ObservationSink,
    Unavailable,
    WorkLog,
    WorkLogFailure,
)
from rhubarbfield.workers.reconciliation import reconcile
from rhubarbfield.workers.settings import WorkerSessionSettings
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    Malformed,
    ReceiveTimeout,
    StreamEnded,
    TimedStream,
)

logger = logging.getLogger(__name__)

AnswerT = TypeVar("AnswerT")


class WorkerConnection:
    """A worker's session, from its committed start to the end of its connection.

    Parameters
    ----------
    stream
        The connection.
    hello
        The message with which the worker opened the session.
    admitted
        The committed session, as the log returned it.
    settings, clock, log, leases, observations
        As in :class:`~rhubarbfield.workers.WorkerSessions`.
    """

    def __init__(
        self,
        stream: TimedStream,
        hello: WorkerHello,
        admitted: Admitted,
        *,
        settings: WorkerSessionSettings,
        clock: Clock,
        log: WorkLog,
        leases: LeaseTable[WorkerId],
        observations: ObservationSink,
    ) -> None:
        self._stream = stream
        self._hello = hello
        self._admitted = admitted
        self._settings = settings
        self._clock = clock
        self._log = log
        self._leases = leases
        self._observations = observations
        self._worker = hello.worker
        self._scope = trio.CancelScope()
        self._reports: deque[AttemptReport] = deque()
        self._reports_queued = trio.Event()

    @property
    def session(self) -> Epoch:
        """The epoch of the session."""
        return self._admitted.session

    def cancel(self) -> None:
        """End the session, because the worker has opened a newer one."""
        self._scope.cancel()

    async def run(self) -> None:
        """Open the session and serve it until its connection ends."""
        with self._scope:
            if not await self._open():
                return
            async with trio.open_nursery() as nursery:
                for part in (self._receive, self._send_orders, self._commit_reports):
                    nursery.start_soon(self._run_part, part)

    async def _run_part(self, part: Callable[[], Awaitable[None]]) -> None:
        await part()
        self._scope.cancel()

    async def _open(self) -> bool:
        reconciliation = reconcile(self._hello, self._admitted)
        for report in reconciliation.lost:
            self._queue_report(report)
        granted = self._leases.grant(
            self._worker,
            epoch=self.session,
            number=self._hello.number,
            at=self._clock.monotonic(),
        )
        if not isinstance(granted, Success):
            return False
        lease = granted.unwrap()
        usage_interval = self._settings.choose_usage_interval(len(self._leases))
        opened = SessionOpened(
            epoch=self.session,
            renew_seconds=self._settings.renew_interval.total_seconds(),
            usage_seconds=usage_interval.total_seconds(),
            keep=reconciliation.keep,
        )
        orders = [self._add_session(order) for order in reconciliation.resend]
        for message in (opened, _make_lease_granted(lease), *orders):
            if not await self._stream.send(message):
                return False
        return True

    def _add_session(self, order: Order) -> Order:
        return msgspec.structs.replace(order, session=self.session)

    async def _receive(self) -> None:
        while True:
            message = await self._stream.receive()
            match message:
                case RenewLease():
                    if not await self._renew(message):
                        return
                case UsageReport():
                    self._observations.observe(self._worker, self.session, message)
                case AttemptReport():
                    if not self._queue_report(message):
                        await self._refuse("too many reports are waiting")
                        return
                case StreamEnded() | ReceiveTimeout():
                    return
                case Malformed(reason=reason):
                    await self._refuse(reason)
                    return
                case _:
                    await self._refuse("worker-hello is only the first message")
                    return

    async def _renew(self, request: RenewLease) -> bool:
        # The worker counts its lease from when it sent the request, before this
        # check, so leadership that is valid now covers the whole lease, however
        # late the answer arrives.
        if not self._log.leads():
            await self._stream.send(GoToLeader())
            return False
        renewed = self._leases.renew(
            self._worker,
            epoch=request.epoch,
            number=request.number,
            at=self._clock.monotonic(),
        )
        match renewed:
            case Success(lease):
                check_invariant(
                    lease.epoch == self.session,
                    "lease-of-own-session",
                    (self._worker, lease.epoch, self.session),
                )
                return await self._stream.send(_make_lease_granted(lease))
        return False

    def _queue_report(self, report: AttemptReport) -> bool:
        if len(self._reports) >= MAX_ATTEMPTS * 2:
            return False
        self._reports.append(report)
        self._reports_queued.set()
        return True

    async def _commit_reports(self) -> None:
        while True:
            await self._reports_queued.wait()
            self._reports_queued = trio.Event()
            batch = tuple(self._reports)
            self._reports.clear()
            committed = await self._retry(
                partial(self._log.report_attempts, self._worker, self.session, batch)
            )
            if not isinstance(committed, Success):
                return
            committed_reports = tuple(
                CommittedReport(attempt=report.attempt, state=report.state)
                for report in batch
            )
            if not await self._stream.send(ReportsCommitted(reports=committed_reports)):
                return

    async def _send_orders(self) -> None:
        position: LogIndex = self._admitted.position
        while True:
            orders = await self._retry(
                partial(self._log.wait_orders, self._worker, self.session, position)
            )
            if not isinstance(orders, Success):
                return
            for committed in orders.unwrap():
                check_invariant(
                    committed.position >= position,
                    "orders-in-committed-order",
                    (self._worker, committed.position, position),
                )
                position = committed.position
                if not await self._stream.send(self._add_session(committed.order)):
                    return

    async def _retry(
        self, call: Callable[[], Awaitable[Result[AnswerT, WorkLogFailure]]]
    ) -> Result[AnswerT, WorkLogFailure]:
        while True:
            result = await call()
            match result:
                case Failure(Unavailable()):
                    await self._clock.sleep(self._settings.retry_delay)
                case Failure(NotLeading(leader=leader)):
                    await self._stream.send(GoToLeader(address=leader))
                    return result
                case _:
                    return result

    async def _refuse(self, reason: str) -> None:
        logger.warning("worker-refused worker=%s reason=%s", self._worker, reason)
        await self._stream.send(ConnectionRefused(reason=reason))


def _make_lease_granted(lease: Lease) -> LeaseGranted:
    return LeaseGranted(
        number=lease.number,
        epoch=lease.epoch,
        duration_seconds=lease.duration.total_seconds(),
    )
