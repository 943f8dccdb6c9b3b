"""Cost of the daemons by size of a failure domain, with real processes.

``python -m tests.processes.capacity`` starts one failure domain of three
instances for each size, with stand-in workers or backend servers, and prints
the resource use of the daemons. It takes about two minutes per size.
"""

from __future__ import annotations

import sys
import time

from rhubarbfield.language import Table, format_table
from rhubarbfield.measurement.control import (
    COLUMNS,
    MESSAGE_COLUMNS,
    measure_daemons,
)
from tests.processes.fleet import ProcessFleet, run_fleet, wait_until

WORKER_COUNTS = (0, 10, 30, 60, 113)
SERVER_COUNTS = (0, 10, 30, 90)
SETTLE_SECONDS = 15.0
MEASURE_SECONDS = 20.0
TASKS_PER_WORKER = 4
BATCH = "create batch load for tenant t tasks {0} cores 1 memory 100 mb"


def measure(fleet: ProcessFleet, label: str) -> list[tuple[str | float, ...]]:
    """Return a row of measurements for each daemon of the fleet."""
    time.sleep(SETTLE_SECONDS)
    urls = [instance.operators for instance in fleet.instances.values()]
    urls += [instance.callers for instance in fleet.instances.values()]
    secret = (fleet.folder / "secret").read_text(encoding="utf-8").strip()
    names = [f"controller {name}" for name in fleet.instances]
    names += [f"entry {name}" for name in fleet.instances]
    leader = fleet.find_leader("north")
    names = [
        f"{name} (leads)" if name == f"controller {leader}" else name for name in names
    ]
    rows = measure_daemons(urls, secret, MEASURE_SECONDS)
    return [(label, name, *row[1:]) for name, row in zip(names, rows, strict=True)]


def measure_workers(count: int) -> list[tuple[str | float, ...]]:
    """Measure the daemons with ``count`` workers that run tasks."""
    with run_fleet({"north": ("a1", "a2", "a3")}, timing={}) as fleet:
        if count:
            fleet.start_worker("w", "north", count=count)
            wait_until(
                lambda: len(fleet.list_rows("show workers")) == count, "workers join"
            )
            fleet.command(1, BATCH.format(count * TASKS_PER_WORKER))
        return measure(fleet, f"{count} workers")


def measure_servers(count: int) -> list[tuple[str | float, ...]]:
    """Measure the daemons with ``count`` backend servers that announce themselves."""
    with run_fleet({"north": ("a1", "a2", "a3")}, timing={}) as fleet:
        if count:
            fleet.start_backend("s", "north", count=count)
            wait_until(
                lambda: len(fleet.list_rows("show servers")) == count, "servers join"
            )
        return measure(fleet, f"{count} servers")


def main() -> int:
    """Measure ``workers`` (default) or ``servers``, in the sizes of the arguments."""
    kind = sys.argv[1] if len(sys.argv) > 1 else "workers"
    sizes = tuple(int(one) for one in sys.argv[2:])
    rows: list[tuple[str | float, ...]] = []
    for count in sizes or (WORKER_COUNTS if kind == "workers" else SERVER_COUNTS):
        run = measure_workers if kind == "workers" else measure_servers
        rows += run(count)
        columns = ("size", *COLUMNS, *MESSAGE_COLUMNS)
        print(format_table(Table(columns=columns, rows=tuple(rows))), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
