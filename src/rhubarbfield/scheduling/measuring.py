"""Metrics of the calls to workers."""

from __future__ import annotations

from collections.abc import Awaitable
from datetime import timedelta
from typing import TypeVar

from returns.result import Failure, Result

from rhubarbfield.clock import Clock
from rhubarbfield.scheduling.metrics import WORKER_CALL_SECONDS
from rhubarbfield.scheduling.ports import (
    CallFailure,
    PaceOrder,
    Refused,
    StartOrder,
    StopOrder,
    ViewRequest,
    WorkerAddress,
    WorkerCalls,
    WorkerView,
)

ValueT = TypeVar("ValueT")

SUCCESS = "success"


class MeasuredCalls:
    """A wrapper that measures :class:`~rhubarbfield.scheduling.ports.WorkerCalls`.

    Parameters
    ----------
    calls
        The wrapped client.
    clock
        Source of time.
    """

    def __init__(self, calls: WorkerCalls, clock: Clock) -> None:
        self._calls = calls
        self._clock = clock

    async def start(
        self, to: WorkerAddress, order: StartOrder
    ) -> Result[timedelta, CallFailure]:
        """Start a run."""
        return await self._measure("start", self._calls.start(to, order))

    async def stop(
        self, to: WorkerAddress, order: StopOrder
    ) -> Result[timedelta, CallFailure]:
        """Stop a run."""
        return await self._measure("stop", self._calls.stop(to, order))

    async def pace(
        self, to: WorkerAddress, order: PaceOrder
    ) -> Result[timedelta, CallFailure]:
        """Let a run work at a percentage of its full speed."""
        return await self._measure("pace", self._calls.pace(to, order))

    async def view(
        self, to: WorkerAddress, request: ViewRequest
    ) -> Result[WorkerView, CallFailure]:
        """Return the active and ended runs of a worker."""
        return await self._measure("view", self._calls.view(to, request))

    async def forget(self, address: str) -> None:
        """Close the connections to an address."""
        await self._calls.forget(address)

    async def _measure(
        self, name: str, call: Awaitable[Result[ValueT, CallFailure]]
    ) -> Result[ValueT, CallFailure]:
        began = self._clock.monotonic()
        result = await call
        elapsed = self._clock.monotonic() - began
        outcome = _name_outcome(result)
        WORKER_CALL_SECONDS.labels(name, outcome).observe(elapsed.total_seconds())
        return result


def _name_outcome(result: Result[ValueT, CallFailure]) -> str:
    if not isinstance(result, Failure):
        return SUCCESS
    failure = result.failure()
    if isinstance(failure, Refused):
        return failure.refusal.name.lower()
    return type(failure).__name__.lower()
