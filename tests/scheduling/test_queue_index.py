"""Tests of the lookup of queues."""

from __future__ import annotations

import unittest
from unittest import mock

from rhubarbfield.scheduling import queue_index
from rhubarbfield.scheduling.commands import PutConfiguration
from rhubarbfield.scheduling.model import Queue, QueueConfiguration, QueueName
from rhubarbfield.scheduling.queue_index import QueueIndex
from rhubarbfield.types import ServiceName
from tests.scheduling.test_appliers import Log

MANY_QUEUES = 2000


def make_queue(name: str, host: str = "h", prefix: str = "/", **values: int) -> Queue:
    return Queue(
        name=QueueName(name),
        host=host,
        prefix=prefix,
        service=ServiceName("s"),
        **values,  # type: ignore[arg-type]
    )


def make_configuration(version: int, *queues: Queue) -> QueueConfiguration:
    return QueueConfiguration(
        version=version, queues=queues, services=(), document=b"{}"
    )


class QueueIndexTest(unittest.TestCase):
    def test_the_longest_prefix_on_the_host_is_found(self) -> None:
        queues = [
            make_queue("all"),
            make_queue("long", prefix="/a/b/"),
            make_queue("short", prefix="/a/"),
            make_queue("other", host="i", prefix="/a/b/c/"),
        ]
        index = QueueIndex(make_configuration(1, *queues))
        for host, path, name in (
            ("h", "/a/b/c/1", "long"),
            ("h", "/a/1", "short"),
            ("h", "/b", "all"),
            ("i", "/a/b/c/1", "other"),
        ):
            found = index.find(host, path)
            self.assertEqual(found and found.name, name)
        self.assertIsNone(index.find("i", "/a/b"))
        self.assertIsNone(index.find("j", "/"))

    def test_the_first_of_two_queues_with_one_name_takes_precedence(self) -> None:
        queues = [make_queue("q", priority=1), make_queue("q", "i", priority=2)]
        index = QueueIndex(make_configuration(1, *queues))
        self.assertEqual(index.by_name[QueueName("q")].priority, 1)

    def test_queues_are_indexed_once_for_each_configuration(self) -> None:
        """Each look at a queue listed all queues, for each run that might move."""
        log = Log()
        queues = [make_queue(f"q{n}", f"h{n}") for n in range(MANY_QUEUES)]
        with mock.patch.object(queue_index, "QueueIndex", wraps=QueueIndex) as made:
            for version in (1, 2):
                configuration = make_configuration(version, *queues[version:])
                log.apply(PutConfiguration(configuration=configuration))
                for _ in range(5):
                    log.state.map_queues()
                    found = log.state.find_queue(QueueName("q1"))
                    self.assertEqual(found is None, version == 2)
        self.assertEqual(made.call_count, 2)


if __name__ == "__main__":
    unittest.main()
