"""Chunked content of requests (RFC 9112, section 7.1)."""

from __future__ import annotations

import re

from rhubarbfield.parts import Parts

_HEAD = re.compile(rb"([0-9A-Fa-f]{1,16})[ \t]*(?:;[^\r\n\x00]*)?\r\n")
# Chunks of one byte, as many as follow each other.
_TINY_CHUNKS = re.compile(rb"(?:0{0,7}1\r\n[\x00-\xff]\r\n)+")
_TINY_CHUNK = re.compile(rb"0{0,7}1\r\n([\x00-\xff])\r\n")
MAX_HEAD_BYTES = 4_096
LINE_END = b"\r\n"


class ChunkError(Exception):
    """Content that is not framed as chunked content is."""


class ChunkDecoder:
    """Decodes chunked content as it arrives.

    Attributes
    ----------
    content
        What was decoded.
    is_complete
        Whether the last chunk and the trailer section have arrived.
    """

    def __init__(self, max_trailer_bytes: int) -> None:
        self.content = Parts()
        self.is_complete = False
        self._max_trailer_bytes = max_trailer_bytes
        self._buffer = bytearray()
        # Bytes of the chunk that are still to come, with the line end after them.
        self._missing = 0
        self._is_in_trailers = False

    @property
    def rest(self) -> bytes:
        """What has arrived after the end of the content."""
        return bytes(self._buffer)

    @property
    def size(self) -> int:
        """Bytes that are held, decoded or not."""
        return len(self.content) + len(self._buffer)

    def feed(self, data: bytes) -> None:
        """Decode more bytes.

        Raises
        ------
        ChunkError
            If they are not chunked content.
        """
        self._buffer += data
        if self.is_complete:
            return
        position = 0
        while not self._is_in_trailers:
            end = self._decode_chunk(position)
            if end is None:
                break
            position = end
        del self._buffer[:position]
        if self._is_in_trailers:
            self._skip_trailers()
        elif not self._missing and len(self._buffer) > MAX_HEAD_BYTES:
            raise ChunkError("the size of a chunk does not end")

    def _decode_chunk(self, position: int) -> int | None:
        """Decode at ``position`` and return where it ended, None if bytes lack."""
        buffer = self._buffer
        if self._missing:
            return self._take(position)
        tiny = _TINY_CHUNKS.match(buffer, position)
        if tiny is not None:
            self.content.append(b"".join(_TINY_CHUNK.findall(tiny.group())))
            return tiny.end()
        head = _HEAD.match(buffer, position)
        if head is None:
            if b"\n" in buffer[position : position + MAX_HEAD_BYTES]:
                raise ChunkError("the size of a chunk is no hexadecimal number")
            return None
        size = int(head.group(1), 16)
        if size == 0:
            self._is_in_trailers = True
        else:
            self._missing = size + len(LINE_END)
        return head.end()

    def _take(self, position: int) -> int | None:
        """Take what has arrived of a chunk, and the line end after it."""
        available = len(self._buffer) - position
        if not available:
            return None
        size = min(available, self._missing - len(LINE_END))
        if size > 0:
            self.content.append(bytes(self._buffer[position : position + size]))
            self._missing -= size
            return position + size
        if available < self._missing:
            return None
        end = position + self._missing
        if self._buffer[position:end] != LINE_END:
            raise ChunkError("a chunk is longer than its size")
        self._missing = 0
        return end

    def _skip_trailers(self) -> None:
        while (end := self._buffer.find(LINE_END)) >= 0:
            size = end + len(LINE_END)
            del self._buffer[:size]
            if end == 0:
                self._is_in_trailers = False
                self.is_complete = True
                return
            self._max_trailer_bytes -= size
        if len(self._buffer) > self._max_trailer_bytes:
            raise ChunkError("the trailer section is too large")
