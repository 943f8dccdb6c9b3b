"""HTTP interface for runners and operators."""

from __future__ import annotations

import logging
from http import HTTPStatus
from urllib.parse import quote

from returns.result import Failure, Success

from rhubarbfield.httpserver import JSON_TYPE, HttpRequest, HttpResponse
from rhubarbfield.leadercalls import NotLeading, Unavailable
from rhubarbfield.platform.bodies import make_json
from rhubarbfield.platform.wire import decode_configuration, decode_heartbeat
from rhubarbfield.scheduling.model import QueueConfiguration
from rhubarbfield.scheduling.requests import Accepted
from rhubarbfield.scheduling.service import SchedulingService, VersionConflict
from rhubarbfield.types import InstanceName, WorkerId

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024
WORKERS_PATH = "/instances/"
CONFIGURATION_PATH = "/config"


class ControlInterface:
    """Handles the requests of runners and operators to one controller.

    Parameters
    ----------
    service
        Scheduling service that handles the requests.
    control_port
        Port of this interface, the same on every controller.
    """

    def __init__(self, service: SchedulingService, control_port: int) -> None:
        self._service = service
        self._control_port = control_port

    async def answer(self, request: HttpRequest) -> HttpResponse:
        """Answer a request of a runner or an operator."""
        worker = request.path.removeprefix(WORKERS_PATH)
        is_of_worker = worker != request.path and worker and "/" not in worker
        match request.method:
            case "PUT" if is_of_worker:
                return await self.handle_heartbeat(worker, request.body)
            case "DELETE" if is_of_worker:
                return await self.handle_departure(worker)
            case "PUT" if request.path == CONFIGURATION_PATH:
                return await self.put_configuration(request.body)
            case "GET" if request.path == CONFIGURATION_PATH:
                return self.get_configuration()
        if is_of_worker or request.path == CONFIGURATION_PATH:
            return make_json(HTTPStatus.METHOD_NOT_ALLOWED, {"Error": "no such method"})
        return make_json(HTTPStatus.NOT_FOUND, {"Error": "no such path"})

    async def handle_heartbeat(self, worker: str, body: bytes) -> HttpResponse:
        """Handle a heartbeat of a runner."""
        match decode_heartbeat(worker, body):
            case Success(heartbeat):
                is_recorded = await self._service.handle_heartbeat(heartbeat)
                return self._confirm(worker, is_recorded)
            case Failure(reason):
                self._service.refuse_heartbeat(WorkerId(worker), reason)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": reason})
        raise AssertionError

    async def handle_departure(self, worker: str) -> HttpResponse:
        """Handle the departure of a runner that shuts down."""
        is_recorded = await self._service.handle_departure(WorkerId(worker))
        return self._confirm(worker, is_recorded)

    async def put_configuration(self, body: bytes) -> HttpResponse:
        """Put a new configuration into effect."""
        if not self._service.leads():
            return self._redirect(self._service.leader_hint, CONFIGURATION_PATH)
        match decode_configuration(body):
            case Success(configuration):
                return self._answer_operator(
                    await self._service.put_configuration(configuration)
                )
            case Failure(reason):
                logger.warning("configuration-refused reason=%s", reason)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": reason})
        raise AssertionError

    def get_configuration(self) -> HttpResponse:
        """Return the current configuration."""
        match self._service.read_configuration():
            case NotLeading(leader=leader):
                return self._redirect(leader, CONFIGURATION_PATH)
            case QueueConfiguration(document=document):
                return HttpResponse(HTTPStatus.OK, document, JSON_TYPE)
        return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "none accepted"})

    def _answer_operator(
        self, reply: Accepted | VersionConflict | NotLeading | Unavailable
    ) -> HttpResponse:
        match reply:
            case Accepted():
                return make_json(HTTPStatus.OK, {})
            case VersionConflict(reason=reason):
                return make_json(HTTPStatus.CONFLICT, {"Error": reason})
            case NotLeading(leader=leader):
                return self._redirect(leader, CONFIGURATION_PATH)
            case Unavailable(permanent=True, reason=reason):
                return make_json(HTTPStatus.REQUEST_ENTITY_TOO_LARGE, {"Error": reason})
            case Unavailable(in_doubt=False, reason=reason):
                return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": reason})
        return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "undecided"})

    def _confirm(self, worker: str, is_recorded: bool | NotLeading) -> HttpResponse:
        if isinstance(is_recorded, NotLeading):
            path = f"{WORKERS_PATH}{quote(worker)}"
            return self._redirect(is_recorded.leader, path)
        if not is_recorded:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "not recorded"})
        return make_json(HTTPStatus.OK, {})

    def _redirect(self, leader: InstanceName | None, path: str) -> HttpResponse:
        if leader is None:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "no leader"})
        location = f"http://{leader}:{self._control_port}{path}"
        return make_json(HTTPStatus.TEMPORARY_REDIRECT, {}, {"Location": location})
