"""Responses of the platform's HTTP interface."""

from __future__ import annotations

from collections.abc import Mapping
from http import HTTPStatus

import msgspec

from rhubarbfield.httpserver import JSON_TYPE, HttpResponse


def make_json(
    status: HTTPStatus,
    content: dict[str, object],
    headers: Mapping[str, str] | None = None,
) -> HttpResponse:
    """Return a response with a JSON body."""
    return HttpResponse(status, msgspec.json.encode(content), JSON_TYPE, headers or {})
