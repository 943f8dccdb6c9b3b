"""Ports of the request path to backend servers, peer entries and records."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from enum import Enum, StrEnum
from typing import Protocol

import msgspec
from returns.result import Result

from rhubarbfield.routing.requests import (
    BackendAnswer,
    CallerRequest,
    DispatchId,
    Refusal,
)
from rhubarbfield.types import (
    BackendServerId,
    Epoch,
    FailureDomain,
    IdempotencyKey,
    InstanceName,
    RequestId,
    ServiceName,
    Tenant,
)


class Lease:
    """The right to send requests to a backend server, which may end early.

    Parameters
    ----------
    valid_until
        Monotonic time at which the lease ends.

    Attributes
    ----------
    valid_until
        Monotonic time at which the lease ends; later after a renewal.
    """

    def __init__(self, valid_until: timedelta) -> None:
        self.valid_until = valid_until
        self._ended = False

    def end(self) -> None:
        """End the lease at once; it can't be renewed."""
        self._ended = True

    def is_valid(self, now: timedelta) -> bool:
        """Return whether a byte may be sent at the monotonic time ``now``."""
        return not self._ended and now < self.valid_until


class BackendTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The backend server that a request is sent to, and the lease it is sent under.

    Attributes
    ----------
    address
        ``host:port`` of the backend server.
    epoch
        Epoch of the lease; the backend server refuses older epochs.
    dispatch_id
        Unique among all attempts sent to the backend server.
    lease
        Must be checked right before the first byte is sent.
    idle_connections
        Maximum number of connections that are kept open without a request.
    answers_until_close
        Whether an answer may have no length and end when the connection is
        closed.
    """

    server: BackendServerId
    address: str
    epoch: Epoch
    dispatch_id: DispatchId
    lease: Lease
    idle_connections: int = 0
    answers_until_close: bool = False


class DeliveryState(Enum):
    """Whether a failed request was sent to the backend server."""

    NOT_SENT = "not-sent"
    REFUSED_BY_SERVER = "refused-by-server"
    SENT = "sent"


class FailureReason(StrEnum):
    """The reason why a request to a backend server has no answer."""

    CONNECT = "connect"
    LEASE_LAPSED = "lease-lapsed"
    REFUSED = "refused"
    TIMEOUT = "timeout"
    CUT_SHORT = "cut-short"
    TOO_LARGE = "too-large"
    MISMATCHED = "mismatched"
    UNBOUNDED = "unbounded"


class ExchangeFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A request that a backend server did not answer.

    Attributes
    ----------
    delivery
        :attr:`DeliveryState.SENT` if any byte of the request may have left.
    detail
        Description of the failure for the log.
    """

    delivery: DeliveryState
    reason: FailureReason
    detail: str = ""


class BackendPort(Protocol):
    """Port to the backend servers."""

    async def exchange(
        self, target: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        """Send ``request`` and return the whole answer within ``timeout``."""

    async def forget(self, server: BackendServerId) -> None:
        """Close the idle connections to ``server``."""


class PeerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """A peer entry that owns backend servers of a service.

    Attributes
    ----------
    same_domain
        Whether the peer is in this entry's failure domain.
    free_slots
        Number of further requests the peer can take at once, as last reported.
    """

    entry: InstanceName
    domain: FailureDomain
    same_domain: bool
    free_slots: int


class PeerEntryPort(Protocol):
    """Port to the peer entries."""

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return the entries that own backend servers of ``service``."""

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Forward ``request`` to ``entry``; its ``hops`` include this one."""


class Begun(msgspec.Struct, frozen=True):
    """The key was unused; the request may be dispatched."""


class StillRunning(msgspec.Struct, frozen=True):
    """A request with the key was begun and has no known outcome."""


class KeyMismatch(msgspec.Struct, frozen=True):
    """The key belongs to a request with different content."""


class FirstAnswer(msgspec.Struct, frozen=True):
    """A request with the key was run and answered before.

    Attributes
    ----------
    answer
        The recorded answer; ``None`` if it was too large to keep.
    """

    answer: BackendAnswer | None


BeginReply = Begun | StillRunning | KeyMismatch | FirstAnswer


class RecordFailureReason(StrEnum):
    """The reason why a record could not be written or read."""

    UNREACHABLE = "unreachable"
    FULL = "full"


class RecordFailure(msgspec.Struct, frozen=True, kw_only=True):
    """A failed read or write of the idempotency records.

    Attributes
    ----------
    detail
        Explanation for the caller.
    retry_after
        Time after which the caller may retry.
    """

    reason: RecordFailureReason
    detail: str
    retry_after: timedelta = timedelta(seconds=1)


class RecordPort(Protocol):
    """Port to the idempotency records, which allow one run for each tenant and key."""

    async def begin(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        fingerprint: str,
        request_id: RequestId,
    ) -> Result[BeginReply, RecordFailure]:
        """Record that ``request_id`` is about to be dispatched."""

    async def finish(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: BackendAnswer,
    ) -> Result[None, RecordFailure]:
        """Record the answer of ``request_id``."""

    async def clear(
        self, tenant: Tenant, key: IdempotencyKey, request_id: RequestId
    ) -> Result[None, RecordFailure]:
        """Delete the record of ``request_id``, which was not run."""
