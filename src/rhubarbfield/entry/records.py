"""Idempotency records, kept in the log of each tenant's home domain."""

from __future__ import annotations

import hashlib
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.machine import Reply
from rhubarbfield.protocol import DomainRequest, LeaderCalls, LeaderFailure
from rhubarbfield.protocol.calls import DomainCommand
from rhubarbfield.records import (
    BeginRequest,
    ClearRequest,
    FinishRequest,
    omit_large_answer,
    translate_begin_reply,
)
from rhubarbfield.routing import (
    BackendAnswer,
    BeginReply,
    RecordFailure,
    RecordFailureReason,
)
from rhubarbfield.types import FailureDomain, IdempotencyKey, RequestId, Tenant

BEGIN_TIMEOUT = timedelta(seconds=2)
END_TIMEOUT = timedelta(seconds=5)


def find_home_domain(
    tenant: Tenant, domains: tuple[FailureDomain, ...]
) -> FailureDomain:
    """Return the failure domain whose log keeps the records of ``tenant``.

    Rendezvous hashing: every entry chooses the same domain, whichever domains
    it can reach; otherwise a request repeated through another entry would run
    twice.
    """

    def compute_weight(domain: FailureDomain) -> bytes:
        return hashlib.sha256(f"{tenant}\0{domain}".encode()).digest()

    return max(domains, key=compute_weight)


class HomeRecords:
    """The :class:`~rhubarbfield.routing.RecordPort` of an entry.

    Parameters
    ----------
    domains
        Calls to the leader of each failure domain.
    clock
        The entry's clock.
    """

    def __init__(
        self, domains: Mapping[FailureDomain, LeaderCalls], clock: Clock
    ) -> None:
        self._domains = dict(domains)
        self._names = tuple(sorted(self._domains))
        self._clock = clock

    async def begin(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        fingerprint: str,
        request_id: RequestId,
    ) -> Result[BeginReply, RecordFailure]:
        """Record that ``request_id`` is about to be dispatched."""
        command = BeginRequest(
            tenant=tenant,
            key=key,
            fingerprint=fingerprint,
            request_id=request_id,
            at=self._clock.now(),
        )
        match await self._call(tenant, command, BEGIN_TIMEOUT):
            case Success(Reply() as reply):
                return translate_begin_reply(reply)
            case Failure(LeaderFailure(detail=detail)):
                return Failure(_describe(tenant, detail))
        return Failure(_describe(tenant, "no reply"))

    async def finish(
        self,
        tenant: Tenant,
        key: IdempotencyKey,
        request_id: RequestId,
        answer: BackendAnswer,
    ) -> Result[None, RecordFailure]:
        """Record the answer of ``request_id``."""
        command = FinishRequest(
            tenant=tenant,
            key=key,
            request_id=request_id,
            answer=omit_large_answer(answer),
        )
        return await self._end(tenant, command)

    async def clear(
        self, tenant: Tenant, key: IdempotencyKey, request_id: RequestId
    ) -> Result[None, RecordFailure]:
        """Remove the record of ``request_id``, which was not run."""
        command = ClearRequest(tenant=tenant, key=key, request_id=request_id)
        return await self._end(tenant, command)

    async def _end(
        self, tenant: Tenant, command: FinishRequest | ClearRequest
    ) -> Result[None, RecordFailure]:
        match await self._call(tenant, command, END_TIMEOUT):
            case Success(_):
                return Success(None)
            case Failure(LeaderFailure(detail=detail)):
                return Failure(_describe(tenant, detail))
        return Failure(_describe(tenant, "no reply"))

    async def _call(
        self, tenant: Tenant, command: DomainCommand, timeout: timedelta
    ) -> Result[Any, LeaderFailure]:
        home_domain = find_home_domain(tenant, self._names)
        request = DomainRequest(domain=home_domain, command=command)
        return await self._domains[home_domain].call(request, timeout)


def _describe(tenant: Tenant, detail: str) -> RecordFailure:
    return RecordFailure(
        reason=RecordFailureReason.UNREACHABLE,
        detail=f"the records of tenant {tenant} can't be reached: {detail}",
    )
