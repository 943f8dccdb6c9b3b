"""HTTP interface for runners and operators."""

from __future__ import annotations

import logging
from http import HTTPStatus

from quart import Quart, Response, request
from quart_trio import QuartTrio
from returns.result import Failure, Success

from rhubarbfield.groups import NotLeading, Unavailable
from rhubarbfield.platform.bodies import JSON_TYPE, make_json, read_body
from rhubarbfield.platform.wire import decode_configuration, decode_heartbeat
from rhubarbfield.scheduling.model import QueueConfiguration
from rhubarbfield.scheduling.service import Accepted, SchedulingService, VersionConflict
from rhubarbfield.types import InstanceName, WorkerId

logger = logging.getLogger(__name__)

MAX_BODY_BYTES = 4 * 1024 * 1024


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

    def register(self, app: Quart) -> None:
        """Register the routes with an app."""
        app.add_url_rule(
            "/instances/<worker>", view_func=self.handle_heartbeat, methods=["PUT"]
        )
        app.add_url_rule(
            "/instances/<worker>", view_func=self.handle_departure, methods=["DELETE"]
        )
        app.add_url_rule("/config", view_func=self.put_configuration, methods=["PUT"])
        app.add_url_rule("/config", view_func=self.get_configuration, methods=["GET"])

    async def handle_heartbeat(self, worker: str) -> Response:
        """Handle a heartbeat of a runner."""
        match decode_heartbeat(worker, await read_body()):
            case Success(heartbeat):
                is_recorded = await self._service.handle_heartbeat(heartbeat)
                return self._confirm(is_recorded)
            case Failure(reason):
                logger.warning("heartbeat-refused worker=%s reason=%s", worker, reason)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": reason})
        raise AssertionError

    async def handle_departure(self, worker: str) -> Response:
        """Handle the departure of a runner that shuts down."""
        return self._confirm(await self._service.handle_departure(WorkerId(worker)))

    async def put_configuration(self) -> Response:
        """Put a new configuration into effect."""
        if not self._service.leads():
            return self._redirect(self._service.leader_hint)
        match decode_configuration(await read_body()):
            case Success(configuration):
                return self._answer_operator(
                    await self._service.put_configuration(configuration)
                )
            case Failure(reason):
                logger.warning("configuration-refused reason=%s", reason)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": reason})
        raise AssertionError

    async def get_configuration(self) -> Response:
        """Return the current configuration."""
        match self._service.read_configuration():
            case NotLeading(leader=leader):
                return self._redirect(leader)
            case QueueConfiguration(document=document):
                return Response(document, content_type=JSON_TYPE)
        return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "none accepted"})

    def _answer_operator(
        self, reply: Accepted | VersionConflict | NotLeading | Unavailable
    ) -> Response:
        match reply:
            case Accepted():
                return make_json(HTTPStatus.OK, {})
            case VersionConflict(reason=reason):
                return make_json(HTTPStatus.CONFLICT, {"Error": reason})
            case NotLeading(leader=leader):
                return self._redirect(leader)
        return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "undecided"})

    def _confirm(self, is_recorded: bool | NotLeading) -> Response:
        if isinstance(is_recorded, NotLeading):
            return self._redirect(is_recorded.leader)
        if not is_recorded:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "not recorded"})
        return make_json(HTTPStatus.OK, {})

    def _redirect(self, leader: InstanceName | None) -> Response:
        if leader is None:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "no leader"})
        response = make_json(HTTPStatus.TEMPORARY_REDIRECT, {})
        location = f"http://{leader}:{self._control_port}{request.path}"
        response.headers["Location"] = location
        return response


def create_control_app(service: SchedulingService, control_port: int) -> Quart:
    """Return the HTTP app of a controller.

    Parameters
    ----------
    service
        Scheduling service that handles the requests.
    control_port
        Port of this interface, the same on every controller.
    """
    app = QuartTrio(__name__)
    app.config["MAX_CONTENT_LENGTH"] = MAX_BODY_BYTES
    ControlInterface(service, control_port).register(app)
    return app
