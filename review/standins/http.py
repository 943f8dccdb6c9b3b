"""A small HTTP/1.1 client and server on asyncio, from the standard library only."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from typing import Any

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable[Answer | None]]
REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 421: "Misdirected Request"}


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    pairs = (line.partition(":") for line in lines if line)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> tuple[int, dict[str, str], bytes] | None:
    """Return status, headers and body; None if no whole answer came in time."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {"Host": address, "Connection": "close", **(headers or {})}
            if body is not None:
                fields["Content-Length"] = str(len(body))
                fields.setdefault("Content-Type", "application/json")
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + (body or b""))
            await writer.drain()
            head = await _read_head(reader)
            if head is None:
                return None
            length = int(head[1].get("content-length", "0"))
            content = await reader.readexactly(length)
            return int(head[0].split()[1]), head[1], content
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Serve ``handler``; it returns status and body, or None to give no answer."""

    async def connected(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while (head := await _read_head(reader)) is not None:
                first, headers = head
                method, path, _ = first.split()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                answer = await handler(method, path, headers, body)
                if answer is None:
                    await asyncio.sleep(30)  # the caller gives up before
                    return
                status, content = answer
                data = json.dumps(content).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connected, host, port)
