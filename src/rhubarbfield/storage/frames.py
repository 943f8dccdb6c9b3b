"""Checksummed, length-prefixed records in a file.

Each record is a header followed by the payload. The header has three
little-endian numbers: the length of the payload, the checksum of the payload,
and the checksum of these two numbers.
"""

from __future__ import annotations

import re
import struct
import zlib
from collections.abc import Iterator

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
    end
        End of the damaged record; None if its header is damaged.
    """

    offset: int
    reason: str
    end: int | None = None


class Frames(msgspec.Struct, frozen=True):
    """Records that were read from a file.

    Attributes
    ----------
    payloads
        Payloads of the complete records.
    valid_bytes
        Size of the file up to the end of the last complete record.
    damage
        Damage at which reading stopped; None if it stopped at the end of the
        file or at a torn write.
    """

    payloads: list[bytes]
    valid_bytes: int
    damage: Damage | None = None


def frame_payload(payload: bytes) -> bytes:
    """Return ``payload`` as a record with its header."""
    fields = _HEADER_FIELDS.pack(len(payload), zlib.crc32(payload))
    return fields + _HEADER_CHECKSUM.pack(zlib.crc32(fields)) + payload


def read_frames(data: bytes) -> Frames:
    """Split the contents of a file into its records.

    An incomplete record at the end of the file and zeros after the last record
    are the result of a write that was interrupted before it became durable;
    they are ignored. Anything else that is invalid counts as damage.
    """
    payloads: list[bytes] = []
    offset = 0
    while len(data) - offset >= HEADER_BYTES:
        start = offset + HEADER_BYTES
        fields = data[offset : offset + _HEADER_FIELDS.size]
        size, checksum = _HEADER_FIELDS.unpack(fields)
        (header_checksum,) = _HEADER_CHECKSUM.unpack_from(
            data, offset + _HEADER_FIELDS.size
        )
        if header_checksum != zlib.crc32(fields):
            if not any(data[offset:]):
                break
            return Frames(payloads, offset, Damage(offset, "bad header checksum"))
        if len(data) - start < size:
            break
        payload = data[start : start + size]
        if zlib.crc32(payload) != checksum:
            damage = Damage(offset, "bad record checksum", start + size)
            return Frames(payloads, offset, damage)
        payloads.append(payload)
        offset = start + size
    return Frames(payloads, offset)


def ends_in_hole(data: bytes, damage: Damage) -> bool:
    """Return whether a damaged record is zeros from some byte to its end.

    That is what a loss of power leaves of a write, if it keeps a later one. The
    payloads must not begin with a zero.
    """
    if damage.end is None:
        return data[damage.offset + HEADER_BYTES :][:1] == b"\0"
    return damage.end < len(data) and data[damage.end - 1] == 0


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
