"""Memberships of a group and their quorums."""

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
        The voters, each with the incarnation that may vote.
    """

    voters: Annotated[tuple[ReplicaId, ...], msgspec.Meta(max_length=MAX_VOTERS)]

    def find_voter(self, name: InstanceName) -> ReplicaId | None:
        """Return the voter called ``name`` in any incarnation, or None."""
        return next((voter for voter in self.voters if voter.name == name), None)

    def replace(self, old: ReplicaId | None, new: ReplicaId | None) -> Membership:
        """Return the membership with ``old`` removed and ``new`` added."""
        kept = [voter for voter in self.voters if voter != old]
        added = [new] if new is not None else []
        return Membership(tuple(sorted(kept + added)))


class IndexedMembership(msgspec.Struct, frozen=True):
    """A membership and the log index of the entry that set it."""

    index: LogIndex
    membership: Membership


class Quorum(msgspec.Struct, frozen=True):
    """The memberships whose majorities must all agree.

    Attributes
    ----------
    memberships
        One membership, or the old and the new one while a membership change
        is not committed.
    """

    memberships: tuple[Membership, ...]

    @property
    def voters(self) -> tuple[ReplicaId, ...]:
        """The voters of all memberships, sorted and without duplicates."""
        every = {voter for each in self.memberships for voter in each.voters}
        return tuple(sorted(every))

    def is_reached(self, holds: Callable[[ReplicaId], bool]) -> bool:
        """Return whether a majority of each membership satisfies ``holds``."""
        return bool(self.memberships) and all(
            2 * sum(holds(voter) for voter in each.voters) > len(each.voters)
            for each in self.memberships
        )

    def find_quorum_rank(self, rank: Callable[[ReplicaId], RankT]) -> RankT:
        """Return the highest rank that a majority of each membership reaches."""
        return min(
            find_majority_rank([rank(voter) for voter in each.voters])
            for each in self.memberships
        )


def find_majority_rank(ranks: Sequence[RankT]) -> RankT:
    """Return the highest rank that a majority of ``ranks`` reaches."""
    return sorted(ranks, reverse=True)[len(ranks) // 2]
