"""Request and response bodies of the platform's HTTP interface."""

from __future__ import annotations

from http import HTTPStatus

import msgspec
from quart import Response, request

JSON_TYPE = "application/json"


async def read_body() -> bytes:
    """Return the body of the current request."""
    body = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()


def make_json(status: HTTPStatus, content: dict[str, object]) -> Response:
    """Return a response with a JSON body."""
    return Response(msgspec.json.encode(content), status=status, content_type=JSON_TYPE)
