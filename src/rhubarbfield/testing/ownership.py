"""Ownership ports and grant sinks in memory."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.announcements import (
    Announce,
    Granted,
    OwnedBy,
    OwnershipLost,
    OwnershipUnavailable,
)
from rhubarbfield.machine import Command, Done
from rhubarbfield.ownership import (
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OpenEntrySession,
    OwnershipEndProof,
    OwnershipState,
    ReleaseServer,
    ServerAssigned,
    ServerDescription,
    SessionEpoch,
    SetServerState,
    UpdateServer,
    ownership_commands,
    plan_claim,
)
from rhubarbfield.types import BackendServerId, Epoch, Incarnation, InstanceName

COMMIT_DURATION = timedelta(milliseconds=10)
COMMAND_TIME = datetime(2026, 1, 1, tzinfo=UTC)  # timestamp of every command


class MemoryOwnership:
    """Ownership port of one entry, on a state that the entries of a domain share.

    Parameters
    ----------
    state
        The domain's ownership state.
    entry
        The entry.

    Attributes
    ----------
    reachable
        Whether the entry can reach the leader of its domain.
    session
        Epoch of the entry's session.
    """

    def __init__(self, state: OwnershipState, entry: InstanceName) -> None:
        self.reachable = True
        self.entry = entry
        self._state = state
        self.session = self.open_session()

    def open_session(self) -> Epoch:
        """Return the epoch of the entry's session; open one if none is open."""
        reply = self._apply(
            OpenEntrySession(
                entry=self.entry,
                incarnation=Incarnation("1"),
                address=f"{self.entry}:1",
                at=COMMAND_TIME,
            )
        )
        assert isinstance(reply, SessionEpoch)
        return reply.epoch

    def expire_lease(self) -> None:
        """End the entry's session as if its lease had lapsed."""
        self._apply(
            EndEntrySession(
                entry=self.entry,
                session=self.session,
                proof=OwnershipEndProof.LEASE_LAPSED,
                at=COMMAND_TIME,
            )
        )

    async def claim(
        self, announce: Announce
    ) -> Result[Granted, OwnedBy | OwnershipUnavailable]:
        """Become the owner of a backend server, or confirm that this entry is."""
        await trio.sleep(COMMIT_DURATION.total_seconds())
        if not self.reachable:
            return Failure(OwnershipUnavailable())
        announced = AssignServer(
            server=announce.server,
            description=describe_announced(announce),
            entry=self.entry,
            session=self.session,
            at=COMMAND_TIME,
        )
        planned = plan_claim(self._state, announced)
        if isinstance(planned, Failure):
            other = planned.failure()
            return Failure(OwnedBy(owner=other.owner, address=other.address))
        reply = self._apply(planned.unwrap())
        if isinstance(reply, ServerAssigned):
            return Success(Granted(epoch=reply.epoch, settled=reply.settled))
        return Failure(OwnershipUnavailable())

    async def update(
        self, announce: Announce, epoch: Epoch
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Publish changed capacity or state of an owned backend server."""
        state = SetServerState(
            server=announce.server, epoch=epoch, state=announce.state
        )
        description = describe_announced(announce)
        return await self._commit(
            state,
            UpdateServer(server=announce.server, epoch=epoch, description=description),
        )

    async def release(
        self, server: BackendServerId, epoch: Epoch, *, settled: bool, removed: bool
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Release a backend server, and forget it if it is removed and settled."""
        if removed and settled:
            return await self._commit(
                ForgetServer(server=server, epoch=epoch, settled=True)
            )
        return await self._commit(
            ReleaseServer(server=server, epoch=epoch, settled=settled)
        )

    async def _commit(
        self, *commands: Command
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        await trio.sleep(COMMIT_DURATION.total_seconds())
        if not self.reachable:
            return Failure(OwnershipUnavailable())
        replies = [self._apply(command) for command in commands]
        done = all(isinstance(reply, Done) for reply in replies)
        return Success(None) if done else Failure(OwnershipLost())

    def _apply(self, command: Command) -> Any:
        return ownership_commands.apply(self._state, command)


class RecordingGrantSink:
    """A grant sink that records grants and sends no requests.

    Attributes
    ----------
    until, slots, settled, running
        Last reported values for each backend server; ``until`` is the end of
        its grant.
    leaving
        Backend servers that get no new requests.
    busy
        Whether requests count as still running on every backend server.
    """

    def __init__(self) -> None:
        self.until: dict[BackendServerId, timedelta] = {}
        self.slots: dict[BackendServerId, int] = {}
        self.settled: dict[BackendServerId, bool] = {}
        self.running: dict[BackendServerId, int] = {}
        self.leaving: set[BackendServerId] = set()
        self.busy = False

    def grant(self, announce: Announce, granted: Granted, until: timedelta) -> None:
        """Record a grant, or the changed capacity of a granted server."""
        self.until[announce.server] = until
        self.slots[announce.server] = announce.slots
        self.settled[announce.server] = granted.settled
        self.leaving.discard(announce.server)

    def renew(self, server: BackendServerId, epoch: Epoch, until: timedelta) -> None:
        """Extend the grant of a server."""
        self.until[server] = until

    def report(
        self,
        server: BackendServerId,
        epoch: Epoch,
        running: int,
        counted_after: timedelta | None,
    ) -> None:
        """Record the server's own count of the requests that run on it."""
        self.running[server] = running

    def mark_leaving(self, server: BackendServerId, epoch: Epoch) -> None:
        """Mark a server as leaving, so that it gets no new requests."""
        self.leaving.add(server)

    def revoke(self, server: BackendServerId, epoch: Epoch) -> bool:
        """End the grant of a server; return whether no request runs on it."""
        self.until.pop(server, None)
        return not self.busy

    def may_send(self, server: BackendServerId, now: timedelta) -> bool:
        """Return whether a request may be sent to a server now."""
        return server not in self.leaving and now < self.until.get(server, now)


def describe_announced(announce: Announce) -> ServerDescription:
    """Return the server description that the log stores for an announcement."""
    return ServerDescription(
        service=announce.service,
        host=announce.host,
        port=announce.port,
        slots=announce.slots,
        connections=announce.connections,
        close_delimited_answers=announce.close_delimited_answers,
    )
