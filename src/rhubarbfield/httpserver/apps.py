"""ASGI apps over the HTTP server.

The app gets each request whole, so that no content is held, nor any time spent on it,
outside of what the server bounds.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping, Sequence
from datetime import datetime
from email.utils import format_datetime
from http import HTTPStatus
from typing import Any, Protocol
from urllib.parse import unquote

import trio

from rhubarbfield.clock import Clock
from rhubarbfield.httpserver.messages import (
    Field,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    RefusalMaker,
    make_refusal,
)
from rhubarbfield.httpserver.server import HttpServer
from rhubarbfield.intake import Intake

# Extension with the whole content, for apps that need no copy of it.
WHOLE_CONTENT = "rhubarbfield.content"

Event = Mapping[str, Any]


class App(Protocol):
    """An ASGI app."""

    async def __call__(
        self,
        scope: Any,
        receive: Callable[[], Awaitable[Any]],
        send: Callable[[Any], Awaitable[None]],
    ) -> None:
        """Answer one request."""


async def serve_app(
    app: App,
    address: str,
    wait_for_stop: Callable[[], Awaitable[None]],
    *,
    limits: HttpLimits,
    intake: Intake,
    clock: Clock,
    refuse: RefusalMaker = make_refusal,
    content_in_scope: bool = False,
    task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve an app until ``wait_for_stop`` returns and the last request is answered.

    Parameters
    ----------
    app
        The app; cancelled once its client has closed the connection.
    address
        ``host:port``.
    wait_for_stop
        Returns when no more connections are to be accepted.
    limits, intake
        Limits of connections, and what the process holds of unfinished requests.
    clock
        Dates the responses that the app does not date.
    refuse
        Makes the responses to requests that the app does not see.
    content_in_scope
        Whether the app finds the content in the extension ``WHOLE_CONTENT`` of its
        scope instead of receiving a copy.
    task_status
        Started with the bound addresses; see :meth:`HttpServer.serve`.
    """

    async def answer(request: HttpRequest) -> HttpResponse:
        response = _Response()
        scope, body = _make_scope(request), request.body
        if content_in_scope:
            scope["extensions"][WHOLE_CONTENT], body = body, b""
        await app(scope, _Content(body).receive, response.send)
        return response.make(clock.now())

    server = HttpServer(answer, limits, intake, refuse=refuse, cancels_handler=True)
    await server.serve([address], wait_for_stop, task_status=task_status)


def _make_scope(request: HttpRequest) -> dict[str, Any]:
    path, _, query = request.target.partition(b"?")
    return {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.1"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": "http",
        "path": unquote(path.decode("ascii", errors="replace")),
        "raw_path": path,
        "query_string": query,
        "root_path": "",
        "headers": list(request.fields),
        "client": (request.client, None),
        "server": None,
        "state": {},
        "extensions": {},
    }


class _Content:
    """Content of a request, handed over once."""

    def __init__(self, body: bytes) -> None:
        self._body: bytes | None = body

    async def receive(self) -> Event:
        body, self._body = self._body, None
        if body is None:
            # The server cancels the app when the client leaves.
            await trio.sleep_forever()
        return {"type": "http.request", "body": body, "more_body": False}


class _Response:
    """Response of an app, collected."""

    def __init__(self) -> None:
        self._status: int | None = None
        self._fields: Sequence[Field] = ()
        self._content: list[bytes] = []

    async def send(self, event: Event) -> None:
        if event["type"] == "http.response.start":
            self._status = int(event["status"])
            self._fields = event.get("headers", ())
        elif event["type"] == "http.response.body":
            self._content.append(bytes(event.get("body", b"")))

    def make(self, now: datetime) -> HttpResponse:
        if self._status is None:
            return HttpResponse(HTTPStatus.INTERNAL_SERVER_ERROR)
        fields = [(bytes(name), bytes(value)) for name, value in self._fields]
        if all(name.lower() != b"date" for name, _ in fields):
            fields.append((b"date", format_datetime(now, usegmt=True).encode("ascii")))
        return HttpResponse(self._status, b"".join(self._content), fields=fields)
