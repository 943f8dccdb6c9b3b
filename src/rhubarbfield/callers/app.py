"""The HTTP application for callers, the load balancer and metrics collectors."""

from __future__ import annotations

import random
from collections.abc import Sequence
from http import HTTPStatus

import msgspec
from prometheus_client import CollectorRegistry
from quart import Quart, Response, request
from quart_trio import QuartTrio
from returns.result import Success
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from rhubarbfield.callers.answers import (
    JSON_TYPE,
    make_bad_request_response,
    make_internal_error_response,
    make_response,
)
from rhubarbfield.callers.parsing import (
    METHODS,
    BadRequest,
    FieldName,
    RawRequest,
    make_size_error,
    parse_request,
)
from rhubarbfield.callers.readiness import Readiness
from rhubarbfield.httpserver import WHOLE_CONTENT
from rhubarbfield.metricspage import METRICS_TYPE, format_metrics
from rhubarbfield.routing.requests import Header
from rhubarbfield.routing.router import Router
from rhubarbfield.types import RequestId

SERVICES_PREFIX = "/services/"
REQUEST_ID_BITS = 96
BODY_TIMEOUT_SECONDS = 10


class Status(msgspec.Struct, frozen=True):
    """The JSON document of the health and readiness pages."""

    status: str


def create_app(
    router: Router,
    *,
    readiness: Readiness,
    rng: random.Random,
    registries: Sequence[CollectorRegistry] = (),
) -> Quart:
    """Return the application that routes callers' requests.

    Parameters
    ----------
    router
        Router of the requests; it must be running.
    readiness
        State that ``/-/ready`` reports.
    rng
        Source of request ids; it must be unpredictable and seeded differently
        in each process.
    registries
        Metrics that ``/-/metrics`` shows in addition to the router's.
    """
    app = QuartTrio(__name__)
    app.url_map.strict_slashes = False
    app.url_map.merge_slashes = False
    app.url_map.redirect_defaults = False
    app.config["MAX_CONTENT_LENGTH"] = router.settings.current.body_limit
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT_SECONDS
    app.config["RESPONSE_TIMEOUT"] = None
    app.config["PROVIDE_AUTOMATIC_OPTIONS"] = False
    _add_service_routes(app, router, rng)
    _add_status_routes(app, readiness, (router.metrics.registry, *registries))
    _add_error_handlers(app, router, rng)
    _close_connections_on_stop(app, readiness)
    return app


def _add_service_routes(app: Quart, router: Router, rng: random.Random) -> None:
    methods = list(METHODS)

    @app.route("/services/<service>", methods=methods, defaults={"rest": ""})
    @app.route("/services/<service>/", methods=methods, defaults={"rest": ""})
    @app.route("/services/<service>/<path:rest>", methods=methods)
    async def answer(service: str, rest: str) -> Response:
        request_id = make_request_id(rng)
        raw = RawRequest(
            method=request.method,
            service=service,
            path=_get_raw_path(),
            headers=tuple(Header(name, value) for name, value in request.headers),
            body=await _read_body(),
        )
        parsed = parse_request(raw, request_id, router.settings.current)
        if not isinstance(parsed, Success):
            return make_bad_request_response(parsed.failure(), request_id)
        return make_response(await router.route(parsed.unwrap()), request_id)


def _add_status_routes(
    app: Quart, readiness: Readiness, registries: Sequence[CollectorRegistry]
) -> None:
    @app.get("/-/health")
    async def show_health() -> Response:
        return _make_status_response("healthy", HTTPStatus.OK)

    @app.get("/-/ready")
    async def show_readiness() -> Response:
        if readiness.is_ready():
            return _make_status_response("ready", HTTPStatus.OK)
        status = "stopping" if readiness.stopping else "not ready"
        return _make_status_response(status, HTTPStatus.SERVICE_UNAVAILABLE)

    @app.get("/-/metrics")
    async def show_metrics() -> Response:
        return Response(format_metrics(*registries), content_type=METRICS_TYPE)


def _add_error_handlers(app: Quart, router: Router, rng: random.Random) -> None:
    @app.errorhandler(RequestEntityTooLarge)
    async def handle_large_content(_error: RequestEntityTooLarge) -> Response:
        bad_request = make_size_error(router.settings.current.body_limit)
        return make_bad_request_response(
            bad_request, make_request_id(rng), content_read=False
        )

    @app.errorhandler(HTTPException)
    async def handle_http_error(error: HTTPException) -> Response:
        status = HTTPStatus(error.code or HTTPStatus.INTERNAL_SERVER_ERROR)
        if status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return make_internal_error_response(make_request_id(rng))
        field = "method" if status is HTTPStatus.METHOD_NOT_ALLOWED else "path"
        if status is HTTPStatus.REQUEST_TIMEOUT:
            field = "content"
        bad_request = BadRequest(
            field=FieldName(field),
            sentence=f"{status.phrase.lower()}; services are below {SERVICES_PREFIX}",
            status=status,
        )
        return make_bad_request_response(
            bad_request, make_request_id(rng), content_read=False
        )


def _close_connections_on_stop(app: Quart, readiness: Readiness) -> None:
    @app.after_request
    async def close_connection(response: Response) -> Response:
        if readiness.stopping:
            response.headers["Connection"] = "close"
        return response


def make_request_id(rng: random.Random) -> RequestId:
    """Return a new request id, unique across all entries."""
    return RequestId(f"{rng.getrandbits(REQUEST_ID_BITS):024x}")


async def _read_body() -> bytes:
    content = request.scope["extensions"].get(WHOLE_CONTENT)
    if content is not None:
        return bytes(content)
    body = await request.get_data(cache=False, as_text=False)
    return body if isinstance(body, bytes) else body.encode()


def _get_raw_path() -> str:
    scope = request.scope
    raw_path = scope.get("raw_path") or scope["path"].encode()
    _, _, rest = raw_path.removeprefix(SERVICES_PREFIX.encode()).partition(b"/")
    path = "/" + rest.decode("latin-1")
    query = scope["query_string"].decode("latin-1")
    return f"{path}?{query}" if query else path


def _make_status_response(status: str, code: HTTPStatus) -> Response:
    return Response(
        msgspec.json.encode(Status(status)), status=code, content_type=JSON_TYPE
    )
