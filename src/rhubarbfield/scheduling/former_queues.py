"""Queues that are no longer configured, and what serves their jobs instead.

An accepted job is served to its end, whatever becomes of its queue: by the queue that
has the same host and prefix now, or else as its own was last configured. Names are the
identities of queues, so that the former is found under the same name; jobs that an
earlier version accepted know their queue by the name that operators gave it.
"""

from __future__ import annotations

from collections.abc import Container, Mapping

import msgspec

from rhubarbfield.scheduling.model import Queue, QueueName
from rhubarbfield.scheduling.queue_index import QueueIndex

# A job may be accepted after its queue was removed, by a proposal that was already
# under way; operators have at most 8 changes under way at a time, and two may race.
KEPT_CONFIGURATIONS = 16


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
    used
        Names of the queues of open jobs.
    """
    known = {**former, **{q.name: FormerQueue(q, number) for q in removed.values()}}
    found = {}
    for name, each in known.items():
        is_recent = number - each.removed_by < KEPT_CONFIGURATIONS
        if name in configured.by_name or not (is_recent or name in used):
            continue
        successor = configured.get(each.queue.host, each.queue.prefix)
        found[name] = FormerQueue(successor or each.queue, each.removed_by)
    return found
