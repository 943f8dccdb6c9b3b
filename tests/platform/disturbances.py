"""Disturbances of running processes, each drawn from a seeded source."""

from __future__ import annotations

import contextlib
import json
import shutil
import signal
import socket
import struct
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, Protocol

import trio
from h2.config import H2Configuration
from h2.connection import H2Connection

from rhubarbfield.scheduling.requests import JOB_CALL, JOB_STREAM
from tests.platform.programs import Deployment, Network
from tests.platform.test_fuzzing import EDGES, FULL_HEARTBEAT, FULL_JOB, list_places

LONGEST_FREEZE_SECONDS = 6.0
HELD_CONNECTIONS = 300
LINGER_NONE = struct.pack("ii", 1, 0)
SECRET = "rhubarbfield"
GRPC_PATHS = (JOB_CALL.path, JOB_STREAM.path, "/none.None/None")


class Random(Protocol):
    """The parts of ``random.Random`` that disturbances use."""

    def choice(self, values: Any) -> Any: ...
    def uniform(self, low: float, high: float) -> float: ...
    def randint(self, low: int, high: int) -> int: ...
    def randbytes(self, count: int) -> bytes: ...


class SpoiltDeployment(Deployment):
    """A deployment whose settings files may be anything meanwhile."""

    def restore_settings(self, host: str) -> Path:
        """Write the settings file of a host, whatever is in its place."""
        clear_path(self._folder / f"{host}.yaml")
        return self.write_settings(host, may_form_group=False)


class Target(Protocol):
    """The deployment that is disturbed."""

    deployment: SpoiltDeployment
    network: Network
    random: Random
    odd_jobs: list[str]

    def stop_reading(self, host: str, *, closed: bool) -> None: ...
    def read_on(self, host: str) -> None: ...


Disturbance = Callable[[Target], Awaitable[None]]
DISTURBANCES: dict[str, Disturbance] = {}


def disturbance(name: str) -> Callable[[Disturbance], Disturbance]:
    """Register the decorated function as one kind of disturbance."""

    def register(run: Disturbance) -> Disturbance:
        DISTURBANCES[name] = run
        return run

    return register


def clear_path(path: Path) -> None:
    """Remove a file or an empty folder, if it is there."""
    if path.is_dir():
        path.rmdir()
    path.unlink(missing_ok=True)


def list_ports(network: Network) -> list[tuple[str, int]]:
    """Return each address at which processes listen."""
    controllers = (network.peer_port, network.control_port, network.metrics_port)
    entries = (network.callers_port, network.ready_port, network.metrics_port)
    return [
        *((host, port) for host in network.list_controllers() for port in controllers),
        *((host, port) for host in network.list_entries() for port in entries),
    ]


@disturbance("hangups")
async def send_hangups(target: Target) -> None:
    """Send SIGHUP in series."""
    host = target.random.choice(target.network.list_hosts())
    for _ in range(target.random.randint(1, 8)):
        target.deployment.signal(host, signal.SIGHUP)
        await trio.sleep(target.random.uniform(0, 0.2))


@disturbance("ends")
async def end_processes(target: Target) -> None:
    """Stop or kill processes, one of them twice."""
    for _ in range(target.random.randint(1, 3)):
        host = target.random.choice(target.network.list_hosts())
        number = target.random.choice((signal.SIGTERM, signal.SIGKILL))
        target.deployment.signal(host, number)
        await trio.sleep(target.random.uniform(0, 1))


@disturbance("freeze")
async def freeze(target: Target) -> None:
    """Freeze a process for some seconds."""
    host = target.random.choice(target.network.list_hosts())
    target.deployment.signal(host, signal.SIGSTOP)
    await trio.sleep(target.random.uniform(0.1, LONGEST_FREEZE_SECONDS))
    target.deployment.signal(host, signal.SIGCONT)


@disturbance("settings")
async def spoil_settings(target: Target) -> None:
    """Rewrite, cut, replace or remove a settings file, and restore it."""
    host = target.random.choice(target.network.list_hosts())
    path = target.deployment.restore_settings(host)
    whole = path.read_bytes()
    for _ in range(3):
        way = target.random.randint(0, 4)
        clear_path(path)
        if way == 0:
            path.write_bytes(whole[: target.random.randint(0, len(whole))])
        elif way == 1:
            path.mkdir()
        elif way == 2:
            path.write_bytes(target.random.randbytes(200))
        elif way == 3:
            path.write_text(target.random.choice(UNUSABLE_SETTINGS), "utf-8")
        target.deployment.signal(host, signal.SIGHUP)
        await trio.sleep(target.random.uniform(0, 1.3))
    clear_path(path)
    path.write_bytes(whole)
    target.deployment.signal(host, signal.SIGHUP)


UNUSABLE_SETTINGS = (
    "!!int ''",
    "!!float ''",
    "!!bool maybe",
    "!!timestamp never",
    "[" * 2000,
    "a: 9" + "9" * 5000,
)


def _make_garbage(target: Target) -> bytes:
    client = H2Connection(H2Configuration(validate_outbound_headers=False))
    client.initiate_connection()
    rng = target.random
    kind = rng.randint(0, 6)
    if kind == 0:
        return rng.randbytes(rng.randint(1, 5000))
    if kind == 1:
        return b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03" + rng.randbytes(40)
    if kind == 2:
        return client.data_to_send() + rng.randbytes(2000)
    if kind == 3:
        return b"GET / HTTP/1.1\r\nHost: h\r\nX: " + b"x" * rng.randint(10, 90_000)
    if kind == 4:
        length = rng.choice((b"9" * 5000, b"-1", b"1, 2", b"10"))
        return (
            b"POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + b"\r\n\r\n"
        )
    headers = [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", rng.choice(GRPC_PATHS)),
        (":authority", "h"),
        ("te", "trailers"),
        ("content-type", "application/grpc+msgpack"),
        ("authorization", f"Bearer {SECRET}"),
    ]
    client.send_headers(1, headers)
    content = rng.randbytes(rng.randint(0, 300))
    size = len(content) + rng.choice((0, 0, 1, 2**31))
    is_cut = kind == 6
    prefix = struct.pack("!?I", rng.choice((False, True)), size)
    client.send_data(1, prefix + content, end_stream=is_cut)
    return client.data_to_send()


@disturbance("garbage")
async def send_garbage(target: Target) -> None:
    """Send garbage to listening ports, and close, cut, reset or hold."""
    addresses = list_ports(target.network)
    async with trio.open_nursery() as nursery:
        for _ in range(target.random.randint(5, 60)):
            address = target.random.choice(addresses)
            nursery.start_soon(
                _send_once,
                address,
                _make_garbage(target),
                target.random.randint(0, 3),
            )
            await trio.sleep(target.random.uniform(0, 0.05))


async def _send_once(address: tuple[str, int], data: bytes, way: int) -> None:
    with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(3):
        stream = await trio.open_tcp_stream(*address)
        if way == 0:
            stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        try:
            await stream.send_all(data)
            if way == 1:
                await stream.send_eof()
            if way:
                await stream.receive_some()
            if way == 2:
                await trio.sleep(1)
        finally:
            await trio.aclose_forcefully(stream)


@disturbance("crowd")
async def hold_connections(target: Target) -> None:
    """Open more connections to a process than it may have files, and hold them."""
    address = target.random.choice(list_ports(target.network))
    held: list[socket.socket] = []
    seconds = target.random.uniform(0.2, 4)
    try:
        for _ in range(HELD_CONNECTIONS):
            each = socket.socket()
            each.setblocking(False)
            each.connect_ex(address)
            held.append(each)
        await trio.sleep(seconds)
    finally:
        for each in held:
            each.close()


@disturbance("resets")
async def reset_connections(target: Target) -> None:
    """Connect and reset at once, many times."""
    address = target.random.choice(list_ports(target.network))
    for _ in range(200):
        with contextlib.suppress(OSError), socket.socket() as each:
            each.settimeout(0.05)
            each.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            each.connect(address)
        await trio.sleep(0)


@disturbance("reader")
async def stop_log_reader(target: Target) -> None:
    """Stop reading a log for some seconds, or for good."""
    host = target.random.choice(target.network.list_hosts())
    target.stop_reading(host, closed=target.random.choice((True, False)))
    await trio.sleep(target.random.uniform(0.5, 4))
    target.read_on(host)


@disturbance("extremes")
async def send_extremes(target: Target) -> None:
    """Send jobs and heartbeats with extreme numbers."""
    network = target.network
    for _ in range(target.random.randint(5, 40)):
        is_job = target.random.choice((True, False))
        document = json.loads(json.dumps(FULL_JOB if is_job else FULL_HEARTBEAT))
        if not is_job:
            document["Address"] = f"{network.prefix}.99:1"
        container, key = target.random.choice(list(list_places(document)))
        container[key] = target.random.choice((*EDGES, None, "x", [], {}))
        if is_job:
            host = target.random.choice(network.list_entries())
            address = (host, network.callers_port)
            job = f"{target.random.randint(1, 2**60):016x}"
            target.odd_jobs.append(job)
            await _request(address, "POST", f"/p/{job}", document)
        else:
            host = target.random.choice(network.list_controllers())
            address = (host, network.control_port)
            await _request(address, "PUT", "/instances/odd", document)
    for host in network.list_controllers():
        address = (host, network.control_port)
        await _request(address, "DELETE", "/instances/odd")


async def _request(
    address: tuple[str, int], method: str, path: str, document: object = None
) -> None:
    body = b"" if document is None else json.dumps(document).encode()
    head = f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nContent-Length: {len(body)}"
    await _send_once(address, f"{head}\r\n\r\n".encode() + body, 1)


@disturbance("data")
async def lose_data(target: Target) -> None:
    """Remove the data folder of a running controller, and end it afterwards."""
    host = target.network.list_controllers()[0]
    folder = target.deployment.describe(host, may_form_group=False)["data_folder"]
    shutil.rmtree(folder, ignore_errors=True)
    await trio.sleep(target.random.uniform(0, 2))
    target.deployment.signal(host, signal.SIGKILL)
