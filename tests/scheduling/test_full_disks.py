"""Tests of changes while the disks of the controllers are full one after another."""

from __future__ import annotations

import random
import unittest
from pathlib import Path

import msgspec
import trio

from rhubarbfield.scheduling.model import QueueConfiguration
from rhubarbfield.scheduling.requests import Accepted
from rhubarbfield.storage import FileStore
from tests.replication.determinism import run_deterministic
from tests.scheduling.controllers import NAMES, Controllers, report
from tests.scheduling.deployments import CONFIGURATION
from tests.storage.simulated_files import FileOperation, SimulatedFiles

ACKNOWLEDGED_SECONDS = 4.0  # the least that the users' deployments allow
FULL_SECONDS = 3.0
TURNS = 7
RETRY_SECONDS = 0.1
FULL = frozenset({FileOperation.APPEND})


class FullDisksTest(unittest.TestCase):
    def test_changes_are_acknowledged_while_and_after_each_leaders_disk_is_full(
        self,
    ) -> None:
        run_deterministic(self._check, seed=1)

    async def _check(self) -> None:
        files = {name: SimulatedFiles(random.Random(name)) for name in NAMES}
        controllers = Controllers(
            make_store=lambda name: FileStore(Path("unused"), files[name])
        )
        async with controllers.run():
            worker = controllers.add_worker("w1")
            for turn in range(TURNS):
                leader = controllers.get_name(controllers.leader)
                files[leader].refused = FULL
                with self.subTest(turn=turn, leader=leader):
                    await self._put(controllers, version=2 + 2 * turn)
                await trio.sleep(FULL_SECONDS)
                files[leader].refused = frozenset()
                with self.subTest(turn=turn, after=leader):
                    await self._put(controllers, version=3 + 2 * turn)
            await trio.sleep(ACKNOWLEDGED_SECONDS)
            for controller in (controllers.leader, *controllers.followers):
                self.assertIs(await report(controller, worker), True)

    async def _put(self, controllers: Controllers, version: int) -> None:
        """Send a change to the controllers in turn until one acknowledges it."""
        configuration = msgspec.structs.replace(CONFIGURATION, version=version)
        with trio.fail_after(ACKNOWLEDGED_SECONDS):
            while not await self._put_once(controllers, configuration):
                await trio.sleep(RETRY_SECONDS)

    async def _put_once(
        self, controllers: Controllers, configuration: QueueConfiguration
    ) -> bool:
        for leader in controllers.list_leaders():
            reply = await leader.service.put_configuration(configuration)
            if isinstance(reply, Accepted):
                return True
        return False


if __name__ == "__main__":
    unittest.main()
