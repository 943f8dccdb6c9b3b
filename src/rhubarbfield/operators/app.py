"""HTTP server of the controller for operators."""

from __future__ import annotations

import hmac
import logging
from collections.abc import Awaitable, Callable, Iterable
from datetime import timedelta
from typing import TypeVar, cast

import msgspec
import trio
from prometheus_client import CollectorRegistry
from quart import Response, request
from quart_trio import QuartTrio
from returns.result import Result, Success
from werkzeug.exceptions import HTTPException, RequestEntityTooLarge

from rhubarbfield.exceptions import BrokenInvariantError
from rhubarbfield.fleet import CommandRecord, ConfigurationProblem, check_configuration
from rhubarbfield.language import (
    AnyCommandStatement,
    CommandStatement,
    Configure,
    Query,
    Show,
    Statement,
    Table,
    parse,
    select_rows,
)
from rhubarbfield.logs import get_logger, log_event
from rhubarbfield.metricspage import METRICS_TYPE, format_metrics
from rhubarbfield.operators.answers import (
    STATUS_NOT_FOUND,
    STATUS_UNAVAILABLE,
    TOO_LARGE_MESSAGE,
    Answer,
    encode,
    fail,
    make_response,
)
from rhubarbfield.operators.failures import FailureKind, OperatorFailure
from rhubarbfield.operators.messages import (
    MAX_BODY_BYTES,
    CommandAnswer,
    CommandRequest,
    QueryRequest,
)
from rhubarbfield.operators.port import OperatorsPort, Submission
from rhubarbfield.settings import Secret
from rhubarbfield.types import CommandNumber, OperatorName

BODY_TIMEOUT = timedelta(seconds=10)
ANSWER_TIMEOUT = timedelta(seconds=10)
MAX_CONCURRENT_REQUESTS = 64
_LOGGER = get_logger("operators")
BodyT = TypeVar("BodyT")


def create_operators_app(
    service: OperatorsPort,
    *,
    secret: Secret,
    metrics: CollectorRegistry,
    on_broken_invariant: Callable[[BrokenInvariantError], None] | None = None,
) -> QuartTrio:
    """Create the application that serves operators.

    Parameters
    ----------
    service
        The controller.
    secret
        Shared secret, expected as ``Authorization: Bearer SECRET``.
    metrics
        Registry that ``/-/metrics`` exposes.
    on_broken_invariant
        Called when a request finds an invariant broken, to stop the process;
        the web framework would catch the exception and continue.

    Returns
    -------
    QuartTrio
        Application for :func:`rhubarbfield.httpserver.serve_app`.
    """
    app = QuartTrio("rhubarbfield.operators")
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    app.config["BODY_TIMEOUT"] = BODY_TIMEOUT.total_seconds()
    handlers = _Handlers(service, secret, metrics, on_broken_invariant)
    app.before_request(handlers.authenticate)
    app.register_error_handler(HTTPException, handlers.handle_http_error)
    app.register_error_handler(Exception, handlers.handle_exception)
    app.add_url_rule("/v1/query", view_func=handlers.query, methods=["POST"])
    app.add_url_rule("/v1/command", view_func=handlers.command, methods=["POST"])
    app.add_url_rule("/v1/status", view_func=handlers.show_status)
    app.add_url_rule("/-/health", view_func=handlers.show_health)
    app.add_url_rule("/-/ready", view_func=handlers.show_ready)
    app.add_url_rule("/-/metrics", view_func=handlers.show_metrics)
    return app


class _Handlers:
    def __init__(
        self,
        service: OperatorsPort,
        secret: Secret,
        metrics: CollectorRegistry,
        on_broken_invariant: Callable[[BrokenInvariantError], None] | None,
    ) -> None:
        self._service = service
        self._expected = b"Bearer " + secret
        self._metrics = metrics
        self._on_broken_invariant = on_broken_invariant
        self._request_limiter = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def authenticate(self) -> Response | None:
        """Reject requests without the shared secret, except health probes."""
        if request.path in {"/-/health", "/-/ready"}:
            return None
        credentials = request.headers.get("Authorization", "").encode()
        if hmac.compare_digest(credentials, self._expected):
            return None
        log_event(
            _LOGGER,
            logging.WARNING,
            "operator-refused",
            remote=request.remote_addr,
            path=request.path,
        )
        message = "the Authorization header does not show the shared secret"
        return make_response(fail(FailureKind.UNAUTHORIZED, message))

    async def query(self) -> Response:
        """Answer a query."""
        with trio.move_on_after(ANSWER_TIMEOUT.total_seconds()):
            return make_response(await self._run_limited(self._query))
        return make_response(fail(FailureKind.BUSY, "the answer took too long"))

    async def command(self) -> Response:
        """Submit a command and answer with the decision on it."""
        with trio.move_on_after(ANSWER_TIMEOUT.total_seconds()):
            return make_response(await self._run_limited(self._command))
        message = (
            "whether the command had its effect is not known yet; send it again"
            " under the same number"
        )
        return make_response(fail(FailureKind.UNKNOWN_OUTCOME, message))

    async def show_status(self) -> Response:
        """Return the status of the controller."""
        return encode(self._service.get_status())

    async def show_health(self) -> Response:
        """Answer the liveness probe."""
        return Response("alive\n", mimetype="text/plain")

    async def show_ready(self) -> Response:
        """Answer the readiness probe."""
        status = self._service.get_status()
        if status.ready:
            return Response("ready\n", mimetype="text/plain")
        text = f"not ready: {status.note}\n"
        return Response(text, STATUS_UNAVAILABLE, mimetype="text/plain")

    async def show_metrics(self) -> Response:
        """Return the metrics of the process."""
        return Response(format_metrics(self._metrics), content_type=METRICS_TYPE)

    async def handle_http_error(self, error: HTTPException) -> Response:
        """Answer a request that has no route or is malformed."""
        if isinstance(error, RequestEntityTooLarge):
            return make_response(fail(FailureKind.TOO_LARGE, TOO_LARGE_MESSAGE))
        found = error.code != STATUS_NOT_FOUND
        kind = FailureKind.MALFORMED if found else FailureKind.NOT_FOUND
        return make_response(fail(kind, error.description or "not a request"))

    async def handle_exception(self, error: Exception) -> Response:
        """Answer a request whose handler raised an exception."""
        log_event(_LOGGER, logging.ERROR, "operator-request-fault", error=repr(error))
        if isinstance(error, BrokenInvariantError) and self._on_broken_invariant:
            self._on_broken_invariant(error)
        message = "the controller met a fault of its own; its log says which"
        return make_response(fail(FailureKind.INTERNAL, message))

    async def _run_limited(self, answer: Callable[[], Awaitable[Answer]]) -> Answer:
        borrower = object()
        try:
            self._request_limiter.acquire_on_behalf_of_nowait(borrower)
        except trio.WouldBlock:
            message = f"{MAX_CONCURRENT_REQUESTS} requests are being answered already"
            return fail(FailureKind.BUSY, message)
        try:
            return await answer()
        finally:
            self._request_limiter.release_on_behalf_of(borrower)

    async def _query(self) -> Answer:
        match _decode(await _read_body(), QueryRequest):
            case Success(QueryRequest(text=text)):
                return await self._answer_query(text)
            case refused:
                return refused

    async def _answer_query(self, text: str) -> Answer:
        match _read_statement(text):
            case Success(Query() as query):
                found = await self._service.query(query)
            case Success(_):
                return fail(FailureKind.INVALID, "this is a command, not a query")
            case refused:
                return refused
        if isinstance(query, Show) and isinstance(found, Success):
            return _select(found.unwrap(), query)
        return found

    async def _command(self) -> Answer:
        match _decode(await _read_body(), CommandRequest):
            case Success(CommandRequest() as body):
                return await self._answer_command(body)
            case refused:
                return refused

    async def _answer_command(self, body: CommandRequest) -> Answer:
        match _read_statement(body.text).bind(_check_command):
            case Success(statement):
                submission = Submission(
                    operator=OperatorName(body.operator),
                    number=CommandNumber(body.number),
                    text=body.text,
                    statement=statement,
                )
                outcome = await self._service.command(submission)
                _log_command(submission, outcome)
                return outcome.map(lambda record: CommandAnswer(record=record))
            case refused:
                return refused


async def _read_body() -> bytes:
    return cast(bytes, await request.get_data(as_text=False))


def _decode(data: bytes, body_type: type[BodyT]) -> Result[BodyT, OperatorFailure]:
    try:
        return Success(msgspec.json.decode(data, type=body_type))
    except (msgspec.DecodeError, RecursionError) as error:
        return fail(FailureKind.MALFORMED, f"the body is not as expected: {error}")


def _read_statement(text: str) -> Result[Statement, OperatorFailure]:
    return parse(text).alt(
        lambda problem: OperatorFailure(
            kind=FailureKind.SYNTAX, message=problem.format()
        )
    )


def _check_command(
    statement: Statement,
) -> Result[AnyCommandStatement, OperatorFailure]:
    if isinstance(statement, Configure):
        return (
            check_configuration(statement).map(lambda _: statement).alt(_join_problems)
        )
    if isinstance(statement, CommandStatement):
        return Success(cast(AnyCommandStatement, statement))
    return fail(FailureKind.INVALID, "this is a query, not a command")


def _join_problems(problems: Iterable[ConfigurationProblem]) -> OperatorFailure:
    message = "\n".join(problem.format() for problem in problems)
    return OperatorFailure(kind=FailureKind.INVALID, message=message)


def _select(table: Table, query: Show) -> Result[Table, OperatorFailure]:
    return select_rows(table, query).alt(
        lambda problem: OperatorFailure(
            kind=FailureKind.INVALID, message=problem.format()
        )
    )


def _log_command(
    submission: Submission, outcome: Result[CommandRecord, OperatorFailure]
) -> None:
    match outcome:
        case Success(CommandRecord(accepted=accepted)):
            verdict = "accepted" if accepted else "refused"
        case _:
            verdict = outcome.failure().kind.value
    log_event(
        _LOGGER,
        logging.INFO,
        "operator-command",
        operator=submission.operator,
        number=submission.number,
        verdict=verdict,
    )
