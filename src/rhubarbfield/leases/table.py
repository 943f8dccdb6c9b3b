"""The grantor's side of leases: one for each holder's session."""

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
    """The holder has no session under this leader and has to open one."""


class LeaseLapsed(msgspec.Struct, frozen=True, kw_only=True):
    """The lease has lapsed or was superseded; a new session is needed.

    Attributes
    ----------
    epoch
        The epoch that the grantor last granted.
    """

    epoch: Epoch


class _Granted(msgspec.Struct):
    epoch: Epoch
    answered: timedelta
    revoked: bool = False


class LeaseTable(Generic[HolderT]):
    """The leases that one leader has granted, kept in its memory alone.

    A leader builds the table when it starts to lead. It can't know what its
    predecessor granted a moment ago, so every holder known from the log
    counts as renewed at that moment.

    Parameters
    ----------
    terms
        The settings of these leases.
    open_sessions
        Each holder with an open session in the log, with its epoch.
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
        """Return the number of sessions that are not known to have ended."""
        return len(self._granted)

    def close(self) -> None:
        """Grant nothing from now on; its leader has stopped leading.

        Connections may outlive the term in which they were made. What they
        renewed here later on would be unknown to the table of the next term.
        """
        self._closed = True

    def grant(
        self, holder: HolderT, *, epoch: Epoch, number: int, at: timedelta
    ) -> Result[Lease, LeaseLapsed]:
        """Open the session of ``holder`` under an epoch committed to the log.

        It fails when a newer session is open already, when the table is
        closed, and after a lapse was
        told: what follows from that lapse is being committed, and could be
        committed after ``epoch`` was.

        Parameters
        ----------
        holder
            Who gets the lease.
        epoch
            The session's epoch, above that of any session before it.
        number
            The number of the request that is answered.
        at
            The grantor's monotonic reading, taken when it answers.
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
        """Extend the session of ``holder``; its leader must lead right now.

        Parameters
        ----------
        holder, epoch
            Who asks, and under which session.
        number
            The number of the request that is answered.
        at
            The grantor's monotonic reading, taken when it answers.
        """
        granted = self._granted.get(holder)
        if granted is None or self._closed:
            return Failure(UnknownHolder())
        if granted.epoch != epoch or self._has_lapsed(granted, at):
            return Failure(LeaseLapsed(epoch=granted.epoch))
        granted.answered = max(granted.answered, at)
        return Success(self._make_lease(epoch, number))

    def revoke_lapsed(self, at: timedelta) -> tuple[tuple[HolderT, Epoch], ...]:
        """Return the sessions whose holders can't rely on them any more.

        Their holders get nothing from now on until :meth:`forget` was called,
        so that what follows from the lapse is committed without a race.

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
        """Return whether ``holder`` has no lease, proved by time."""
        granted = self._granted.get(holder)
        return granted is None or self._has_lapsed(granted, at)

    def forget(self, holder: HolderT, *, epoch: Epoch) -> None:
        """Drop a session whose end is committed, unless it was superseded."""
        granted = self._granted.get(holder)
        if granted is not None and granted.epoch == epoch:
            del self._granted[holder]

    def _has_lapsed(self, granted: _Granted, at: timedelta) -> bool:
        return granted.revoked or at >= granted.answered + self._terms.grantor_duration

    def _make_lease(self, epoch: Epoch, number: int) -> Lease:
        return Lease(number=number, epoch=epoch, duration=self._terms.duration)
