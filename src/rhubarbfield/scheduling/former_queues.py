"""Queues that are no longer configured, and what serves their jobs instead.

An accepted job is served to its end, whatever becomes of its queue: by the queue that
has the same host and prefix now, or else as its own was last configured. Names are the
identities of queues, so that the former is found under the same name; jobs that an
earlier version accepted know their queue by the name that operators gave it.
"""

from __future__ import annotations

from collections.abc import Container, Mapping, Sequence

import msgspec

from rhubarbfield.scheduling.model import Queue, QueueName
from rhubarbfield.scheduling.queue_index import QueueIndex

# A job may be accepted after its queue was removed, by a proposal that was already
# under way; operators have at most 8 changes under way at a time, and two may race.
KEPT_CONFIGURATIONS = 16
# No instance has more bytes of proposals under way.
MAX_PENDING_BYTES = 8 * 1024 * 1024


class FormerQueue(msgspec.Struct, frozen=True):
    """A queue that is no longer configured under its name.

    Attributes
    ----------
    queue
        The queue that serves its jobs.
    removed_by
        Number of the configuration that removed it, counted from 1.
    """

    queue: Queue
    removed_by: int


def find_former_queues(
    former: Mapping[QueueName, FormerQueue],
    removed: Mapping[QueueName, Queue],
    *,
    configured: QueueIndex,
    number: int,
    sizes: Sequence[int],
    used: Container[QueueName],
) -> dict[QueueName, FormerQueue]:
    """Return the former queues under a new configuration.

    Parameters
    ----------
    former
        The former queues until now.
    removed
        The queues of the last configuration.
    configured
        The queues of the new configuration.
    number
        Number of the new configuration, counted from 1.
    sizes
        Bytes of the latest configurations, the new one last, as far as they are known.
    used
        Names of the queues of open jobs.
    """
    known = {**former, **{q.name: FormerQueue(q, number) for q in removed.values()}}
    kept = _count_kept(sizes)
    found = {}
    for name, each in known.items():
        is_recent = number - each.removed_by < kept
        if name in configured.by_name or not (is_recent or name in used):
            continue
        successor = configured.get(each.queue.host, each.queue.prefix)
        found[name] = FormerQueue(successor or each.queue, each.removed_by)
    return found


def _count_kept(sizes: Sequence[int]) -> int:
    """Return how many of the latest configurations a proposal under way may follow."""
    total = 0
    for kept, size in enumerate(reversed(sizes)):
        total += size
        if total > MAX_PENDING_BYTES:
            return kept
    return KEPT_CONFIGURATIONS
