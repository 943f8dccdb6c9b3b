"""Messages of one HTTP/1.1 connection."""

from __future__ import annotations

from datetime import timedelta
from http import HTTPStatus
from urllib.parse import unquote

import h11
import trio

from rhubarbfield.httpserver.chunks import ChunkDecoder, ChunkError
from rhubarbfield.httpserver.messages import (
    TOO_SLOW,
    Field,
    HttpLimits,
    HttpRefusal,
    HttpRequest,
    HttpResponse,
    RefusalReason,
)
from rhubarbfield.intake import Holding, Intake
from rhubarbfield.parts import Parts

READ_BYTES = 65_536
# What is decoded of chunked content before others have a turn.
DECODED_BYTES = 4_096
SENT_BYTES = 262_144
DISCARD_TIMEOUT = timedelta(seconds=1)
STATUSES_WITHOUT_CONTENT = frozenset({HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED})
TOO_LARGE = HttpRefusal(RefusalReason.TOO_LARGE, HTTPStatus.REQUEST_ENTITY_TOO_LARGE)


class RefusedError(Exception):
    """A request is refused before the handler sees it, and the connection ends."""

    def __init__(self, refusal: HttpRefusal, detail: str) -> None:
        super().__init__(detail)
        self.refusal = refusal


class Connection:
    """Messages of one connection.

    Parameters
    ----------
    stream
        Stream of the connection.
    limits
        Limits of the connection.
    intake, holding
        What the process holds, and the part of this connection.
    """

    def __init__(
        self,
        stream: trio.SocketStream,
        limits: HttpLimits,
        intake: Intake,
        holding: Holding,
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._intake = intake
        self._holding = holding
        self._protocol = self._open_protocol(b"")
        # What follows chunked content, which h11 does not see.
        self._following: bytes | None = None
        self._method = ""
        self._client = _find_client(stream)

    async def receive_head(self) -> h11.Request | None:
        """Return the head of the next request, or None at the end."""
        wait = self._limits.keep_alive or self._limits.idle_timeout
        event = await self._receive_event(wait)
        return event if isinstance(event, h11.Request) else None

    async def receive_rest(self, head: h11.Request) -> HttpRequest | None:
        """Return the request that ``head`` begins, or None if it is cut short.

        Raises
        ------
        h11.RemoteProtocolError, RefusedError
            If the request is malformed, too large or too slow.
        """
        self._method = head.method.decode("ascii")
        limit = self._limits.body_timeout
        if limit is None:
            body = await self._receive_body(head)
        else:
            with trio.move_on_after(limit.total_seconds()) as scope:
                body = await self._receive_body(head)
            if scope.cancelled_caught:
                raise RefusedError(TOO_SLOW, f"the content takes longer than {limit}")
        if body is None:
            return None
        return HttpRequest(
            method=self._method,
            path=_decode_path(head.target),
            headers={
                name.decode("ascii"): value.decode("latin-1")
                for name, value in head.headers
            },
            body=body,
            target=head.target,
            fields=head.headers,
            client=self._client,
        )

    async def wait_until_closed(self) -> None:
        """Return once the client has closed the connection, or never.

        What it sends meanwhile is kept, up to the size of one read.
        """
        try:
            data = await self._stream.receive_some(READ_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            return
        if data:
            self._holding.charge(len(data))
            if self._following is None:
                self._protocol.receive_data(data)
            else:
                self._following += data
            await trio.sleep_forever()

    async def send(self, response: HttpResponse, *, close: bool) -> bool:
        """Send a response; return whether the connection takes another request."""
        content = response.body
        head = h11.Response(
            status_code=response.status, headers=_list_fields(response, close=close)
        )
        message = [self._protocol.send(head)]
        if (
            content
            and self._method != "HEAD"
            and response.status not in STATUSES_WITHOUT_CONTENT
        ):
            message.append(self._protocol.send(h11.Data(data=content)))
        message.append(self._protocol.send(h11.EndOfMessage()))
        data = b"".join(part or b"" for part in message)
        if not await self._send(data):
            return False
        if self._protocol.our_state is not h11.DONE:
            return False
        if self._following is not None:
            self._protocol = self._open_protocol(self._following)
            self._following = None
            return True
        if self._protocol.their_state is not h11.DONE:
            return False
        self._protocol.start_next_cycle()
        return True

    async def discard_rest(self) -> None:
        """Read what the peer still sends, so that a reset does not lose a response."""
        await self._stream.send_eof()
        with trio.move_on_after(DISCARD_TIMEOUT.total_seconds()):
            while await self._stream.receive_some(READ_BYTES):
                pass

    def _open_protocol(self, data: bytes) -> h11.Connection:
        protocol = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        if data:
            protocol.receive_data(data)
        return protocol

    async def _send(self, data: bytes) -> bool:
        """Send ``data``; return False if the client takes nothing for too long."""
        self._holding.charge(len(data))
        for start in range(0, len(data), SENT_BYTES):
            wait = self._limits.idle_timeout.total_seconds()
            with trio.move_on_after(wait) as scope:
                await self._stream.send_all(data[start : start + SENT_BYTES])
            if scope.cancelled_caught:
                return False
        return True

    async def _receive_body(self, head: h11.Request) -> bytes | None:
        """Return the content of a request, or None if it is cut short."""
        if self._protocol.they_are_waiting_for_100_continue:
            proceed = h11.InformationalResponse(status_code=100, headers=[])
            await self._stream.send_all(self._protocol.send(proceed) or b"")
        if any(name == b"transfer-encoding" for name, _ in head.headers):
            return await self._receive_chunks()
        body = Parts()
        try:
            while True:
                event = await self._receive_event(self._limits.idle_timeout)
                if not isinstance(event, h11.Data):
                    break
                body.append(event.data)
                event = None  # not kept while the next one is awaited
                self._check_size(len(body))
            return body.take_all() if isinstance(event, h11.EndOfMessage) else None
        finally:
            # An error that ends here may outlive the connection, with this frame.
            body.clear()

    async def _receive_chunks(self) -> bytes | None:
        """Return chunked content, or None if it is cut short.

        h11 makes an event of each chunk, which costs much more than a small chunk
        costs its sender.
        """
        decoder = ChunkDecoder(self._limits.header_bytes)
        data, _ = self._protocol.trailing_data
        try:
            while True:
                held = decoder.size
                await self._decode(decoder, data)
                # The framing of small chunks is much larger than what is held of them.
                self._holding.charge(decoder.size - held - len(data))
                if decoder.is_complete:
                    self._following = decoder.rest
                    return decoder.content.take_all()
                data = b""  # not kept while more is awaited
                data = await self._receive_some(self._limits.idle_timeout) or b""
                if not data:
                    return None
        finally:
            decoder.content.clear()

    async def _decode(self, decoder: ChunkDecoder, data: bytes) -> None:
        try:
            if len(data) <= DECODED_BYTES:
                decoder.feed(data)
                self._check_size(len(decoder.content))
                return
            for start in range(0, len(data), DECODED_BYTES):
                async with self._intake.decoding:
                    decoder.feed(data[start : start + DECODED_BYTES])
                self._check_size(len(decoder.content))
        except ChunkError as error:
            raise h11.RemoteProtocolError(str(error)) from error

    def _check_size(self, size: int) -> None:
        if size > self._limits.body_bytes:
            detail = f"content exceeds {self._limits.body_bytes} bytes"
            raise RefusedError(TOO_LARGE, detail)

    async def _receive_event(self, wait: timedelta) -> object:
        """Return the next event, or None if none comes in time."""
        while (event := self._protocol.next_event()) is h11.NEED_DATA:
            if not await self._feed_protocol(wait):
                return None
        return event

    async def _feed_protocol(self, wait: timedelta) -> bool:
        """Give h11 what arrives; return False if nothing comes in time."""
        data = await self._receive_some(wait)
        if data is not None:
            self._protocol.receive_data(data)
        return data is not None

    async def _receive_some(self, wait: timedelta) -> bytes | None:
        """Return what has arrived, b"" at the end, or None if nothing comes in time."""
        with trio.move_on_after(wait.total_seconds()):
            data = bytes(await self._stream.receive_some(READ_BYTES))
            self._holding.charge(len(data))
            return data
        return None


def _list_fields(response: HttpResponse, *, close: bool) -> list[Field]:
    """Return the header fields of a response."""
    size = b"%d" % len(response.body)
    if response.fields is None:
        fields = [
            (b"content-type", response.content_type.encode("ascii")),
            (b"content-length", size),
            *(
                (name.encode("ascii"), value.encode("latin-1"))
                for name, value in response.headers.items()
            ),
        ]
    else:
        fields = list(response.fields)
    names = {name.lower() for name, _ in fields}
    has_content = response.status not in STATUSES_WITHOUT_CONTENT
    if has_content and b"content-length" not in names:
        fields.append((b"content-length", size))
    if close and b"connection" not in names:
        fields.append((b"connection", b"close"))
    return fields


def _find_client(stream: trio.SocketStream) -> str:
    try:
        return str(stream.socket.getpeername()[0])
    except OSError:
        return ""


def _decode_path(target: bytes) -> str:
    """Return the decoded path of a request target, also of an absolute one."""
    text = target.decode("ascii", errors="replace").partition("?")[0]
    if not text.startswith("/"):
        text = "/" + text.partition("://")[2].partition("/")[2]
    return unquote(text)
