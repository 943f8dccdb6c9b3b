"""Tests of the sessions of backend servers with entries."""

from __future__ import annotations

import unittest
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec

from rhubarbfield.announcements import FromBackendServer, Heartbeat, ToBackendServer
from rhubarbfield.testing.announcer import leave
from rhubarbfield.testing.streams import memory_stream_pair
from rhubarbfield.workers import ConnectionRefused
from tests.announcements.domain import LEAVING, Domain, run_domain


class AnnouncementTest(unittest.TestCase):
    def run_in(self, scenario: Callable[[Domain], Awaitable[None]]) -> None:
        self.assertEqual(run_domain(scenario).double_owned, [])

    def test_one_entry_owns_a_server_and_gets_its_changes(self) -> None:
        async def scenario(domain: Domain) -> None:
            server, announcer = domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            self.assertEqual(announcer.owner, owner)
            server.announce = msgspec.structs.replace(server.announce, slots=3)
            announcer.push()
            await domain.sleep(0.2)
            self.assertEqual(domain.entry(owner).sink.slots, {"s1": 3})
            self.assertEqual(domain.state.servers["s1"].description.slots, 3)

        self.run_in(scenario)

    def test_a_second_entry_redirects_the_server_to_its_owner(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            await domain.sleep(1)
            owner = domain.find_senders()
            for _ in range(6):
                for stream in domain.streams():
                    stream.cut()
                await domain.sleep(1)
                self.assertEqual(domain.find_senders(), owner)
                self.assertEqual(announcer.address, f"{owner[0]}:1")

        self.run_in(scenario)

    def test_leaving_takes_effect_at_once(self) -> None:
        async def scenario(domain: Domain) -> None:
            server, announcer = domain.start_server("s1")
            await domain.sleep(1)
            server.announce = msgspec.structs.replace(
                server.announce, state=LEAVING, running=2
            )
            announcer.push()
            await domain.sleep(0.1)
            self.assertEqual(domain.find_senders(), [])
            self.assertEqual(domain.state.servers["s1"].state, LEAVING)
            server.announce = msgspec.structs.replace(server.announce, running=0)
            self.assertTrue(
                await leave(server, announcer, timeout=timedelta(seconds=5))
            )
            await domain.sleep(3)
            self.assertEqual(domain.state.servers, {})

        self.run_in(scenario)

    def test_leaving_reaches_the_router_without_a_quorum(self) -> None:
        async def scenario(domain: Domain) -> None:
            server, announcer = domain.start_server("s1")
            await domain.sleep(1)
            for entry in domain.entries:
                entry.ownership.reachable = False
            server.announce = msgspec.structs.replace(server.announce, state=LEAVING)
            announcer.push()
            await domain.sleep(0.1)
            self.assertEqual(domain.find_senders(), [])

        self.run_in(scenario)

    def test_missed_heartbeats_reach_the_router_within_two_seconds(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            announcer.muted = True
            await domain.sleep(1.9)
            self.assertEqual(domain.find_senders(), [])
            self.assertEqual(domain.entry(owner).sink.leaving, {"s1"})
            announcer.muted = False
            await domain.sleep(3)
            self.assertEqual(domain.find_senders(), [owner])

        self.run_in(scenario)

    def test_many_servers_send_heartbeats_less_often(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            for number in range(2, 102):
                domain.start_server(f"s{number}")
            await domain.sleep(8)
            (owner,) = domain.find_senders()
            sessions = domain.entry(owner).sessions
            before = sum(stream.outgoing.messages for stream in domain.streams())
            await domain.sleep(30)
            after = sum(stream.outgoing.messages for stream in domain.streams())
            self.assertLess((after - before) / 30, 2 * 45)
            self.assertEqual(domain.find_senders(), [owner])
            self.assertEqual(len(sessions.owned), len(domain.streams_to(owner)))
            announcer.stop()
            await domain.sleep(2)
            self.assertEqual(domain.find_senders(), [], "its connection has ended")

        self.run_in(scenario)

    def test_a_connection_silent_one_way_is_replaced(self) -> None:
        for both_ways in (False, True):
            with self.subTest(both_ways=both_ways):

                async def scenario(domain: Domain, both: bool = both_ways) -> None:
                    domain.start_server("s1")
                    await domain.sleep(1)
                    owner = domain.find_senders()
                    for stream in domain.streams():
                        stream.blackhole(both_ways=both)
                    await domain.sleep(4)
                    self.assertEqual(domain.find_senders(), owner)

                self.run_in(scenario)

    def test_a_server_moves_only_after_its_owner_has_lapsed(self) -> None:
        async def scenario(domain: Domain) -> None:
            domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            former_owner = domain.entry(owner)
            domain.network.close(f"{owner}:1")
            await domain.sleep(8)
            self.assertEqual(domain.find_senders(), [])
            former_owner.ownership.expire_lease()
            await domain.sleep(4)
            (successor,) = domain.find_senders()
            self.assertNotEqual(successor, owner)
            self.assertEqual(domain.entry(successor).sink.settled, {"s1": False})

        self.run_in(scenario)

    def test_a_planned_stop_hands_servers_over(self) -> None:
        async def scenario(domain: Domain) -> None:
            domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            await domain.entry(owner).sessions.hand_over_all()
            await domain.sleep(4)
            (successor,) = domain.find_senders()
            self.assertNotEqual(successor, owner)
            self.assertEqual(domain.entry(successor).sink.settled, {"s1": True})

        self.run_in(scenario)

    def test_an_expired_server_is_released_and_returns_as_new(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            await domain.sleep(1)
            announcer.stop()
            await domain.sleep(65)
            self.assertEqual(domain.state.servers, {})
            domain.start_server("s1", "2")
            await domain.sleep(1)
            self.assertEqual(len(domain.find_senders()), 1)

        self.run_in(scenario)

    def test_requests_in_doubt_keep_the_record_of_an_expired_server(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            await domain.sleep(1)
            for entry in domain.entries:
                entry.sink.busy = True
            announcer.stop()
            await domain.sleep(65)
            self.assertFalse(domain.state.servers["s1"].settled)

        self.run_in(scenario)

    def test_a_new_session_claims_every_server_again(self) -> None:
        async def scenario(domain: Domain) -> None:
            domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            entry = domain.entry(owner)
            before = domain.state.servers["s1"].epoch
            entry.ownership.expire_lease()
            entry.ownership.session = entry.ownership.open_session()
            entry.sessions.reclaim_all()
            await domain.sleep(1)
            self.assertEqual(domain.find_senders(), [owner])
            self.assertGreater(domain.state.servers["s1"].epoch, before)

        self.run_in(scenario)

    def test_a_release_in_progress_is_settled_before_the_next_claim(self) -> None:
        async def scenario(domain: Domain) -> None:
            _, announcer = domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            announcer.stop()
            await domain.sleep(58)
            domain.entry(owner).ownership.reachable = False
            await domain.sleep(4)
            domain.start_server("s1", "2")
            domain.start_server("s1", "3")
            await domain.sleep(3)
            self.assertEqual(domain.find_senders(), [])
            domain.entry(owner).ownership.reachable = True
            await domain.sleep(4)
            state = domain.state.servers["s1"]
            self.assertEqual(domain.find_senders(), [state.owner])

        self.run_in(scenario)


class RefusalsTest(unittest.TestCase):
    def get_refusal(self, *messages: msgspec.Struct | bytes) -> str:
        answers: list[msgspec.Struct] = []

        async def scenario(domain: Domain) -> None:
            domain.start_server("s1")
            await domain.sleep(1)
            (owner,) = domain.find_senders()
            near, far = memory_stream_pair(ToBackendServer, FromBackendServer)
            domain.nursery.start_soon(domain.entry(owner).sessions.serve, far)
            for message in messages:
                if isinstance(message, bytes):
                    await near.outgoing.send(message)
                else:
                    await near.send(message)
            while (answer := await near.receive()) is not None:
                answers.append(answer)

        run_domain(scenario)
        answer = answers[-1]
        assert isinstance(answer, ConnectionRefused), answers
        return answer.reason

    def test_a_heartbeat_cannot_come_first(self) -> None:
        reason = self.get_refusal(Heartbeat(number=1, running=0))
        self.assertIn("announce", reason)

    def test_a_bad_announcement_is_answered_with_its_field(self) -> None:
        bad = b'{"type": "announce", "number": 1, "server": "s", "slots": 0}'
        self.assertIn("$.", self.get_refusal(bad))

    def test_a_second_process_of_the_same_name_is_refused(self) -> None:
        from tests.announcements.domain import Server

        reason = self.get_refusal(Server("s1", "2").announce)
        self.assertIn("another process", reason)

    def test_a_connection_announces_one_server(self) -> None:
        from tests.announcements.domain import Server

        messages = (Server("s2").announce, Server("s3").announce)
        self.assertIn("one backend server", self.get_refusal(*messages))
