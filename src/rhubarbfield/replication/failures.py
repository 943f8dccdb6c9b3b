"""How calls of a replica may fail."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import InstanceName


class NotLeader(msgspec.Struct, frozen=True, tag=True):
    """The replica asked does not lead; nothing was done.

    Attributes
    ----------
    leader
        Who may be asked instead, if known.
    """

    leader: InstanceName | None


class NoQuorum(msgspec.Struct, frozen=True, tag=True):
    """Too few voters answer; nothing was done."""


class OutcomeUnknown(msgspec.Struct, frozen=True, tag=True):
    """The command was appended, but whether it will be applied is unknown."""


class Overloaded(msgspec.Struct, frozen=True, tag=True):
    """The command was refused before it was appended.

    Attributes
    ----------
    reason
        Which bound was met.
    """

    reason: str


class Unsafe(msgspec.Struct, frozen=True, tag=True):
    """The change of membership was refused; nothing was done.

    Attributes
    ----------
    reason
        A sentence for a person.
    """

    reason: str


ProposeError = NotLeader | NoQuorum | OutcomeUnknown | Overloaded
ChangeError = NotLeader | NoQuorum | OutcomeUnknown | Unsafe
