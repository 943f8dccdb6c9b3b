"""Ports of the request path behind which there is nothing."""

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
    """Records that are never asked, as no request has a key."""

    async def begin(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        fingerprint: str,
        request_id: RequestId,
    ) -> Result[BeginReply, RecordFailure]:
        """Let the request begin."""
        return Success(Begun())

    async def finish(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: BackendAnswer,
    ) -> Result[None, RecordFailure]:
        """Keep nothing."""
        return Success(None)

    async def clear(
        self, tenant: Tenant, key: IdempotencyKey, request_id: RequestId
    ) -> Result[None, RecordFailure]:
        """Forget nothing."""
        return Success(None)


class NoPeerEntries:
    """A :class:`~rhubarbfield.routing.PeerEntryPort` without peer entries."""

    def list_peer_entries(self, service: ServiceName) -> Sequence[PeerEntry]:
        """Return nobody."""
        return ()

    async def forward(
        self, entry: InstanceName, request: CallerRequest
    ) -> Result[BackendAnswer, Refusal]:
        """Fail, as there is nobody to pass a request on to."""
        raise NotImplementedError
