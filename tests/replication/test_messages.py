"""Tests of the encoding of messages."""

from __future__ import annotations

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from rhubarbfield.replication import ReplicaId, decode_message, encode_message
from rhubarbfield.replication.messages import Append, VoteAnswer
from rhubarbfield.storage import Entry, EntryKind, LogPosition
from rhubarbfield.types import Incarnation, InstanceName, LogIndex, Term

MESSAGE = Append(
    source=ReplicaId(InstanceName("a"), Incarnation("1")),
    target=Incarnation("2"),
    term=Term(4),
    previous=LogPosition(LogIndex(7), Term(3)),
    entries=(Entry(LogIndex(8), Term(4), EntryKind.COMMAND, b"set"),),
    commit=LogIndex(7),
    confirmed=True,
    sent=1,
)


class MessageTest(unittest.TestCase):
    def test_a_message_round_trips(self) -> None:
        self.assertEqual(decode_message(encode_message(MESSAGE)), Success(MESSAGE))

    def test_vote_of_an_earlier_version_tells_of_no_time_without_a_promise(
        self,
    ) -> None:
        answer = VoteAnswer(
            source=MESSAGE.source,
            target=MESSAGE.target,
            term=MESSAGE.term,
            asked_term=MESSAGE.term,
            granted=True,
            unpromised=5,
        )
        fields = msgspec.msgpack.decode(encode_message(answer))
        del fields["unpromised"]
        earlier = decode_message(msgspec.msgpack.encode(fields)).unwrap()
        self.assertEqual(earlier, msgspec.structs.replace(answer, unpromised=0))

    def test_a_bad_field_is_named(self) -> None:
        data = encode_message(MESSAGE).replace(b"\xa4term\x04", b"\xa4term\xff")
        result = decode_message(data)
        self.assertIn("$.term", result.failure().reason)

    @settings(max_examples=300, derandomize=True)
    @given(st.binary(max_size=200), st.integers(0, 200), st.binary(max_size=4))
    def test_any_bytes_are_decoded_or_refused(
        self, noise: bytes, offset: int, patch: bytes
    ) -> None:
        data = bytearray(encode_message(MESSAGE))
        data[offset : offset + len(patch)] = patch
        for sample in (noise, bytes(data)):
            self.assertIsInstance(decode_message(sample), Success | Failure)
