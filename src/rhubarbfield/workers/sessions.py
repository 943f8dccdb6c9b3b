"""The sessions of all workers with the controller that leads their domain."""

from __future__ import annotations

import logging

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.leases import LeaseTable
from rhubarbfield.types import Epoch, WorkerId
from rhubarbfield.workers.connection import WorkerConnection
from rhubarbfield.workers.messages import (
    WorkerHello,
)
from rhubarbfield.workers.orders import (
    GoToLeader,
)
from rhubarbfield.workers.ports import (
    Admitted,
    NotLeading,
    ObservationSink,
    SessionEnded,
    WorkerRefused,
    WorkLog,
)
from rhubarbfield.workers.settings import WorkerSessionSettings
from rhubarbfield.workers.streams import (
    ConnectionRefused,
    Message,
    MessageStream,
    TimedStream,
    describe_end,
)

logger = logging.getLogger(__name__)


class WorkerSessions:
    """Serves the connections of workers and ends sessions that have lapsed.

    A controller creates a new instance each time it becomes the leader, and
    cancels :meth:`sweep` when it stops leading; leases are kept in memory only.

    Parameters
    ----------
    settings
        Timeouts, intervals and limits.
    clock
        The controller's clock.
    log
        The domain's replicated log.
    observations
        Receives usage reports.
    """

    def __init__(
        self,
        settings: WorkerSessionSettings,
        *,
        clock: Clock,
        log: WorkLog,
        observations: ObservationSink,
    ) -> None:
        self._settings = settings
        self._clock = clock
        self._log = log
        self._observations = observations
        self._connection_count = 0
        self._active_connections: dict[WorkerId, WorkerConnection] = {}
        self._leases: LeaseTable[WorkerId] = LeaseTable(
            settings.lease, open_sessions=log.sessions(), at=clock.monotonic()
        )

    @property
    def connected(self) -> int:
        """The number of workers with an open session on a connection."""
        return len(self._active_connections)

    async def serve(self, stream: MessageStream) -> None:
        """Serve one connection until it ends.

        Parameters
        ----------
        stream
            The connection of a worker; it is closed on return.
        """
        watched = TimedStream(
            stream,
            send_timeout=self._settings.send_timeout,
            silence_timeout=self._settings.silence_timeout,
        )
        self._connection_count += 1
        try:
            if self._connection_count > self._settings.max_connections:
                await watched.send(ConnectionRefused(reason="too many connections"))
                return
            await self._serve_hello(watched)
        finally:
            self._connection_count -= 1
            await watched.close()

    async def sweep(self) -> None:
        """Commit the loss of workers whose leases have lapsed, until cancelled.

        Cancellation ends all connections: they must not renew leases that the
        next leader, which may be this controller again, doesn't know of.
        """
        try:
            while True:
                await self._clock.sleep(self._settings.sweep_interval)
                if self._log.leads():
                    await self._end_lapsed_sessions()
        finally:
            self._leases.close()
            for connection in self._active_connections.values():
                connection.cancel()

    async def _serve_hello(self, watched: TimedStream) -> None:
        hello = await watched.receive()
        if not isinstance(hello, WorkerHello):
            refusal = describe_end(hello) or "the first message has to be worker-hello"
            await watched.send(ConnectionRefused(reason=refusal))
            return
        match await self._log.admit(hello):
            case Success(admitted):
                await self._serve_session(watched, hello, admitted)
            case Failure(failure):
                await watched.send(_make_refusal(failure))

    async def _serve_session(
        self, watched: TimedStream, hello: WorkerHello, admitted: Admitted
    ) -> None:
        if not self._log.leads():
            await watched.send(GoToLeader())
            return
        connection = WorkerConnection(
            watched,
            hello,
            admitted,
            settings=self._settings,
            clock=self._clock,
            log=self._log,
            leases=self._leases,
            observations=self._observations,
        )
        previous = self._active_connections.get(hello.worker)
        if previous is not None:
            if previous.session > admitted.session:
                return
            previous.cancel()
        self._active_connections[hello.worker] = connection
        logger.info("worker-session worker=%s epoch=%d", hello.worker, admitted.session)
        try:
            await connection.run()
        finally:
            if self._active_connections.get(hello.worker) is connection:
                del self._active_connections[hello.worker]

    async def _end_lapsed_sessions(self) -> None:
        lapsed = self._leases.revoke_lapsed(self._clock.monotonic())
        async with trio.open_nursery() as nursery:
            for worker, session in lapsed:
                nursery.start_soon(self._mark_lost, worker, session)

    async def _mark_lost(self, worker: WorkerId, session: Epoch) -> None:
        check_invariant(
            self._leases.has_lapsed(worker, self._clock.monotonic()),
            "worker-lost-only-after-lapse",
            (worker, session),
        )
        match await self._log.lose_worker(worker, session):
            case Success(_) | Failure(SessionEnded()):
                logger.info("worker-lost worker=%s epoch=%d", worker, session)
                self._leases.forget(worker, epoch=session)
            case Failure(failure):
                logger.warning("worker-loss-delayed worker=%s %r", worker, failure)


def _make_refusal(failure: msgspec.Struct) -> Message:
    match failure:
        case WorkerRefused(reason=reason):
            return ConnectionRefused(reason=reason)
        case NotLeading(leader=leader):
            return GoToLeader(address=leader)
    return GoToLeader()
