"""Removal of workers that have ended, and what is known of their last moments."""

from __future__ import annotations

import logging
from enum import Enum

from rhubarbfield.clock import Clock
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import RemoveWorker
from rhubarbfield.scheduling.metrics import RUNS_ENDED, WORKERS_GONE
from rhubarbfield.scheduling.model import CheckpointToken, TaskName
from rhubarbfield.scheduling.recording import propose_until_committed
from rhubarbfield.scheduling.registry import SessionRegistry
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.scheduling.silences import PastSilences, Silence
from rhubarbfield.scheduling.state import RunEnd
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")


class RemovalCause(Enum):
    """Why an incarnation of a machine ended.

    Attributes
    ----------
    LEFT
        It had announced that it would.
    CRASHED
        Another incarnation answers at its address, without an announcement.
    """

    LEFT = "left"
    CRASHED = "crashed"


class Removals:
    """Records that workers have ended.

    Parameters
    ----------
    log
        The deployment's log.
    registry
        The leader's sessions with the workers.
    clock
        Source of time.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        registry: SessionRegistry,
        clock: Clock,
    ) -> None:
        self._log = log
        self._registry = registry
        self._clock = clock
        self._past_silences = PastSilences()
        self._in_progress: set[WorkerId] = set()

    async def remove(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        """Record that an incarnation of a machine has ended.

        Several calls to one worker may show that at the same time.
        """
        session = self._registry.sessions.get(worker)
        if worker in self._in_progress or session is None:
            await self._propose(worker, checkpoints)
            return
        self._in_progress.add(worker)
        try:
            self._report(session)
            await self._propose(worker, checkpoints)
        finally:
            self._in_progress.discard(worker)

    async def _propose(
        self, worker: WorkerId, checkpoints: dict[TaskName, CheckpointToken]
    ) -> None:
        command = RemoveWorker(worker=worker, checkpoints=checkpoints)
        await propose_until_committed(self._log, command, self._clock)

    def _report(self, session: WorkerSession) -> None:
        """Log what is lost with a worker, and how it fell silent."""
        worker = session.worker
        record = self._log.state.scheduling.workers.get(worker)
        if record is None:
            return
        now = self._clock.monotonic()
        silence = session.silence or Silence(session.last_contact_at, now)
        simultaneous = self._past_silences.count_simultaneous(
            worker, silence, self._registry.map_silences()
        )
        cause = RemovalCause.LEFT if session.is_leaving else RemovalCause.CRASHED
        log_event(
            logger,
            logging.INFO,
            "worker-gone",
            worker=worker,
            machine=record.machine,
            cause=cause.value,
            heard=now - silence.heard_at,
            missed=now - silence.missed_at,
            simultaneous=simultaneous,
            runs=len(record.runs),
        )
        WORKERS_GONE.labels(cause.value).inc()
        self._past_silences.add(worker, silence)
        for run in session.list_present_runs():
            log_event(
                logger,
                logging.INFO,
                "run-lost",
                task=run.key.task,
                run=run.key.run,
                worker=worker,
                worked=run.worked,
            )
            RUNS_ENDED.labels(RunEnd.LOST.value).inc()
