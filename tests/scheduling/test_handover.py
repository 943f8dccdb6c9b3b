"""Tests of the end of a leader's views before it hands over."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio
import trio.testing

from rhubarbfield.clock import TrioClock
from rhubarbfield.scheduling.handover import ViewsInProgress
from tests.replication.determinism import run_deterministic

LONGEST = timedelta(seconds=1.5)
TIMEOUT = timedelta(seconds=2.5)


class ViewsInProgressTest(unittest.TestCase):
    def finish_beside(self, *durations: float) -> tuple[float, ViewsInProgress]:
        """Return how long it takes to finish views that take so many seconds."""
        took: list[float] = []
        views = ViewsInProgress(TrioClock(), lambda: True)

        async def view(seconds: float) -> None:
            with views.track():
                await trio.sleep(seconds)

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                for seconds in durations:
                    nursery.start_soon(view, seconds)
                await trio.testing.wait_all_tasks_blocked()
                began = trio.current_time()
                await views.finish(LONGEST, TIMEOUT)
                took.append(trio.current_time() - began)
                self.assertTrue(views.is_closed)

        run_deterministic(body, seed=1)
        return took[0], views

    def test_ends_with_the_longest_view(self) -> None:
        took, _ = self.finish_beside(0.2, 1.4, 0.5)
        self.assertAlmostEqual(took, 1.4)

    def test_takes_no_time_without_views(self) -> None:
        took, _ = self.finish_beside()
        self.assertAlmostEqual(took, 0)

    def test_does_not_wait_for_workers_that_do_not_reply(self) -> None:
        took, _ = self.finish_beside(0.2, 60.0)
        self.assertAlmostEqual(took, TIMEOUT.total_seconds())

    def test_two_that_wait_for_the_same_views_both_return(self) -> None:
        took: list[float] = []
        views = ViewsInProgress(TrioClock(), lambda: True)

        async def finish() -> None:
            began = trio.current_time()
            await views.finish(LONGEST, TIMEOUT)
            took.append(trio.current_time() - began)

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                with views.track():
                    nursery.start_soon(finish)
                    nursery.start_soon(finish)
                    await trio.sleep(0.5)

        run_deterministic(body, seed=1)
        self.assertEqual([round(seconds, 3) for seconds in took], [0.5, 0.5])

    def test_later_views_wait_no_longer_than_the_others(self) -> None:
        waits: list[timedelta] = []
        views = ViewsInProgress(TrioClock(), lambda: True)

        async def body() -> None:
            async with trio.open_nursery() as nursery:
                with views.track():
                    nursery.start_soon(views.finish, LONGEST, TIMEOUT)
                    await trio.sleep(1.0)
                    waits.append(views.limit_wait(LONGEST))
                    waits.append(views.limit_wait(timedelta(seconds=0.1)))
                    self.assertFalse(views.is_closed)
                    await trio.sleep(1.0)
                    waits.append(views.limit_wait(LONGEST))
                    self.assertTrue(views.is_closed)

        run_deterministic(body, seed=1)
        self.assertEqual([wait.total_seconds() for wait in waits], [0.5, 0.1, 0])


if __name__ == "__main__":
    unittest.main()
