"""One attempt at a request, from its reserved slot until the slot is released."""

from __future__ import annotations

from datetime import timedelta

from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.routing.admission import Admission
from rhubarbfield.routing.choice import ServerChoice
from rhubarbfield.routing.metrics import RoutingMetrics
from rhubarbfield.routing.ports import (
    BackendPort,
    DeliveryState,
    ExchangeFailure,
    FailureReason,
)
from rhubarbfield.routing.queues import ReservedSlot
from rhubarbfield.routing.requests import BackendAnswer, CallerRequest
from rhubarbfield.routing.servers import OwnedServers
from rhubarbfield.types import BackendServerId

FIRST_SERVER_ERROR_STATUS = 500
SLOW_ANSWER_FACTOR = 3

Exchanged = Result[BackendAnswer, ExchangeFailure]


class Dispatcher:
    """Sends requests to owned backend servers and accounts for their slots.

    Parameters
    ----------
    backend
        Port to the backend servers.
    """

    def __init__(
        self,
        *,
        servers: OwnedServers,
        backend: BackendPort,
        choice: ServerChoice,
        admission: Admission,
        clock: Clock,
        metrics: RoutingMetrics,
    ) -> None:
        self._servers = servers
        self._backend = backend
        self._choice = choice
        self._admission = admission
        self._clock = clock
        self._metrics = metrics

    async def exchange(
        self, slot: ReservedSlot, request: CallerRequest, deadline: timedelta
    ) -> Exchanged:
        """Send ``request`` to the backend server of ``slot`` and return the answer.

        The slot is released on an answer, or if the request certainly
        never began. Otherwise it stays occupied until the request is proved to have
        ended.
        """
        recorded = False
        self._metrics.change_running(request.service, 1)
        try:
            result = await self._send(slot, request, deadline)
            self._record_result(slot, request, result)
            recorded = True
        finally:
            self._metrics.change_running(request.service, -1)
            if not recorded:
                slot.ledger.abandon(slot.reservation, self._clock.monotonic())
        self._admission.assign_waiting(request.service)
        return result

    async def _send(
        self, slot: ReservedSlot, request: CallerRequest, deadline: timedelta
    ) -> Exchanged:
        target = self._servers.make_target(slot.ledger, slot.reservation)
        if target is None:
            return Failure(
                ExchangeFailure(
                    delivery=DeliveryState.NOT_SENT, reason=FailureReason.LEASE_LAPSED
                )
            )
        remaining = deadline - self._clock.monotonic()
        if remaining <= timedelta():
            return Failure(
                ExchangeFailure(
                    delivery=DeliveryState.NOT_SENT, reason=FailureReason.TIMEOUT
                )
            )
        return await self._backend.exchange(target, request, remaining)

    def _record_result(
        self, slot: ReservedSlot, request: CallerRequest, result: Exchanged
    ) -> None:
        now = self._clock.monotonic()
        duration = now - slot.reservation.started_at
        server = slot.reservation.server
        if isinstance(result, Success):
            slot.ledger.release(slot.reservation)
            self._record_answer(server, request, result.unwrap(), duration)
            return
        failure = result.failure()
        if failure.delivery is DeliveryState.SENT:
            slot.ledger.abandon(slot.reservation, now)
        else:
            slot.ledger.release(slot.reservation)
        if self._is_server_fault(failure, request, duration):
            self._choice.record_failure(server)

    def _record_answer(
        self,
        server: BackendServerId,
        request: CallerRequest,
        answer: BackendAnswer,
        duration: timedelta,
    ) -> None:
        if answer.status >= FIRST_SERVER_ERROR_STATUS:
            self._choice.record_failure(server)
            return
        self._choice.record_success(server, duration)
        self._admission.record_latency(request.service, duration)

    def _is_server_fault(
        self, failure: ExchangeFailure, request: CallerRequest, duration: timedelta
    ) -> bool:
        if failure.reason is FailureReason.LEASE_LAPSED:
            return False
        if failure.reason is not FailureReason.TIMEOUT:
            return True
        if failure.delivery is not DeliveryState.SENT:
            return False
        mean = self._admission.get_mean_latency(request.service)
        return mean is None or duration > mean * SLOW_ANSWER_FACTOR
