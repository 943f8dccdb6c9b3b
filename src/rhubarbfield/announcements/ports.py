"""The ports through which backend server sessions use the rest of an entry."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

import msgspec
from returns.result import Result

from rhubarbfield.announcements.messages import Announce
from rhubarbfield.types import BackendServerId, Epoch, InstanceName


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """The calling entry owns the backend server.

    Attributes
    ----------
    epoch
        The owner epoch.
    settled
        False while requests of an earlier owner may still run on the server.
    """

    epoch: Epoch
    settled: bool


class OwnedBy(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry owns the backend server and may still send requests to it."""

    owner: InstanceName
    address: str


class OwnershipUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The domain did not decide in time, or this entry has no session."""


class OwnershipLost(msgspec.Struct, frozen=True, kw_only=True):
    """The owner epoch is no longer current."""


class OwnershipPort(Protocol):
    """Ownership of backend servers, as decided by the leader of the domain.

    Every call may be repeated after ``OwnershipUnavailable``. A grant is never
    returned after the end of the entry session under which it was made.
    """

    async def claim(
        self, announce: Announce
    ) -> Result[Granted, OwnedBy | OwnershipUnavailable]:
        """Become the owner of a backend server, or confirm that this entry is."""

    async def update(
        self, announce: Announce, epoch: Epoch
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Publish changed capacity or state of an owned backend server."""

    async def release(
        self, server: BackendServerId, epoch: Epoch, *, settled: bool, removed: bool
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Give up ownership of a backend server.

        ``settled`` means that no request of any entry runs on it any more,
        ``removed`` that no entry should wait for it. A server that is removed
        and settled is deleted from the log; any other waits for its next owner.
        """


class GrantSink(Protocol):
    """Receives the backend servers that this entry owns, for the router.

    No call blocks. The router checks ``until`` and the entry's own lease
    immediately before it sends a request.
    """

    def grant(self, announce: Announce, granted: Granted, until: timedelta) -> None:
        """Start to use a server, or apply its changed capacity.

        ``granted.settled`` can be false only in the first call for an epoch;
        all slots then count as taken until they are proved free. ``until`` is
        the time by the entry's clock after which the server gets no new
        requests, unless it is renewed.
        """

    def renew(self, server: BackendServerId, epoch: Epoch, until: timedelta) -> None:
        """Extend the use of a server after a message from it."""

    def report(
        self,
        server: BackendServerId,
        epoch: Epoch,
        running: int,
        counted_after: timedelta | None,
    ) -> None:
        """Record the server's own count of the requests that run on it.

        ``counted_after`` is a time by the entry's clock that is certainly
        before the count, or None if there is none.
        """

    def mark_leaving(self, server: BackendServerId, epoch: Epoch) -> None:
        """Send no new requests to a server; those in progress continue."""

    def revoke(self, server: BackendServerId, epoch: Epoch) -> bool:
        """Stop using a server; return whether no request of this entry runs on it."""
