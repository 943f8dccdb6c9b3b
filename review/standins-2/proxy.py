"""A TCP proxy on a loopback address of its own, between an entry and a controller."""

from __future__ import annotations

import asyncio
import contextlib

from record import Record


class Proxy:
    """Forwards connections; those on which a mark passes go silent for good."""

    def __init__(self, listen: str, target: str, record: Record) -> None:
        self._listen, self._target, self._record = listen, target, record
        self._server: asyncio.Server | None = None
        self.silence_after: bytes | None = None

    async def start(self) -> None:
        host, _, port = self._listen.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    def stop(self) -> None:
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, _, port = self._target.rpartition(":")
        silent = asyncio.Event()

        async def pass_on(
            source: asyncio.StreamReader, sink: asyncio.StreamWriter, *, asks: bool
        ) -> None:
            with contextlib.suppress(OSError, asyncio.CancelledError):
                while data := await source.read(65_536):
                    if silent.is_set():
                        continue
                    sink.write(data)
                    await sink.drain()
                    mark = self.silence_after
                    if asks and mark is not None and mark in data:
                        silent.set()
                        self._record.write(f"proxy: {self._listen} goes silent")
            if not silent.is_set():
                sink.close()

        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                pass_on(reader, far_writer, asks=True),
                pass_on(far_reader, writer, asks=False),
            )
