"""Tests that crowds of clients which don't end their requests end no process.

Only what does not depend on the speed of the machine is checked: the process lives,
its memory and its open descriptors stay below a bound, and an ordinary request of
another client is answered afterwards.
"""

from __future__ import annotations

import contextlib
import json
import resource
import tempfile
import unittest
from collections.abc import Iterator
from pathlib import Path
from typing import Any, ClassVar

import httpx
import trio

from rhubarbfield.testing.fleet import FleetInstance
from tests.platform.programs import Deployment, Network, pick_network
from tests.platform.test_whole_path import CONFIGURATION
from tests.processes.crowds import (
    Client,
    Crowd,
    Process,
    Shape,
    ask_http,
    hold_crowd,
    is_grpc_served,
    send_grpc,
    send_http,
)
from tests.processes.fleet import ProcessFleet, run_fleet, wait_until

# Memory of the smallest machines of both kinds, in MB (the platform's pages).
ENTRY_MB = 200
CONTROLLER_MB = 296
# Memory that the settings of the deployment under test name, in MB.
DEPLOYMENT_MB = 128
DESCRIPTORS = 512  # soft limit of each process
# A quarter of the descriptors is left for files, peers and workers.
MOST_DESCRIPTORS = DESCRIPTORS * 3 // 4
MANY_CLIENTS = 600  # more than there are descriptors
TINY_BODY_BYTES = 200_000
PEER_CLIENTS = 30
MESSAGE_BYTES = 16_000_000
SERVICE_HEAD = (
    b"POST /services/board/render HTTP/1.1\r\nHost: h\r\n"
    b"Rhubarbfield-Tenant: house-a\r\n"
)
JOB_HEAD = b"POST /p/00000000000000ab HTTP/1.1\r\nHost: h.example\r\n"
CONFIG_HEAD = b"PUT /config HTTP/1.1\r\nHost: h\r\n"
METRICS_HEAD = b"POST /metrics HTTP/1.1\r\nHost: h\r\n"
QUERY_HEAD = b"POST /v1/query HTTP/1.1\r\nHost: h\r\n"
QUERY = b'{"text": "show workers"}'


@contextlib.contextmanager
def limit_descriptors() -> Iterator[None]:
    """Lower the soft limit of descriptors for processes that the block starts."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, hard))
    try:
        yield
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


class CrowdTestCase(unittest.TestCase):
    """Checks of one listener; a subclass names it.

    Attributes
    ----------
    clients, body
        Number of clients of a crowd, and the body that each sends.
    memory_mb
        Bound of the process's memory, in MB.
    """

    clients: ClassVar[int]
    body: ClassVar[bytes]
    memory_mb: ClassVar[float]

    def make_client(self, crowd: Crowd) -> Client:
        raise NotImplementedError

    def get_address(self) -> tuple[str, int]:
        raise NotImplementedError

    def find_process(self) -> Process:
        raise NotImplementedError

    def is_served(self) -> bool:
        """Return whether an ordinary request is answered."""
        raise NotImplementedError

    def check(self, shape: Shape, clients: int | None = None) -> None:
        process = self.find_process()
        tiny = shape is Shape.TINY_CHUNKS
        host, port = self.get_address()
        crowd = Crowd(
            clients=self.clients if clients is None else clients,
            host=host,
            port=port,
            shape=shape,
            body=self.body[:TINY_BODY_BYTES] if tiny else self.body,
        )
        wait_until(self.is_served, "an ordinary request is answered before")
        observed = hold_crowd(crowd, self.make_client(crowd), process)
        wait_until(self.is_served, "an ordinary request is answered afterwards")
        self.assertEqual(self.find_process(), process, "the process was started again")
        self.assertLess(observed.peak_mb, self.memory_mb)
        self.assertLess(observed.descriptors, MOST_DESCRIPTORS)


class ListenerTests:
    """The crowds that each listener is given."""

    def test_bodies_in_one_piece(self) -> None:
        self.check(Shape.WHOLE)  # type: ignore[attr-defined]

    def test_bodies_piece_by_piece(self) -> None:
        self.check(Shape.PIECES)  # type: ignore[attr-defined]

    def test_large_chunks(self) -> None:
        self.check(Shape.LARGE_CHUNKS)  # type: ignore[attr-defined]

    def test_tiny_chunks(self) -> None:
        self.check(Shape.TINY_CHUNKS)  # type: ignore[attr-defined]

    def test_more_clients_than_descriptors(self) -> None:
        self.check(Shape.PIECES, MANY_CLIENTS)  # type: ignore[attr-defined]


class HttpListenerTests(ListenerTests):
    """The crowds of an HTTP listener, and a single request in calm.

    Attributes
    ----------
    single
        Body of an ordinary request of the largest size.
    """

    single: ClassVar[bytes]

    def test_single_request_of_the_largest_size_is_answered(self) -> None:
        host, port = self.get_address()  # type: ignore[attr-defined]
        wait_until(self.is_served, "requests are answered")  # type: ignore[attr-defined]
        for shape in Shape:
            crowd = Crowd(
                clients=1, host=host, port=port, shape=shape, body=self.single
            )
            with self.subTest(shape.value):  # type: ignore[attr-defined]
                status = trio.run(ask_http, self.make_head(), crowd)
                self.assertEqual(status, 200)  # type: ignore[attr-defined]


class FleetTestCase(CrowdTestCase):
    """A listener of the daemons of a fleet with one instance."""

    daemon: ClassVar[str]
    fleet: ClassVar[ProcessFleet]
    instance: ClassVar[FleetInstance]

    @classmethod
    def setUpClass(cls) -> None:
        with limit_descriptors():
            cls.fleet = cls.enterClassContext(run_fleet({"north": ("a1",)}))
        cls.instance = cls.fleet.instances["a1"]
        cls.fleet.start_backend("s-1", "north")

    @property
    def secret(self) -> str:
        path = self.fleet.folder / "secret"
        return path.read_text(encoding="utf-8").strip()

    def find_process(self) -> Process:
        self.assertIsNone(self.fleet.find_exit_code(self.daemon), "exit code")
        return Process(self.fleet.get_pid(self.daemon))

    def get_address(self) -> tuple[str, int]:
        return "127.0.0.1", self.instance.port + self.get_port_number()

    def get_port_number(self) -> int:
        raise NotImplementedError


class CallersTest(HttpListenerTests, FleetTestCase):
    daemon = "entry-a1"
    clients = 300
    body = single = bytes(1_000_000)
    memory_mb = ENTRY_MB

    def make_head(self) -> bytes:
        return SERVICE_HEAD

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(self.make_head(), crowd)

    def get_port_number(self) -> int:
        return 0

    def is_served(self) -> bool:
        try:
            return self.fleet.send_request("a1").is_success
        except httpx.HTTPError:
            return False


class OperatorsTestCase(FleetTestCase):
    """The listener for operators."""

    daemon = "controller-a1"
    clients = 300
    body = QUERY + b" " * (65_536 - len(QUERY))
    memory_mb = CONTROLLER_MB

    def get_port_number(self) -> int:
        return 5

    def is_served(self) -> bool:
        return "failure" not in self.fleet.query("show workers")


class OperatorsTest(HttpListenerTests, OperatorsTestCase):
    single = OperatorsTestCase.body

    def make_head(self) -> bytes:
        secret = self.secret.encode()
        return QUERY_HEAD + b"Authorization: Bearer %b\r\n" % secret

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(self.make_head(), crowd)


class UnknownOperatorsTest(ListenerTests, OperatorsTestCase):
    """Clients that don't show the secret."""

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(QUERY_HEAD, crowd)


class PeerTestCase(FleetTestCase):
    """A gRPC listener of the daemons of a fleet."""

    clients = PEER_CLIENTS
    body = bytes(MESSAGE_BYTES)
    path: ClassVar[str]
    encoding: ClassVar[str] = "msgpack"

    def make_client(self, crowd: Crowd) -> Client:
        return send_grpc(self.path, self.encoding, self.secret, crowd)

    def is_served(self) -> bool:
        host, port = self.get_address()
        return trio.run(is_grpc_served, host, port, self.secret)


class PeerEntriesTest(ListenerTests, PeerTestCase):
    daemon = "entry-a1"
    memory_mb = ENTRY_MB
    path = "/rhubarbfield.Entry/Forward"

    def get_port_number(self) -> int:
        return 2


class UnknownPeerEntriesTest(PeerEntriesTest):
    """Clients that don't show the secret."""

    def make_client(self, crowd: Crowd) -> Client:
        return send_grpc(self.path, self.encoding, "none", crowd)


class PeerControllersTest(ListenerTests, PeerTestCase):
    daemon = "controller-a1"
    memory_mb = CONTROLLER_MB
    path = "/rhubarbfield.Controller/Link"

    def get_port_number(self) -> int:
        return 3


class BackendServersTest(ListenerTests, PeerTestCase):
    daemon = "entry-a1"
    memory_mb = ENTRY_MB
    path = "/rhubarbfield.BackendServers/Announce"
    encoding = "json"

    def get_port_number(self) -> int:
        return 1


class WorkersTest(ListenerTests, PeerTestCase):
    daemon = "controller-a1"
    memory_mb = CONTROLLER_MB
    path = "/rhubarbfield.Workers/Session"
    encoding = "json"

    def get_port_number(self) -> int:
        return 4


class SmallDeployment(Deployment):
    """A deployment whose settings name little memory."""

    def describe(self, host: str, *, may_form_group: bool) -> dict[str, Any]:
        described = super().describe(host, may_form_group=may_form_group)
        return {**described, "memory_mb": DEPLOYMENT_MB, "tolerated_losses": 0}


class DeploymentTestCase(CrowdTestCase):
    """A listener of a deployment with one controller and one entry."""

    deployment: ClassVar[SmallDeployment]
    network: ClassVar[Network]
    memory_mb = DEPLOYMENT_MB

    @classmethod
    def setUpClass(cls) -> None:
        folder = Path(cls.enterClassContext(tempfile.TemporaryDirectory()))
        cls.network = Network(pick_network().prefix, controllers=1, entries=1)
        cls.deployment = SmallDeployment(folder, cls.network)
        cls.addClassCleanup(cls.deployment.stop)
        with limit_descriptors():
            for host in cls.network.list_hosts():
                cls.deployment.start(host, may_form_group=True)
        wait_until(cls.configure, "a configuration is accepted")

    @classmethod
    def configure(cls) -> bool:
        url = f"http://{cls.get_controller()}:{cls.network.control_port}/config"
        return _call("PUT", url, json=CONFIGURATION) == httpx.codes.OK

    @classmethod
    def get_controller(cls) -> str:
        return cls.network.list_controllers()[0]

    @classmethod
    def get_entry(cls) -> str:
        return cls.network.list_entries()[0]

    def find_process(self) -> Process:
        host = self.get_address()[0]
        self.assertIsNone(self.deployment.find_exit_code(host), "exit code")
        return Process(self.deployment.get_pid(host))

    def is_waiting_count_shown(self) -> bool:
        url = f"http://{self.get_entry()}:{self.network.callers_port}/p/"
        return _call("GET", url, headers={"Host": "h.example"}) == httpx.codes.OK


class ClientsTest(ListenerTests, DeploymentTestCase):
    clients = 400
    body = b" " * 262_144

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(JOB_HEAD, crowd)

    def get_address(self) -> tuple[str, int]:
        return self.get_entry(), self.network.callers_port

    def is_served(self) -> bool:
        return self.is_waiting_count_shown()


class ControlTest(HttpListenerTests, DeploymentTestCase):
    clients = 40
    body = b" " * (4 * 1024 * 1024)
    single = json.dumps(CONFIGURATION).encode().ljust(len(body))

    def make_head(self) -> bytes:
        return CONFIG_HEAD

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(self.make_head(), crowd)

    def get_address(self) -> tuple[str, int]:
        return self.get_controller(), self.network.control_port

    def is_served(self) -> bool:
        return self.configure()


class MetricsTest(ListenerTests, DeploymentTestCase):
    clients = 400
    body = b" " * 262_144

    def make_client(self, crowd: Crowd) -> Client:
        return send_http(METRICS_HEAD, crowd)

    def get_address(self) -> tuple[str, int]:
        return self.get_entry(), self.network.metrics_port

    def is_served(self) -> bool:
        host, port = self.get_address()
        return _call("GET", f"http://{host}:{port}/metrics") == httpx.codes.OK


class DeploymentPeersTest(ListenerTests, DeploymentTestCase):
    clients = PEER_CLIENTS
    body = bytes(MESSAGE_BYTES)

    def make_client(self, crowd: Crowd) -> Client:
        return send_grpc(
            "/rhubarbfield.Controller/Link", "msgpack", "rhubarbfield", crowd
        )

    def get_address(self) -> tuple[str, int]:
        return self.get_controller(), self.network.peer_port

    def is_served(self) -> bool:
        host, port = self.get_address()
        return trio.run(is_grpc_served, host, port, "rhubarbfield")


def _call(method: str, url: str, **parameters: Any) -> int | None:
    """Return the status of a response, or None if there is none."""
    try:
        return httpx.request(method, url, timeout=10, **parameters).status_code
    except httpx.HTTPError:
        return None
