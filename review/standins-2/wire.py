"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

# Method, path, headers in lower case and body; returns status and content.
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[tuple[int, Any]]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Return first line, headers and body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.rstrip("\r\n").split("\r\n")
    headers = {
        name.lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return first, headers, body


class Server:
    """Serves one handler at one address; connections are kept open."""

    def __init__(self, host: str, port: int, handler: Handler) -> None:
        self._host, self._port, self._handler = host, port, handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self._host, self._port)

    async def stop(self) -> None:
        """Close the port and reset all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ", 2)
                status, content = await self._handler(method, path, headers, body)
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        except asyncio.CancelledError:
            return  # the case has ended
        finally:
            self._writers.discard(writer)
            writer.close()


async def call(
    address: str,
    method: str,
    path: str,
    content: Any = None,
    *,
    headers: dict[str, str] | None = None,
    timeout: float = 1.0,
) -> tuple[int, Any, dict[str, str]]:
    """Send a request on a new connection; status 0 if there was no response."""
    host, _, port = address.rpartition(":")
    body = b"" if content is None else json.dumps(content).encode()
    lines = {
        "Host": address,
        "Content-Type": "application/json",
        "Content-Length": str(len(body)),
        "Connection": "close",
        **(headers or {}),
    }
    head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(f"{method} {path} HTTP/1.1\r\n{head}\r\n".encode() + body)
            first, received, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            return status, json.loads(answer) if answer else None, received
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, None, {}
    finally:
        if writer is not None:
            writer.close()
