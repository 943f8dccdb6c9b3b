"""Sessions of entries with the controller that leads their domain."""

from __future__ import annotations

import logging
from datetime import timedelta

import trio
from returns.result import Failure, Success

from rhubarbfield.clock import Clock
from rhubarbfield.controller.statemachines import DomainLogState, FleetLogState
from rhubarbfield.groups import ReplicatedLog
from rhubarbfield.leases import LeaseTable, LeaseTerms
from rhubarbfield.ownership import (
    DirectoryEntry,
    EndEntrySession,
    OpenEntrySession,
    OwnershipEndProof,
    SessionEpoch,
    list_directory,
)
from rhubarbfield.peering import MessageStream
from rhubarbfield.protocol import (
    ConfigurationUpdate,
    DirectoryUpdate,
    EntryHello,
    EntryLease,
    EntryOpened,
    EntryRefused,
    RenewEntry,
)
from rhubarbfield.types import (
    BackendServerId,
    ConfigurationVersion,
    Epoch,
    FailureDomain,
    InstanceName,
)

logger = logging.getLogger(__name__)

SWEEP_INTERVAL = timedelta(milliseconds=500)
PUSH_INTERVAL = timedelta(milliseconds=100)


class EntrySessions:
    """Serves the streams of entries while this instance leads its domain.

    Parameters
    ----------
    domain
        The failure domain; entries of another one are refused.
    domain_log, fleet_log
        The logs whose changes are sent to entries.
    terms
        Terms of the lease of each entry's session.
    clock
        Source of time.
    """

    def __init__(
        self,
        domain: FailureDomain,
        *,
        domain_log: ReplicatedLog[DomainLogState],
        fleet_log: ReplicatedLog[FleetLogState],
        terms: LeaseTerms,
        clock: Clock,
    ) -> None:
        self._domain = domain
        self._log = domain_log
        self._fleet_log = fleet_log
        self._clock = clock
        self.versions: dict[InstanceName, ConfigurationVersion] = {}
        open_sessions = {
            session.entry: session.epoch
            for session in domain_log.state.ownership.sessions.values()
            if not session.ended
        }
        self._leases: LeaseTable[InstanceName] = LeaseTable(
            terms, open_sessions=open_sessions, at=clock.monotonic()
        )

    async def serve(self, stream: MessageStream) -> None:
        """Serve one entry's stream until it ends."""
        hello = await stream.receive()
        if not isinstance(hello, EntryHello):
            return
        opened = await self._open(hello)
        await stream.send(opened)
        if not isinstance(opened, EntryOpened):
            return
        epoch = opened.lease.epoch
        self.versions[hello.entry] = hello.configuration
        logger.info("entry-session entry=%s epoch=%d", hello.entry, epoch)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._push_directory, stream)
            nursery.start_soon(self._push_configuration, stream)
            await self._renew_until_end(stream, hello.entry, epoch)
            nursery.cancel_scope.cancel()

    async def sweep(self) -> None:
        """Commit the end of sessions whose leases have lapsed, until cancelled.

        Cancellation ends the term and closes the table of leases, so that a stream
        that is still open renews nothing. The next term has a table of its own.
        """
        try:
            while True:
                await self._clock.sleep(SWEEP_INTERVAL)
                if self._log.leads():
                    await self._end_lapsed()
        finally:
            self._leases.close()

    async def _end_lapsed(self) -> None:
        for entry, epoch in self._leases.revoke_lapsed(self._clock.monotonic()):
            await self._end(entry, epoch)

    async def _open(self, hello: EntryHello) -> EntryOpened | EntryRefused:
        if hello.domain != self._domain:
            return EntryRefused(leader=None, reason=f"this is domain {self._domain}")
        proposed = await self._log.propose(
            OpenEntrySession(
                entry=hello.entry,
                incarnation=hello.incarnation,
                address=hello.address,
                at=self._clock.now(),
            )
        )
        match proposed:
            case Success(SessionEpoch(epoch=epoch)) if self._log.leads():
                granted = self._leases.grant(
                    hello.entry,
                    epoch=epoch,
                    number=hello.number,
                    at=self._clock.monotonic(),
                )
                if isinstance(granted, Success):
                    return EntryOpened(lease=granted.unwrap())
        return EntryRefused(leader=None, reason=str(proposed))

    async def _renew_until_end(
        self, stream: MessageStream, entry: InstanceName, epoch: Epoch
    ) -> None:
        while isinstance(message := await stream.receive(), RenewEntry):
            self.versions[entry] = message.configuration
            if not self._log.leads():
                return
            renewed = self._leases.renew(
                entry, epoch=epoch, number=message.number, at=self._clock.monotonic()
            )
            match renewed:
                case Success(lease):
                    if not await stream.send(EntryLease(lease=lease)):
                        return
                case Failure(_):
                    return

    async def _push_directory(self, stream: MessageStream) -> None:
        known: dict[BackendServerId, DirectoryEntry] = {}
        first = True
        while True:
            seen = self._log.changes
            current = {
                entry.server: entry
                for entry in list_directory(self._log.state.ownership)
            }
            update = _diff_directories(known, current)
            wanted = first or update.changed or update.removed
            if wanted and not await stream.send(update):
                return
            known = current
            first = False
            await self._log.wait_change(seen)
            await self._clock.sleep(PUSH_INTERVAL)

    async def _push_configuration(self, stream: MessageStream) -> None:
        version: ConfigurationVersion | None = None
        await self._fleet_log.replica.wait_current()
        while True:
            seen = self._fleet_log.changes
            configuration = self._fleet_log.state.fleet.configuration
            if configuration.version != version:
                version = configuration.version
                update = ConfigurationUpdate(configuration=configuration)
                if not await stream.send(update):
                    return
            await self._fleet_log.wait_change(seen)

    async def _end(self, entry: InstanceName, epoch: Epoch) -> None:
        proposed = await self._log.propose(
            EndEntrySession(
                entry=entry,
                session=epoch,
                proof=OwnershipEndProof.LEASE_LAPSED,
                at=self._clock.now(),
            )
        )
        if isinstance(proposed, Success):
            logger.info("entry-session-lapsed entry=%s epoch=%d", entry, epoch)
            self._leases.forget(entry, epoch=epoch)
            self.versions.pop(entry, None)


def _diff_directories(
    known: dict[BackendServerId, DirectoryEntry],
    current: dict[BackendServerId, DirectoryEntry],
) -> DirectoryUpdate:
    return DirectoryUpdate(
        changed=tuple(
            entry for server, entry in current.items() if known.get(server) != entry
        ),
        removed=tuple(server for server in known if server not in current),
    )
