"""Who belongs to a group, and what a majority of it is."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import Annotated, TypeVar

import msgspec

from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import InstanceName, LogIndex

MAX_VOTERS = 15

RankT = TypeVar("RankT", int, LogIndex, timedelta)


class Membership(msgspec.Struct, frozen=True, array_like=True):
    """The voters of a group.

    Attributes
    ----------
    voters
        Each with the incarnation that may vote.
    """

    voters: Annotated[tuple[ReplicaId, ...], msgspec.Meta(max_length=MAX_VOTERS)]

    def find_voter(self, name: InstanceName) -> ReplicaId | None:
        """Return the voter called ``name``, whatever its incarnation."""
        return next((voter for voter in self.voters if voter.name == name), None)

    def replace(self, old: ReplicaId | None, new: ReplicaId | None) -> Membership:
        """Return a membership without ``old`` and with ``new``."""
        kept = [voter for voter in self.voters if voter != old]
        added = [new] if new is not None else []
        return Membership(tuple(sorted(kept + added)))


class PlacedMembership(msgspec.Struct, frozen=True):
    """A membership and the index of the entry that brought it."""

    index: LogIndex
    membership: Membership


class Quorum(msgspec.Struct, frozen=True):
    """The memberships whose majorities must all agree.

    One, or two while a change of membership is not committed.

    Attributes
    ----------
    memberships
        The old and the new one, or the only one.
    """

    memberships: tuple[Membership, ...]

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """All the voters, each once, in order."""
        every = {voter for each in self.memberships for voter in each.voters}
        return tuple(sorted(every))

    def is_reached(self, holds: Callable[[ReplicaId], bool]) -> bool:
        """Say whether a majority of each membership satisfies ``holds``."""
        return bool(self.memberships) and all(
            2 * sum(holds(voter) for voter in each.voters) > len(each.voters)
            for each in self.memberships
        )

    def find_agreed(self, rank: Callable[[ReplicaId], RankT]) -> RankT:
        """Return the highest rank that a majority of each has or exceeds."""
        return min(
            find_majority_rank([rank(voter) for voter in each.voters])
            for each in self.memberships
        )


def find_majority_rank(ranks: Sequence[RankT]) -> RankT:
    """Return the highest rank that a majority of ``ranks`` has or exceeds."""
    return sorted(ranks, reverse=True)[len(ranks) // 2]
