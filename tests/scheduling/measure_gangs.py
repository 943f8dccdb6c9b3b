"""Processor time of placement rounds beside gangs that wait, on a large random fleet.

``python -m tests.scheduling.measure_gangs`` prints a table.
"""

from __future__ import annotations

from collections.abc import Callable

from rhubarbfield.scheduling.model import Demand, Step
from tests.scheduling.fleets import BATCH_IMAGES, Fleet
from tests.scheduling.measure_rounds import SEED, Timings, choose, make_placer

WORKERS = 445
GANGS = 50
ROUNDS = 5


def make_limited(number: int) -> Step:
    return make_gang(number, max_per_worker=1)


def make_unlimited(number: int) -> Step:
    return make_gang(number, max_per_worker=0)


def make_gang(number: int, max_per_worker: int) -> Step:
    """Return a gang with more members than have room, different for each number."""
    return Step(
        tasks=WORKERS * (1 if max_per_worker else 4) + number,
        demand=Demand(4000 + GANGS - number, 1000),
        estimate_ms=1000,
        gang=True,
        same_rack=number % 2 == 0,
        max_per_worker=max_per_worker,
    )


def make_fitting(number: int) -> Step:
    """Return a gang that spans racks and finds room."""
    return Step(
        tasks=WORKERS // 2 if number == 0 else 4,
        demand=Demand(100 + GANGS - number, 100),
        estimate_ms=1000,
        gang=True,
        same_rack=number % 2 == 0,
        max_per_worker=1,
    )


def make_small(_: int) -> Step:
    """Return a gang that needs two workers of any rack."""
    return Step(tasks=2, demand=Demand(1000, 100), estimate_ms=1000, gang=True)


def make_spare(number: int) -> Step:
    """Return a gang that has room on each rack and all together, but too few cores."""
    return Step(
        tasks=WORKERS + number,
        demand=Demand(10_000 + GANGS - number, 100),
        estimate_ms=1000,
        gang=True,
        same_rack=True,
        uses_spare_cores=True,
        image=BATCH_IMAGES[0],
    )


def measure(name: str, make: Callable[[int], Step], timings: Timings) -> None:
    fleet = Fleet(SEED, WORKERS)
    for number in range(GANGS):
        fleet.submit(make(number))
    for _ in range(ROUNDS):
        placer = make_placer(fleet)
        timings.measure(name, lambda p=placer: choose(p))  # type: ignore[misc]


def main() -> None:
    timings = Timings()
    measure("limited, too large", make_limited, timings)
    measure("too large", make_unlimited, timings)
    measure("limited, placed", make_fitting, timings)
    measure("small, placed", make_small, timings)
    measure("spare cores", make_spare, timings)
    timings.print()


if __name__ == "__main__":
    main()
