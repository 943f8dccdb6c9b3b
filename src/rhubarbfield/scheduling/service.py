"""Service of a controller for callers, operators and workers."""

from __future__ import annotations

import logging
import re
from collections.abc import Callable

import msgspec
from returns.result import Failure, Success

from rhubarbfield.clock import MS_PER_SECOND, Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.groups import NotLeading, ReplicatedLog, Unavailable
from rhubarbfield.logs import log_event
from rhubarbfield.machine import Command, Done, Refused, Reply
from rhubarbfield.scheduling.admission import Admission, Rejection
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.commands import (
    AcceptJob,
    CancelJob,
    PutConfiguration,
    UpdateWorkers,
)
from rhubarbfield.scheduling.heartbeats import Heartbeat
from rhubarbfield.scheduling.job_addresses import find_job_at
from rhubarbfield.scheduling.metrics import JOBS
from rhubarbfield.scheduling.model import (
    MAX_JOB_ID_LENGTH,
    JobPhase,
    JobSubmission,
    Queue,
    QueueConfiguration,
    QueueName,
    identify_queues,
)
from rhubarbfield.scheduling.queue_index import index_queues
from rhubarbfield.scheduling.reception import Reception
from rhubarbfield.scheduling.requests import (
    Accepted,
    BadJob,
    JobReply,
    JobRequest,
    JobStatus,
    JobVerb,
    LeadershipQuery,
    NoSuchJob,
    NoSuchQueue,
    NotAdmitted,
    NotConfigured,
    Ready,
    WaitingJobs,
)
from rhubarbfield.scheduling.state import Job, SchedulingState
from rhubarbfield.types import InstanceName, JobId, LogIndex, Term, WorkerId

logger = logging.getLogger(__name__)

UNEXPECTED = "the request raised an unexpected error"
_JOB_ID = re.compile(rf"[0-9A-Za-z_-]{{1,{MAX_JOB_ID_LENGTH}}}")


class VersionConflict(msgspec.Struct, frozen=True):
    """The configuration in force has the same version and other content."""

    reason: str


class SchedulingService:
    """Answers requests while this controller leads, or refers to the leader.

    Parameters
    ----------
    log
        The deployment's log.
    reception
        Handles heartbeats and departures of workers.
    clock
        Source of time.
    has_begun
        Returns whether a job has begun, as far as this controller knows.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        reception: Reception,
        clock: Clock,
        has_begun: Callable[[Job], bool] = lambda job: job.has_begun,
    ) -> None:
        self._log = log
        self._has_begun = has_begun
        self._clock = clock
        self._reception = reception
        self._admission = Admission(clock)
        log.machine.watch(self._observe_command)

    def _observe_command(
        self, _index: LogIndex, command: Command, _reply: Reply
    ) -> None:
        if isinstance(command, UpdateWorkers):
            self._admission.observe_workers(self._state)

    @property
    def leader_hint(self) -> InstanceName | None:
        """Instance that leads, as far as this controller knows."""
        return self._log.replica.leader_hint

    def leads(self) -> bool:
        """Return whether this controller leads at this moment."""
        return self._log.leads()

    async def answer(self, request: JobRequest | LeadershipQuery) -> JobReply:
        """Answer a caller's request; an unexpected error costs only this one."""
        try:
            return await self._answer(request)
        except Exception as error:
            if isinstance(request, LeadershipQuery):
                contain(Unit.REQUEST, error)
                return Unavailable(UNEXPECTED, in_doubt=False)
            contain(Unit.REQUEST, error, verb=request.verb, path=request.path)
            # The error may have been raised after a proposal.
            in_doubt = request.verb is not JobVerb.READ
            return Unavailable(UNEXPECTED, in_doubt=in_doubt)

    async def _answer(self, request: JobRequest | LeadershipQuery) -> JobReply:
        if not self._log.leads():
            return NotLeading(self.leader_hint)
        if isinstance(request, LeadershipQuery):
            return Ready()
        if self._state.configuration is None:
            return NotConfigured()
        return await self._answer_caller(request)

    async def _answer_caller(self, request: JobRequest) -> JobReply:
        queue = self._find_queue(request.host, request.path)
        rest = "" if queue is None else request.path[len(queue.prefix) :].strip("/")
        if queue is not None and not rest:
            return WaitingJobs(self._count_waiting(queue.name))
        if request.verb is not JobVerb.SUBMIT:
            # What became of its route does not concern a job that is held.
            held = find_job_at(self._state, request.host, request.path)
            if held is not None:
                return await self._read_or_cancel(held.job, request.verb)
        if queue is None:
            return NoSuchQueue()
        if _JOB_ID.fullmatch(rest) is None:
            return BadJob(f"{rest[:MAX_JOB_ID_LENGTH]!r} is no job id")
        if request.verb is JobVerb.SUBMIT:
            return await self._answer_submission(JobId(rest), queue, request)
        return await self._read_or_cancel(JobId(rest), request.verb)

    async def _answer_submission(
        self, job: JobId, queue: Queue, request: JobRequest
    ) -> JobReply:
        if request.submission is None:
            return BadJob("the job is missing")
        reply = await self._submit(job, queue, request.submission)
        if isinstance(reply, NotAdmitted) and not request.knows_rejection:
            return Unavailable(reply.reason, in_doubt=False)
        return reply

    async def _read_or_cancel(self, job: JobId, verb: JobVerb) -> JobReply:
        return await self._cancel(job) if verb is JobVerb.CANCEL else self._read(job)

    async def put_configuration(
        self, configuration: QueueConfiguration
    ) -> Accepted | VersionConflict | NotLeading | Unavailable:
        """Put a configuration in force, unless a higher version is in force.

        Its queues get their identities as names, whatever they are called in it.
        """
        identified = identify_queues(configuration)
        reply = await self._propose(PutConfiguration(configuration=identified))
        match reply:
            case Refused(reason=reason):
                log_event(
                    logger,
                    logging.WARNING,
                    "configuration-refused",
                    version=configuration.version,
                    held=self._read_version(),
                    reason=reason,
                )
                return VersionConflict(reason)
            case Done():
                log_event(
                    logger,
                    logging.INFO,
                    "configuration-accepted",
                    version=configuration.version,
                )
                return Accepted()
            case Unavailable(reason=reason):
                log_event(
                    logger,
                    logging.WARNING,
                    "configuration-not-accepted",
                    version=configuration.version,
                    reason=reason,
                )
                return reply
            case NotLeading():
                return reply
        return Unavailable("the outcome is not known", in_doubt=True)

    def read_configuration(
        self,
    ) -> QueueConfiguration | NotConfigured | NotLeading:
        """Return the configuration in force."""
        if not self._log.leads():
            return NotLeading(self.leader_hint)
        return self._state.configuration or NotConfigured()

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool | NotLeading:
        """Record a worker's report; return whether it is recorded."""
        return await self._reception.handle_heartbeat(heartbeat)

    def refuse_heartbeat(self, worker: WorkerId, reason: str) -> None:
        """Count a heartbeat that can't be used."""
        self._reception.refuse(worker, reason)

    async def handle_departure(self, worker: WorkerId) -> bool | NotLeading:
        """Handle a worker's announcement of its exit; return whether it was handled."""
        return await self._reception.handle_departure(worker)

    @property
    def _state(self) -> SchedulingState:
        return self._log.state.scheduling

    def _find_queue(self, host: str, path: str) -> Queue | None:
        return index_queues(self._state.configuration).find(host, path)

    def _count_waiting(self, queue: QueueName) -> int:
        former = self._state.former_queues
        names = {name for name, each in former.items() if each.queue.name == queue}
        names.add(queue)
        return sum(
            job.queue in names and job.is_open and not self._has_begun(job)
            for job in self._state.jobs.values()
        )

    async def _submit(
        self, job: JobId, queue: Queue, submission: JobSubmission
    ) -> JobReply:
        # The state holds only what is committed. An earlier attempt, whose answer was
        # late or lost, needs no further commit.
        if job not in self._state.jobs:
            term = self._get_term()
            try:
                rejection = self._admission.decide(
                    job, queue, submission, state=self._state, term=term
                )
            except Exception as error:
                contain(Unit.REQUEST, error, verb=JobVerb.SUBMIT, job=job)
                return Unavailable(UNEXPECTED, in_doubt=False)
            if rejection is not None:
                return self._reject(job, queue, rejection)
            self._admission.begin(job, queue, submission, term)
            reply = await self._propose(
                AcceptJob(
                    job=job,
                    queue=queue.name,
                    submission=submission,
                    accepted_ms=int(self._clock.now().timestamp() * MS_PER_SECOND),
                )
            )
            if _is_without_effect(reply):
                self._admission.withdraw(job)
            if isinstance(reply, NotLeading | Unavailable):
                log_event(
                    logger,
                    logging.WARNING,
                    "job-not-accepted",
                    job=job,
                    reason=str(reply),
                )
                JOBS.labels("not-accepted").inc()
                return reply
        found = self._state.jobs.get(job)
        if found is not None and found.submission != submission:
            return BadJob(f"job {job!r} was submitted with other content")
        log_event(
            logger,
            logging.INFO,
            "job-accepted",
            job=job,
            queue=queue.name,
            configuration=self._read_version(),
        )
        JOBS.labels("accepted").inc()
        return Accepted()

    def _get_term(self) -> Term:
        leadership = self._log.replica.leadership
        return Term(0) if leadership is None else leadership.term

    def _reject(self, job: JobId, queue: Queue, rejection: Rejection) -> NotAdmitted:
        log_event(
            logger,
            logging.WARNING,
            "job-rejected",
            job=job,
            queue=queue.name,
            detail=rejection.detail,
            retry_after=rejection.retry_after,
        )
        JOBS.labels("rejected").inc()
        return NotAdmitted(rejection.reason, rejection.retry_after)

    def _read_version(self) -> int:
        configuration = self._state.configuration
        return 0 if configuration is None else configuration.version

    async def _cancel(self, job: JobId) -> JobReply:
        if self._needs_cancel(job):
            reply = await self._propose(CancelJob(job=job))
            if isinstance(reply, NotLeading | Unavailable):
                return reply
        found = self._state.jobs.get(job)
        if found is None:
            return NoSuchJob()
        if found.phase is JobPhase.CANCELLED:
            log_event(logger, logging.INFO, "job-cancelled", job=job)
            JOBS.labels("cancelled").inc()
        return Accepted()

    def _needs_cancel(self, job: JobId) -> bool:
        """Return whether a job is open, or its submission may still be on the way."""
        found = self._state.jobs.get(job)
        if found is None:
            return job not in self._state.withdrawn
        return found.is_open

    def _read(self, job: JobId) -> JobReply:
        found = self._state.jobs.get(job)
        if found is None:
            return NoSuchJob()
        is_waiting = found.phase is JobPhase.RUNNING and not self._has_begun(found)
        return JobStatus(JobPhase.QUEUED if is_waiting else found.phase)

    async def _propose(self, command: Command) -> Reply | NotLeading | Unavailable:
        match await self._log.propose(command):
            case Success(reply):
                return reply
            case Failure(failure):
                return failure
        raise AssertionError


def _is_without_effect(reply: Reply | NotLeading | Unavailable) -> bool:
    """Return whether a proposal was certainly not committed."""
    match reply:
        case NotLeading():
            return True
        case Unavailable(in_doubt=in_doubt):
            return not in_doubt
    return False
