"""Ownership of backend servers, as decided by the leader of the failure domain."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from returns.result import Failure, Result, Success

from rhubarbfield.announcements import (
    Announce,
    Granted,
    OwnedBy,
    OwnershipLost,
    OwnershipUnavailable,
)
from rhubarbfield.clock import Clock
from rhubarbfield.entry.session import EntrySession
from rhubarbfield.machine import Done
from rhubarbfield.ownership import (
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OwnedElsewhere,
    OwnershipEndProof,
    ReleaseServer,
    ServerAssigned,
    ServerDescription,
    SetServerState,
    StaleEpoch,
    UpdateServer,
)
from rhubarbfield.protocol import DomainRequest, LeaderCalls, LeaderFailure
from rhubarbfield.protocol.calls import DomainCommand
from rhubarbfield.types import BackendServerId, Epoch, FailureDomain, InstanceName

DECISION_TIMEOUT = timedelta(seconds=3)


class DomainOwnership:
    """The :class:`~rhubarbfield.announcements.OwnershipPort` of an entry.

    Parameters
    ----------
    entry, domain
        This instance and its failure domain.
    session
        Its session with the leader of the domain.
    calls
        Calls to that leader.
    clock
        The entry's clock.
    """

    def __init__(
        self,
        entry: InstanceName,
        domain: FailureDomain,
        *,
        session: EntrySession,
        calls: LeaderCalls,
        clock: Clock,
    ) -> None:
        self._entry = entry
        self._domain = domain
        self._session = session
        self._calls = calls
        self._clock = clock

    async def claim(
        self, announce: Announce
    ) -> Result[Granted, OwnedBy | OwnershipUnavailable]:
        """Become the owner of a backend server, or confirm that this entry is."""
        session = self._session.epoch
        if not self._session.holds():
            return Failure(OwnershipUnavailable())
        command = AssignServer(
            server=announce.server,
            description=_describe(announce),
            entry=self._entry,
            session=session,
            at=self._clock.now(),
        )
        reply = await self._call(command)
        match reply:
            case Success(ServerAssigned(epoch=epoch, settled=settled)):
                if self._session.epoch == session:
                    return Success(Granted(epoch=epoch, settled=settled))
            case Success(OwnedElsewhere(owner=owner, address=address)):
                if owner != self._entry:
                    return Failure(OwnedBy(owner=owner, address=address))
        return Failure(OwnershipUnavailable())

    async def update(
        self, announce: Announce, epoch: Epoch
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Publish changed capacity or state of an owned backend server."""
        description = _describe(announce)
        updated = await self._execute(
            UpdateServer(server=announce.server, epoch=epoch, description=description)
        )
        if not isinstance(updated, Success):
            return updated
        return await self._execute(
            SetServerState(server=announce.server, epoch=epoch, state=announce.state)
        )

    async def release(
        self, server: BackendServerId, epoch: Epoch, *, settled: bool, removed: bool
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        """Give up ownership of a backend server."""
        released = await self._execute(
            ReleaseServer(server=server, epoch=epoch, settled=settled)
        )
        # OwnershipLost may mean that an earlier try, whose reply was lost, has
        # already released the server.
        lost = released == Failure(OwnershipLost())
        if not (removed and settled) or not (isinstance(released, Success) or lost):
            return released
        return await self._execute(
            ForgetServer(server=server, epoch=epoch, settled=True)
        )

    async def end_session(self) -> None:
        """Notify the leader that this entry sends no more requests."""
        await self._execute(
            EndEntrySession(
                entry=self._entry,
                session=self._session.epoch,
                proof=OwnershipEndProof.RELEASED,
                at=self._clock.now(),
            )
        )

    async def _execute(
        self, command: DomainCommand
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        match await self._call(command):
            case Success(Done()):
                return Success(None)
            case Success(StaleEpoch()):
                return Failure(OwnershipLost())
        return Failure(OwnershipUnavailable())

    async def _call(self, command: DomainCommand) -> Result[Any, LeaderFailure]:
        request = DomainRequest(domain=self._domain, command=command)
        return await self._calls.call(request, DECISION_TIMEOUT)


def _describe(announce: Announce) -> ServerDescription:
    return ServerDescription(
        service=announce.service,
        host=announce.host,
        port=announce.port,
        slots=announce.slots,
        connections=announce.connections,
        close_delimited_answers=announce.close_delimited_answers,
    )
