"""Tests of the idempotency records."""

from __future__ import annotations

import unittest
from datetime import UTC, datetime, timedelta
from typing import Any
from unittest import mock

import msgspec

from rhubarbfield.machine import Done, Refused, Reply, SectionedMachine
from rhubarbfield.records import (
    RECORD_REPLIES,
    AlreadyRunning,
    BeginRequest,
    ClearRequest,
    ExpireRecords,
    FinishRequest,
    KeyConflict,
    RecordBegun,
    Recorded,
    RecordsFull,
    RecordState,
    omit_large_answer,
    record_commands,
    state,
)
from rhubarbfield.routing import BackendAnswer
from rhubarbfield.types import IdempotencyKey, LogIndex, RequestId, Tenant

NOON = datetime(2026, 1, 1, 12, tzinfo=UTC)
ANSWER = BackendAnswer(status=201, body=b"reserved")


class Sections(msgspec.Struct):
    records: RecordState = msgspec.field(default_factory=RecordState)


class RecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.machine = SectionedMachine(
            Sections, {"records": record_commands}, RECORD_REPLIES
        )

    def apply(self, command_type: Any, request_id: str = "r1", **fields: Any) -> Reply:
        named = {"tenant": Tenant("casa"), "key": IdempotencyKey("k")} | fields
        command = command_type(request_id=RequestId(request_id), **named)
        encoded = self.machine.encode_command(command)
        return self.machine.decode_reply(self.machine.apply(LogIndex(1), encoded))

    def begin(self, request_id: str = "r1", **fields: Any) -> Reply:
        given = {"fingerprint": "f", "at": NOON} | fields
        return self.apply(BeginRequest, request_id, **given)

    def finish(self, request_id: str = "r1", answer: Any = ANSWER) -> Reply:
        return self.apply(FinishRequest, request_id, answer=answer)

    def test_only_the_first_request_of_a_key_begins(self) -> None:
        self.assertEqual(self.begin("r1"), RecordBegun())
        self.assertEqual(self.begin("r1"), RecordBegun())
        self.assertEqual(self.begin("r2"), AlreadyRunning())
        self.assertEqual(self.begin("r2", tenant=Tenant("other")), RecordBegun())

    def test_a_repeat_gets_the_first_answer(self) -> None:
        self.begin("r1")
        self.assertEqual(self.finish("r2"), Refused(reason=mock.ANY))
        self.finish("r1")
        self.finish("r1", BackendAnswer(status=500))
        self.assertEqual(self.begin("r2"), Recorded(answer=ANSWER))
        self.assertEqual(self.begin("r1"), Recorded(answer=ANSWER))

    def test_another_request_with_the_key_conflicts(self) -> None:
        self.begin()
        self.assertEqual(self.begin("r2", fingerprint="g"), KeyConflict())
        self.finish()
        self.assertEqual(self.begin("r2", fingerprint="g"), KeyConflict())

    def test_a_key_is_cleared_only_by_its_own_unanswered_request(self) -> None:
        self.begin("r1")
        self.apply(ClearRequest, "r2")
        self.assertEqual(self.begin("r2"), AlreadyRunning())
        self.assertEqual(self.apply(ClearRequest, "r1"), Done())
        self.assertEqual(self.begin("r2"), RecordBegun())
        self.finish("r2")
        self.assertIsInstance(self.apply(ClearRequest, "r2"), Refused)
        self.assertEqual(self.begin("r3"), Recorded(answer=ANSWER))

    def test_a_large_answer_is_not_kept_but_its_record_is(self) -> None:
        large = BackendAnswer(status=200, body=bytes(5000))
        self.assertIsNone(omit_large_answer(large))
        for answer in (large, None):
            self.setUp()
            self.begin()
            self.finish(answer=answer)
            self.assertEqual(self.begin("r2"), Recorded(answer=None))

    def test_expiry_removes_old_records_and_their_bytes(self) -> None:
        self.begin()
        self.finish()
        self.begin(key=IdempotencyKey("young"), at=NOON + timedelta(hours=2))
        expire = ExpireRecords(
            at=NOON + timedelta(hours=3), kept_for=timedelta(hours=2)
        )
        self.machine.apply(LogIndex(1), self.machine.encode_command(expire))
        records = self.machine.state.records
        self.assertEqual((records.count, records.answer_bytes), (1, 0))

    def test_a_full_state_refuses_new_keys_only(self) -> None:
        self.begin()
        for limit in ("RECORDS_LIMIT", "TENANT_RECORDS_LIMIT"):
            with mock.patch.object(state, limit, 1):
                self.assertEqual(self.begin(key=IdempotencyKey("new")), RecordsFull())
                self.assertEqual(self.begin("r2"), AlreadyRunning())

    def test_the_limit_of_a_tenant_affects_no_other_tenant(self) -> None:
        self.begin()
        with mock.patch.object(state, "TENANT_RECORDS_LIMIT", 1):
            self.assertEqual(self.begin(key=IdempotencyKey("new")), RecordsFull())
            self.assertEqual(self.begin(tenant=Tenant("other")), RecordBegun())

    def test_a_snapshot_keeps_every_record(self) -> None:
        self.begin()
        self.finish()
        copy = SectionedMachine(Sections, {"records": record_commands}, RECORD_REPLIES)
        copy.restore(self.machine.take_snapshot())
        self.assertEqual(copy.state, self.machine.state)
