"""Forwarding of callers' requests from an entry to the leading controller."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.leadercalls import LeaderCalls, LeaderFailure
from rhubarbfield.logs import log_event
from rhubarbfield.peering import Transport
from rhubarbfield.scheduling.deployment import DeploymentSettings
from rhubarbfield.scheduling.metrics import REQUEST_SECONDS
from rhubarbfield.scheduling.requests import (
    JOB_CALL,
    JobReply,
    JobRequest,
    JobVerb,
    LeadershipQuery,
    settles_attempts,
)

logger = logging.getLogger(__name__)

# A commit takes 20 ms, or 300 ms on a slow disk.
ATTEMPT_TIMEOUT = timedelta(milliseconds=800)
READINESS_INTERVAL = timedelta(seconds=1)  # the interval of the balancer's checks
READINESS_TIMEOUT = timedelta(milliseconds=2500)  # longer than a change of leader
# A change of leader takes longer than this; a submission is refused then, and its
# caller retries afterwards.
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
                settles=settles_attempts,
            )
            for _ in range(2)
        )
        self._last_leader_contact_at: timedelta | None = None
        self._leader_contacted = trio.Event()
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

    async def begin_stop(self, _timeout: timedelta) -> None:
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
        """Probe the leader until cancelled, to determine readiness.

        A request that the leader answered counts as a probe. While there is no
        leader, the probes go on without a pause.
        """
        task_status.started()
        while True:
            was_ready = self.is_ready
            await self._probe()
            if self.is_ready != was_ready:
                log_event(
                    logger,
                    logging.INFO,
                    "controllers-regained" if self.is_ready else "controllers-lost",
                )
            while (rest := self._find_probe_delay()) > timedelta():
                await self._clock.sleep(rest)

    async def _probe(self) -> None:
        try:
            result = await self._probes.call(LeadershipQuery(), READINESS_INTERVAL)
        except Exception as error:
            contain(Unit.ACTIVITY, error, activity="probes")
            await self._clock.sleep(READINESS_INTERVAL)
            return
        if isinstance(result, Success):
            self._record_contact()

    def _find_probe_delay(self) -> timedelta:
        """Return the time until the next probe is due."""
        age = self._measure_contact_age()
        return timedelta() if age is None else READINESS_INTERVAL - age

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
        # A submission that may have been stored is repeated until its outcome is
        # known, since the caller can't find out. One that was not stored is refused
        # early enough for the caller to retry. Cancels and reads wait for the next
        # leader, since a later request would be no different.
        answer_by = self._clock.monotonic() + max(timeout - REPLY_MARGIN, timeout / 2)
        while True:
            contacted = self._leader_contacted
            remaining = answer_by - self._clock.monotonic()
            result = await self._calls.call(
                request,
                timeout=min(LEADER_SEARCH_TIMEOUT, timeout / 2, remaining),
                in_doubt_timeout=remaining,
            )
            match result:
                case Success(reply):
                    self._record_contact()
                    return reply
                case Failure(failure):
                    is_final = failure.in_doubt or request.verb is JobVerb.SUBMIT
                    if not is_final and await self._wait(contacted, answer_by):
                        continue
                    self._log_undecided(request, failure)
                    return Undecided(failure.in_doubt, READINESS_INTERVAL)
            raise AssertionError

    async def _wait(self, contacted: trio.Event, until: timedelta) -> bool:
        """Wait for contact with a leader; return whether there was any by ``until``.

        All requests wait for the same probes, so that a gap without a leader costs
        the controllers no calls for each of them.
        """
        remaining = until - self._clock.monotonic()
        if remaining <= timedelta():
            return False
        with trio.move_on_after(remaining.total_seconds()):
            await contacted.wait()
            return True
        return False

    def _record_contact(self) -> None:
        self._last_leader_contact_at = self._clock.monotonic()
        self._leader_contacted.set()
        self._leader_contacted = trio.Event()

    def _log_undecided(self, request: JobRequest, failure: LeaderFailure) -> None:
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


def _name_outcome(answer: JobReply | Undecided) -> str:
    if isinstance(answer, Undecided):
        return "in-doubt" if answer.in_doubt else "refused"
    return type(answer).__name__.lower()
