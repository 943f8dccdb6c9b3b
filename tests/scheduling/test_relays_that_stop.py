"""Tests of planned stops of controllers through which the leader calls workers."""

from __future__ import annotations

import unittest
from datetime import timedelta

import trio

from rhubarbfield.replication import LEADERSHIP_RELEASE_DELAY
from rhubarbfield.scheduling.handover import HANDOVER_TIMEOUT
from tests.replication.determinism import run_deterministic
from tests.scheduling.controllers import REPORT_SECONDS, SETTLING_SECONDS, Controllers
from tests.scheduling.deployments import CONFIGURATION

WORK = timedelta(seconds=3)
STOP_SECONDS = LEADERSHIP_RELEASE_DELAY.total_seconds()
ENDS_SECONDS = 0.05  # from the end of the process to the end of the run
LEAVES_SECONDS = 0.1  # from the end of the run to the worker's exit
LAPSE_SECONDS = 15.0  # longer than a lease


async def stop_follower(number: int) -> tuple[list[str], float]:
    """Stop a follower whose process ends shortly before a run does.

    Returns the starts, and for how many seconds the stop waited for calls.

    Parameters
    ----------
    number
        Position of the follower; the leader calls the worker through one of them.
    """
    controllers = Controllers()
    scopes = {name: trio.CancelScope() for name in controllers._members}

    async def run_member(name: str) -> None:
        with scopes[name]:
            await controllers._members[name].run()

    async with trio.open_nursery() as nursery:
        for name in scopes:
            nursery.start_soon(run_member, name)
        await trio.sleep(SETTLING_SECONDS)
        await controllers.leader.service.put_configuration(CONFIGURATION)
        worker = controllers.add_worker("w1")
        worker.duration = WORK
        nursery.start_soon(controllers.report_all, [worker])
        await trio.sleep(2 * REPORT_SECONDS)
        await controllers.submit("j")
        while not worker.runs:
            await trio.sleep(0.01)
        await trio.sleep(WORK.total_seconds() - STOP_SECONDS - ENDS_SECONDS)
        follower = controllers.followers[number]
        began = trio.current_time()
        await follower.begin_stop(HANDOVER_TIMEOUT)
        took = trio.current_time() - began
        await trio.sleep(STOP_SECONDS)
        scopes[controllers.get_name(follower)].cancel()
        await trio.sleep(ENDS_SECONDS + LEAVES_SECONDS)
        worker.is_unreachable = True
        other = controllers.add_worker("w2")
        nursery.start_soon(controllers.report_all, [other])
        await trio.sleep(LAPSE_SECONDS)
        nursery.cancel_scope.cancel()
    return [task for each in (worker, other) for task, _, _ in each.started], took


class RelaysThatStopTest(unittest.TestCase):
    def test_leader_asks_at_once_after_a_relay_has_ended(self) -> None:
        """A worker lists the end to nobody, or to the connection that is closed."""
        for number in range(2):
            with self.subTest(follower=number):
                results: list[tuple[list[str], float]] = []

                async def check(
                    number: int = number,
                    results: list[tuple[list[str], float]] = results,
                ) -> None:
                    results.append(await stop_follower(number))

                run_deterministic(check, seed=1)
                starts, took = results[0]
                self.assertEqual(starts, ["j.0.0.0"])
                # Leaders call workers through others, so that it need not time out.
                self.assertLess(took, HANDOVER_TIMEOUT.total_seconds())


if __name__ == "__main__":
    unittest.main()
