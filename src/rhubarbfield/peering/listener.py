"""grpclib server that bounds what its clients make it hold and do at once."""

from __future__ import annotations

import asyncio
import logging
from collections import deque
from collections.abc import Callable
from functools import partial
from typing import Any

from grpclib.exceptions import ProtocolError
from grpclib.protocol import EventsProcessor, H2Protocol
from grpclib.server import Handler, Server

from rhubarbfield.intake import Holding, Intake
from rhubarbfield.parts import Parts
from rhubarbfield.peering._grpclib import MAX_MESSAGE_BYTES

logger = logging.getLogger(__name__)

# What is read of a connection at once, and the events after which others have a turn:
# a frame costs the same time whatever its size.
SLICE_BYTES = 4_096
EVENTS_IN_TURN = 100
# Replies to pings and settings of a client that reads nothing.
MAX_UNREAD_BYTES = 1 << 20
# The largest requests that have room at once, and the room beside a largest message.
BODIES = 2
LEAST_BYTES = 1 << 20


def find_least_bytes(max_body_bytes: int) -> int:
    """Return what a process has to hold for the largest messages and requests.

    Parameters
    ----------
    max_body_bytes
        Largest content of a request.
    """
    return max(BODIES * max_body_bytes, MAX_MESSAGE_BYTES + LEAST_BYTES)


class StreamBuffer:
    """What has arrived on a stream and was not read; replaces grpclib's buffer.

    grpclib keeps several objects for each frame, so that frames of one byte take up
    hundreds of times their size.

    Parameters
    ----------
    acknowledge
        Called with sizes for which the client may send more.
    holding
        Counts what is held.
    give_up
        Ends the stream.
    """

    def __init__(
        self,
        acknowledge: Callable[[int], None],
        holding: Holding,
        give_up: Callable[[], object],
    ) -> None:
        self._acknowledge = acknowledge
        self._holding = holding
        self._give_up = give_up
        self._data = Parts()
        self._unacknowledged = 0
        self._is_ended = False
        self._changed = asyncio.Event()

    def add(self, data: bytes, ack_size: int) -> None:
        """Take what has arrived."""
        if not self._data:
            self._holding.begin(self._give_up)
        self._data.append(data)
        self._unacknowledged += ack_size
        self._holding.charge(len(data))
        self._changed.set()

    def eof(self) -> None:
        """Take the end of the stream."""
        self._is_ended = True
        self._changed.set()

    async def read(self, size: int) -> bytes:
        """Return ``size`` bytes, or none at the end.

        Raises
        ------
        ProtocolError
            If ``size`` exceeds any message, or the stream ends before.
        """
        if size > MAX_MESSAGE_BYTES:
            raise ProtocolError(f"a message has {size} bytes")
        while len(self._data) < size and not self._is_ended:
            self._acknowledge(self.unacked_size())
            self._changed.clear()
            await self._changed.wait()
        if len(self._data) < size:
            if not self._data:
                return b""
            raise ProtocolError("the stream ends within a message")
        taken = self._data.take(size)
        if self._data:
            self._holding.charge(-size)
        else:
            self._acknowledge(self.unacked_size())
            self._holding.finish()
        return taken

    def close(self) -> None:
        """Drop what was not read, as the stream has ended."""
        self._data.clear()
        self._holding.close()

    def unacked_size(self) -> int:
        """Return the size for which the client may send more, and count it anew."""
        size, self._unacknowledged = self._unacknowledged, 0
        return size


class _Handler(Handler):
    """Streams of one connection."""

    def __init__(self, intake: Intake, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._intake = intake
        self._buffers: dict[Any, StreamBuffer] = {}
        self.abort: Callable[[], object] = lambda: None

    def accept(self, stream: Any, headers: Any, release_stream: Any) -> None:
        """Handle a new stream."""
        buffer = stream.buffer = self._buffers[stream] = StreamBuffer(
            partial(stream.connection.ack, stream.id), self._intake.hold(), self.abort
        )

        def release() -> None:
            self._buffers.pop(stream, None)
            buffer.close()
            release_stream()

        super().accept(stream, headers, release)

    def close(self) -> None:
        """End all streams."""
        for buffer in self._buffers.values():
            buffer.close()
        self._buffers.clear()
        super().close()


class _Processor(EventsProcessor):
    """Processes the events of one connection, and counts them."""

    count = 0

    def process(self, event: Any) -> None:
        """Process one event."""
        self.count += 1
        super().process(event)


class _Protocol(H2Protocol):
    """One connection."""

    def __init__(self, server: BoundedServer, handler: _Handler) -> None:
        super().__init__(handler, server._config, server._h2_config)
        self._server = server
        self._streams = handler
        self._holding: Holding | None = None
        self._transport: Any = None
        self._authenticated = 0
        self._unread = b""
        self.is_lost = False

    def connection_made(self, transport: Any) -> None:
        """Take a new connection, or close it for lack of room."""
        self._transport = transport
        self._holding = self._server.intake.admit()
        super().connection_made(transport)
        self._processor = _Processor(self.handler, self.connection)
        self.processor = self._processor
        if self._holding is None:
            transport.abort()
            return
        self._streams.abort = self.abort
        self._holding.begin(self.abort)
        self._server.protocols[self.connection] = self

    def abort(self) -> None:
        """Close the connection at once."""
        self._transport.abort()

    def begin_stream(self) -> None:
        """Count a stream that shows the secret: the connection is kept meanwhile."""
        self._authenticated += 1
        if self._holding is not None:
            self._holding.keep()

    def end_stream(self) -> None:
        """Count the end of such a stream."""
        self._authenticated -= 1
        if self._holding is not None and not (self._authenticated or self.is_lost):
            self._holding.begin(self.abort)

    def data_received(self, data: bytes) -> None:
        """Process what has arrived, in turn with other connections."""
        if self._transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            logger.warning("peer-reads-nothing")
            self.abort()
        elif self._unread:
            self._unread += data
        elif len(data) <= SLICE_BYTES:
            super().data_received(data)
        else:
            self._unread = data
            self.process_turn()

    def process_turn(self) -> None:
        """Process what others can wait for, and defer the rest."""
        until = self._processor.count + EVENTS_IN_TURN
        while self._unread and not self.is_lost:
            part, self._unread = self._unread[:SLICE_BYTES], self._unread[SLICE_BYTES:]
            super().data_received(part)
            if self._processor.count > until and self._unread:
                self._transport.pause_reading()
                self._server.defer(self)
                return
        if not self.is_lost:
            self._transport.resume_reading()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self.is_lost = True
        self._unread = b""
        self._server.protocols.pop(self.connection, None)
        super().connection_lost(exc)
        if self._holding is not None:
            self._holding.close()


class BoundedServer(Server):
    """Server of gRPC streams and calls that gives up connections when it is full.

    Parameters
    ----------
    services, codec
        As of :class:`grpclib.server.Server`.
    intake
        What the process holds.
    """

    def __init__(self, services: Any, *, codec: Any, intake: Intake) -> None:
        super().__init__(services, codec=codec)
        self.intake = intake
        self.protocols: dict[Any, _Protocol] = {}
        self._deferred: deque[_Protocol] = deque()

    def find_protocol(self, stream: Any) -> _Protocol | None:
        """Return the connection of a stream, or None if it is lost."""
        return self.protocols.get(stream._stream.connection)

    def defer(self, protocol: _Protocol) -> None:
        """Let a connection go on once others had a turn."""
        self._deferred.append(protocol)
        if len(self._deferred) == 1:
            self._loop.call_soon(self._run_deferred)

    def _run_deferred(self) -> None:
        protocol = self._deferred.popleft()
        if self._deferred:
            self._loop.call_soon(self._run_deferred)
        try:
            protocol.process_turn()
        except Exception:
            # What follows of the connection can't be understood.
            protocol.abort()
            raise

    def _protocol_factory(self) -> H2Protocol:
        self.__gc_step__()
        handler = _Handler(
            self.intake,
            self._mapping,
            self._codec,
            self._status_details_codec,
            self.__dispatch__,
        )
        self._handlers.add(handler)
        return _Protocol(self, handler)
