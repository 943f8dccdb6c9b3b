"""Time from a failure to service again, with real processes.

``python -m tests.processes.failover [ROUNDS]`` prints median and spread, in
seconds, for settings with the default times.
"""

from __future__ import annotations

import statistics
import sys
import time
from collections.abc import Callable

from rhubarbfield.language import Table, format_table
from tests.processes.fleet import ProcessFleet, run_fleet, wait_until

DOMAIN = {"north": ("a1", "a2", "a3")}
LIMIT_SECONDS = 60.0
STEADY_SECONDS = 3.0
BATCH = "create batch b{0} for tenant t tasks 8 cores 1 memory 100 mb"

Measurement = Callable[[ProcessFleet], float]


def measure(holds: Callable[[], object], what: str) -> float:
    """Return how many seconds it takes until ``holds``."""
    begun = time.monotonic()
    wait_until(holds, what, LIMIT_SECONDS)
    return time.monotonic() - begun


def kill_entry(fleet: ProcessFleet) -> float:
    """Kill the owner of the only backend server."""
    fleet.start_backend("s-1", "north")
    wait_until(lambda: fleet.ask("a1").is_success, "the service answers")
    owner = str(fleet.list_rows("show servers")[0]["owner"])
    other = next(name for name in fleet.places if name != owner)
    time.sleep(STEADY_SECONDS)
    fleet.kill(f"entry-{owner}")
    return measure(lambda: fleet.ask(other).is_success, "another entry serves")


def kill_controller(fleet: ProcessFleet) -> float:
    """Kill the controller that leads the failure domain."""
    leader = wait_until(lambda: fleet.find_leader("north"), "somebody leads")
    time.sleep(STEADY_SECONDS)
    fleet.kill(f"controller-{leader}")
    text = "configure routing.retry_budget_fraction = 0.2"
    return measure(lambda: "record" in fleet.command(1, text), "a command is accepted")


def kill_worker(fleet: ProcessFleet) -> float:
    """Kill one of two workers; its tasks have to run on the other."""
    fleet.start_worker("w-1", "north", cores=4)
    wait_until(lambda: fleet.list_rows("show workers"), "a worker joins")
    fleet.command(1, BATCH.format(1))
    running = "show tasks where state = running and worker = {0}"
    wait_until(lambda: fleet.list_rows(running.format("w-1")), "tasks run")
    fleet.start_worker("w-2", "north", cores=16)
    wait_until(lambda: len(fleet.list_rows("show workers")) > 1, "both are there")
    time.sleep(STEADY_SECONDS)
    lost = {row["task"] for row in fleet.list_rows(running.format("w-1"))}
    fleet.kill("w-1")

    def is_moved() -> bool:
        rows = fleet.list_rows(running.format("w-2"))
        return lost <= {row["task"] for row in rows}

    return measure(is_moved, "its tasks run on the other worker")


def configure(fleet: ProcessFleet) -> float:
    """Configure, until every entry says that it is in force."""
    time.sleep(STEADY_SECONDS)
    fleet.command(1, "configure routing.retry_budget_fraction = 0.2")

    def is_in_force() -> bool:
        rows = fleet.list_rows("show configuration")
        entries = [row for row in rows if row["process"].startswith("entry")]
        return len(entries) == 3 and all(row["version"] == 1 for row in entries)

    return measure(is_in_force, "it is in force everywhere")


def start_task(fleet: ProcessFleet) -> float:
    """Create an urgent job, until its task runs."""
    fleet.start_worker("w-1", "north")
    wait_until(lambda: fleet.list_rows("show workers"), "a worker joins")
    time.sleep(STEADY_SECONDS)
    fleet.command(1, "create batch b for tenant t cores 1 memory 100 mb urgent")
    rows = "show tasks where state = running"
    return measure(lambda: fleet.list_rows(rows), "the task runs")


MEASUREMENTS: dict[str, Measurement] = {
    "owner of a backend server killed": kill_entry,
    "leading controller killed": kill_controller,
    "worker killed": kill_worker,
    "configuration in force at entries": configure,
    "urgent task runs": start_task,
}


def main() -> int:
    """Measure everything and print the table."""
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
