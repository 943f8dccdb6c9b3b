"""What a controller says that can't decide."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import InstanceName


class NotLeading(msgspec.Struct, frozen=True, tag=True):
    """The controller asked does not lead the group; nothing was done.

    Attributes
    ----------
    leader
        Whom to ask instead, if known.
    """

    leader: InstanceName | None = None


class Unavailable(msgspec.Struct, frozen=True, tag=True):
    """The group could not decide in time.

    Attributes
    ----------
    reason
        A sentence for a person.
    in_doubt
        Whether the command may still have its effect.
    """

    reason: str
    in_doubt: bool
