"""Tests of entries' sessions across the terms of leaders."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.controller.entrysessions import EntrySessions
from rhubarbfield.controller.statemachines import (
    make_domain_machine,
    make_fleet_machine,
)
from rhubarbfield.leases import HeldLease, LeaseTerms
from rhubarbfield.protocol import (
    ENTRY_STREAM,
    EntryHello,
    EntryLease,
    EntryOpened,
    EntryRefused,
    RenewEntry,
)
from rhubarbfield.testing.streams import MemoryStream, memory_stream_pair
from rhubarbfield.types import (
    ConfigurationVersion,
    FailureDomain,
    Incarnation,
    InstanceName,
)
from tests.controller.single_member import make_single_member_log
from tests.replication.determinism import run_deterministic

TERMS = LeaseTerms(duration=timedelta(seconds=3), drift=0.01)
ENTRY = InstanceName("n1")


class EntrySessionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.log, self.replica = make_single_member_log(make_domain_machine())
        self.fleet_log, _ = make_single_member_log(make_fleet_machine())

    def make_sessions(self) -> EntrySessions:
        return EntrySessions(
            FailureDomain("north"),
            domain_log=self.log,
            fleet_log=self.fleet_log,
            terms=TERMS,
            clock=TrioClock(),
        )

    def open(
        self, nursery: trio.Nursery, sessions: EntrySessions
    ) -> tuple[MemoryStream, HeldLease, EntryHello]:
        near, far = memory_stream_pair(ENTRY_STREAM.outbound, ENTRY_STREAM.inbound)
        nursery.start_soon(sessions.serve, far)
        held = HeldLease(drift=TERMS.drift, clock=TrioClock())
        hello = EntryHello(
            entry=ENTRY,
            incarnation=Incarnation("first"),
            domain=FailureDomain("north"),
            address="127.0.0.1:1",
            number=held.request(),
            configuration=ConfigurationVersion(0),
        )
        return near, held, hello

    def test_a_stream_that_outlives_its_term_renews_nothing(self) -> None:
        """Guards against a session that the next term ends while it is still renewed.

        A stream that stays open after its term could renew the entry's lease,
        while the next term counts the lease as lapsed.
        """

        async def follow(stream: MemoryStream, held: HeldLease) -> None:
            while (message := await stream.receive()) is not None:
                if isinstance(message, EntryOpened | EntryLease):
                    held.accept(message.lease)

        async def renew(stream: MemoryStream, held: HeldLease) -> None:
            while True:
                await trio.sleep(1)
                number = held.request()
                version = ConfigurationVersion(0)
                await stream.send(
                    RenewEntry(number=number, epoch=held.epoch, configuration=version)
                )

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                term = trio.CancelScope()

                async def lead() -> None:
                    with term:
                        await first.sweep()

                first = self.make_sessions()
                nursery.start_soon(lead)
                stream, held, hello = self.open(nursery, first)
                await stream.send(hello)
                nursery.start_soon(follow, stream, held)
                nursery.start_soon(renew, stream, held)
                await trio.sleep(1.5)
                self.assertTrue(held.holds())
                term.cancel()
                await trio.sleep(0.1)
                nursery.start_soon(self.make_sessions().sweep)
                for _ in range(60):
                    await trio.sleep(0.1)
                    session = self.log.state.ownership.sessions.get(ENTRY)
                    ended = session is None or session.ended
                    self.assertFalse(ended and held.holds(), "two owners at a time")
                self.assertTrue(ended)
                nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)

    def test_an_entry_of_another_domain_is_refused(self) -> None:
        async def body() -> None:
            async with trio.open_nursery() as nursery:
                stream, _, hello = self.open(nursery, self.make_sessions())
                south = FailureDomain("south")
                await stream.send(msgspec.structs.replace(hello, domain=south))
                self.assertIsInstance(await stream.receive(), EntryRefused)
                self.assertEqual(self.replica.commands, 0)
                nursery.cancel_scope.cancel()

        run_deterministic(body, seed=1)
