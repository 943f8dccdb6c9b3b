"""Marks in the log of the workers that give no reply.

No leader extends the lease of a marked worker until the mark is committed to be
removed. So each controller knows since when a lease can't have been extended, and
the next leader does not have to wait for it anew.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.machine import Command, Reply
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import EndRuns, RemoveWorker, WorkerEnds
from rhubarbfield.scheduling.recording import propose_until_committed
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.witnessed_leases import WitnessedLeases
from rhubarbfield.types import LogIndex, WorkerId

CHECK_INTERVAL = timedelta(milliseconds=100)  # short beside what is left of a lease


class MarkTimes:
    """When this controller learned that workers were marked as silent.

    Parameters
    ----------
    log
        The deployment's log, which it follows from now on.
    clock
        Source of time.
    """

    def __init__(self, log: ReplicatedLog[SchedulingLogState], clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._marked_at: dict[WorkerId, timedelta] = {}
        log.machine.watch(self._watch_command)
        # A mark may have been removed and set again in what a snapshot covers.
        log.machine.watch_restore(lambda: self._update({}))
        self._update({})

    def find(self, worker: WorkerId) -> timedelta | None:
        """Return since when a worker's lease was certainly not extended, if known."""
        return self._marked_at.get(worker)

    def _watch_command(self, _index: LogIndex, command: Command, _reply: Reply) -> None:
        match command:
            case RemoveWorker():
                self._marked_at.pop(command.worker, None)
            case EndRuns() if command.silent or command.heard:
                self._update(self._marked_at)

    def _update(self, known: Mapping[WorkerId, timedelta]) -> None:
        now = self._clock.monotonic()
        workers = self._log.state.scheduling.workers.values()
        self._marked_at = {
            each.worker: known.get(each.worker, now) for each in workers if each.silent
        }


class SilenceMarker:
    """Marks the workers that give no reply, and removes the marks of others.

    It also drops the records of brief runs that a worker has outlived.

    Parameters
    ----------
    log
        The deployment's log.
    sessions
        The leader's session with each worker.
    leases
        Tells since when the leases of marked workers are not extended.
    clock
        Source of time.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        sessions: Mapping[WorkerId, WorkerSession],
        leases: WitnessedLeases,
        clock: Clock,
    ) -> None:
        self._log = log
        self._sessions = sessions
        self._leases = leases
        self._clock = clock

    async def run(self) -> None:
        """Mark workers until cancelled."""
        self._leases.remember(self._log.state.scheduling.workers.values())
        while True:
            await self._clock.sleep(CHECK_INTERVAL)
            self._leases.prepare()
            self._leases.count()
            silent = [each for each in self._sessions.values() if each.needs_mark]
            silent += self._leases.list_incomplete()
            heard = [each for each in self._sessions.values() if each.has_outdated_mark]
            proven = self._list_proven()
            if silent or heard or proven:
                await self._commit(silent, heard, proven)

    def _list_proven(self) -> tuple[WorkerEnds, ...]:
        found = (
            (worker, session.presence.list_proven())
            for worker, session in self._sessions.items()
        )
        return tuple(
            WorkerEnds(worker, (), proven=proven) for worker, proven in found if proven
        )

    async def _commit(
        self,
        silent: list[WorkerSession],
        heard: list[WorkerSession],
        proven: tuple[WorkerEnds, ...],
    ) -> None:
        for session in silent:
            # Before the proposal: the lease must not be extended after a commit.
            session.suspend_lease()
        witnesses = self._leases.choose(silent)

        def make_command() -> EndRuns:
            # A worker that was removed may be back, under a lease that is extended.
            marked = [each.worker for each in silent if self._is_suspended(each)]
            return EndRuns(
                workers=proven,
                silent=tuple(marked),
                heard=tuple(each.worker for each in heard),
                witnesses={worker: witnesses[worker] for worker in marked},
            )

        await propose_until_committed(self._log, make_command, self._clock)
        for session in heard:
            session.resume_lease()

    def _is_suspended(self, marked: WorkerSession) -> bool:
        """Return whether the present session with a worker extends no lease either."""
        session = self._sessions.get(marked.worker)
        return session is not None and session.is_suspended
