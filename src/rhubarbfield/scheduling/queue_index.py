"""Lookup in a configuration, which may have thousands of queues."""

from __future__ import annotations

from rhubarbfield.scheduling.model import Queue, QueueConfiguration, QueueName


class QueueIndex:
    """The queues of one configuration.

    Parameters
    ----------
    configuration
        The configuration; None has no queues.

    Attributes
    ----------
    by_name
        Queues by name; the first of two queues with the same name takes precedence.
    guarding_services
        Services whose workers refuse tasks without room.
    """

    def __init__(self, configuration: QueueConfiguration | None) -> None:
        queues = () if configuration is None else configuration.queues
        self.by_name: dict[QueueName, Queue] = {
            queue.name: queue for queue in reversed(queues)
        }
        services = () if configuration is None else configuration.services
        self.guarding_services = frozenset(
            each.name for each in services if each.workers_guard_capacity
        )
        self._by_host: dict[str, list[Queue]] = {}
        for queue in sorted(queues, key=lambda each: -len(each.prefix)):
            self._by_host.setdefault(queue.host, []).append(queue)

    def get(self, host: str, prefix: str) -> Queue | None:
        """Return the queue of a host with just this prefix."""
        queues = self._by_host.get(host, ())
        return next((each for each in queues if each.prefix == prefix), None)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of a host with the longest prefix of ``path``."""
        for queue in self._by_host.get(host, ()):
            if path.startswith(queue.prefix):
                return queue
        return None


class _LatestIndex:
    """The index that was made last, and the configuration it was made of."""

    def __init__(self) -> None:
        self.configuration: QueueConfiguration | None = None
        self.index = QueueIndex(None)


_latest = _LatestIndex()


def index_queues(configuration: QueueConfiguration | None) -> QueueIndex:
    """Return the index of a configuration, made anew only for another one."""
    if _latest.configuration is not configuration:
        _latest.index = QueueIndex(configuration)
        _latest.configuration = configuration
    return _latest.index
