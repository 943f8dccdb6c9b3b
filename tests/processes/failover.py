"""Recovery times after failures, with real processes.

``python -m tests.processes.failover [ROUNDS]`` prints median, minimum and
maximum, in seconds, for the default timing settings.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable

from rhubarbfield.language import Table, format_table
from tests.processes.fleet import ProcessFleet, run_fleet, wait_until

DOMAIN = {"north": ("a1", "a2", "a3")}
TIMEOUT_SECONDS = 60.0
SETTLE_SECONDS = 3.0
BATCH = "create batch b{0} for tenant t tasks 8 cores 1 memory 100 mb"

Measurement = Callable[[ProcessFleet], float]


def measure(condition: Callable[[], object], description: str) -> float:
    """Return the seconds until ``condition`` returns a true value."""
    started_at = time.monotonic()
    wait_until(condition, description, TIMEOUT_SECONDS)
    return time.monotonic() - started_at


def kill_entry(fleet: ProcessFleet) -> float:
    """Return the time from the kill of a server's owner to a served request."""
    fleet.start_backend("s-1", "north")
    wait_until(lambda: fleet.send_request("a1").is_success, "the service answers")
    owner = str(fleet.list_rows("show servers")[0]["owner"])
    other = next(name for name in fleet.instances if name != owner)
    time.sleep(SETTLE_SECONDS)
    fleet.kill(f"entry-{owner}")
    return measure(lambda: fleet.send_request(other).is_success, "another entry serves")


def kill_controller(fleet: ProcessFleet) -> float:
    """Return the time from the kill of the leader to an accepted command."""
    leader = wait_until(lambda: fleet.find_leader("north"), "a controller leads")
    time.sleep(SETTLE_SECONDS)
    fleet.kill(f"controller-{leader}")
    text = "configure routing.retry_budget_fraction = 0.2"
    return measure(lambda: "record" in fleet.command(1, text), "a command is accepted")


def kill_worker(fleet: ProcessFleet) -> float:
    """Return the time from the kill of a worker until its tasks run elsewhere."""
    fleet.start_worker("w-1", "north", cores=4)
    wait_until(lambda: fleet.list_rows("show workers"), "a worker joins")
    fleet.command(1, BATCH.format(1))
    running = "show tasks where state = running and worker = {0}"
    wait_until(lambda: fleet.list_rows(running.format("w-1")), "tasks run")
    fleet.start_worker("w-2", "north", cores=16)
    wait_until(lambda: len(fleet.list_rows("show workers")) > 1, "both workers join")
    time.sleep(SETTLE_SECONDS)
    lost = {row["task"] for row in fleet.list_rows(running.format("w-1"))}
    fleet.kill("w-1")

    def is_moved() -> bool:
        rows = fleet.list_rows(running.format("w-2"))
        return lost <= {row["task"] for row in rows}

    return measure(is_moved, "its tasks run on the other worker")


def configure(fleet: ProcessFleet) -> float:
    """Return the time until a configuration is in force at every entry."""
    time.sleep(SETTLE_SECONDS)
    fleet.command(1, "configure routing.retry_budget_fraction = 0.2")

    def is_in_force() -> bool:
        rows = fleet.list_rows("show configuration")
        entries = [row for row in rows if row["process"].startswith("entry")]
        return len(entries) == 3 and all(row["version"] == 1 for row in entries)

    return measure(is_in_force, "it is in force everywhere")


def start_task(fleet: ProcessFleet) -> float:
    """Return the time from the creation of an urgent job until its task runs."""
    fleet.start_worker("w-1", "north")
    wait_until(lambda: fleet.list_rows("show workers"), "a worker joins")
    time.sleep(SETTLE_SECONDS)
    fleet.command(1, "create batch b for tenant t cores 1 memory 100 mb urgent")
    query = "show tasks where state = running"
    return measure(lambda: fleet.list_rows(query), "the task runs")


MEASUREMENTS: dict[str, Measurement] = {
    "owner of a backend server killed": kill_entry,
    "leading controller killed": kill_controller,
    "worker killed": kill_worker,
    "configuration in force at entries": configure,
    "urgent task runs": start_task,
}


def main() -> int:
    """Run all measurements and print a table of their results."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    rows = []
    for name, run in MEASUREMENTS.items():
        seconds = []
        for _ in range(rounds):
            with run_fleet(DOMAIN, timing={}) as fleet:
                seconds.append(run(fleet))
        median = round(statistics.median(seconds), 2)
        rows.append((name, median, round(min(seconds), 2), round(max(seconds), 2)))
        columns = ("what", "median_s", "least_s", "most_s")
        print(format_table(Table(columns=columns, rows=tuple(rows))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
