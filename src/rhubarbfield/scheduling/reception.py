"""Reception of workers' heartbeats and departures at a controller."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta
from enum import StrEnum

from returns.result import Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.containment import Unit, contain
from rhubarbfield.groups import NotLeading, ReplicatedLog
from rhubarbfield.logs import log_event
from rhubarbfield.peering import (
    CallFailure,
    ConnectionPool,
    Transport,
    open_streamed_calls,
)
from rhubarbfield.scheduling.appliers import SchedulingLogState
from rhubarbfield.scheduling.digests import DIGEST_INTERVAL, DigestSender
from rhubarbfield.scheduling.heartbeats import (
    HEARTBEAT_CALL,
    HEARTBEAT_STREAM,
    Departure,
    DigestHandled,
    Heartbeat,
    HeartbeatDigest,
    HeartbeatHandled,
    HeartbeatReply,
    HeartbeatRequest,
    is_recorded,
)
from rhubarbfield.scheduling.leader import SchedulingLeader
from rhubarbfield.scheduling.metrics import HEARTBEATS
from rhubarbfield.types import InstanceName, WorkerId

# Workers wait a second for an answer, then call another controller.
FORWARD_TIMEOUT = timedelta(milliseconds=800)
REFUSAL_LOG_INTERVAL = timedelta(seconds=10)

logger = logging.getLogger(__name__)


class HeartbeatOutcome(StrEnum):
    """What became of a heartbeat, as a label of the metric."""

    TAKEN = "taken"
    NOT_RECORDED = "not-recorded"
    NOT_LEADING = "not-leading"
    ANSWERED = "answered"
    FORWARDED = "forwarded"
    UNREACHED = "unreached"
    REFUSED = "refused"


class Reception:
    """Handles heartbeats and departures, whether this controller leads or not.

    The leader handles them itself. Other controllers answer a heartbeat that
    contains nothing new, of which they only tell the leader that it came, and
    forward the others to the leader.

    Parameters
    ----------
    log
        The deployment's log.
    get_leader
        Returns the scheduling leader of this instance, or None.
    transport
        Transport to other controllers.
    clock
        Source of time.
    locate
        Returns host and port of a controller.
    name
        This controller.
    """

    def __init__(
        self,
        log: ReplicatedLog[SchedulingLogState],
        get_leader: Callable[[], SchedulingLeader | None],
        *,
        transport: Transport,
        clock: Clock,
        locate: Callable[[InstanceName], tuple[str, int]],
        name: InstanceName,
    ) -> None:
        self._log = log
        self._get_leader = get_leader
        self._clock = clock
        self._transport = transport
        self._locate = locate
        self._pool = self._make_pool(transport)
        self._digests = DigestSender(self._call, clock, name)
        self._unknown: set[WorkerId] = set()
        self._refused = 0  # since the last line about it
        self._refusal_logged_at: timedelta | None = None

    async def run(self) -> None:
        """Send digests to the leader until cancelled."""
        async with open_streamed_calls(
            self._transport, HEARTBEAT_CALL, HEARTBEAT_STREAM
        ) as transport:
            self._pool = self._make_pool(transport)
            await self._send_digests()

    def _make_pool(self, transport: Transport) -> ConnectionPool[InstanceName]:
        return ConnectionPool({}, transport, self._clock, self._locate)

    async def _send_digests(self) -> None:
        while True:
            began = self._clock.monotonic()
            try:
                await self._send_digest()
            except Exception as error:
                contain(Unit.ACTIVITY, error, activity="digests")
            await self._clock.sleep(began + DIGEST_INTERVAL - self._clock.monotonic())

    async def _send_digest(self) -> None:
        if self._log.leads():
            self._digests.clear()
            return
        unknown = await self._digests.send(self._leader_hint)
        recorded = self._log.state.scheduling.workers.keys()
        self._unknown = (self._unknown | set(unknown)) & recorded

    async def handle_heartbeat(self, heartbeat: Heartbeat) -> bool | NotLeading:
        """Record a worker's report; return whether it is recorded."""
        leader = self._find_leader()
        if leader is not None:
            return await _record(leader, heartbeat)
        if self._has_news(heartbeat):
            outcome, reply = await self._forward(heartbeat)
            if outcome is HeartbeatOutcome.FORWARDED:
                self._unknown.discard(heartbeat.report.worker)
        elif self._digests.has_contact:
            self._digests.add(heartbeat)
            outcome, reply = HeartbeatOutcome.ANSWERED, True
        else:
            outcome, reply = self._refer()
        HEARTBEATS.labels(outcome.value).inc()
        return reply

    def refuse(self, worker: WorkerId, reason: str) -> None:
        """Count a heartbeat that can't be used, and log one from time to time."""
        HEARTBEATS.labels(HeartbeatOutcome.REFUSED.value).inc()
        self._refused += 1
        now, logged_at = self._clock.monotonic(), self._refusal_logged_at
        if logged_at is not None and now - logged_at < REFUSAL_LOG_INTERVAL:
            return
        log_event(
            logger,
            logging.WARNING,
            "heartbeat-refused",
            worker=worker,
            reason=reason,
            refused=self._refused,
        )
        self._refused = 0
        self._refusal_logged_at = now

    async def handle_departure(self, worker: WorkerId) -> bool | NotLeading:
        """Handle a worker's announcement of its exit; return whether it was handled."""
        leader = self._find_leader()
        if leader is not None:
            return await leader.handle_departure(worker)
        _, reply = await self._forward(Departure(worker))
        return reply

    async def answer(self, request: HeartbeatRequest) -> HeartbeatReply:
        """Answer another controller, if this one leads."""
        leader = self._find_leader()
        if leader is None:
            return NotLeading(self._leader_hint)
        match request:
            case Heartbeat():
                return HeartbeatHandled(await _record(leader, request))
            case Departure(worker=worker):
                return HeartbeatHandled(await leader.handle_departure(worker))
            case HeartbeatDigest():
                return DigestHandled(leader.handle_digest(request))
        raise AssertionError

    @property
    def _leader_hint(self) -> InstanceName | None:
        return self._log.replica.leader_hint

    def _find_leader(self) -> SchedulingLeader | None:
        return self._get_leader() if self._log.leads() else None

    def _has_news(self, heartbeat: Heartbeat) -> bool:
        """Return whether the leader must see a heartbeat before it is answered.

        What this controller has applied is committed, even if it lags behind; a
        worker that the leader has removed since must register again.
        """
        report = heartbeat.report
        return report.worker in self._unknown or not is_recorded(
            self._log.state.scheduling, report
        )

    async def _forward(
        self, request: Heartbeat | Departure
    ) -> tuple[HeartbeatOutcome, bool | NotLeading]:
        leader = self._leader_hint
        if leader is None or not self._digests.was_accepted_by(leader):
            return self._refer()
        match await self._call(leader, request, FORWARD_TIMEOUT):
            case Success(HeartbeatHandled(is_recorded=reply)):
                return HeartbeatOutcome.FORWARDED, reply
        return HeartbeatOutcome.UNREACHED, False

    def _refer(self) -> tuple[HeartbeatOutcome, bool | NotLeading]:
        """Refer a worker to the leader, or to any other controller.

        A leader that has accepted no digest yet may be of a version that can't.
        """
        leader = self._leader_hint
        if leader is None or self._digests.was_accepted_by(leader):
            return HeartbeatOutcome.UNREACHED, False
        return HeartbeatOutcome.NOT_LEADING, NotLeading(leader)

    async def _call(
        self, leader: InstanceName, request: HeartbeatRequest, timeout: timedelta
    ) -> Result[HeartbeatReply, CallFailure]:
        connection = self._pool.get(leader)
        result = await connection.call(HEARTBEAT_CALL, request, timeout)
        if not isinstance(result, Success):
            self._pool.retire(leader, connection)
        return result


async def _record(leader: SchedulingLeader, heartbeat: Heartbeat) -> bool:
    try:
        is_recorded = await leader.handle_heartbeat(heartbeat)
    except Exception as error:
        contain(Unit.HEARTBEAT, error, worker=heartbeat.report.worker)
        is_recorded = False
    outcome = HeartbeatOutcome.TAKEN if is_recorded else HeartbeatOutcome.NOT_RECORDED
    HEARTBEATS.labels(outcome.value).inc()
    return is_recorded
