"""Tests of kills, freezes, lost disks and restarts, with real processes."""

from __future__ import annotations

import shutil
import signal
import time
import unittest

import httpx

from tests.processes.callers import Callers
from tests.processes.fleet import ProcessFleet, run_fleet, wait_until

DOMAIN = {"north": ("a1", "a2", "a3")}
BATCH = "create batch b{0} for tenant t tasks 2 cores 1 memory 100 mb"
RECOVERY_TIMEOUT_SECONDS = 10.0


def start_service(fleet: ProcessFleet) -> int:
    port = fleet.start_backend("s-1", "north")
    wait_until(lambda: fleet.send_request("a1").is_success, "the service answers")
    return port


def find_owner(fleet: ProcessFleet) -> str:
    return str(
        wait_until(
            lambda: next((r["owner"] for r in fleet.list_rows("show servers")), None),
            "the backend server has an owner",
        )
    )


def post_with_key(fleet: ProcessFleet, instance: str, key: str) -> httpx.Response:
    url = f"{fleet.instances[instance].callers}/services/board/reserve"
    headers = {"Rhubarbfield-Tenant": "house-a", "Idempotency-Key": key}
    return httpx.post(url, headers=headers, content=b"sander", timeout=10)


class ControllerFailureTest(unittest.TestCase):
    def test_commands_are_accepted_after_the_leading_controller_is_killed(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            port = start_service(fleet)
            fleet.start_worker("w-1", "north")
            wait_until(lambda: fleet.list_rows("show workers"), "a worker joins")
            fleet.command(1, BATCH.format(1))
            leader = fleet.find_leader("north")
            with Callers(fleet) as callers:
                fleet.kill(f"controller-{leader}")
                text = BATCH.format(2)
                wait_until(
                    lambda: "record" in fleet.command(2, text),
                    "a command is accepted again",
                    RECOVERY_TIMEOUT_SECONDS,
                )
            self.assertEqual(set(callers.outcomes), {"answered"})
            self.assertEqual(fleet.observe(port)["over_slots"], 0)
            wait_until(
                lambda: (
                    all(row["worker"] for row in fleet.list_rows("show tasks"))
                    and len(fleet.list_rows("show tasks")) == 4
                ),
                "all tasks are placed",
            )

    def test_a_replica_with_a_lost_data_folder_is_repaired(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            fleet.command(1, "configure routing.retry_budget_fraction = 0.2")
            fleet.kill("controller-a2")
            shutil.rmtree(fleet.folder / "data-a2")
            fleet.start_daemon("controller", "a2")
            fleet.wait_ready("a2")
            wait_until(
                lambda: fleet.query("show configuration", "a2")["note"].startswith(
                    "accepted: version 1"
                ),
                "the replaced replica has the configuration",
            )
            # The repaired replica must have caught up before the second loss.
            time.sleep(3)
            fleet.kill("controller-a3")
            wait_until(
                lambda: (
                    "record"
                    in fleet.command(2, "configure routing.retry_budget_fraction = 0.3")
                ),
                "two of three decide",
                RECOVERY_TIMEOUT_SECONDS,
            )


class EntryFailureTest(unittest.TestCase):
    def test_another_entry_serves_after_the_owner_is_killed(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            port = start_service(fleet)
            owner = find_owner(fleet)
            others = [name for name in fleet.instances if name != owner]
            fleet.kill(f"entry-{owner}")
            wait_until(
                lambda: fleet.send_request(others[0]).is_success,
                "another entry serves",
                RECOVERY_TIMEOUT_SECONDS,
            )
            self.assertNotEqual(find_owner(fleet), owner)
            self.assertEqual(fleet.observe(port)["over_slots"], 0)

    def test_a_frozen_owner_does_not_exceed_the_slots(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            port = start_service(fleet)
            owner = find_owner(fleet)
            with Callers(fleet, count=8):
                time.sleep(1)
                fleet.signal(f"entry-{owner}", signal.SIGSTOP)
                wait_until(
                    lambda: find_owner(fleet) != owner,
                    "another entry owns the backend server",
                    RECOVERY_TIMEOUT_SECONDS,
                )
                fleet.signal(f"entry-{owner}", signal.SIGCONT)
                time.sleep(2)
            self.assertEqual(fleet.observe(port)["over_slots"], 0)

    def test_a_key_runs_once_across_entries(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            port = start_service(fleet)
            answers = [post_with_key(fleet, name, "k1") for name in fleet.instances]
            bodies = {answer.content for answer in answers}
            self.assertEqual(len(bodies), 1, [a.text for a in answers])
            self.assertEqual(list(fleet.observe(port)["runs_by_key"].values()), [1])


class BackendServerFailureTest(unittest.TestCase):
    def test_a_server_that_was_frozen_is_used_again(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            start_service(fleet)
            owner = find_owner(fleet)
            fleet.signal("s-1", signal.SIGSTOP)
            wait_until(
                lambda: "server-silent" in fleet.read_log(f"entry-{owner}"),
                "its owner notices the silence",
                RECOVERY_TIMEOUT_SECONDS,
            )
            fleet.signal("s-1", signal.SIGCONT)
            wait_until(
                lambda: fleet.send_request(owner).is_success,
                "the service answers again",
                RECOVERY_TIMEOUT_SECONDS,
            )


class RollingRestartTest(unittest.TestCase):
    def test_no_request_is_cut_off(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            port = start_service(fleet)
            with Callers(fleet) as callers:
                for name in fleet.instances:
                    for kind in ("entry", "controller"):
                        self.assertEqual(fleet.stop(f"{kind}-{name}"), 0)
                        fleet.start_daemon(kind, name)
                        fleet.wait_ready(name)
            self.assertEqual(set(callers.outcomes), {"answered"})
            self.assertGreater(callers.outcomes["answered"], 100)
            self.assertEqual(fleet.observe(port)["over_slots"], 0)

    def test_a_stopped_controller_releases_its_leadership(self) -> None:
        with run_fleet(DOMAIN) as fleet:
            leader = fleet.find_leader("north")
            self.assertEqual(fleet.stop(f"controller-{leader}"), 0)
            log = fleet.read_log(f"controller-{leader}")
            self.assertIn('"leadership-released"', log)
            wait_until(
                lambda: fleet.find_leader("north") != leader, "another controller leads"
            )
