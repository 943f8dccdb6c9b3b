"""Crowds of clients that keep a process busy with requests they don't end."""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Awaitable, Callable, Iterator
from enum import Enum
from pathlib import Path

import h2.config
import h2.connection
import h2.events
import h2.exceptions
import msgspec
import trio

# A crowd is held for so long once each of its clients has sent all that it sends, and
# is there for so long at most.
HOLD_SECONDS = 1.0
MOST_SECONDS = 6.0
SAMPLE_SECONDS = 0.05
PIECE_BYTES = 1024
LARGE_CHUNK_BYTES = 16_384
SEND_BYTES = 65_536
READ_BYTES = 65_536
STREAM_ID = 1
ANSWER_SECONDS = 10.0
# One of so many clients ends its request; the others stop one byte short of it.
WHOLE_INTERVAL = 10
FRAME_HEADER = struct.Struct(">HBBBI")
DATA_FRAME = 0
GRPC_PREFIX = struct.Struct(">BI")
CLEAR_PEAK = "5"


class Shape(Enum):
    """How the clients of a crowd send a body."""

    WHOLE = "whole"
    PIECES = "pieces"
    LARGE_CHUNKS = "large chunks"
    TINY_CHUNKS = "tiny chunks"


class Crowd(msgspec.Struct, frozen=True, kw_only=True):
    """Clients that connect at once, each with one request.

    Attributes
    ----------
    clients
        Number of clients.
    host, port
        Where they connect.
    shape
        How they send the body.
    body
        The body of each request.
    """

    clients: int
    host: str
    port: int
    shape: Shape
    body: bytes


class Process(msgspec.Struct, frozen=True):
    """A process under observation, by its id."""

    pid: int

    def read_peak_mb(self) -> float:
        """Return the most memory that was resident, in MB of 10^6 bytes."""
        for line in self._read("status").splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) * 1024 / 1e6
        raise AssertionError(f"process {self.pid} has ended")

    def clear_peak(self) -> None:
        """Count the peak of the memory anew."""
        path = Path(f"/proc/{self.pid}/clear_refs")
        path.write_text(CLEAR_PEAK, encoding="ascii")

    def count_descriptors(self) -> int:
        """Return the number of open descriptors."""
        return sum(1 for _ in Path(f"/proc/{self.pid}/fd").iterdir())

    def _read(self, name: str) -> str:
        return Path(f"/proc/{self.pid}/{name}").read_text(encoding="ascii")


class Observed(msgspec.Struct):
    """What was seen of a process while a crowd was there.

    Attributes
    ----------
    peak_mb
        Most memory, in MB.
    descriptors
        Most open descriptors.
    """

    peak_mb: float = 0.0
    descriptors: int = 0


# Sends what the client of a number sends over its connection.
Client = Callable[[int, trio.SocketStream], Awaitable[None]]


class _Hold:
    """A crowd while it is there."""

    def __init__(self, crowd: Crowd, client: Client, process: Process) -> None:
        self._crowd = crowd
        self._client = client
        self._process = process
        self._unsettled = set(range(crowd.clients))
        self._is_settled = trio.Event()
        self.observed = Observed()

    async def run(self) -> None:
        """Let the crowd send, hold it, and close its connections."""
        with trio.move_on_after(MOST_SECONDS):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._observe)
                for number in range(self._crowd.clients):
                    nursery.start_soon(self._run_client, number)
                await self._is_settled.wait()
                await trio.sleep(HOLD_SECONDS)
                nursery.cancel_scope.cancel()

    async def _observe(self) -> None:
        while True:
            seen = self._process.count_descriptors()
            self.observed.descriptors = max(self.observed.descriptors, seen)
            await trio.sleep(SAMPLE_SECONDS)

    async def _run_client(self, number: int) -> None:
        try:
            stream = await trio.open_tcp_stream(self._crowd.host, self._crowd.port)
        except OSError:
            self._settle(number)
            return
        async with stream:
            try:
                await self._client(number, stream)
            except* (trio.BrokenResourceError, h2.exceptions.ProtocolError):
                pass  # refused; h2 raises if the other side has closed the stream
            self._settle(number)
            with contextlib.suppress(trio.BrokenResourceError):
                while await stream.receive_some(READ_BYTES):
                    pass

    def _settle(self, number: int) -> None:
        self._unsettled.discard(number)
        if not self._unsettled:
            self._is_settled.set()


def hold_crowd(crowd: Crowd, client: Client, process: Process) -> Observed:
    """Let a crowd send, hold it, close its connections, and return what was seen.

    Raises
    ------
    AssertionError
        If the process has ended.
    """
    hold = _Hold(crowd, client, process)
    process.clear_peak()
    try:
        trio.run(hold.run)
    except* FileNotFoundError:
        raise AssertionError(f"process {process.pid} has ended") from None
    hold.observed.peak_mb = process.read_peak_mb()
    return hold.observed


def send_http(head: bytes, crowd: Crowd) -> Client:
    """Return a client of ``crowd`` that sends an HTTP/1.1 request with ``head``.

    ``head`` is the request line and headers, without those of the body and without
    the empty line at the end.
    """
    content = memoryview(b"".join((head, *_frame_http(crowd))))

    async def run(number: int, stream: trio.SocketStream) -> None:
        size = PIECE_BYTES if crowd.shape is Shape.PIECES else SEND_BYTES
        end = len(content) - _count_missing(number)
        for start in range(0, end, size):
            await stream.send_all(content[start : min(start + size, end)])

    return run


async def ask_http(head: bytes, crowd: Crowd) -> int:
    """Send one whole request as a client of ``crowd`` does; return its status."""
    client = send_http(head, crowd)
    async with await trio.open_tcp_stream(crowd.host, crowd.port) as stream:
        await client(0, stream)
        with trio.fail_after(ANSWER_SECONDS):
            answer = b""
            while b"\r\n" not in answer:
                answer += await stream.receive_some(READ_BYTES)
    return int(answer.split()[1])


def _count_missing(number: int) -> int:
    """Return how many bytes the client of a number leaves out at the end."""
    return 0 if number % WHOLE_INTERVAL == 0 else 1


def _frame_http(crowd: Crowd) -> Iterator[bytes]:
    if crowd.shape in (Shape.WHOLE, Shape.PIECES):
        yield b"Content-Length: %d\r\n\r\n" % len(crowd.body)
        yield crowd.body
        return
    yield b"Transfer-Encoding: chunked\r\n\r\n"
    size = LARGE_CHUNK_BYTES if crowd.shape is Shape.LARGE_CHUNKS else 1
    for start in range(0, len(crowd.body), size):
        part = crowd.body[start : start + size]
        yield b"%x\r\n%b\r\n" % (len(part), part)
    yield b"0\r\n\r\n"


def send_grpc(path: str, encoding: str, secret: str, crowd: Crowd) -> Client:
    """Return a client of ``crowd`` that sends one message on a gRPC stream.

    The message is well-formed as far as it goes; ``TINY_CHUNKS`` sends it in frames
    of one byte.
    """
    headers = make_grpc_headers(path, encoding, secret)

    message = memoryview(GRPC_PREFIX.pack(0, len(crowd.body)) + crowd.body)

    async def run(number: int, stream: trio.SocketStream) -> None:
        connection = _open_h2()
        connection.send_headers(STREAM_ID, headers)
        await stream.send_all(connection.data_to_send())
        content = message[: len(message) - _count_missing(number)]
        window = _Window(connection, stream)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(window.run, nursery.cancel_scope)
            await _send_frames(window, content, crowd.shape)
            nursery.cancel_scope.cancel()

    return run


class _Window:
    """Flow control of one connection with one stream."""

    def __init__(
        self, connection: h2.connection.H2Connection, stream: trio.SocketStream
    ) -> None:
        self._connection = connection
        self._opened = trio.Event()
        self._sending = trio.Lock()
        self.stream = stream

    async def run(self, scope: trio.CancelScope) -> None:
        """Read until the other side closes the connection; then cancel ``scope``."""
        while data := await self.stream.receive_some(READ_BYTES):
            self._connection.receive_data(data)
            await self.send(self._connection.data_to_send())
            self._opened.set()
            self._opened = trio.Event()
        scope.cancel()

    async def send(self, data: bytes) -> None:
        """Send frames."""
        async with self._sending:
            await self.stream.send_all(data)

    async def send_part(self, content: memoryview) -> int:
        """Send some bytes of ``content`` as a frame; return how many."""
        while (free := self._connection.local_flow_control_window(STREAM_ID)) <= 0:
            await self._opened.wait()
        part = content[:free]
        self._connection.send_data(STREAM_ID, bytes(part))
        await self.send(self._connection.data_to_send())
        return len(part)


async def _send_frames(window: _Window, content: memoryview, shape: Shape) -> None:
    if shape is Shape.TINY_CHUNKS:
        head = FRAME_HEADER.pack(0, 1, DATA_FRAME, 0, STREAM_ID)
        await window.send(b"".join(head + bytes((byte,)) for byte in content))
        return
    size = PIECE_BYTES if shape is Shape.PIECES else LARGE_CHUNK_BYTES
    start = 0
    while start < len(content):
        start += await window.send_part(content[start : start + size])


def make_grpc_headers(path: str, encoding: str, secret: str) -> list[tuple[str, str]]:
    """Return the headers of a gRPC request."""
    return [
        (":method", "POST"),
        (":scheme", "http"),
        (":path", path),
        (":authority", "rhubarbfield"),
        ("te", "trailers"),
        ("content-type", f"application/grpc+{encoding}"),
        ("authorization", f"Bearer {secret}"),
    ]


def _open_h2() -> h2.connection.H2Connection:
    configuration = h2.config.H2Configuration(client_side=True)
    connection = h2.connection.H2Connection(configuration)
    connection.initiate_connection()
    return connection


async def is_grpc_served(host: str, port: int, secret: str) -> bool:
    """Return whether a request for a method that no server has is answered."""
    connection = _open_h2()
    headers = make_grpc_headers("/rhubarbfield.Nobody/Nothing", "json", secret)
    with (
        contextlib.suppress(OSError, trio.BrokenResourceError),
        trio.move_on_after(ANSWER_SECONDS),
    ):
        async with await trio.open_tcp_stream(host, port) as stream:
            connection.send_headers(STREAM_ID, headers, end_stream=True)
            await stream.send_all(connection.data_to_send())
            while data := await stream.receive_some(READ_BYTES):
                for event in connection.receive_data(data):
                    if isinstance(event, h2.events.ResponseReceived):
                        return True
    return False
