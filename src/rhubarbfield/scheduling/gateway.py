"""Forwarding of callers' requests from an entry to the leading controller."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.groups import LeaderCalls
from rhubarbfield.logs import log_event
from rhubarbfield.peering import Transport
from rhubarbfield.scheduling.deployment import DeploymentSettings
from rhubarbfield.scheduling.metrics import REQUEST_SECONDS
from rhubarbfield.scheduling.service import (
    JOB_CALL,
    JobReply,
    JobRequest,
    JobVerb,
    LeadershipQuery,
)

logger = logging.getLogger(__name__)

# A commit takes 20 ms, or 300 ms on a slow disk.
ATTEMPT_TIMEOUT = timedelta(milliseconds=800)
READINESS_INTERVAL = timedelta(seconds=1)  # the interval of the balancer's checks
READINESS_TIMEOUT = timedelta(milliseconds=2500)  # longer than a change of leader
# A change of leader takes longer than this; the caller retries afterwards.
LEADER_SEARCH_TIMEOUT = timedelta(milliseconds=600)
REPLY_MARGIN = timedelta(milliseconds=300)  # to answer before the caller times out


class Undecided(msgspec.Struct, frozen=True):
    """No controller is known to have decided about a request.

    Attributes
    ----------
    in_doubt
        Whether the request may still take effect.
    retry_after
        Time after which the caller should retry.
    """

    in_doubt: bool
    retry_after: timedelta


class Gateway:
    """Forwards requests of an entry to the controller that leads.

    Parameters
    ----------
    settings
        Settings of the instance.
    transport
        Transport to controllers.
    clock
        Source of time.
    """

    def __init__(
        self, settings: DeploymentSettings, transport: Transport, clock: Clock
    ) -> None:
        self._clock = clock
        self._settings = settings
        members = {name: settings.locate(name) for name in settings.seed_names}
        self._calls, self._probes = (
            LeaderCalls(
                JOB_CALL,
                members,
                transport,
                clock,
                locate=settings.locate,
                attempt_timeout=ATTEMPT_TIMEOUT,
            )
            for _ in range(2)
        )
        self._last_leader_contact_at: timedelta | None = None
        self._stopping = False

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send callers to this entry."""
        if self._stopping or self._last_leader_contact_at is None:
            return False
        return (
            self._clock.monotonic() - self._last_leader_contact_at < READINESS_TIMEOUT
        )

    @property
    def is_stopping(self) -> bool:
        """Whether a planned stop has begun."""
        return self._stopping

    def begin_stop(self) -> None:
        """Begin a planned stop: the entry is no longer ready."""
        self._stopping = True
        log_event(logger, logging.INFO, "planned-stop-begun")

    def add_seeds(self, settings: DeploymentSettings) -> None:
        """Also contact the seeds of changed settings."""
        members = {name: settings.locate(name) for name in settings.seed_names}
        self._calls.add_members(members)
        self._probes.add_members(members)

    async def run(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Probe the leader periodically until cancelled, to determine readiness."""
        task_status.started()
        while True:
            was_ready = self.is_ready
            result = await self._probes.call(LeadershipQuery(), READINESS_INTERVAL)
            if isinstance(result, Success):
                self._last_leader_contact_at = self._clock.monotonic()
            if self.is_ready != was_ready:
                log_event(
                    logger,
                    logging.INFO,
                    "controllers-regained" if self.is_ready else "controllers-lost",
                )
            await self._clock.sleep(READINESS_INTERVAL)

    async def forward(
        self, request: JobRequest, timeout: timedelta
    ) -> JobReply | Undecided:
        """Return the leader's reply to ``request``.

        Parameters
        ----------
        request
            The caller's request.
        timeout
            How long the caller waits.
        """
        began = self._clock.monotonic()
        answer = await self._call_leader(request, timeout)
        elapsed = self._clock.monotonic() - began
        outcome = _name_outcome(answer)
        REQUEST_SECONDS.labels(request.verb.value, outcome).observe(
            elapsed.total_seconds()
        )
        if request.verb is not JobVerb.READ:
            log_event(
                logger,
                logging.INFO,
                "request-answered",
                verb=request.verb,
                path=request.path,
                outcome=outcome,
                took=elapsed,
                leader_heard=self._measure_contact_age(),
            )
        return answer

    def _measure_contact_age(self) -> timedelta | None:
        """Return the time since a leader last replied, or None if none ever has."""
        if self._last_leader_contact_at is None:
            return None
        return self._clock.monotonic() - self._last_leader_contact_at

    async def _call_leader(
        self, request: JobRequest, timeout: timedelta
    ) -> JobReply | Undecided:
        # A request that may have been stored is retried until its outcome is known,
        # since the caller can't find out. One that was not stored is refused early
        # enough for the caller to retry.
        result = await self._calls.call(
            request,
            timeout=min(LEADER_SEARCH_TIMEOUT, timeout / 2),
            in_doubt_timeout=timeout - REPLY_MARGIN,
        )
        match result:
            case Success(reply):
                self._last_leader_contact_at = self._clock.monotonic()
                return reply
            case Failure(failure):
                log_event(
                    logger,
                    logging.WARNING,
                    "request-undecided",
                    verb=request.verb,
                    path=request.path,
                    in_doubt=failure.in_doubt,
                    detail=failure.detail,
                    leader_heard=self._measure_contact_age(),
                )
                return Undecided(failure.in_doubt, READINESS_INTERVAL)
        raise AssertionError


def _name_outcome(answer: JobReply | Undecided) -> str:
    if isinstance(answer, Undecided):
        return "in-doubt" if answer.in_doubt else "refused"
    return type(answer).__name__.lower()
