"""Tests of how an entry dates a backend server's own counts."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
import trio.testing

from rhubarbfield.announcements import Announce, AnnouncementSettings, Heartbeat
from rhubarbfield.announcements.connection import AnnouncementConnection
from rhubarbfield.clock import TrioClock
from rhubarbfield.testing.streams import memory_stream_pair
from rhubarbfield.types import (
    BackendServerId,
    Incarnation,
    InstanceName,
    ServiceName,
)
from rhubarbfield.workers.streams import TimedStream

SECOND = timedelta(seconds=1)
FIRST = Announce(
    number=1,
    server=BackendServerId("s1"),
    service=ServiceName("board"),
    incarnation=Incarnation("i1"),
    host="127.0.0.1",
    port=1,
    slots=1,
    connections=1,
)


class CountingServer:
    """Records the counts that a connection reports."""

    granted = None
    silence_timeout = SECOND * 60
    time_since_contact = timedelta()

    def __init__(self) -> None:
        self.counts: list[tuple[int, timedelta | None]] = []
        self.changed = trio.Event()

    def handle_announcement(
        self, announce: object, counted_after: timedelta | None
    ) -> None:
        self.counts.append((0, counted_after))

    def handle_heartbeat(self, running: int, counted_after: timedelta | None) -> None:
        self.counts.append((running, counted_after))

    def set_heartbeat_interval(self, interval: timedelta) -> None:
        pass

    async def publish(self) -> None:
        await trio.lowlevel.checkpoint()


class CountTest(unittest.TestCase):
    def test_a_count_is_dated_by_the_last_answer_received(self) -> None:
        trio.run(self.exchange, clock=trio.testing.MockClock(autojump_threshold=0))

    async def exchange(self) -> None:
        server = CountingServer()
        near, far = memory_stream_pair(object, Heartbeat)
        clock = TrioClock()
        connection = AnnouncementConnection(
            TimedStream(far, send_timeout=SECOND, silence_timeout=SECOND * 60),
            server,  # type: ignore[arg-type]
            FIRST,
            entry=InstanceName("a1"),
            choose_interval=lambda: AnnouncementSettings().heartbeat_interval,
            clock=clock,
        )
        async with trio.open_nursery() as nursery:
            begun = clock.monotonic()
            nursery.start_soon(connection.run)
            await trio.sleep(5)
            await near.send(Heartbeat(number=2, running=3, heard=1))
            await near.send(Heartbeat(number=3, running=2, heard=0))
            await near.send(Heartbeat(number=4, running=1, heard=99))
            await trio.sleep(1)
            nursery.cancel_scope.cancel()
        self.assertEqual(server.counts, [(0, None), (3, begun), (2, None), (1, None)])
