"""What the routing decisions need of the world around them."""

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
        Monotonic time at which it ends.

    Attributes
    ----------
    valid_until
        Moves with renewals.
    """

    def __init__(self, valid_until: timedelta) -> None:
        self.valid_until = valid_until
        self._ended = False

    def end(self) -> None:
        """End it at once, for good."""
        self._ended = True

    def is_valid(self, now: timedelta) -> bool:
        """Say whether a byte may be sent at the monotonic time ``now``."""
        return not self._ended and now < self.valid_until


class BackendTarget(msgspec.Struct, frozen=True, kw_only=True):
    """Where and under which lease a request is sent.

    Attributes
    ----------
    address
        ``host:port`` of the backend server.
    epoch
        Of the lease; the backend server refuses older ones.
    dispatch_id
        Tells apart all attempts ever sent to the backend server.
    lease
        Is to be checked right before the first byte.
    idle_connections
        How many connections may be kept open without a request.
    answers_until_close
        Whether an answer may end with its connection, without a length.
    """

    server: BackendServerId
    address: str
    epoch: Epoch
    dispatch_id: DispatchId
    lease: Lease
    idle_connections: int = 0
    answers_until_close: bool = False


class DeliveryState(Enum):
    """How far a request got before it failed."""

    NOT_SENT = "not-sent"
    REFUSED_BY_SERVER = "refused-by-server"
    SENT = "sent"


class FailureReason(StrEnum):
    """Why a request to a backend server has no answer."""

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
        A sentence for the log.
    """

    delivery: DeliveryState
    reason: FailureReason
    detail: str = ""


class BackendPort(Protocol):
    """Speaks to backend servers."""

    async def exchange(
        self, server: BackendTarget, request: CallerRequest, timeout: timedelta
    ) -> Result[BackendAnswer, ExchangeFailure]:
        """Send ``request`` and return the whole answer within ``timeout``."""

    async def forget(self, server: BackendServerId) -> None:
        """Close the idle connections to ``server``."""


class PeerEntry(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry that may have free slots.

    Attributes
    ----------
    same_domain
        Whether it is in this entry's failure domain.
    free_slots
        How many more requests it can take at once, as last reported.
    """

    entry: InstanceName
    domain: FailureDomain
    same_domain: bool
    free_slots: int


class PeerEntryPort(Protocol):
    """Speaks to the other entries."""

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return the entries that own backend servers of ``service``."""

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Have ``entry`` route ``request``, which counts one hop already."""


class Begun(msgspec.Struct, frozen=True):
    """The key was free; the request may be dispatched."""


class StillRunning(msgspec.Struct, frozen=True):
    """A request with the key was dispatched and has no known outcome."""


class KeyMismatch(msgspec.Struct, frozen=True):
    """The key belongs to a request that asked for something else."""


class FirstAnswer(msgspec.Struct, frozen=True):
    """The key was run before.

    Attributes
    ----------
    answer
        The first answer; ``None`` if it was too large to keep.
    """

    answer: BackendAnswer | None


BeginReply = Begun | StillRunning | KeyMismatch | FirstAnswer


class RecordFailureReason(StrEnum):
    """Why a record could not be written or read."""

    UNREACHABLE = "unreachable"
    FULL = "full"


class RecordFailure(msgspec.Struct, frozen=True, kw_only=True):
    """The idempotency records gave no answer.

    Attributes
    ----------
    detail
        A sentence for a person.
    retry_after
        When another attempt is worth it.
    """

    reason: RecordFailureReason
    detail: str
    retry_after: timedelta = timedelta(seconds=1)


class RecordPort(Protocol):
    """Keeps at most one run for each key of a tenant."""

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
        """Forget ``request_id``, which was not run."""
