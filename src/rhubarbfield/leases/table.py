"""The grantor's side of leases: one lease per session of a holder."""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from datetime import timedelta
from typing import Generic, TypeVar

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.leases.terms import Lease, LeaseTerms
from rhubarbfield.types import Epoch

HolderT = TypeVar("HolderT", bound=Hashable)


class UnknownHolder(msgspec.Struct, frozen=True, kw_only=True):
    """The holder has no session with this leader and must open one."""


class LeaseLapsed(msgspec.Struct, frozen=True, kw_only=True):
    """The lease has lapsed or was superseded; the holder needs a new session.

    Attributes
    ----------
    epoch
        The epoch that the grantor granted last.
    """

    epoch: Epoch


class _Granted(msgspec.Struct):
    epoch: Epoch
    answered: timedelta
    revoked: bool = False


class LeaseTable(Generic[HolderT]):
    """Leases granted by one leader, held in memory only.

    A leader creates the table when its term begins. It cannot know which leases
    its predecessor granted shortly before, so every session in the log counts as
    renewed at that time.

    Parameters
    ----------
    terms
        Settings of these leases.
    open_sessions
        Epoch of the open session of each holder, from the log.
    at
        The grantor's monotonic reading when it became leader.
    """

    def __init__(
        self,
        terms: LeaseTerms,
        *,
        open_sessions: Mapping[HolderT, Epoch],
        at: timedelta,
    ) -> None:
        self._terms = terms
        self._closed = False
        self._granted = {
            holder: _Granted(epoch=epoch, answered=at)
            for holder, epoch in open_sessions.items()
        }

    def __len__(self) -> int:
        """Return the number of sessions whose end is not yet committed."""
        return len(self._granted)

    def close(self) -> None:
        """Refuse all further grants and renewals, once the leader's term has ended.

        Connections may outlive the term in which they were made. The table of the
        next term would not know of leases that they renewed here.
        """
        self._closed = True

    def grant(
        self, holder: HolderT, *, epoch: Epoch, number: int, at: timedelta
    ) -> Result[Lease, LeaseLapsed]:
        """Open a session of ``holder`` under an epoch committed to the log.

        Fails if a newer session is open, if the table is closed, or if
        :meth:`revoke_lapsed` has returned the holder's session: the consequences
        of that lapse are still being committed and could be committed after
        ``epoch``.

        Parameters
        ----------
        holder
            The holder that gets the lease.
        epoch
            The session's epoch, above that of any earlier session.
        number
            Number of the request that is answered.
        at
            The grantor's monotonic reading when it answers.
        """
        known = self._granted.get(holder)
        if self._closed:
            return Failure(LeaseLapsed(epoch=epoch))
        if known is not None and (known.revoked or epoch < known.epoch):
            return Failure(LeaseLapsed(epoch=known.epoch))
        self._granted[holder] = _Granted(epoch=epoch, answered=at)
        return Success(self._make_lease(epoch, number))

    def renew(
        self, holder: HolderT, *, epoch: Epoch, number: int, at: timedelta
    ) -> Result[Lease, UnknownHolder | LeaseLapsed]:
        """Extend the lease of ``holder``; the caller must be leader at this time.

        Parameters
        ----------
        holder, epoch
            The holder and the epoch of its session.
        number
            Number of the request that is answered.
        at
            The grantor's monotonic reading when it answers.
        """
        granted = self._granted.get(holder)
        if granted is None or self._closed:
            return Failure(UnknownHolder())
        if granted.epoch != epoch or self._has_lapsed(granted, at):
            return Failure(LeaseLapsed(epoch=granted.epoch))
        granted.answered = max(granted.answered, at)
        return Success(self._make_lease(epoch, number))

    def revoke_lapsed(self, at: timedelta) -> tuple[tuple[HolderT, Epoch], ...]:
        """Revoke the sessions whose leases have lapsed and return them.

        Their holders are granted nothing until :meth:`forget` is called, so that
        the consequences of the lapse are committed without a race.

        Parameters
        ----------
        at
            The grantor's monotonic reading.
        """
        found = []
        for holder, granted in self._granted.items():
            if self._has_lapsed(granted, at):
                granted.revoked = True
                found.append((holder, granted.epoch))
        return tuple(found)

    def has_lapsed(self, holder: HolderT, at: timedelta) -> bool:
        """Return whether ``holder`` has no lease that could still be in use."""
        granted = self._granted.get(holder)
        return granted is None or self._has_lapsed(granted, at)

    def forget(self, holder: HolderT, *, epoch: Epoch) -> None:
        """Remove a session whose end is committed, unless it was superseded."""
        granted = self._granted.get(holder)
        if granted is not None and granted.epoch == epoch:
            del self._granted[holder]

    def _has_lapsed(self, granted: _Granted, at: timedelta) -> bool:
        return granted.revoked or at >= granted.answered + self._terms.grantor_duration

    def _make_lease(self, epoch: Epoch, number: int) -> Lease:
        return Lease(number=number, epoch=epoch, duration=self._terms.duration)
