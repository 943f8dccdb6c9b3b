"""Test of running processes while the host of one controller resets connections."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

import trio

from tests.peering.hostile import reset_at_once
from tests.platform.programs import Deployment, pick_network

SECONDS = 6.0  # each process has tried to connect at least ten times by then


class ResettingPeerTest(unittest.TestCase):
    def test_no_process_ends_while_a_peer_resets_connections(self) -> None:
        """All of them ended with 70, again after each restart."""
        with tempfile.TemporaryDirectory() as folder:
            deployment = Deployment(Path(folder), pick_network())
            try:
                trio.run(self._run, deployment)
            finally:
                deployment.stop()
        self.assertEqual(deployment.ends, [])

    async def _run(self, deployment: Deployment) -> None:
        network = deployment.network
        absent = network.list_controllers()[-1]
        async with trio.open_nursery() as nursery:
            listeners = await trio.open_tcp_listeners(network.peer_port, host=absent)
            nursery.start_soon(trio.serve_listeners, _reset, listeners)
            nursery.start_soon(deployment.watch)
            for host in network.list_hosts():
                if host != absent:
                    deployment.start(host, may_form_group=True)
            await trio.sleep(SECONDS)
            nursery.cancel_scope.cancel()


async def _reset(stream: trio.SocketStream) -> None:
    await reset_at_once(stream)
    await trio.aclose_forcefully(stream)


if __name__ == "__main__":
    unittest.main()
