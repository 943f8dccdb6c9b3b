"""What the sessions of backend servers need of the rest of an entry."""

from __future__ import annotations

from datetime import timedelta
from typing import Protocol

import msgspec
from returns.result import Result

from rhubarbfield.announcements.messages import Announce
from rhubarbfield.types import BackendServerId, Epoch, InstanceName


class Granted(msgspec.Struct, frozen=True, kw_only=True):
    """The entry that asked owns the backend server.

    Attributes
    ----------
    epoch
        The owner epoch.
    settled
        False while requests of an earlier owner may still run on it.
    """

    epoch: Epoch
    settled: bool


class OwnedBy(msgspec.Struct, frozen=True, kw_only=True):
    """Another entry owns the backend server and may still send to it."""

    owner: InstanceName
    address: str


class OwnershipUnavailable(msgspec.Struct, frozen=True, kw_only=True):
    """The domain did not decide in time, or this entry has no session now."""


class OwnershipLost(msgspec.Struct, frozen=True, kw_only=True):
    """The epoch is not in force any more."""


class OwnershipPort(Protocol):
    """The domain's decisions on ownership, asked of its leader.

    Every call may be repeated after ``OwnershipUnavailable``. A grant is never
    returned once the entry's session that it was made under has ended.
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
        """Give a backend server up.

        ``settled`` says that no request of any entry runs on it any more;
        ``removed`` that no entry is to look for it. A server that is removed and
        settled is forgotten, any other waits for its next owner.
        """


class GrantSink(Protocol):
    """The router's view of the backend servers that this entry owns.

    No call waits. The router checks ``until`` and the entry's own lease just
    before it sends a request.
    """

    def grant(self, announce: Announce, granted: Granted, until: timedelta) -> None:
        """Start to use a server, or take in its changed capacity.

        ``granted.settled`` is false only the first time that an epoch is
        told, and then means that all slots are taken until there is proof.
        ``until`` is a reading of the entry's clock after which the server
        gets no new requests, unless it is renewed.
        """

    def renew(self, server: BackendServerId, epoch: Epoch, until: timedelta) -> None:
        """Go on using a server that has been heard from."""

    def report(
        self,
        server: BackendServerId,
        epoch: Epoch,
        running: int,
        counted_after: timedelta | None,
    ) -> None:
        """Take in the server's own count of the requests that run on it.

        ``counted_after`` is a reading of the entry's clock surely before the
        count, or None if that is not known.
        """

    def mark_leaving(self, server: BackendServerId, epoch: Epoch) -> None:
        """Send no new requests to a server; those in progress go on."""

    def revoke(self, server: BackendServerId, epoch: Epoch) -> bool:
        """Stop using a server; return whether nothing of ours runs on it."""
