"""Tests of entries and controllers together, in memory on a virtual clock."""

from __future__ import annotations

import unittest
from typing import Any

import msgspec
import trio
from returns.result import Success

from rhubarbfield.controller.groups import FLEET_GROUP
from rhubarbfield.controller.options import make_entry_lease_terms
from rhubarbfield.entry.records import find_home_domain
from rhubarbfield.ownership import EndEntrySession, OwnershipEndProof
from rhubarbfield.peering import Encoding
from rhubarbfield.protocol import (
    DOMAIN_CALL,
    ENTRY_STREAM,
    FORWARD_CALL,
    DomainRequest,
    EntryHello,
    EntryRefused,
    NotLeading,
)
from rhubarbfield.protocol.workers import WORKER_STREAM
from rhubarbfield.replay.fleet import MemoryFleet
from rhubarbfield.replication import LEADERSHIP_RELEASE_DELAY
from rhubarbfield.routing import Refusal
from rhubarbfield.testing.memory_transport import MemoryTransport
from rhubarbfield.types import (
    ConfigurationVersion,
    Epoch,
    FailureDomain,
    GroupId,
    Incarnation,
    InstanceName,
    Outcome,
    Tenant,
)
from rhubarbfield.workers import GoToLeader
from rhubarbfield.workers.streams import ConnectionRefused
from tests.controller.test_worklog import HELLO
from tests.entry.fleets import (
    DOMAINS,
    TENANT,
    configure,
    find_owner,
    isolate_domain,
    make_request,
    route,
    run_fleet,
)
from tests.fleet.fleets import START

DOMAIN_NAMES = tuple(FailureDomain(name) for name in sorted(DOMAINS))
HOME_DOMAIN = find_home_domain(TENANT, DOMAIN_NAMES)
OTHER_DOMAIN, THIRD = (name for name in DOMAIN_NAMES if name != HOME_DOMAIN)
CONFIGURE = "configure routing.default_request_seconds = {}"


def count_runs(fleet: MemoryFleet, key: str) -> int:
    servers = fleet.servers.values()
    return sum(server.counts.keyed_runs[f"{TENANT}/{key}"] for server in servers)


RECORD_TIMEOUT_SECONDS = 2


class HomeDomainTest(unittest.TestCase):
    def test_the_home_domain_of_a_tenant_never_changes(self) -> None:
        """A different choice, even in a later version, would run requests twice."""
        tenants = [Tenant(f"t{number}") for number in range(8)]
        homes = [find_home_domain(tenant, DOMAIN_NAMES)[0] for tenant in tenants]
        self.assertEqual("".join(homes), "swsnswnw")
        for tenant in tenants:
            reversed_choice = find_home_domain(tenant, tuple(reversed(DOMAIN_NAMES)))
            self.assertEqual(find_home_domain(tenant, DOMAIN_NAMES), reversed_choice)

    def test_a_key_repeated_through_any_entry_runs_once(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            results = []

            async def send_request(entry: str, number: int) -> None:
                request = make_request(f"r{number}", key="k1")
                results.append(await route(fleet, entry, request))

            async with trio.open_nursery() as nursery:
                for number, entry in enumerate(("n1", "s1", "w1")):
                    nursery.start_soon(send_request, entry, number)
            # The answer is recorded after the caller has received it; until then
            # a repeated request is answered "unknown" and never runs.
            with trio.fail_after(RECORD_TIMEOUT_SECONDS):
                await send_request("s2", len(results))
                while not isinstance(results[-1], Success):
                    self.assertEqual(count_runs(fleet, "k1"), 1)
                    await send_request("s2", len(results))
            self.assertEqual(count_runs(fleet, "k1"), 1)
            self.assertTrue(results[-1].unwrap().repeated)

        run_fleet(body)

    def test_an_unreachable_home_domain_refuses_as_not_run(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            isolate_domain(fleet, HOME_DOMAIN)
            entry = DOMAINS[OTHER_DOMAIN][0]
            refused = await route(fleet, entry, make_request("r1", key="k1"))
            self.assertEqual(refused.failure().outcome, Outcome.NOT_RUN)
            answered = await route(fleet, entry, make_request("r2"))
            self.assertIsInstance(answered, Success)
            self.assertEqual(count_runs(fleet, "k1"), 0)

        run_fleet(body)


class WitnessTest(unittest.TestCase):
    def test_a_witness_serves_nothing_of_the_foreign_domain(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            # One instance of the next domain votes for north.
            for name in DOMAINS["north"]:
                fleet.network.disconnect_host(fleet.hosts[name][0])
                await fleet.kill_process(f"controller {name}")
            await trio.sleep(20)
            for name in (*DOMAINS["south"], *DOMAINS["west"]):
                await self.check_refusals(fleet, name)

        run_fleet(body)

    async def check_refusals(self, fleet: MemoryFleet, name: str) -> None:
        transport = MemoryTransport(fleet.network, "n1")
        addresses = fleet._settings[name].addresses
        host, port = addresses.host, addresses.controller_peer_port
        connection = transport.open_connection(host, port)
        hello = EntryHello(
            entry=InstanceName("n1"),
            incarnation=Incarnation("x"),
            domain=FailureDomain("north"),
            address="",
            number=1,
            configuration=ConfigurationVersion(0),
        )
        async with connection.open(ENTRY_STREAM) as stream:
            assert stream is not None
            await stream.send(hello)
            self.assertIsInstance(await stream.receive(), EntryRefused)
        end = EndEntrySession(
            entry=InstanceName("n1"),
            session=Epoch(1),
            proof=OwnershipEndProof.RELEASED,
            at=START,
        )
        reply = await connection.call(
            DOMAIN_CALL, DomainRequest(domain=FailureDomain("north"), command=end)
        )
        self.assertEqual(reply, Success(NotLeading()))
        workers = transport.open_connection(
            host, addresses.workers_port, encoding=Encoding.JSON
        )
        async with workers.open(WORKER_STREAM) as stream:
            assert stream is not None
            await stream.send(HELLO)
            self.assertIsInstance(
                await stream.receive(), GoToLeader | ConnectionRefused
            )


def list_led_groups(fleet: MemoryFleet) -> dict[GroupId, str]:
    """Return which controller leads each group that is led."""
    return {
        group: name
        for name, controller in fleet.controllers.items()
        for group, replica in controller._replicas.items()
        if replica.leadership is not None
    }


class PlannedStopTest(unittest.TestCase):
    def test_a_stopping_entry_finishes_forwarded_requests_and_hands_over(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            owner, epoch = find_owner(fleet, "s-north-0")
            other = next(name for name in DOMAINS["north"] if name != owner)
            results: list[Any] = []

            async def send_request(number: int) -> None:
                request = make_request(f"r{number}")
                results.append(await route(fleet, other, request))

            async with trio.open_nursery() as nursery:
                for number in range(4):
                    nursery.start_soon(send_request, number)
                await trio.sleep(0.02)
                begun = trio.current_time()
                stopping = fleet.entries[owner]
                self.assertGreater(stopping.router.count_in_flight(), 0)
                await stopping.hand_over()
            self.assertEqual([type(result) for result in results], [Success] * 4)
            late = await self.forward(fleet, owner)
            self.assertEqual(late.outcome, Outcome.NOT_RUN)
            while find_owner(fleet, "s-north-0")[0] != other:
                await trio.sleep(0.05)
            took = trio.current_time() - begun
            lease = make_entry_lease_terms(
                stopping.settings.timing
            ).duration.total_seconds()
            self.assertLess(took, lease / 2)
            self.assertGreater(find_owner(fleet, "s-north-0")[1], epoch)

        run_fleet(body)

    def test_another_controller_leads_at_once_when_the_leading_one_stops(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            for _ in range(3):
                before = list_led_groups(fleet)
                name = before[FLEET_GROUP]
                fleet.controllers[name].release_leadership()
                await trio.sleep(LEADERSHIP_RELEASE_DELAY.total_seconds())
                await fleet.kill_process(f"controller {name}")
                after = list_led_groups(fleet)
                for group in before:
                    self.assertNotEqual(after[group], name, group)
                await fleet.start_process(f"controller {name}")
                await trio.sleep(10)

        for seed in range(1, 4):
            run_fleet(body, seed)

    async def forward(self, fleet: MemoryFleet, owner: str) -> Refusal:
        addresses = fleet.entries[owner].settings.addresses
        transport = MemoryTransport(fleet.network, "127.0.0.1")
        connection = transport.open_connection(
            addresses.host, addresses.entry_peer_port
        )
        request = msgspec.structs.replace(make_request("late"), hops=1)
        answer = (await connection.call(FORWARD_CALL, request)).unwrap()
        assert answer.refusal is not None
        return answer.refusal


class ConfigurationTest(unittest.TestCase):
    def test_a_version_never_reverts(self) -> None:
        async def body(fleet: MemoryFleet) -> None:
            self.assertEqual(
                await configure(fleet, "n1", 1, CONFIGURE.format(3)), "accepted"
            )
            await trio.sleep(8)
            self.assertEqual(self.versions(fleet), {1})
            isolate_domain(fleet, "west")
            await trio.sleep(10)
            refused = await configure(fleet, "w1", 2, CONFIGURE.format(4))
            self.assertEqual(refused, "no-quorum")
            accepted = await configure(fleet, "n1", 3, CONFIGURE.format(5))
            self.assertEqual(accepted, "accepted")
            await trio.sleep(8)
            self.assertEqual(fleet.entries["w1"].in_force.configuration.version, 1)
            fleet.network.heal_all()
            await trio.sleep(8)
            self.assertEqual(self.versions(fleet), {2})
            await fleet.kill_process("entry s1")
            await fleet.start_process("entry s1")
            await trio.sleep(8)
            self.assertEqual(self.versions(fleet), {2})

        run_fleet(body)

    def versions(self, fleet: MemoryFleet) -> set[int]:
        entries = [
            entry.in_force.configuration.version for entry in fleet.entries.values()
        ]
        return {*entries}
