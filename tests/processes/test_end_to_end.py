"""End-to-end test of a service, a batch job and operators' queries."""

from __future__ import annotations

import unittest

from tests.processes.fleet import run_fleet, wait_until

DOMAINS = {"north": ("a1", "a2"), "south": ("b1",)}


class EndToEndTest(unittest.TestCase):
    def test_services_batch_and_operators(self) -> None:
        with run_fleet(DOMAINS, diskless=("a2",)) as fleet:
            port = fleet.start_backend("s-1", "north")
            fleet.start_worker("w-1", "north")
            wait_until(
                lambda: fleet.send_request("a1").is_success, "the service answers"
            )
            answer = fleet.send_request("b1")
            self.assertEqual(answer.headers["rhubarbfield-outcome"], "answered")
            self.assertGreaterEqual(len(fleet.observe(port)["runs_by_request"]), 2)
            text = "create batch weekly for tenant t tasks 2 cores 1 memory 100 mb"
            created = fleet.command(1, text)
            self.assertTrue(created["record"]["accepted"], created)
            self.assertEqual(fleet.command(1, text), created)
            conflicting = fleet.command(1, text, operator="rui")
            self.assertEqual(conflicting["failure"]["failure"]["kind"], "clash")
            self.check_explanation(fleet)
            self.check_configuration(fleet)

    def check_explanation(self, fleet: object) -> None:
        tasks = wait_until(
            lambda: fleet.list_rows("show tasks where state = running"), "a task runs"
        )
        self.assertEqual(tasks[0]["worker"], "w-1")
        explained = fleet.query(f'explain task "{tasks[0]["task"]}"')
        self.assertIn(["where", "w-1"], explained["rows"])

    def check_configuration(self, fleet: object) -> None:
        fleet.command(2, "configure routing.retry_budget_fraction = 0.2")

        def is_in_force() -> bool:
            rows = fleet.list_rows("show configuration")
            entries = [r for r in rows if r["process"].startswith("entry")]
            return len(entries) == 3 and all(r["version"] == 1 for r in entries)

        wait_until(is_in_force, "the configuration is in force everywhere", 8)
