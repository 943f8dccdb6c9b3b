"""Tests of an entry's session with its controllers."""

from __future__ import annotations

import unittest
from datetime import timedelta
from typing import cast

import trio

from rhubarbfield.clock import TrioClock
from rhubarbfield.daemons import SettingsInForce
from rhubarbfield.entry.session import EntrySession
from rhubarbfield.leases import Lease, LeaseTerms
from rhubarbfield.ownership import DirectoryEntry, ServerDescription
from rhubarbfield.peering import MessageStream, Transport
from rhubarbfield.protocol import ENTRY_STREAM, DirectoryUpdate, EntryOpened
from rhubarbfield.testing.streams import memory_stream_pair
from rhubarbfield.types import (
    BackendServerId,
    BackendServerState,
    Epoch,
    FailureDomain,
    Incarnation,
    InstanceName,
    ServiceName,
)
from tests.replication.determinism import run_deterministic
from tests.settings.samples import make_settings


def describe(name: str) -> DirectoryEntry:
    return DirectoryEntry(
        server=BackendServerId(name),
        description=ServerDescription(
            service=ServiceName("board"), host="h", port=1, slots=1, connections=1
        ),
        state=BackendServerState.SERVING,
        epoch=Epoch(1),
        owner=None,
        owner_address="",
    )


class EntrySessionTest(unittest.TestCase):
    def test_a_server_removed_while_disconnected_leaves_the_directory(self) -> None:
        async def body() -> None:
            session = EntrySession(
                InstanceName("n1"),
                domain=FailureDomain("north"),
                incarnation=Incarnation("first"),
                address="",
                controllers={InstanceName("n1"): ("h", 1)},
                transport=cast(Transport, None),
                terms=LeaseTerms(duration=timedelta(seconds=3), drift=0.01),
                clock=TrioClock(),
                in_force=SettingsInForce(make_settings(), lambda _: None),
                on_session=lambda: None,
                on_lease=lambda: None,
            )
            kept, gone, new = describe("kept"), describe("gone"), describe("new")
            self.assertFalse(session.has_directory)
            await self.connect(session)
            self.assertFalse(session.has_directory)
            await self.connect(session, (kept, gone))
            self.assertEqual(sorted(session.directory), ["gone", "kept"])
            self.assertTrue(session.has_directory)
            await self.connect(session, (kept,), (new,))
            self.assertEqual(sorted(session.directory), ["kept", "new"])

        run_deterministic(body, seed=1)

    async def connect(
        self, session: EntrySession, *updates: tuple[DirectoryEntry, ...]
    ) -> None:
        near, far = memory_stream_pair(ENTRY_STREAM.outbound, ENTRY_STREAM.inbound)
        async with trio.open_nursery() as nursery:
            near_stream = cast(MessageStream, near)
            nursery.start_soon(session._run_stream, near_stream)
            await far.receive()
            lease = Lease(number=1, epoch=Epoch(1), duration=timedelta(seconds=3))
            await far.send(EntryOpened(lease=lease))
            for update in updates:
                await far.send(DirectoryUpdate(changed=update))
            await trio.sleep(0.5)
            nursery.cancel_scope.cancel()
