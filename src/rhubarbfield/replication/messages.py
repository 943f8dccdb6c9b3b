"""Messages that the replicas of a group exchange."""

from __future__ import annotations

from typing import Annotated

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.replication.membership import MAX_VOTERS
from rhubarbfield.replication.settings import MAX_BATCH_ENTRIES
from rhubarbfield.storage import Entry, LogPosition, ReplicaId
from rhubarbfield.storage.records import IncarnationText, Index, Name, TermNumber
from rhubarbfield.types import InstanceName, Term

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
        The replica that sends the message.
    target
        The incarnation that the message is addressed to; any other ignores
        it. Empty if the sender does not know it.
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
        The term of the pre-vote request.
    granted
        Whether the vote would be granted.
    commit
        The last position that the sender knows to be committed.
    """

    asked_term: TermNumber
    granted: bool
    commit: LogPosition = LogPosition()


class Vote(Message, frozen=True):
    """Requests a vote in the sender's term.

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
        The term of the vote request.
    granted
        Whether the vote was granted.
    unpromised
        Time since the voter's promise to an earlier leader ended; 0 if unknown.
    """

    asked_term: TermNumber
    granted: bool
    unpromised: Microseconds = 0


class Append(Message, frozen=True):
    """Carries log entries and serves as the leader's heartbeat.

    Attributes
    ----------
    previous
        The position of the entry just before ``entries``.
    entries
        Consecutive entries; empty in a plain heartbeat.
    commit
        The leader's commit index.
    confirmed
        Whether the leader held its lease when it sent this, so that
        ``commit`` was not behind any other replica's.
    sent
        The leader's monotonic time at sending, in microseconds.
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
        If matched, the last index up to which the logs agree durably;
        otherwise an index after which the leader may try again.
    sent
        ``sent`` of the message answered.
    """

    asked_term: TermNumber
    matched: bool
    index: Index
    sent: Microseconds


class InstallSnapshot(Message, frozen=True):
    """Carries a chunk of a snapshot, for a replica that needs entries no longer kept.

    Attributes
    ----------
    position
        The last entry included in the snapshot.
    membership
        The encoded membership in force at ``position``.
    total
        Size of the whole snapshot in bytes.
    offset
        The position of ``data`` in the snapshot, in bytes.
    data
        The chunk.
    sent
        The leader's monotonic time at sending, in microseconds.
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
        ``position`` of the snapshot.
    received
        Bytes received without gaps; the total once the snapshot is installed.
    sent
        ``sent`` of the message answered.
    """

    asked_term: TermNumber
    position: LogPosition
    received: Offset
    sent: Microseconds


class Release(Message, frozen=True):
    """Releases the leadership of the sender's term together with its lease.

    The sender has already stepped down and no longer acts as leader of the
    term.
    """


class Probe(Message, frozen=True):
    """Asks for the leader and contacts of the group, and to be added as a learner.

    Attributes
    ----------
    empty
        Whether the sender's log is empty, so that it belongs to no group yet.
    founders
        Names of the founding voters, if the sender asks for a pledge to found
        the group in its term.
    """

    empty: bool
    founders: Annotated[tuple[Name, ...], msgspec.Meta(max_length=MAX_VOTERS)] = ()


class ProbeAnswer(Message, frozen=True):
    """Answers a :class:`Probe`.

    Attributes
    ----------
    empty
        Whether the sender's log is empty, so that it belongs to no group yet.
    leader
        The leader, if known.
    contacts
        Instances that may know the leader.
    may_found
        Whether the sender may take part in founding the group.
    pledge
        If so, the founder that it has pledged to in its term.
    asked_term
        The term of the probe that is answered.
    """

    empty: bool
    leader: Name | None
    contacts: Annotated[
        tuple[InstanceName, ...], msgspec.Meta(max_length=MAX_CONTACTS)
    ] = ()
    may_found: bool = False
    pledge: ReplicaId | None = None
    asked_term: TermNumber = Term(0)


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
    """Bytes that do not decode to a message.

    Attributes
    ----------
    reason
        The decoding error, which names the field.
    """

    reason: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(ReplicationMessage)


def encode_message(message: ReplicationMessage) -> bytes:
    """Return the encoded ``message``."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> Result[ReplicationMessage, MalformedMessage]:
    """Decode ``data`` as returned by :func:`encode_message`."""
    try:
        return Success(_decoder.decode(data))
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        return Failure(MalformedMessage(str(error)))
