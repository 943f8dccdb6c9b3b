"""The HTTP interface of runners and of the operator."""

from __future__ import annotations

import logging
from http import HTTPStatus

import msgspec
from quart import Quart, Response, request
from quart_trio import QuartTrio
from returns.result import Failure, Success

from rhubarbfield.groups import NotLeading
from rhubarbfield.platform.wire import decode_configuration, decode_heartbeat
from rhubarbfield.scheduling.model import QueueConfiguration
from rhubarbfield.scheduling.service import Accepted, SchedulingService, VersionConflict
from rhubarbfield.types import InstanceName, WorkerId

logger = logging.getLogger(__name__)

JSON_TYPE = "application/json"
MAX_BODY_BYTES = 4 * 1024 * 1024


def create_control_app(service: SchedulingService, control_port: int) -> Quart:
    """Return the app of a controller.

    Parameters
    ----------
    service
        What answers.
    control_port
        The port of this interface on every controller.
    """
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES

    def redirect(leader: InstanceName | None) -> Response:
        if leader is None:
            return _make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "no leader"})
        response = _make_json(HTTPStatus.TEMPORARY_REDIRECT, {})
        response.headers["Location"] = f"http://{leader}:{control_port}{request.path}"
        return response

    @app.put("/instances/<worker>")
    async def take_heartbeat(worker: str) -> Response:
        if not service.leads():
            return redirect(service.leader_hint)
        match decode_heartbeat(worker, await _read_body()):
            case Success(beat):
                taken = await service.take_report(beat.report, beat.clock)
            case Failure(complaint):
                logger.warning(
                    "heartbeat-refused worker=%s reason=%s", worker, complaint
                )
                return _make_json(HTTPStatus.BAD_REQUEST, {"Error": complaint})
        if isinstance(taken, NotLeading):
            return redirect(taken.leader)
        if not taken:
            return _make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "not recorded"})
        return _make_json(HTTPStatus.OK, {})

    @app.delete("/instances/<worker>")
    async def take_leave(worker: str) -> Response:
        taken = await service.forget_worker(WorkerId(worker))
        if isinstance(taken, NotLeading):
            return redirect(taken.leader)
        return _make_json(HTTPStatus.OK, {})

    @app.put("/config")
    async def put_configuration() -> Response:
        if not service.leads():
            return redirect(service.leader_hint)
        match decode_configuration(await _read_body()):
            case Success(configuration):
                return await _put(configuration)
            case Failure(complaint):
                logger.warning("configuration-refused reason=%s", complaint)
                return _make_json(HTTPStatus.BAD_REQUEST, {"Error": complaint})
        raise AssertionError

    async def _put(configuration: QueueConfiguration) -> Response:
        match await service.put_configuration(configuration):
            case Accepted():
                return _make_json(HTTPStatus.OK, {})
            case VersionConflict(reason=reason):
                return _make_json(HTTPStatus.CONFLICT, {"Error": reason})
            case NotLeading(leader=leader):
                return redirect(leader)
        return _make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "undecided"})

    @app.get("/config")
    async def get_configuration() -> Response:
        match service.read_configuration():
            case NotLeading(leader=leader):
                return redirect(leader)
            case QueueConfiguration(document=document):
                return Response(document, content_type=JSON_TYPE)
        return _make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "none accepted"})

    return app


async def _read_body() -> bytes:
    body = await request.get_data(as_text=False)
    return body if isinstance(body, bytes) else body.encode()


def _make_json(status: HTTPStatus, content: dict[str, object]) -> Response:
    return Response(msgspec.json.encode(content), status=status, content_type=JSON_TYPE)
