"""Failures of calls to a replica."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import InstanceName


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """The replica is not the leader; nothing was done.

    Attributes
    ----------
    leader
        The instance to ask instead, if known.
    """

    leader: InstanceName | None


class NoQuorum(msgspec.Struct, frozen=True, tag=True):
    """The leader has no quorum of voters; nothing was done."""


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """The command was appended, but whether it will be applied is unknown."""


class Overloaded(msgspec.Struct, frozen=True, tag=True):
    """The command was refused before it was appended.

    Attributes
    ----------
    reason
        The limit that was exceeded.
    permanent
        Whether the command would be refused at any time.
    """

    reason: str
    permanent: bool = False


class Unsafe(msgspec.Struct, frozen=True, tag=True):
    """The membership change was refused; nothing was done.

    Attributes
    ----------
    reason
        A human-readable explanation.
    """

    reason: str


ProposeError = NotLeader | NoQuorum | OutcomeUnknown | Overloaded
ChangeError = NotLeader | NoQuorum | OutcomeUnknown | Unsafe
