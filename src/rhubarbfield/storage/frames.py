"""Checksummed, length-prefixed records in a file.

Each record is a header followed by the payload. The header has three
little-endian numbers: the length of the payload, the checksum of the payload,
and the checksum of these two numbers.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterable, Iterator

import msgspec

_HEADER_FIELDS = struct.Struct("<II")
_HEADER_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _HEADER_FIELDS.size + _HEADER_CHECKSUM.size
_NON_ZERO = re.compile(rb"[^\0]")


class Damage(msgspec.Struct, frozen=True):
    """Corruption that an interrupted write cannot have caused.

    Attributes
    ----------
    offset
        Start of the damaged record, in bytes.
    reason
        Description of the damage.
    size
        Size of the damaged record; None if its header is damaged.
    """

    offset: int
    reason: str
    size: int | None = None


def frame_payload(payload: bytes) -> bytes:
    """Return ``payload`` as a record with its header."""
    fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


class FrameReader:
    """Splits the contents of a file into its records, one in memory at a time.

    An incomplete record at the end of the file and zeros after the last record
    are the result of a write that was interrupted before it became durable;
    they are ignored. Anything else that is invalid counts as damage.

    Parameters
    ----------
    parts
        The contents of the file, in parts of any size.

    Attributes
    ----------
    offset
        End of the last complete record, in bytes.
    damage
        Damage at which reading stopped; None if it stopped at the end of the
        file or at a torn write.
    """

    def __init__(self, parts: Iterable[bytes]) -> None:
        self._parts = iter(parts)
        self._buffer = bytearray()
        self.offset = 0
        self.damage: Damage | None = None

    @property
    def is_at_end(self) -> bool:
        """Whether all that was read is part of a complete record."""
        return not self._buffer

    def read(self) -> Iterator[memoryview]:
        """Yield the payload of each complete record, valid until the next one."""
        while self._fill(HEADER_BYTES):
            fields = bytes(self._buffer[: _HEADER_FIELDS.size])
            size, checksum = _HEADER_FIELDS.unpack(fields)
            (header_checksum,) = _HEADER_CHECKSUM.unpack_from(
                self._buffer, _HEADER_FIELDS.size
            )
            if header_checksum != zlib.crc32(fields):
                if any(self.read_rest()):
                    self.damage = Damage(self.offset, "bad header checksum")
                return
            end = HEADER_BYTES + size
            if not self._fill(end):
                return
            with (
                memoryview(self._buffer) as content,
                content[HEADER_BYTES:end] as payload,
            ):
                if zlib.crc32(payload) != checksum:
                    self.damage = Damage(self.offset, "bad record checksum", end)
                    return
                yield payload
            del self._buffer[:end]
            self.offset += end

    def read_rest(self) -> bytes:
        """Return what follows the last complete record, up to the end of the file."""
        for part in self._parts:
            self._buffer += part
        return bytes(self._buffer)

    def _fill(self, size: int) -> bool:
        while len(self._buffer) < size:
            part = next(self._parts, None)
            if part is None:
                return False
            self._buffer += part
        return True


def ends_in_hole(rest: bytes, damage: Damage) -> bool:
    """Return whether a damaged record is zeros from some byte to its end.

    That is what a loss of power leaves of a write, if it keeps a later one. The
    payloads must not begin with a zero.

    Parameters
    ----------
    rest
        The file from the damaged record on.
    damage
        The damage.
    """
    if damage.size is None:
        return rest[HEADER_BYTES:][:1] == b"\0"
    return damage.size < len(rest) and rest[damage.size - 1] == 0


def search_frames(data: bytes, offset: int) -> Iterator[bytes]:
    """Yield the payloads of complete records at and after ``offset``, with gaps."""
    while (found := _NON_ZERO.search(data, offset)) is not None:
        # The length that a record begins with may begin with zeros.
        offset = max(offset, found.start() - _HEADER_FIELDS.size + 1)
        payload = _read_payload(data, offset)
        if payload is None:
            offset += 1
        else:
            yield payload
            offset += HEADER_BYTES + len(payload)


def _read_payload(data: bytes, offset: int) -> bytes | None:
    """Return the payload of the record at ``offset``, or None if it isn't valid."""
    start = offset + HEADER_BYTES
    if start > len(data):
        return None
    fields = data[offset : offset + _HEADER_FIELDS.size]
    (header_checksum,) = _HEADER_CHECKSUM.unpack_from(
        data, offset + _HEADER_FIELDS.size
    )
    if header_checksum != zlib.crc32(fields):
        return None
    size, checksum = _HEADER_FIELDS.unpack(fields)
    payload = data[start : start + size]
    is_valid = len(payload) == size and zlib.crc32(payload) == checksum
    return payload if is_valid else None
