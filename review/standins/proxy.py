"""A proxy for TCP connections that can hold up or refuse what passes."""

from __future__ import annotations

import asyncio
import contextlib

READ_BYTES = 65_536


class Proxy:
    """Passes bytes on, in each direction for as long as that is not cut.

    What is held up by a cut passes after it.
    """

    def __init__(self, host: str, port: int, to_host: str, to_port: int) -> None:
        self._listen = host, port
        self._target = to_host, to_port
        self._forward = asyncio.Event()
        self._forward.set()
        self._backward = asyncio.Event()
        self._backward.set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Accept connections."""
        self._server = await asyncio.start_server(self._accept, *self._listen)

    def close(self) -> None:
        """Close the listener, so that calls are refused, and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    def cut(self, *, forward: bool = True, backward: bool = True) -> None:
        """Hold up what passes from now on.

        Parameters
        ----------
        forward, backward
            Whether to hold up what goes to the target, and what comes from it.
        """
        if forward:
            self._forward.clear()
        if backward:
            self._backward.clear()

    def heal(self) -> None:
        """Pass on what was held up."""
        self._forward.set()
        self._backward.set()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        far_writer = None
        try:
            await self._forward.wait()
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            await asyncio.gather(
                _pump(reader, far_writer, self._forward),
                _pump(far_reader, writer, self._backward),
            )
        except OSError:
            pass
        finally:
            for each in (writer, far_writer):
                if each is not None:
                    self._writers.discard(each)
                    each.close()


async def _pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    passing: asyncio.Event,
) -> None:
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            await passing.wait()
            writer.write(data)
            await writer.drain()
    writer.close()
