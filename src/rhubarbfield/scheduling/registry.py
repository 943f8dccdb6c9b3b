"""The leader's worker sessions: opened, closed and looked up by worker."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.commands import RemoveWorker, UpdateWorkers
from rhubarbfield.scheduling.heartbeats import Heartbeat, Sighting
from rhubarbfield.scheduling.ports import WorkerAddress, WorkerCalls
from rhubarbfield.scheduling.progress import RunKey
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.session_host import SessionHost
from rhubarbfield.scheduling.settings import SchedulingSettings
from rhubarbfield.scheduling.silences import Silence
from rhubarbfield.scheduling.state import Worker
from rhubarbfield.types import LogIndex, WorkerId

REOPEN_DELAY = timedelta(seconds=1)


class SessionRegistry:
    """Keeps one session with each recorded worker.

    Parameters
    ----------
    host
        The leader.
    calls
        Client for calls to workers.
    clock
        Source of time.
    settings
        Timeouts and limits.
    find_mark
        Returns since when a worker is marked as silent, or None.
    former_until
        Monotonic time by which all earlier leaders had ended, if known.
    on_opened
        Called with the id of each worker with which a session is opened.
    on_removed
        Called with the id of each worker whose session is closed.

    Attributes
    ----------
    sessions
        Sessions by worker; changed only by the registry.
    """

    def __init__(
        self,
        host: SessionHost,
        *,
        calls: WorkerCalls,
        clock: Clock,
        settings: SchedulingSettings,
        find_mark: Callable[[WorkerId], timedelta | None],
        former_until: timedelta | None,
        on_opened: Callable[[WorkerId], None],
        on_removed: Callable[[WorkerId], None],
    ) -> None:
        self._host = host
        self._calls = calls
        self._clock = clock
        self._settings = settings
        self._find_mark = find_mark
        self._former_until = former_until
        self._on_opened = on_opened
        self._on_removed = on_removed
        self._scopes: dict[WorkerId, trio.CancelScope] = {}
        self._reported_clocks: dict[WorkerId, timedelta | None] = {}
        self._sequences: dict[WorkerId, int] = {}
        # Of removed workers: one that only announced its exit may report itself again.
        self._unanswered: dict[WorkerId, set[RunKey]] = {}
        self.sessions: dict[WorkerId, WorkerSession] = {}
        self._is_outdated = True

    def watch_command(self, _index: LogIndex, command: Command, _reply: Reply) -> None:
        """Note whether an applied command may have changed which workers there are."""
        if isinstance(command, UpdateWorkers | RemoveWorker):
            self._is_outdated = True

    def synchronize(
        self, workers: Mapping[WorkerId, Worker], nursery: trio.Nursery
    ) -> None:
        """Open sessions with new workers, and close those with removed ones.

        Does nothing if no worker has changed since the last call.
        """
        if not self._is_outdated:
            return
        self._is_outdated = False
        for worker in workers.values():
            session = self.sessions.get(worker.worker)
            if session is None or session.address.address != worker.address:
                try:
                    self._open(worker, nursery)
                except Exception as error:
                    contain(Unit.SESSION, error, worker=worker.worker)
                    self._is_outdated = True
        # A session that is opened later may follow one that extended the lease.
        self._former_until = None
        for removed in self.sessions.keys() - workers.keys():
            if unanswered := self.sessions[removed].unanswered:
                self._unanswered[removed] = unanswered
            self._close(removed)

    def map_silences(self) -> dict[WorkerId, Silence]:
        """Return the silences of the workers that are silent now."""
        silences = {name: each.presence.silence for name, each in self.sessions.items()}
        return {name: each for name, each in silences.items() if each is not None}

    def is_stale(self, worker: WorkerId, sequence: int) -> bool:
        """Return whether this or a later heartbeat of the worker was recorded."""
        return sequence <= self._sequences.get(worker, -1)

    def forward_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Pass a heartbeat on to the session with the worker, if there is one."""
        self._forward_report(heartbeat.report.worker, heartbeat.clock, timedelta())

    def record_sighting(self, sighting: Sighting) -> None:
        """Record a heartbeat that another controller answered, unless it is stale."""
        worker = sighting.worker
        if not self.is_stale(worker, sighting.sequence):
            self._sequences[worker] = sighting.sequence
            self._forward_report(worker, sighting.clock, sighting.age)

    def mark_recorded(self, heartbeat: Heartbeat) -> None:
        """Record that the report of a heartbeat is committed."""
        self._sequences[heartbeat.report.worker] = heartbeat.sequence

    def _forward_report(
        self, worker: WorkerId, worker_clock: timedelta | None, age: timedelta
    ) -> None:
        known = self._reported_clocks.get(worker)
        self._reported_clocks[worker] = known if worker_clock is None else worker_clock
        session = self.sessions.get(worker)
        if session is not None:
            session.handle_report(worker_clock, age)

    def _open(self, worker: Worker, nursery: trio.Nursery) -> None:
        former = self.sessions.get(worker.worker)
        if former is not None:  # at another address
            self._close(worker.worker)
        session = WorkerSession(
            WorkerAddress(worker.worker, worker.address),
            host=self._host,
            calls=self._calls,
            clock=self._clock,
            settings=self._settings,
            marked_at=self._find_mark(worker.worker),
            former_until=self._former_until,
        )
        if worker.worker in self._reported_clocks:
            session.handle_report(self._reported_clocks[worker.worker])
        if former is not None:
            session.take_over(former)
        session.doubt(self._unanswered.pop(worker.worker, ()))
        self.sessions[worker.worker] = session
        self._on_opened(worker.worker)
        scope = self._scopes[worker.worker] = trio.CancelScope()
        nursery.start_soon(self._run, session, scope, nursery)

    async def _run(
        self, session: WorkerSession, scope: trio.CancelScope, nursery: trio.Nursery
    ) -> None:
        try:
            with scope:
                try:
                    await session.run()
                except Exception as error:
                    contain(Unit.SESSION, error, worker=session.worker)
                    await self._clock.sleep(REOPEN_DELAY)
                    self._reopen(session, nursery)
        finally:
            await self._drop_connections(session)

    def _reopen(self, failed: WorkerSession, nursery: trio.Nursery) -> None:
        """Open a new session with a worker, which settles the orders of a failed one.

        It does not use what the worker has reported until now.
        """
        worker = self._host.find_worker(failed.worker)
        if worker is not None:
            self._open(worker, nursery)

    async def _drop_connections(self, session: WorkerSession) -> None:
        """Close connections to a worker, unless another incarnation has its address."""
        if self.sessions.get(session.worker) is session:  # the term has ended
            del self.sessions[session.worker]
        address = session.address.address
        if all(other.address.address != address for other in self.sessions.values()):
            with trio.CancelScope(shield=True):
                await self._calls.forget(address)

    def _close(self, worker: WorkerId) -> None:
        del self.sessions[worker]
        self._scopes.pop(worker).cancel()
        self._reported_clocks.pop(worker, None)
        self._sequences.pop(worker, None)
        self._on_removed(worker)
