"""Null implementations of ports of the request path."""

from __future__ import annotations

from collections.abc import Sequence

from returns.result import Result, Success

from rhubarbfield.routing import (
    BackendAnswer,
    BeginReply,
    Begun,
    CallerRequest,
    PeerEntry,
    RecordFailure,
    Refusal,
)
from rhubarbfield.types import (
    IdempotencyKey,
    InstanceName,
    RequestId,
    ServiceName,
    Tenant,
)


class NoRecords:
    """A record port that stores nothing and begins every request."""

    async def begin(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        fingerprint: str,
        request_id: RequestId,
    ) -> Result[BeginReply, RecordFailure]:
        """Allow the request to begin."""
        return Success(Begun())

    async def finish(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: BackendAnswer,
    ) -> Result[None, RecordFailure]:
        """Store nothing."""
        return Success(None)

    async def clear(
        self, tenant: Tenant, key: IdempotencyKey, request_id: RequestId
    ) -> Result[None, RecordFailure]:
        """Remove nothing."""
        return Success(None)


class NoPeerEntries:
    """A :class:`~rhubarbfield.routing.PeerEntryPort` without peer entries."""

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return no entries."""
        return ()

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Raise an error, as there is no peer entry to forward to."""
        raise NotImplementedError
