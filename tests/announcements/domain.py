"""Two entries of one failure domain, with a check for double ownership."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable

import trio

from rhubarbfield.announcements import (
    Announce,
    AnnouncementSessions,
    AnnouncementSettings,
    FromBackendServer,
    ToBackendServer,
)
from rhubarbfield.clock import VirtualClock
from rhubarbfield.ownership import OwnershipState
from rhubarbfield.testing.announcer import Announcer
from rhubarbfield.testing.ownership import MemoryOwnership, RecordingGrantSink
from rhubarbfield.testing.streams import MemoryNetwork, MemoryStream
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Incarnation,
    InstanceName,
    ServiceName,
)
from tests.replication.determinism import run_deterministic

LEAVING = BackendServerState.LEAVING


class Server:
    """A backend server whose announcement tests can replace."""

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
        self.ownership = MemoryOwnership(domain.state, InstanceName(name))
        self.sink = RecordingGrantSink()
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
        self.clock = VirtualClock()
        self.state = OwnershipState()
        self.double_owned: list[str] = []
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

    def find_senders(self) -> list[str]:
        """Return the entries that may send a request to the server ``s1``."""
        now = self.clock.monotonic()
        return [
            entry.ownership.entry
            for entry in self.entries
            if entry.sink.may_send(BackendServerId("s1"), now)
        ]

    def entry(self, name: str) -> Entry:
        (found,) = [entry for entry in self.entries if entry.ownership.entry == name]
        return found

    def streams_to(self, entry: str) -> list[MemoryStream]:
        return self.network.find_open(f"{entry}:1")

    def streams(self) -> list[MemoryStream]:
        return [*self.streams_to("e0"), *self.streams_to("e1")]

    async def sleep(self, seconds: float) -> None:
        """Sleep, and check for two possible senders every 0.1 seconds."""
        for _ in range(round(seconds * 10)):
            await trio.sleep(0.1)
            if len(self.find_senders()) > 1:
                self.double_owned.append(
                    f"{self.find_senders()} at {self.clock.monotonic()}"
                )


def run_domain(scenario: Callable[[Domain], Awaitable[None]], seed: int = 0) -> Domain:
    async def run() -> Domain:
        async with trio.open_nursery() as nursery:
            domain = Domain(nursery)
            await scenario(domain)
            nursery.cancel_scope.cancel()
        return domain

    return run_deterministic(run, seed)
