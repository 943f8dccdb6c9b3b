"""Format of the files of a log store."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.storage.frames import (
    Damage,
    FrameReader,
    ends_in_hole,
    frame_payload,
    search_frames,
)
from rhubarbfield.storage.records import (
    Entry,
    HardState,
    LogPosition,
    Snapshot,
    StoredLog,
)
from rhubarbfield.storage.store import StoreDamaged

LOG_FILE = "log"
SNAPSHOT_FILE = "snapshot"
FORMAT_VERSION = 1
# Limits what is encoded at once; a larger entry has a record of its own.
RECORD_BYTES = 256 * 1024
DECODE_ERRORS = (msgspec.DecodeError, UnicodeDecodeError, RecursionError)


class LogHeader(msgspec.Struct, frozen=True, array_like=True):
    """First record of a log file.

    Attributes
    ----------
    version
        Version of the file format.
    base
        Position just before the first entry.
    """

    version: int
    base: LogPosition


class LogRecord(msgspec.Struct, frozen=True, array_like=True):
    """Any later record of a log file, written and synced as a unit.

    Attributes
    ----------
    hard_state
        Replaces the hard state of the previous record.
    entries
        Replace the entries stored at and after the index of the first one.
    durable
        Size of the beginning of the file that was durable when the record was
        written; None in a file that was made durable as a whole.
    """

    hard_state: HardState
    entries: tuple[Entry, ...] = ()
    durable: int | None = None


_encoder = msgspec.msgpack.Encoder()
_header_decoder = msgspec.msgpack.Decoder(LogHeader)
_record_decoder = msgspec.msgpack.Decoder(LogRecord)
_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)


def encode_record(record: LogRecord) -> bytes:
    """Return ``record`` as it is appended to a log file."""
    return frame_payload(_encoder.encode(record))


def encode_log(
    hard_state: HardState, base: LogPosition, entries: Sequence[Entry]
) -> Iterator[bytes]:
    """Yield the contents of a new log file in parts."""
    yield frame_payload(_encoder.encode(LogHeader(FORMAT_VERSION, base)))
    record: list[Entry] = []
    size = 0
    for entry in entries:
        if record and size + len(entry.data) > RECORD_BYTES:
            yield encode_record(LogRecord(hard_state, tuple(record)))
            record, size = [], 0
        record.append(entry)
        size += len(entry.data)
    yield encode_record(LogRecord(hard_state, tuple(record)))


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the contents of a snapshot file."""
    return frame_payload(_encoder.encode(snapshot))


def decode_log(parts: Iterable[bytes]) -> Result[StoredLog, StoreDamaged]:
    """Decode the contents of a log file up to the first write that was interrupted."""
    reader = FrameReader(parts)
    try:
        decoded = _replay(reader.read())
    except DECODE_ERRORS as error:
        decoded = Failure(StoreDamaged(LOG_FILE, reader.offset, str(error)))
    damage = reader.damage
    if damage is not None and not _is_interrupted_write(reader.read_rest(), damage):
        return Failure(StoreDamaged(LOG_FILE, damage.offset, damage.reason))
    return decoded


def _is_interrupted_write(rest: bytes, damage: Damage) -> bool:
    """Return whether a loss of power explains a damaged record before the end.

    Of the writes since the last sync it may lose any, or their ends, and keep later
    ones.

    Parameters
    ----------
    rest
        The file from the damaged record on.
    damage
        The damage.
    """
    for payload in search_frames(rest, damage.size or 1):
        try:
            durable = _record_decoder.decode(payload).durable
        except DECODE_ERRORS:
            return False
        if durable is None or durable > damage.offset:
            return False
    return ends_in_hole(rest, damage)


def decode_snapshot(parts: Iterable[bytes]) -> Result[Snapshot, StoreDamaged]:
    """Decode the contents of a snapshot file."""
    reader = FrameReader(parts)
    try:
        snapshots = [_snapshot_decoder.decode(payload) for payload in reader.read()]
    except DECODE_ERRORS as error:
        return Failure(StoreDamaged(SNAPSHOT_FILE, 0, str(error)))
    if reader.damage is not None:
        damage = reader.damage
        return Failure(StoreDamaged(SNAPSHOT_FILE, damage.offset, damage.reason))
    if len(snapshots) != 1 or not reader.is_at_end:
        return Failure(
            StoreDamaged(SNAPSHOT_FILE, 0, "not exactly one complete record")
        )
    return Success(snapshots[0])


def _replay(payloads: Iterator[memoryview]) -> Result[StoredLog, StoreDamaged]:
    first = next(payloads, None)
    if first is None:
        return Failure(StoreDamaged(LOG_FILE, 0, "no complete record"))
    header = _header_decoder.decode(first)
    if header.version != FORMAT_VERSION:
        reason = f"format version {header.version}, but {FORMAT_VERSION} is supported"
        return Failure(StoreDamaged(LOG_FILE, 0, reason))
    base = header.base
    hard_state = HardState()
    entries: list[Entry] = []
    for number, payload in enumerate(payloads, 1):
        record = _record_decoder.decode(payload)
        hard_state = record.hard_state
        if not record.entries:
            continue
        start = record.entries[0].index - base.index - 1
        indexes = range(record.entries[0].index, record.entries[-1].index + 1)
        if not 0 <= start <= len(entries) or list(indexes) != [
            entry.index for entry in record.entries
        ]:
            reason = f"record {number} leaves a gap in the entries"
            return Failure(StoreDamaged(LOG_FILE, 0, reason))
        del entries[start:]
        entries.extend(record.entries)
    return Success(StoredLog(hard_state, None, base, tuple(entries)))


def join_snapshot(
    log: StoredLog, snapshot: Snapshot | None
) -> Result[StoredLog, StoreDamaged]:
    """Combine a log and a snapshot that were saved one after the other.

    The snapshot may be newer than the log if the process ended between the
    two writes. It is never older than the base of the log.
    """
    if snapshot is None:
        if log.base.index > 0:
            return Failure(StoreDamaged(SNAPSHOT_FILE, 0, "the file is missing"))
        return Success(log)
    position = snapshot.position
    if position.index < log.base.index:
        reason = f"it ends at {position.index}, the log starts after {log.base.index}"
        return Failure(StoreDamaged(SNAPSHOT_FILE, 0, reason))
    offset = position.index - log.base.index
    positions = [log.base, *(LogPosition(e.index, e.term) for e in log.entries)]
    matches_log = offset < len(positions) and positions[offset] == position
    if matches_log:
        return Success(StoredLog(log.hard_state, snapshot, log.base, log.entries))
    return Success(StoredLog(log.hard_state, snapshot, position, ()))
