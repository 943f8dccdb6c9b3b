"""Tests of deployed programs whose ports are in use when they start."""

from __future__ import annotations

import signal
import socket
import tempfile
import unittest
from pathlib import Path

import trio

from tests.platform.programs import POLL_SECONDS, Deployment, Network, pick_network

START_SECONDS = 15.0
OBSERVED_SECONDS = 1.0
STOP_SECONDS = 6.0


class LatePortTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.network: Network = pick_network()
        self.deployment = Deployment(Path(folder.name), self.network)
        self.addCleanup(self.deployment.stop)

    def occupy(self, host: str, *ports: int) -> list[socket.socket]:
        occupied = [socket.create_server((host, port)) for port in ports]
        for each in occupied:
            self.addCleanup(each.close)
        return occupied

    async def wait_event(self, host: str, event: str, count: int = 1) -> None:
        """Wait until a host has logged an event that often."""
        with trio.fail_after(START_SECONDS):
            while self.count_events(host, event) < count:
                await trio.sleep(POLL_SECONDS)

    def count_events(self, host: str, event: str) -> int:
        return [one["event"] for one in self.deployment.list_events(host)].count(event)

    def check_waits_and_stops(self, host: str, *ports: int) -> None:
        """Check that a host waits for ports in use, and stops when told to."""

        async def body() -> None:
            self.deployment.start(host, may_form_group=True)
            await self.wait_event(host, "port-in-use", len(ports))
            await trio.sleep(OBSERVED_SECONDS)
            self.assertIsNone(self.deployment.find_exit_code(host))
            self.deployment.signal(host, signal.SIGTERM)
            with trio.fail_after(STOP_SECONDS):
                while self.deployment.find_exit_code(host) is None:
                    await trio.sleep(POLL_SECONDS)

        trio.run(body)
        self.assertEqual(self.deployment.find_exit_code(host), 0)

    def test_controller_waits_for_its_peer_port(self) -> None:
        host = self.network.list_controllers()[0]
        self.occupy(host, self.network.peer_port)
        self.check_waits_and_stops(host, self.network.peer_port)

    def test_controller_waits_for_its_control_port(self) -> None:
        host = self.network.list_controllers()[0]
        self.occupy(host, self.network.control_port)
        self.check_waits_and_stops(host, self.network.control_port)

    def test_entry_waits_for_its_callers_port(self) -> None:
        host = self.network.list_entries()[0]
        self.occupy(host, self.network.callers_port)
        self.check_waits_and_stops(host, self.network.callers_port)

    def test_deployment_becomes_ready_while_no_metrics_port_is_free(self) -> None:
        async def body() -> None:
            for host in self.network.list_hosts():
                self.occupy(host, self.network.metrics_port)
                self.deployment.start(host, may_form_group=True)
            with trio.fail_after(START_SECONDS):
                await self.deployment.wait_ready()

        trio.run(body)

    def test_deployment_becomes_ready_once_its_ports_are_free(self) -> None:
        async def body() -> None:
            network = self.network
            hosts = network.list_hosts()
            occupied = [
                *self.occupy(hosts[0], network.peer_port),
                *self.occupy(hosts[1], network.peer_port, network.control_port),
                *self.occupy(network.list_entries()[0], network.callers_port),
            ]
            for host in hosts:
                self.deployment.start(host, may_form_group=True)
            for host in (hosts[0], hosts[1], network.list_entries()[0]):
                await self.wait_event(host, "port-in-use")
            for each in occupied:
                each.close()
            with trio.fail_after(START_SECONDS):
                await self.deployment.wait_ready()
            codes = {host: self.deployment.find_exit_code(host) for host in hosts}
            self.assertEqual(codes, dict.fromkeys(hosts))

        trio.run(body)


if __name__ == "__main__":
    unittest.main()
