"""Replicated idempotency records, which let a request run at most once.

A record is written before its request is dispatched. From then on no other
request with the same key is dispatched: a repeat gets the first answer, or the
reply that the request still runs or that its outcome is unknown. A record is
cleared only if its request certainly did not run. A key whose record has
expired counts as new, so the retention time must exceed the longest time after
which a caller repeats a request.
"""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from rhubarbfield.machine import Command, CommandRegistry, Done, Refused, Reply
from rhubarbfield.routing.requests import BackendAnswer
from rhubarbfield.types import IdempotencyKey, RequestId, Tenant

RECORDS_LIMIT = 60_000
TENANT_RECORDS_LIMIT = 15_000
ANSWER_BYTES_LIMIT = 4096
TOTAL_ANSWER_BYTES_LIMIT = 8 << 20


class RequestRecord(msgspec.Struct, kw_only=True):
    """The record of one idempotency key.

    Attributes
    ----------
    fingerprint
        Digest of the request's content; a repeat must have the same one.
    request_id
        The request that was recorded first.
    begun_at
        When the request was recorded, by the clock of the entry that
        proposed it.
    finished
        Whether a backend server has answered the request.
    answer
        The answer; None if there is none or the size limits forbid keeping it.
    """

    fingerprint: str
    request_id: RequestId
    begun_at: datetime
    finished: bool = False
    answer: BackendAnswer | None = None


class RecordState(msgspec.Struct):
    """All idempotency records of one failure domain.

    Attributes
    ----------
    tenants
        For each tenant, the records by key.
    count
        Number of records of all tenants.
    answer_bytes
        Total size of the answers that are kept, in bytes.
    """

    tenants: dict[Tenant, dict[IdempotencyKey, RequestRecord]] = {}
    count: int = 0
    answer_bytes: int = 0


class BeginRequest(Command, frozen=True):
    """Record a request before it is dispatched.

    Attributes
    ----------
    fingerprint
        Digest of the request's content.
    at
        The time by the proposer's clock.
    """

    tenant: Tenant
    key: IdempotencyKey
    fingerprint: str
    request_id: RequestId
    at: datetime


class FinishRequest(Command, frozen=True):
    """Record that a request was answered.

    Attributes
    ----------
    answer
        ``None`` if it is too large to keep; see :func:`omit_large_answer`.
    """

    tenant: Tenant
    key: IdempotencyKey
    request_id: RequestId
    answer: BackendAnswer | None


class ClearRequest(Command, frozen=True):
    """Remove the record of a request that did not run."""

    tenant: Tenant
    key: IdempotencyKey
    request_id: RequestId


class ExpireRecords(Command, frozen=True):
    """Remove the records that are older than any repeat of a request.

    Attributes
    ----------
    at
        The time by the proposer's clock.
    kept_for
        The age above which a record is removed.
    """

    at: datetime
    kept_for: timedelta


class RecordBegun(Reply, frozen=True):
    """The request may be dispatched."""


class AlreadyRunning(Reply, frozen=True):
    """Another request with the key was begun; its outcome is not known."""


class Recorded(Reply, frozen=True):
    """A request with the key was answered before.

    Attributes
    ----------
    answer
        ``None`` if it was too large to keep.
    """

    answer: BackendAnswer | None


class KeyConflict(Reply, frozen=True):
    """The key belongs to a request with other content."""


class RecordsFull(Reply, frozen=True):
    """No record was written: the total or the tenant's limit is reached."""


RECORD_REPLIES: tuple[type[Reply], ...] = (
    RecordBegun,
    AlreadyRunning,
    Recorded,
    KeyConflict,
    RecordsFull,
)

record_commands: CommandRegistry[RecordState] = CommandRegistry()


@record_commands.applies(BeginRequest)
def begin_request(state: RecordState, command: BeginRequest) -> Reply:
    """Write a record unless the key has one.

    The same request may begin twice, because the proposer repeats a proposal
    whose reply was lost.
    """
    record = _find(state, command.tenant, command.key)
    if record is not None:
        return _make_repeat_reply(record, command)
    tenant_count = len(state.tenants.get(command.tenant, ()))
    if state.count >= RECORDS_LIMIT or tenant_count >= TENANT_RECORDS_LIMIT:
        return RecordsFull()
    records = state.tenants.setdefault(command.tenant, {})
    records[command.key] = RequestRecord(
        fingerprint=command.fingerprint,
        request_id=command.request_id,
        begun_at=command.at,
    )
    state.count += 1
    return RecordBegun()


@record_commands.applies(FinishRequest)
def finish_request(state: RecordState, command: FinishRequest) -> Reply:
    """Mark the request as answered and store the answer if it is small enough."""
    record = _find(state, command.tenant, command.key)
    if record is None or record.request_id != command.request_id:
        return Refused(reason="the key has no record of this request")
    if record.finished:
        return Done()
    record.finished = True
    if command.answer is None:
        return Done()
    size = count_answer_bytes(command.answer)
    if (
        size <= ANSWER_BYTES_LIMIT
        and state.answer_bytes + size <= TOTAL_ANSWER_BYTES_LIMIT
    ):
        record.answer = command.answer
        state.answer_bytes += size
    return Done()


@record_commands.applies(ClearRequest)
def clear_request(state: RecordState, command: ClearRequest) -> Reply:
    """Remove the record of a request that was not answered."""
    record = _find(state, command.tenant, command.key)
    if record is None or record.request_id != command.request_id:
        return Done()
    if record.finished:
        return Refused(reason="the request was answered")
    _remove(state, command.tenant, command.key)
    return Done()


@record_commands.applies(ExpireRecords)
def expire_records(state: RecordState, command: ExpireRecords) -> Reply:
    """Remove the records that are older than the retention time."""
    cutoff = command.at - command.kept_for
    expired = [
        (tenant, key)
        for tenant, records in state.tenants.items()
        for key, record in records.items()
        if record.begun_at < cutoff
    ]
    for tenant, key in expired:
        _remove(state, tenant, key)
    return Done()


def count_answer_bytes(answer: BackendAnswer) -> int:
    """Return the approximate size of a stored ``answer`` in bytes."""
    headers = sum(len(each.name) + len(each.value) for each in answer.headers)
    return len(answer.body) + headers


def omit_large_answer(answer: BackendAnswer) -> BackendAnswer | None:
    """Return ``answer``, or ``None`` if it is too large to keep.

    Proposers call this to keep large commands out of the log.
    """
    return answer if count_answer_bytes(answer) <= ANSWER_BYTES_LIMIT else None


def _make_repeat_reply(record: RequestRecord, command: BeginRequest) -> Reply:
    if record.fingerprint != command.fingerprint:
        return KeyConflict()
    if record.finished:
        return Recorded(answer=record.answer)
    if record.request_id == command.request_id:
        return RecordBegun()
    return AlreadyRunning()


def _find(
    state: RecordState, tenant: Tenant, key: IdempotencyKey
) -> RequestRecord | None:
    return state.tenants.get(tenant, {}).get(key)


def _remove(state: RecordState, tenant: Tenant, key: IdempotencyKey) -> None:
    record = state.tenants[tenant].pop(key)
    if record.answer is not None:
        state.answer_bytes -= count_answer_bytes(record.answer)
    state.count -= 1
    if not state.tenants[tenant]:
        del state.tenants[tenant]
