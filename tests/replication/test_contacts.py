"""Tests of what the log lines about a leader's quorum say."""

from __future__ import annotations

import json
import logging
import math
import unittest
from collections.abc import Awaitable, Callable

import trio

from rhubarbfield.logs import JsonFormatter
from tests.replication.group import Group, Node
from tests.replication.test_replica import run_group

LOGGER = "rhubarbfield.replication"
DISTURBED_SECONDS = 3.0
MAX_HEARTBEATS = 1.5  # since the last one was sent


def parse_ages(text: str) -> dict[str, float]:
    """Return the age by voter; infinite for one without any contact."""
    pairs = [pair.split("=") for pair in text.split()]
    return {name: math.inf if age == "never" else float(age) for name, age in pairs}


class QuorumLostTest(unittest.TestCase):
    def lose_quorum(
        self, disturb: Callable[[Group, Node], Awaitable[None]]
    ) -> tuple[Group, dict[str, float], dict[str, float], float]:
        """Return the fields of the line about the first quorum that is lost."""
        groups = []

        async def scenario(group: Group) -> None:
            groups.append(group)
            leader = await group.wait_leader()
            await group.propose_many("x", 1)
            await disturb(group, leader)
            await trio.sleep(DISTURBED_SECONDS)

        with self.assertLogs("rhubarbfield.replication.leader", "WARNING") as logs:
            run_group(scenario)
        line = json.loads(JsonFormatter().format(logs.records[0]))
        self.assertEqual(line["event"], "quorum-lost")
        self.assertEqual((line["group"], line["area"]), ("fleet", "replication.leader"))
        self.assertGreater(line["term"], 0)
        contacts = parse_ages(line["contacts"])
        acknowledged = parse_ages(line["acknowledged"])
        self.assertEqual(len(contacts), 2)
        self.assertEqual(contacts.keys(), acknowledged.keys())
        return groups[0], contacts, acknowledged, line["heartbeat_age"]

    def test_a_cut_off_leader_has_sent_its_heartbeats(self) -> None:
        async def cut_off(group: Group, leader: Node) -> None:
            group.network.isolate(leader.name)

        group, contacts, _, heartbeat_age = self.lose_quorum(cut_off)
        lease = group.settings.lease.total_seconds() * 0.9
        heartbeat = group.settings.heartbeat.total_seconds()
        self.assertGreater(min(contacts.values()), lease)
        self.assertLess(heartbeat_age, heartbeat * MAX_HEARTBEATS)

    def test_a_voter_that_answers_is_told_from_one_that_is_cut_off(self) -> None:
        async def cut_off_later(group: Group, leader: Node) -> None:
            first, second = group.list_others(leader)
            group.network.cut(first.name, leader.name)
            await trio.sleep(DISTURBED_SECONDS)
            group.network.cut(second.name, leader.name)

        _, contacts, _, _ = self.lose_quorum(cut_off_later)
        self.assertGreater(max(contacts.values()), DISTURBED_SECONDS)
        self.assertLess(min(contacts.values()), DISTURBED_SECONDS)

    def test_a_starved_leader_has_not_sent_its_heartbeats(self) -> None:
        async def starve(group: Group, leader: Node) -> None:
            leader.clock.freeze()
            await trio.sleep(DISTURBED_SECONDS)
            leader.clock.thaw()

        group, _, acknowledged, heartbeat_age = self.lose_quorum(starve)
        heartbeat = group.settings.heartbeat.total_seconds()
        self.assertGreater(heartbeat_age, DISTURBED_SECONDS - heartbeat)
        self.assertGreater(min(acknowledged.values()), DISTURBED_SECONDS - heartbeat)

    def test_late_answers_are_contacts_and_acknowledge_old_heartbeats(self) -> None:
        async def delay_more_and_more(group: Group, leader: Node) -> None:
            lease = group.settings.lease.total_seconds()
            heartbeat = group.settings.heartbeat.total_seconds()
            delay = 0.0
            while delay < lease:
                delay += heartbeat / 2
                for node in group.list_others(leader):
                    group.network.slow(node.name, leader.name, delay)
                await trio.sleep(heartbeat)

        group, contacts, acknowledged, _ = self.lose_quorum(delay_more_and_more)
        lease = group.settings.leader_lease.total_seconds()
        self.assertGreater(min(acknowledged.values()), lease)
        self.assertLess(max(contacts.values()), lease / 2)


class ElectedTest(unittest.TestCase):
    def read_elections(
        self, disturb: Callable[[Group, Node], Awaitable[None]], **options: object
    ) -> tuple[str, list[dict[str, object]]]:
        """Return the former leader, and the lines of all elections after it."""
        former = []

        async def scenario(group: Group) -> None:
            leader = await group.wait_leader()
            former.append(leader.name)
            logging.getLogger(LOGGER).info("disturbance-begun")
            await disturb(group, leader)
            await trio.sleep(10)

        with self.assertLogs(LOGGER, "INFO") as logs:
            run_group(scenario, **options)
        lines = [json.loads(JsonFormatter().format(record)) for record in logs.records]
        events = [line["event"] for line in lines]
        later = lines[events.index("disturbance-begun") :]
        return former[0], [line for line in later if line["event"] == "elected"]

    def test_the_silence_of_a_crashed_leader_is_an_election_timeout(self) -> None:
        async def crash(group: Group, leader: Node) -> None:
            await leader.crash()

        former, (elected, *_) = self.read_elections(crash)
        self.assertEqual(elected["former"], former)
        self.assertGreaterEqual(elected["silence"], 2.0)

    def test_a_release_leaves_no_silence(self) -> None:
        async def release(group: Group, leader: Node) -> None:
            leader.replica.release_leadership()

        former, (elected, *_) = self.read_elections(release)
        self.assertEqual(elected["former"], former)
        self.assertLess(elected["silence"], 1.0)

    def test_a_leader_that_is_elected_again_has_no_silence(self) -> None:
        async def lose_voter_for_some_time(group: Group, leader: Node) -> None:
            (other,) = group.list_others(leader)
            await other.crash()
            await trio.sleep(DISTURBED_SECONDS)
            await other.start()

        former, (elected, *_) = self.read_elections(
            lose_voter_for_some_time, names="ab", avoid_leadership="b"
        )
        self.assertEqual(elected["former"], former)
        self.assertIsNone(elected["silence"])


if __name__ == "__main__":
    unittest.main()
