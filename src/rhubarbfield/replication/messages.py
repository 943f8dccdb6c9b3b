"""What the replicas of a group tell each other."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.replication.membership import MAX_VOTERS
from rhubarbfield.replication.settings import MAX_BATCH_ENTRIES
from rhubarbfield.storage import Entry, LogPosition, ReplicaId
from rhubarbfield.storage.records import IncarnationText, Index, Name, TermNumber
from rhubarbfield.types import InstanceName

MAX_CHUNK_BYTES = 256 * 1024
MAX_SNAPSHOT_BYTES = 256 * 1024 * 1024
MAX_MEMBERSHIP_BYTES = 64 * 1024
MAX_CONTACTS = 4 * MAX_VOTERS

Microseconds = Annotated[int, msgspec.Meta(ge=0, lt=2**62)]
Offset = Annotated[int, msgspec.Meta(ge=0, le=MAX_SNAPSHOT_BYTES)]


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of all messages.

    Attributes
    ----------
    source
        Who sends it.
    target
        The incarnation it is meant for; any other one ignores it. Empty if
        the sender does not know it.
    term
        The sender's term.
    """

    source: ReplicaId
    target: IncarnationText
    term: TermNumber


class PreVote(Message, frozen=True):
    """Asks whether a vote in the next term would be granted.

    Attributes
    ----------
    last
        The position of the sender's last entry.
    """

    last: LogPosition


class PreVoteAnswer(Message, frozen=True):
    """Answers a :class:`PreVote`.

    Attributes
    ----------
    asked_term
        The term that the asker is in.
    granted
        Whether the vote would be granted.
    """

    asked_term: TermNumber
    granted: bool


class Vote(Message, frozen=True):
    """Asks for a vote in the sender's term.

    Attributes
    ----------
    last
        The position of the sender's last entry.
    """

    last: LogPosition


class VoteAnswer(Message, frozen=True):
    """Answers a :class:`Vote`.

    Attributes
    ----------
    asked_term
        The term of the vote.
    granted
        Whether the vote was given.
    """

    asked_term: TermNumber
    granted: bool


class Append(Message, frozen=True):
    """Brings entries, and is the leader's heartbeat.

    Attributes
    ----------
    previous
        The position just before the entries.
    entries
        Without gaps; none in a mere heartbeat.
    commit
        The leader's commit index.
    confirmed
        Whether the leader held its lease when it sent this, so that
        ``commit`` was not behind any other replica's.
    sent
        The leader's monotonic time of sending, in microseconds.
    """

    previous: LogPosition
    entries: Annotated[tuple[Entry, ...], msgspec.Meta(max_length=MAX_BATCH_ENTRIES)]
    commit: Index
    confirmed: bool
    sent: Microseconds


class AppendAnswer(Message, frozen=True):
    """Answers an :class:`Append`.

    Attributes
    ----------
    asked_term
        The term of the message answered.
    matched
        Whether the log agreed with the leader's at ``previous``.
    index
        If matched, up to where the logs agree durably; else an index from
        which the leader may try.
    sent
        That of the message answered.
    """

    asked_term: TermNumber
    matched: bool
    index: Index
    sent: Microseconds


class InstallSnapshot(Message, frozen=True):
    """Brings a part of a snapshot to a replica that lags too far behind.

    Attributes
    ----------
    position
        The last entry included in the snapshot.
    membership
        The encoded membership in force there.
    total
        Size of the whole snapshot in bytes.
    offset
        Where ``data`` begins in it.
    data
        The part.
    sent
        The leader's monotonic time of sending, in microseconds.
    """

    position: LogPosition
    membership: Annotated[bytes, msgspec.Meta(max_length=MAX_MEMBERSHIP_BYTES)]
    total: Offset
    offset: Offset
    data: Annotated[bytes, msgspec.Meta(max_length=MAX_CHUNK_BYTES)]
    sent: Microseconds


class InstallSnapshotAnswer(Message, frozen=True):
    """Answers an :class:`InstallSnapshot`.

    Attributes
    ----------
    asked_term
        The term of the message answered.
    position
        That of the snapshot.
    received
        Bytes received without gaps; the total once it is installed.
    sent
        That of the message answered.
    """

    asked_term: TermNumber
    position: LogPosition
    received: Offset
    sent: Microseconds


class Release(Message, frozen=True):
    """Gives up the leadership of the sender's term, and its lease with it.

    The sender has stepped down before; it acts as leader of this term no more.
    """


class Probe(Message, frozen=True):
    """Asks what the receiver knows of the group, and to be taken as learner.

    Attributes
    ----------
    empty
        Whether the sender has never heard of a group.
    """

    empty: bool


class ProbeAnswer(Message, frozen=True):
    """Answers a :class:`Probe`.

    Attributes
    ----------
    empty
        Whether the sender has never heard of a group.
    leader
        The leader, if known.
    contacts
        Instances that may know more.
    """

    empty: bool
    leader: Name | None
    contacts: Annotated[
        tuple[InstanceName, ...], msgspec.Meta(max_length=MAX_CONTACTS)
    ] = ()


ReplicationMessage = (
    PreVote
    | PreVoteAnswer
    | Vote
    | VoteAnswer
    | Append
    | AppendAnswer
    | InstallSnapshot
    | InstallSnapshotAnswer
    | Release
    | Probe
    | ProbeAnswer
)


class MalformedMessage(msgspec.Struct, frozen=True, tag=True):
    """Bytes that are no message.

    Attributes
    ----------
    reason
        What is wrong with them, naming the field.
    """

    reason: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ReplicationMessage)


def encode_message(message: ReplicationMessage) -> bytes:
    """Return ``message`` as bytes."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Result[ReplicationMessage, MalformedMessage]:
    """Return the message that :func:`encode_message` made into ``data``."""
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(MalformedMessage(str(error)))
