"""Replicated idempotency records, which let a request run at most once."""

from rhubarbfield.records.replies import translate_begin_reply
from rhubarbfield.records.state import (
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
    RequestRecord,
    omit_large_answer,
    record_commands,
)

__all__ = [
    "RECORD_REPLIES",
    "AlreadyRunning",
    "BeginRequest",
    "ClearRequest",
    "ExpireRecords",
    "FinishRequest",
    "KeyConflict",
    "RecordBegun",
    "RecordState",
    "Recorded",
    "RecordsFull",
    "RequestRecord",
    "record_commands",
    "translate_begin_reply",
    "omit_large_answer",
]
