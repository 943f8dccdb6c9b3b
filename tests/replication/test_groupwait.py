"""Tests of the log lines of a replica that waits for its group."""

from __future__ import annotations

import json
import unittest

import trio

from rhubarbfield.logs import JsonFormatter
from tests.replication.group import Group
from tests.replication.test_founding import run_founding, start


class GroupWaitTest(unittest.TestCase):
    def test_wait_for_a_voter_is_logged_at_once_and_then_at_intervals(self) -> None:
        async def scenario(group: Group) -> None:
            await start(group, "c")
            await trio.sleep(9)
            await group.get("b").start(may_form_group=False)
            await trio.sleep(12)

        with self.assertLogs("rhubarbfield.replication.groupwait") as logs:
            run_founding(scenario)
        events = [json.loads(JsonFormatter().format(line)) for line in logs.records]
        waits = [event for event in events if event["event"] == "group-awaited"]
        first = [event for event in waits if event["may_form"]]
        self.assertEqual(len(first), 3)
        self.assertEqual([event["silent"] for event in first], ["a b", "a", "a"])
        self.assertEqual([event["answered"] for event in first], ["", "b", "b"])
        self.assertEqual(len(waits) - len(first), 2)
        self.assertEqual({event["level"] for event in waits}, {"info"})


if __name__ == "__main__":
    unittest.main()
