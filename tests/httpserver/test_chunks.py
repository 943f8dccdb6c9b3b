"""Tests of the decoder of chunked content."""

from __future__ import annotations

import unittest

import h11
from hypothesis import given
from hypothesis import strategies as st

from rhubarbfield.httpserver.chunks import MAX_HEAD_BYTES, ChunkDecoder, ChunkError

MAX_TRAILER_BYTES = 100
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
NEXT = b"GET /next HTTP/1.1\r\n\r\n"
BAD = (
    b"\r\n",
    b"x\r\n",
    b"-1\r\na\r\n",
    b"+1\r\na\r\n",
    b"0x1\r\na\r\n",
    b"1\na\n",
    b"1\r\nab\r\n",
    b"2\r\na\r\n\r\n",
    b"1\r\na1\r\na\r\n",
    b"1" * 17 + b"\r\n",
    b"1;" + b"e" * (MAX_HEAD_BYTES + 1),
    b"0\r\n" + b"a: b\r\n" * 40,
)


def decode(data: bytes, sizes: list[int]) -> ChunkDecoder:
    """Feed ``data`` in pieces of the given sizes, and the rest at once."""
    decoder = ChunkDecoder(MAX_TRAILER_BYTES)
    for size in sizes:
        decoder.feed(data[:size])
        data = data[size:]
    decoder.feed(data)
    return decoder


def encode(chunks: list[bytes]) -> bytes:
    framed = [b"%x\r\n%b\r\n" % (len(chunk), chunk) for chunk in chunks]
    return b"".join([*framed, b"0\r\n\r\n"])


def decode_by_h11(data: bytes) -> bytes:
    connection = h11.Connection(h11.SERVER)
    connection.receive_data(HEAD + data)
    content = b""
    while not isinstance(event := connection.next_event(), h11.EndOfMessage):
        if isinstance(event, h11.Data):
            content += event.data
    return content


class ChunkDecoderTest(unittest.TestCase):
    @given(
        st.lists(st.binary(min_size=1, max_size=40), max_size=20),
        st.lists(st.integers(0, 30), max_size=20),
    )
    def test_content_is_the_same_however_it_arrives(
        self, chunks: list[bytes], sizes: list[int]
    ) -> None:
        data = encode(chunks)
        decoder = decode(data + NEXT, sizes)
        self.assertTrue(decoder.is_complete)
        self.assertEqual(decoder.rest, NEXT)
        self.assertEqual(decoder.content.take_all(), decode_by_h11(data))

    @given(st.binary(max_size=300), st.lists(st.integers(0, 30), max_size=20))
    def test_one_byte_chunks_are_like_any_others(
        self, content: bytes, sizes: list[int]
    ) -> None:
        data = encode([content[at : at + 1] for at in range(len(content))])
        self.assertEqual(decode(data, sizes).content.take_all(), content)

    def test_extensions_and_trailers_are_skipped(self) -> None:
        decoder = decode(b"1;a=b\r\nx\r\n0\r\nt: u\r\n\r\n" + NEXT, [])
        self.assertEqual(decoder.content.take_all(), b"x")
        self.assertEqual(decoder.rest, NEXT)

    def test_content_that_stops_short_is_not_complete(self) -> None:
        data = encode([b"abc", b"d"])
        for size in range(len(data)):
            self.assertFalse(decode(data[:size], []).is_complete, size)

    def test_bad_framing_is_refused(self) -> None:
        for data in BAD:
            with self.subTest(data[:20]), self.assertRaises(ChunkError):
                decode(data, [])
                decode(data, [1] * len(data))
