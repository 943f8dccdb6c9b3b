"""The replicated records of requests that must run at most once.

A record is begun before its request is dispatched. From then on the key is
never run again: a repeat gets the first answer, or hears that the request
still runs or that its outcome is unknown. Only a request that was surely not
run is cleared. A key whose record has expired counts as new, so the time kept
must be longer than any caller repeats.
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
ANSWERS_BYTES_LIMIT = 8 << 20


class RequestRecord(msgspec.Struct, kw_only=True):
    """What is known of one key.

    Attributes
    ----------
    begun_at
        When it was recorded, by the clock of the entry that did.
    finished
        Whether a backend server answered.
    answer
        The answer, if it was small enough to keep.
    """

    fingerprint: str
    request_id: RequestId
    begun_at: datetime
    finished: bool = False
    answer: BackendAnswer | None = None


class RecordState(msgspec.Struct):
    """All records of one failure domain.

    Attributes
    ----------
    tenants
        For each tenant, the records by key.
    count
        How many records there are.
    answer_bytes
        How many bytes of answers are kept.
    """

    tenants: dict[Tenant, dict[IdempotencyKey, RequestRecord]] = {}
    count: int = 0
    answer_bytes: int = 0


class BeginRequest(Command, frozen=True):
    """Record a request before it is dispatched.

    Attributes
    ----------
    fingerprint
        A digest of what the request asks for.
    at
        The time by the clock of the proposer.
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
    """Forget a request that was not run."""

    tenant: Tenant
    key: IdempotencyKey
    request_id: RequestId


class ExpireRecords(Command, frozen=True):
    """Forget what is older than anyone repeats.

    Attributes
    ----------
    at
        The time by the clock of the proposer.
    kept_for
        The age beyond which a record is forgotten.
    """

    at: datetime
    kept_for: timedelta


class RecordBegun(Reply, frozen=True):
    """The request may be dispatched."""


class AlreadyRunning(Reply, frozen=True):
    """The key was begun by another request, whose outcome is not known."""


class Recorded(Reply, frozen=True):
    """The key was answered before.

    Attributes
    ----------
    answer
        ``None`` if it was too large to keep.
    """

    answer: BackendAnswer | None


class KeyConflict(Reply, frozen=True):
    """The key belongs to a request that asked for something else."""


class RecordsFull(Reply, frozen=True):
    """There are too many records, of all or of the tenant; none was written."""


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

    The same request may begin twice, as its proposer repeats a proposal whose
    reply was lost.
    """
    record = _find(state, command.tenant, command.key)
    if record is not None:
        return _judge_repeat(record, command)
    of_tenant = len(state.tenants.get(command.tenant, ()))
    if state.count >= RECORDS_LIMIT or of_tenant >= TENANT_RECORDS_LIMIT:
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
    """Keep the answer with the record of the request."""
    record = _find(state, command.tenant, command.key)
    if record is None or record.request_id != command.request_id:
        return Refused(reason="the key has no record of this request")
    if record.finished:
        return Done()
    record.finished = True
    if command.answer is None:
        return Done()
    size = measure_answer(command.answer)
    if size <= ANSWER_BYTES_LIMIT and state.answer_bytes + size <= ANSWERS_BYTES_LIMIT:
        record.answer = command.answer
        state.answer_bytes += size
    return Done()


@record_commands.applies(ClearRequest)
def clear_request(state: RecordState, command: ClearRequest) -> Reply:
    """Remove the record of a request that has no answer."""
    record = _find(state, command.tenant, command.key)
    if record is None or record.request_id != command.request_id:
        return Done()
    if record.finished:
        return Refused(reason="the request was answered")
    _remove(state, command.tenant, command.key)
    return Done()


@record_commands.applies(ExpireRecords)
def expire_records(state: RecordState, command: ExpireRecords) -> Reply:
    """Remove the records that are too old."""
    oldest = command.at - command.kept_for
    expired = [
        (tenant, key)
        for tenant, records in state.tenants.items()
        for key, record in records.items()
        if record.begun_at < oldest
    ]
    for tenant, key in expired:
        _remove(state, tenant, key)
    return Done()


def measure_answer(answer: BackendAnswer) -> int:
    """Return about how many bytes it takes to keep ``answer``."""
    headers = sum(len(each.name) + len(each.value) for each in answer.headers)
    return len(answer.body) + headers


def omit_large_answer(answer: BackendAnswer) -> BackendAnswer | None:
    """Return ``answer``, or ``None`` if it is too large to keep.

    Proposers call it, so that no large command goes through the log.
    """
    return answer if measure_answer(answer) <= ANSWER_BYTES_LIMIT else None


def _judge_repeat(record: RequestRecord, command: BeginRequest) -> Reply:
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
        state.answer_bytes -= measure_answer(record.answer)
    state.count -= 1
    if not state.tenants[tenant]:
        del state.tenants[tenant]
