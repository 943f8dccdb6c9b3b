"""HTTP interface through which clients submit, read and cancel jobs."""

from __future__ import annotations

import logging
import math
from datetime import timedelta
from http import HTTPStatus

import msgspec
from returns.result import Failure, Success

from rhubarbfield.httpserver import Handler, HttpRequest, HttpResponse
from rhubarbfield.leadercalls import NotAdmitted
from rhubarbfield.platform.bodies import make_json
from rhubarbfield.platform.jobwire import decode_job
from rhubarbfield.scheduling.gateway import Gateway, Undecided
from rhubarbfield.scheduling.model import JobSubmission
from rhubarbfield.scheduling.requests import (
    Accepted,
    BadJob,
    JobReply,
    JobRequest,
    JobStatus,
    JobVerb,
    NoSuchJob,
    NoSuchQueue,
    WaitingJobs,
)

logger = logging.getLogger(__name__)

READY_PATH = "/readyz"
DEFAULT_DEADLINE = timedelta(seconds=3)  # the timeout of clients at both sites
MAX_DEADLINE_MS = 3_600_000  # no client waits for longer
VERBS = {"POST": JobVerb.SUBMIT, "GET": JobVerb.READ, "DELETE": JobVerb.CANCEL}
MAX_BODY_BYTES = 262_144
RETRY_DELAY = timedelta(seconds=1)
UNDECIDED = "no controller can decide now"


def create_ingress_handler(gateway: Gateway) -> Handler:
    """Return the handler of clients and the platform's load balancer."""

    async def answer(request: HttpRequest) -> HttpResponse:
        if request.path == READY_PATH:
            ready = gateway.is_ready
            return HttpResponse(
                HTTPStatus.OK if ready else HTTPStatus.SERVICE_UNAVAILABLE
            )
        response = await _answer_client(gateway, request)
        if gateway.is_stopping:
            headers = {**response.headers, "Connection": "close"}
            return msgspec.structs.replace(response, headers=headers)
        return response

    return answer


async def _answer_client(gateway: Gateway, request: HttpRequest) -> HttpResponse:
    verb = VERBS.get(request.method)
    if verb is None:
        return make_json(HTTPStatus.METHOD_NOT_ALLOWED, {"Error": "no such method"})
    submission: JobSubmission | None = None
    if verb is JobVerb.SUBMIT:
        match decode_job(request.body):
            case Success(job):
                submission = job
            case Failure(reason):
                logger.warning("job-malformed path=%s reason=%s", request.path, reason)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": reason})
    job_request = JobRequest(
        verb=verb,
        host=request.headers.get("host", "").partition(":")[0],
        path=request.path,
        submission=submission,
        knows_rejection=True,
    )
    timeout = _read_deadline(request)
    return make_response(verb, await gateway.forward(job_request, timeout))


def make_response(verb: JobVerb, reply: JobReply | Undecided) -> HttpResponse:
    """Return the response to a client for a reply of the controllers."""
    if isinstance(reply, Undecided):
        # Clients may treat 503 as proof that nothing was done.
        may_take_effect = reply.in_doubt and verb is not JobVerb.READ
        status = (
            HTTPStatus.GATEWAY_TIMEOUT
            if may_take_effect
            else HTTPStatus.SERVICE_UNAVAILABLE
        )
        return _make_retry_response(status, UNDECIDED, reply.retry_after)
    if isinstance(reply, NotAdmitted):
        return _make_retry_response(
            HTTPStatus.SERVICE_UNAVAILABLE,
            reply.reason,
            reply.retry_after,
        )
    described = _describe_reply(reply)
    if described is None:
        return _make_retry_response(
            HTTPStatus.SERVICE_UNAVAILABLE, UNDECIDED, RETRY_DELAY
        )
    return make_json(*described)


def _describe_reply(reply: JobReply) -> tuple[HTTPStatus, dict[str, object]] | None:
    """Return the status and content for a final reply, None for any other."""
    match reply:
        case Accepted():
            described: tuple[HTTPStatus, dict[str, object]] = (HTTPStatus.OK, {})
        case JobStatus(phase=phase):
            described = (HTTPStatus.OK, {"State": phase.value})
        case WaitingJobs(count=count):
            described = (HTTPStatus.OK, {"WaitingCount": count})
        case NoSuchQueue():
            described = (HTTPStatus.NOT_FOUND, {"Error": "no such queue"})
        case NoSuchJob():
            described = (HTTPStatus.GONE, {"Error": "no such job"})
        case BadJob(reason=reason):
            described = (HTTPStatus.BAD_REQUEST, {"Error": reason})
        case _:
            return None
    return described


def _read_deadline(request: HttpRequest) -> timedelta:
    text = request.headers.get("x-deadline-ms", "")
    if not text.isdecimal():
        return DEFAULT_DEADLINE
    is_long = len(text) > len(str(MAX_DEADLINE_MS))  # too long to read, perhaps
    milliseconds = MAX_DEADLINE_MS if is_long else min(int(text), MAX_DEADLINE_MS)
    return timedelta(milliseconds=milliseconds)


def _make_retry_response(
    status: HTTPStatus, reason: str, after: timedelta
) -> HttpResponse:
    headers = {"Retry-After": str(math.ceil(after.total_seconds()))}
    return make_json(status, {"Error": reason}, headers)
