"""Tests of connections to servers that break the protocol."""

from __future__ import annotations

import unittest
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure

from rhubarbfield.groups import REPLICATION_LINK
from rhubarbfield.peering import (
    Credentials,
    GrpcTransport,
    PeerLinks,
    open_bridge,
    open_streamed_calls,
)
from rhubarbfield.peering.links import make_link_method
from rhubarbfield.scheduling.requests import JOB_CALL, JOB_STREAM, LeadershipQuery
from rhubarbfield.types import InstanceName
from tests.peering.hostile import (
    BEHAVIOURS,
    FREEZE_SECONDS,
    Behaviour,
    close_at_once,
    read_nothing,
    serve_hostile,
)
from tests.replication.determinism import expect_contained_errors

CALL_TIMEOUT = timedelta(milliseconds=300)
LINK_SECONDS = 0.4  # two attempts
CALLS = 5
BULKS = 32
BULK_BYTES = 1 << 19  # all of them are more than the buffers of a connection hold
HOSTS = ("a" * 64, "a..b", "a\0b", "\ud800")


class Bulk(msgspec.Struct, frozen=True, tag=True):
    data: bytes


BULK_LINK = make_link_method("/test.Test/Bulk", Bulk)


class HostileServerTest(unittest.TestCase):
    """What another process sends costs its connection, and never this process."""

    def setUp(self) -> None:
        self.enterContext(expect_contained_errors())

    def test_call_to_a_hostile_server_fails(self) -> None:
        for name, behaviour in BEHAVIOURS.items():
            with self.subTest(name):
                trio.run(self._call, behaviour)

    async def _call(self, behaviour: Behaviour) -> None:
        async with open_bridge(), trio.open_nursery() as nursery:
            port = await nursery.start(serve_hostile, behaviour)
            transport = GrpcTransport(Credentials(secret="s"))
            for _ in range(CALLS):
                connection = transport.open_connection("127.0.0.1", port)
                result = await connection.call(
                    JOB_CALL, LeadershipQuery(), CALL_TIMEOUT
                )
                self.assertIsInstance(result, Failure)
                connection.close()
            nursery.cancel_scope.cancel()

    def test_streamed_call_to_a_hostile_server_fails(self) -> None:
        for name, behaviour in BEHAVIOURS.items():
            with self.subTest(name):
                trio.run(self._call_on_stream, behaviour)

    async def _call_on_stream(self, behaviour: Behaviour) -> None:
        grpc = GrpcTransport(Credentials(secret="s"))
        async with (
            open_bridge(),
            open_streamed_calls(grpc, JOB_CALL, JOB_STREAM) as transport,
            trio.open_nursery() as nursery,
        ):
            port = await nursery.start(serve_hostile, behaviour)
            for _ in range(CALLS):
                connection = transport.open_connection("127.0.0.1", port)
                result = await connection.call(
                    JOB_CALL, LeadershipQuery(), CALL_TIMEOUT
                )
                self.assertIsInstance(result, Failure)
                connection.close()
            nursery.cancel_scope.cancel()

    def test_link_to_a_hostile_server_goes_on(self) -> None:
        for name, behaviour in BEHAVIOURS.items():
            with self.subTest(name):
                trio.run(self._link, behaviour, "127.0.0.1")

    def test_link_to_a_server_that_reads_nothing_ends_when_told_to(self) -> None:
        trio.run(self._end_full_link)

    async def _end_full_link(self) -> None:
        async with open_bridge(), trio.open_nursery() as nursery:
            port = await nursery.start(serve_hostile, read_nothing)
            peer = InstanceName("peer")
            transport = GrpcTransport(Credentials(secret="s"))
            links = PeerLinks(
                InstanceName("self"), {peer: ("127.0.0.1", port)}, BULK_LINK, transport
            )
            for _ in range(BULKS):
                links.send(peer, Bulk(bytes(BULK_BYTES)))
            began = trio.current_time()
            with trio.move_on_after(LINK_SECONDS):
                await links.run()
            self.assertLess(trio.current_time() - began, FREEZE_SECONDS / 2)
            nursery.cancel_scope.cancel()

    def test_link_to_an_impossible_host_goes_on(self) -> None:
        for host in HOSTS:
            with self.subTest(ascii(host)):
                trio.run(self._link, close_at_once, host)

    async def _link(self, behaviour: Behaviour, host: str) -> None:
        async with open_bridge(), trio.open_nursery() as nursery:
            port = await nursery.start(serve_hostile, behaviour)
            peer = InstanceName("peer")
            transport = GrpcTransport(Credentials(secret="s"))
            links = PeerLinks(
                InstanceName("self"), {peer: (host, port)}, REPLICATION_LINK, transport
            )
            with trio.move_on_after(LINK_SECONDS) as scope:
                await links.run()
            self.assertTrue(scope.cancelled_caught)
            nursery.cancel_scope.cancel()
