"""Garbage collection of daemons, which hold a large state for their whole life."""

from __future__ import annotations

import gc

# Net allocations before the youngest generation is collected, and collections of a
# generation before the next older one is: a message allocates some hundred objects,
# and with the defaults of Python each few messages caused a collection.
YOUNGEST_ALLOCATIONS = 10_000
COLLECTIONS_OF_YOUNGER = 10


def tune_collector() -> None:
    """Collect seldom, and never examine what was allocated before this call.

    A daemon calls it once, after its imports.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(
        YOUNGEST_ALLOCATIONS, COLLECTIONS_OF_YOUNGER, COLLECTIONS_OF_YOUNGER
    )
