"""Checksummed, length-prefixed records in a file.

Each record is a header of three little-endian numbers and the payload: the
length of the payload, its checksum, and the checksum of these two.
"""

from __future__ import annotations

import struct
import zlib

import msgspec

_LENGTHS = struct.Struct("<II")
_CHECKSUM = struct.Struct("<I")
HEADER_BYTES = _LENGTHS.size + _CHECKSUM.size


class Damage(msgspec.Struct, frozen=True):
    """Bytes that no interrupted write explains.

    Attributes
    ----------
    offset
        Where the damaged record begins.
    reason
        What is wrong with it.
    """

    offset: int
    reason: str


class Frames(msgspec.Struct, frozen=True):
    """What a file holds.

    Attributes
    ----------
    payloads
        The whole records.
    whole_bytes
        The size of the file up to the last whole record.
    damage
        What ended the reading, unless it was the end or a torn write.
    """

    payloads: list[bytes]
    whole_bytes: int
    damage: Damage | None = None


def frame_payload(payload: bytes) -> bytes:
    """Return ``payload`` as a record."""
    lengths = _LENGTHS.pack(len(payload), zlib.crc32(payload))
    return lengths + _CHECKSUM.pack(zlib.crc32(lengths)) + payload


def read_frames(data: bytes) -> Frames:
    """Split the contents of a file into its records.

    A record that the end of the file cuts short, and zeros after the last
    record, are what a write leaves behind that was interrupted before it was
    made durable; they are left out. Anything else that is wrong is damage.
    """
    payloads: list[bytes] = []
    offset = 0
    while len(data) - offset >= HEADER_BYTES:
        start = offset + HEADER_BYTES
        lengths = data[offset : offset + _LENGTHS.size]
        size, checksum = _LENGTHS.unpack(lengths)
        (header_checksum,) = _CHECKSUM.unpack_from(data, offset + _LENGTHS.size)
        if header_checksum != zlib.crc32(lengths):
            if not any(data[offset:]):
                break
            return Frames(payloads, offset, Damage(offset, "bad header checksum"))
        if len(data) - start < size:
            break
        payload = data[start : start + size]
        if zlib.crc32(payload) != checksum:
            return Frames(payloads, offset, Damage(offset, "bad record checksum"))
        payloads.append(payload)
        offset = start + size
    return Frames(payloads, offset)
