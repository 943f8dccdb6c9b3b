"""Servers that break the protocol of a connection, each in one way."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable

import trio
from h2.config import H2Configuration
from h2.connection import H2Connection
from h2.events import RequestReceived
from h2.settings import SettingCodes

READ_BYTES = 65_536
LARGEST_WINDOW = 2**31 - 1
FREEZE_SECONDS = 5.0
GRPC_HEADERS = [(":status", "200"), ("content-type", "application/grpc+msgpack")]
OK_TRAILERS = [("grpc-status", "0")]
LINGER_NONE = struct.pack("ii", 1, 0)

Behaviour = Callable[[trio.SocketStream], Awaitable[None]]
Reaction = Callable[[H2Connection, int], None]
BEHAVIOURS: dict[str, Behaviour] = {}


def _behaviour(name: str) -> Callable[[Behaviour], Behaviour]:
    def register(run: Behaviour) -> Behaviour:
        BEHAVIOURS[name] = run
        return run

    return register


def _reaction(name: str) -> Callable[[Reaction], Reaction]:
    """Register a function that reacts to each request of a connection in order."""

    def register(react: Reaction) -> Reaction:
        async def run(stream: trio.SocketStream) -> None:
            await _serve_requests(stream, react)

        BEHAVIOURS[name] = run
        return react

    return register


async def serve_hostile(
    behaviour: Behaviour,
    *,
    task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Treat each connection as ``behaviour`` does; started with the port."""

    async def handle(stream: trio.SocketStream) -> None:
        try:
            await behaviour(stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(stream)

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    task_status.started(listeners[0].socket.getsockname()[1])
    await trio.serve_listeners(handle, listeners)


async def _serve_requests(stream: trio.SocketStream, react: Reaction) -> None:
    server = _open_server()
    await stream.send_all(server.data_to_send())
    while data := await stream.receive_some(READ_BYTES):
        for event in server.receive_data(data):
            if isinstance(event, RequestReceived) and event.stream_id is not None:
                react(server, event.stream_id)
        await stream.send_all(server.data_to_send())


def _open_server() -> H2Connection:
    server = H2Connection(
        H2Configuration(
            client_side=False,
            validate_outbound_headers=False,
            normalize_outbound_headers=False,
        )
    )
    server.initiate_connection()
    return server


@_behaviour("closes at once")
async def close_at_once(stream: trio.SocketStream) -> None:
    """Close the connection."""


@_behaviour("resets at once")
async def reset_at_once(stream: trio.SocketStream) -> None:
    """Reset the connection."""
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)


@_behaviour("sends garbage")
async def send_garbage(stream: trio.SocketStream) -> None:
    """Send bytes that are no HTTP/2."""
    await stream.send_all(bytes(range(256)) * 16)
    await stream.receive_some(READ_BYTES)


@_behaviour("sends a preface and garbage")
async def send_preface_and_garbage(stream: trio.SocketStream) -> None:
    """Begin with valid settings."""
    await stream.send_all(_open_server().data_to_send())
    await stream.receive_some(READ_BYTES)
    await stream.send_all(bytes(range(256)) * 16)
    await stream.receive_some(READ_BYTES)


@_behaviour("goes away at once")
async def go_away_at_once(stream: trio.SocketStream) -> None:
    """Announce the end of the connection, and keep it open."""
    server = _open_server()
    server.close_connection()
    await stream.send_all(server.data_to_send())
    while await stream.receive_some(READ_BYTES):
        pass


@_behaviour("allows no stream")
async def allow_no_stream(stream: trio.SocketStream) -> None:
    """Take no request."""
    server = _open_server()
    server.update_settings({SettingCodes.MAX_CONCURRENT_STREAMS: 0})
    await stream.send_all(server.data_to_send())
    while await stream.receive_some(READ_BYTES):
        pass


async def read_nothing(stream: trio.SocketStream) -> None:
    """Let the other side send all that it wants, and read none of it for a while."""
    server = _open_server()
    server.update_settings({SettingCodes.INITIAL_WINDOW_SIZE: LARGEST_WINDOW})
    server.increment_flow_control_window(LARGEST_WINDOW // 2)
    await stream.send_all(server.data_to_send())
    await trio.sleep(FREEZE_SECONDS)


@_reaction("ends without a message")
def end_without_message(server: H2Connection, stream: int) -> None:
    """Report success, without a reply."""
    server.send_headers(stream, GRPC_HEADERS)
    server.send_headers(stream, OK_TRAILERS, end_stream=True)


@_reaction("sends half a message")
def send_half_message(server: H2Connection, stream: int) -> None:
    """End within a message."""
    server.send_headers(stream, GRPC_HEADERS)
    server.send_data(stream, struct.pack("!?I", False, 100) + b"\x80")
    server.send_headers(stream, OK_TRAILERS, end_stream=True)


@_reaction("sends a compressed message")
def send_compressed(server: H2Connection, stream: int) -> None:
    """Claim that a message is compressed."""
    server.send_headers(stream, GRPC_HEADERS)
    server.send_data(stream, struct.pack("!?I", True, 1) + b"\x80")


@_reaction("sends an unreadable message")
def send_unreadable(server: H2Connection, stream: int) -> None:
    """Send a message that no type has."""
    server.send_headers(stream, GRPC_HEADERS)
    server.send_data(stream, struct.pack("!?I", False, 1) + b"\xc1")


@_reaction("sends unreadable metadata")
def send_unreadable_metadata(server: H2Connection, stream: int) -> None:
    """Send binary metadata that are none."""
    server.send_headers(stream, [*GRPC_HEADERS, ("x-bin", "!")])


@_reaction("answers no gRPC")
def answer_other(server: H2Connection, stream: int) -> None:
    """Answer like a web server."""
    server.send_headers(stream, [(":status", "404")], end_stream=True)


@_reaction("sends headers without a status")
def omit_status(server: H2Connection, stream: int) -> None:
    """Answer with headers that say nothing."""
    server.send_headers(stream, [("content-type", "application/grpc+msgpack")])


@_reaction("sends hints first")
def send_hints(server: H2Connection, stream: int) -> None:
    """Send an informational response, which no gRPC server does."""
    server.send_headers(stream, [(":status", "103")])


@_reaction("resets each stream")
def reset_stream(server: H2Connection, stream: int) -> None:
    """Reset the stream of each request."""
    server.reset_stream(stream)


@_reaction("resets after a reply began")
def reset_begun(server: H2Connection, stream: int) -> None:
    """Reset a stream that was answered."""
    server.send_headers(stream, GRPC_HEADERS)
    server.reset_stream(stream)


@_reaction("goes away amid a stream")
def go_away(server: H2Connection, stream: int) -> None:
    """Announce the end of the connection after a request."""
    server.send_headers(stream, GRPC_HEADERS)
    server.close_connection()
