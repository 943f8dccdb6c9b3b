"""Validation of callers' HTTP requests."""

from __future__ import annotations

import re
from collections.abc import Iterable
from datetime import timedelta
from http import HTTPStatus
from typing import NewType

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.routing.requests import CallerRequest, Header
from rhubarbfield.routing.settings import RoutingSettings
from rhubarbfield.types import (
    IdempotencyKey,
    RequestClass,
    RequestId,
    ServiceName,
    Tenant,
)

FieldName = NewType("FieldName", str)

TENANT_HEADER = "Rhubarbfield-Tenant"
CLASS_HEADER = "Rhubarbfield-Class"
TIMEOUT_HEADER = "Rhubarbfield-Timeout"
KEY_HEADER = "Idempotency-Key"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")
PATH_CHARACTERS_LIMIT = 8192
HEADERS_LIMIT = 100
HEADER_BYTES_LIMIT = 16384
SHOWN_CHARACTERS_LIMIT = 80

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_SECONDS = re.compile(r"[0-9]{1,6}(\.[0-9]{1,6})?")
_KEY = re.compile(r"[!#-\[\]-~]([ !#-\[\]-~]{0,253}[!#-\[\]-~])?")
_PATH = re.compile(r"/[!\"$-~]*")
_UNFORWARDED_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authorization",
        "proxy-connection",
        "remote-addr",  # added by Quart
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class RawRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's HTTP request as received.

    Attributes
    ----------
    path
        The part after the service's name, percent-encoded, with the query.
    """

    method: str
    service: str
    path: str
    headers: tuple[Header, ...]
    body: bytes


class BadRequest(msgspec.Struct, frozen=True, kw_only=True):
    """The reason why a request is invalid.

    Attributes
    ----------
    field
        The header or part of the request that is invalid.
    sentence
        What was found and what is allowed.
    status
        Status of the HTTP response.
    """

    field: FieldName
    sentence: str
    status: HTTPStatus = HTTPStatus.BAD_REQUEST


class _FieldError(Exception):
    def __init__(self, field: str, sentence: str) -> None:
        super().__init__(sentence)
        self.field = FieldName(field)
        self.sentence = sentence


def parse_request(
    raw: RawRequest, request_id: RequestId, settings: RoutingSettings
) -> Result[CallerRequest, BadRequest]:
    """Return ``raw`` as a request that may be routed, or why it is invalid."""
    too_large = _check_sizes(raw, settings)
    if too_large is not None:
        return Failure(too_large)
    try:
        return Success(_parse(raw, request_id, settings))
    except _FieldError as error:
        return Failure(BadRequest(field=error.field, sentence=error.sentence))


def _check_sizes(raw: RawRequest, settings: RoutingSettings) -> BadRequest | None:
    if len(raw.body) > settings.body_limit:
        return make_size_error(settings.body_limit)
    if len(raw.path) > PATH_CHARACTERS_LIMIT:
        return BadRequest(
            field=FieldName("path"),
            sentence=f"the path may have {PATH_CHARACTERS_LIMIT} characters at most",
            status=HTTPStatus.REQUEST_URI_TOO_LONG,
        )
    size = sum(len(each.name) + len(each.value) for each in raw.headers)
    if len(raw.headers) > HEADERS_LIMIT or size > HEADER_BYTES_LIMIT:
        return BadRequest(
            field=FieldName("headers"),
            sentence=f"there may be {HEADERS_LIMIT} header fields at most, "
            f"{HEADER_BYTES_LIMIT} bytes together",
            status=HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )
    return None


def make_size_error(limit: int) -> BadRequest:
    """Return the error for a request whose content is larger than ``limit`` bytes."""
    return BadRequest(
        field=FieldName("content"),
        sentence=f"the content may have {limit} bytes at most",
        status=HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )


def _parse(
    raw: RawRequest, request_id: RequestId, settings: RoutingSettings
) -> CallerRequest:
    service = ServiceName(_match(raw.service, _NAME, "service", "a service's name"))
    path = _match(raw.path, _PATH, "path", "an escaped path")
    tenant = _get_single_value(raw.headers, TENANT_HEADER)
    if tenant is None:
        raise _FieldError(TENANT_HEADER, f"the header {TENANT_HEADER} is missing")
    request_class = _parse_class(_get_single_value(raw.headers, CLASS_HEADER))
    timeout = _get_single_value(raw.headers, TIMEOUT_HEADER)
    return CallerRequest(
        request_id=request_id,
        tenant=Tenant(_match(tenant, _NAME, TENANT_HEADER, "a tenant's name")),
        service=service,
        request_class=request_class,
        method=raw.method,
        path=path,
        timeout=_parse_timeout(timeout, request_class, settings),
        idempotent=settings.is_idempotent(service, raw.method),
        headers=_select_forwarded_headers(raw.headers),
        body=raw.body,
        idempotency_key=_parse_key(_get_single_value(raw.headers, KEY_HEADER)),
    )


def _get_single_value(headers: Iterable[Header], name: str) -> str | None:
    values = [each.value for each in headers if each.name.lower() == name.lower()]
    if len(values) > 1:
        raise _FieldError(name, f"the header {name} is given {len(values)} times")
    return values[0].strip() if values else None


def _match(value: str, pattern: re.Pattern[str], field: str, allowed: str) -> str:
    if pattern.fullmatch(value) is None:
        raise _FieldError(
            field, f"{field} is {_shorten(value)}, which is not {allowed}"
        )
    return value


def _parse_class(value: str | None) -> RequestClass:
    if value is None:
        return RequestClass.INTERACTIVE
    try:
        return RequestClass(value)
    except ValueError:
        allowed = ", ".join(RequestClass)
        raise _FieldError(
            CLASS_HEADER,
            f"{CLASS_HEADER} is {_shorten(value)}; allowed are {allowed}",
        ) from None


def _parse_timeout(
    value: str | None, request_class: RequestClass, settings: RoutingSettings
) -> timedelta:
    if value is None:
        return settings.classes[request_class].timeout
    longest = settings.longest_timeout
    allowed = f"a number of seconds above 0, at most {longest.total_seconds():g}"
    _match(value, _SECONDS, TIMEOUT_HEADER, allowed)
    timeout = timedelta(seconds=float(value))
    if not timedelta() < timeout <= longest:
        raise _FieldError(
            TIMEOUT_HEADER,
            f"{TIMEOUT_HEADER} is {_shorten(value)}, which is not {allowed}",
        )
    return timeout


def _parse_key(value: str | None) -> IdempotencyKey | None:
    if value is None:
        return None
    quoted = len(value) > 1 and value[0] == value[-1] == '"'
    bare = value[1:-1] if quoted else value
    allowed = "1 to 255 printable characters without quotes and backslashes"
    return IdempotencyKey(_match(bare, _KEY, KEY_HEADER, allowed))


def _select_forwarded_headers(headers: Iterable[Header]) -> tuple[Header, ...]:
    return tuple(
        each
        for each in headers
        if each.name.lower() not in _UNFORWARDED_HEADERS
        and not each.name.lower().startswith("rhubarbfield-")
    )


def _shorten(value: str) -> str:
    shown = ascii(value[:SHOWN_CHARACTERS_LIMIT])
    return shown if len(value) <= SHOWN_CHARACTERS_LIMIT else f"{shown} and more"
