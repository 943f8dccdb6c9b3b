"""Tests of planned stops of controllers one shortly after another."""

from __future__ import annotations

import unittest

import trio

from rhubarbfield.replication import LEADERSHIP_RELEASE_DELAY
from rhubarbfield.scheduling.handover import HANDOVER_TIMEOUT
from tests.replication.determinism import run_deterministic
from tests.scheduling.controllers import Controllers

STOP_SECONDS = LEADERSHIP_RELEASE_DELAY.total_seconds()
BETWEEN_SECONDS = (0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6)


class StopsInTurnTest(unittest.TestCase):
    def find_leaders(
        self, *, begins_stop: bool, between: float
    ) -> tuple[str, list[str]]:
        """Return a follower, and who leads after the leader's planned stop.

        Parameters
        ----------
        begins_stop
            Whether a planned stop of the follower begins shortly before.
        between
            Seconds between the two stops.
        """
        found: list[tuple[str, list[str]]] = []

        async def check() -> None:
            controllers = Controllers()
            async with controllers.run():
                leader, follower = controllers.leader, controllers.followers[0]
                if begins_stop:
                    await follower.begin_stop(HANDOVER_TIMEOUT)
                await trio.sleep(between)
                await leader.begin_stop(HANDOVER_TIMEOUT)
                await trio.sleep(STOP_SECONDS)
                leaders = controllers.list_leaders()
                names = [controllers.get_name(each) for each in leaders]
                found.append((controllers.get_name(follower), names))

        run_deterministic(check, seed=1)
        return found[0]

    def test_follower_that_stops_is_not_elected(self) -> None:
        """It would end without handing over, with views in progress."""
        for between in BETWEEN_SECONDS:
            with self.subTest(between=between):
                follower, leaders = self.find_leaders(begins_stop=True, between=between)
                self.assertEqual(len(leaders), 1)
                self.assertNotIn(follower, leaders)

    def test_any_other_follower_may_be_elected(self) -> None:
        found = [
            self.find_leaders(begins_stop=False, between=between)
            for between in BETWEEN_SECONDS
        ]
        self.assertTrue(any(follower in leaders for follower, leaders in found))


if __name__ == "__main__":
    unittest.main()
