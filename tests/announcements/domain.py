"""Two entries of one domain, with an observer that counts owners."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.announcements import (
    Announce,
    AnnouncementSessions,
    AnnouncementSettings,
    FromBackendServer,
    Granted,
    OwnedBy,
    OwnershipLost,
    OwnershipUnavailable,
    ToBackendServer,
)
from rhubarbfield.clock import TrioClock
from rhubarbfield.machine import Command, Done
from rhubarbfield.ownership import (
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OpenEntrySession,
    OwnershipState,
    ProofOfEnd,
    ReleaseServer,
    ServerAssigned,
    ServerDescription,
    SetServerState,
    UpdateServer,
    ownership_commands,
    plan_claim,
)
from rhubarbfield.testing.announcer import Announcer
from rhubarbfield.testing.streams import MemoryNetwork, MemoryStream
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    Incarnation,
    InstanceName,
    ServiceName,
)
from tests.replication.determinism import run_deterministic

AT = datetime(2026, 1, 1, tzinfo=UTC)


class Sink:
    """A router that only keeps what it is told."""

    def __init__(self) -> None:
        self.until: dict[str, timedelta] = {}
        self.slots: dict[str, int] = {}
        self.settled: dict[str, bool] = {}
        self.leaving: set[str] = set()
        self.reports: dict[str, int] = {}
        self.busy = False

    def grant(self, announce: Announce, granted: Granted, until: timedelta) -> None:
        self.until[announce.server] = until
        self.slots[announce.server] = announce.slots
        self.settled[announce.server] = granted.settled
        self.leaving.discard(announce.server)

    def renew(self, server: BackendServerId, epoch: Epoch, until: timedelta) -> None:
        self.until[server] = until

    def report(self, server: BackendServerId, epoch: Epoch, running: int) -> None:
        self.reports[server] = running

    def mark_leaving(self, server: BackendServerId, epoch: Epoch) -> None:
        self.leaving.add(server)

    def revoke(self, server: BackendServerId, epoch: Epoch) -> bool:
        self.until.pop(server, None)
        return not self.busy

    def may_send(self, server: str, now: timedelta) -> bool:
        return server not in self.leaving and now < self.until.get(server, now)


class Ownership:
    """The ownership port of one entry, onto the shared state."""

    def __init__(self, state: OwnershipState, entry: InstanceName) -> None:
        self.reachable = True
        self.entry = entry
        self.state = state
        self.session = self.open_session()

    def open_session(self) -> Epoch:
        reply = self.apply(
            OpenEntrySession(
                entry=self.entry,
                incarnation=Incarnation("1"),
                address=f"{self.entry}:1",
                at=AT,
            )
        )
        return reply.epoch  # type: ignore[attr-defined, no-any-return]

    def lapse(self) -> None:
        self.apply(
            EndEntrySession(
                entry=self.entry,
                session=self.session,
                proof=ProofOfEnd.LEASE_LAPSED,
                at=AT,
            )
        )

    def apply(self, command: Command) -> object:
        return ownership_commands.apply(self.state, command)

    async def claim(
        self, announce: Announce
    ) -> Result[Granted, OwnedBy | OwnershipUnavailable]:
        await trio.sleep(0.01)
        if not self.reachable:
            return Failure(OwnershipUnavailable())
        planned = plan_claim(
            self.state,
            AssignServer(
                server=announce.server,
                description=describe(announce),
                entry=self.entry,
                session=self.session,
                at=AT,
            ),
        )
        if isinstance(planned, Failure):
            elsewhere = planned.failure()
            return Failure(OwnedBy(owner=elsewhere.owner, address=elsewhere.address))
        reply = self.apply(planned.unwrap())
        if isinstance(reply, ServerAssigned):
            return Success(Granted(epoch=reply.epoch, settled=reply.settled))
        return Failure(OwnershipUnavailable())

    async def update(
        self, announce: Announce, epoch: Epoch
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        self.apply(
            SetServerState(server=announce.server, epoch=epoch, state=announce.state)
        )
        return await self.apply_later(
            UpdateServer(
                server=announce.server, epoch=epoch, description=describe(announce)
            )
        )

    async def release(
        self, server: BackendServerId, epoch: Epoch, *, settled: bool, gone: bool
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        if gone and settled:
            return await self.apply_later(
                ForgetServer(server=server, epoch=epoch, settled=True)
            )
        return await self.apply_later(
            ReleaseServer(server=server, epoch=epoch, settled=settled)
        )

    async def apply_later(
        self, command: Command
    ) -> Result[None, OwnershipLost | OwnershipUnavailable]:
        await trio.sleep(0.01)
        if not self.reachable:
            return Failure(OwnershipUnavailable())
        done = isinstance(self.apply(command), Done)
        return Success(None) if done else Failure(OwnershipLost())


def describe(announce: Announce) -> ServerDescription:
    return ServerDescription(
        service=announce.service,
        host=announce.host,
        port=announce.port,
        slots=announce.slots,
        connections=announce.connections,
    )


class Server:
    """A backend server that can be changed at will."""

    def __init__(self, name: str, incarnation: str = "1") -> None:
        self.announce = Announce(
            number=0,
            server=BackendServerId(name),
            service=ServiceName("boards"),
            incarnation=Incarnation(incarnation),
            host="127.0.0.1",
            port=9000,
            slots=8,
            connections=64,
        )

    def describe(self) -> Announce:
        return self.announce


class Entry:
    def __init__(self, domain: Domain, name: str) -> None:
        self.ownership = Ownership(domain.state, InstanceName(name))
        self.sink = Sink()
        self.sessions = AnnouncementSessions(
            AnnouncementSettings(),
            entry=InstanceName(name),
            clock=domain.clock,
            ownership=self.ownership,
            sink=self.sink,
        )
        domain.network.listen(f"{name}:1", self.sessions.serve)
        domain.nursery.start_soon(self.sessions.watch)


class Domain:
    def __init__(self, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.clock = TrioClock()
        self.state = OwnershipState()
        self.doubled: list[str] = []
        self.network = MemoryNetwork(
            nursery,
            clients_receive=ToBackendServer,
            servers_receive=FromBackendServer,
        )
        self.entries = [Entry(self, "e0"), Entry(self, "e1")]
        self.seed = 0

    def start_server(
        self, name: str, incarnation: str = "1"
    ) -> tuple[Server, Announcer]:
        self.seed += 1
        server = Server(name, incarnation)
        announcer = Announcer(
            server,
            connect=self.network.connect,
            addresses=["e0:1", "e1:1"],
            clock=self.clock,
            rng=random.Random(self.seed),
        )
        self.nursery.start_soon(announcer.run)
        return server, announcer

    def users(self, name: str = "s1") -> list[str]:
        now = self.clock.monotonic()
        return [
            entry.ownership.entry
            for entry in self.entries
            if entry.sink.may_send(name, now)
        ]

    def entry(self, name: str) -> Entry:
        (found,) = [one for one in self.entries if one.ownership.entry == name]
        return found

    def streams_to(self, entry: str) -> list[MemoryStream]:
        return self.network.find_open(f"{entry}:1")

    def streams(self) -> list[MemoryStream]:
        return [*self.streams_to("e0"), *self.streams_to("e1")]

    async def sleep(self, seconds: float) -> None:
        """Wait, and look at every tenth of a second who may send."""
        for _ in range(round(seconds * 10)):
            await trio.sleep(0.1)
            if len(self.users()) > 1:
                self.doubled.append(f"{self.users()} at {self.clock.monotonic()}")


def run_domain(scenario: Callable[[Domain], Awaitable[None]]) -> Domain:
    async def run() -> Domain:
        async with trio.open_nursery() as nursery:
            domain = Domain(nursery)
            await scenario(domain)
            nursery.cancel_scope.cancel()
        return domain

    return run_deterministic(run, 0)


LEAVING = BackendServerState.LEAVING
