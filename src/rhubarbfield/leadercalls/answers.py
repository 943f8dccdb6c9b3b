"""Answers of a controller that cannot execute a command."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.types import InstanceName


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """The controller does not lead the group; nothing was done.

    Attributes
    ----------
    leader
        The instance to ask instead, if known.
    """

    leader: InstanceName | None = None


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """The group did not commit the command in time.

    Attributes
    ----------
    reason
        A human-readable explanation.
    in_doubt
        Whether the command may still take effect.
    permanent
        Whether it would not be committed at any other time either.
    """

    reason: str
    in_doubt: bool
    permanent: bool = False


class NotAdmitted(msgspec.Struct, frozen=True, tag=True):
    """The leader rejects the command, since it could not be served; nothing was done.

    Attributes
    ----------
    reason
        A human-readable explanation.
    retry_after
        Time after which the caller should retry.
    """

    reason: str
    retry_after: timedelta
