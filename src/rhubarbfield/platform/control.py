"""The HTTP interface of runners and of the operator."""

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
    """Answers runners and the operator on behalf of one controller.

    Parameters
    ----------
    service
        What answers.
    control_port
        The port of this interface on every controller.
    """

    def __init__(self, service: SchedulingService, control_port: int) -> None:
        self._service = service
        self._control_port = control_port

    def register(self, app: Quart) -> None:
        """Add the calls to an app."""
        app.add_url_rule(
            "/instances/<worker>", view_func=self.take_heartbeat, methods=["PUT"]
        )
        app.add_url_rule(
            "/instances/<worker>", view_func=self.take_leave, methods=["DELETE"]
        )
        app.add_url_rule("/config", view_func=self.put_configuration, methods=["PUT"])
        app.add_url_rule("/config", view_func=self.get_configuration, methods=["GET"])

    async def take_heartbeat(self, worker: str) -> Response:
        """Take in a runner's report about itself."""
        if not self._service.leads():
            return self._redirect(self._service.leader_hint)
        match decode_heartbeat(worker, await read_body()):
            case Success(beat):
                taken = await self._service.handle_heartbeat(beat)
                return self._confirm(taken)
            case Failure(complaint):
                logger.warning(
                    "heartbeat-refused worker=%s reason=%s", worker, complaint
                )
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": complaint})
        raise AssertionError

    async def take_leave(self, worker: str) -> Response:
        """Take in that a runner ends."""
        return self._confirm(await self._service.handle_departure(WorkerId(worker)))

    async def put_configuration(self) -> Response:
        """Put a configuration in force."""
        if not self._service.leads():
            return self._redirect(self._service.leader_hint)
        match decode_configuration(await read_body()):
            case Success(configuration):
                return self._answer_operator(
                    await self._service.put_configuration(configuration)
                )
            case Failure(complaint):
                logger.warning("configuration-refused reason=%s", complaint)
                return make_json(HTTPStatus.BAD_REQUEST, {"Error": complaint})
        raise AssertionError

    async def get_configuration(self) -> Response:
        """Return the configuration in force."""
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

    def _confirm(self, taken: bool | NotLeading) -> Response:
        if isinstance(taken, NotLeading):
            return self._redirect(taken.leader)
        if not taken:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "not recorded"})
        return make_json(HTTPStatus.OK, {})

    def _redirect(self, leader: InstanceName | None) -> Response:
        if leader is None:
            return make_json(HTTPStatus.SERVICE_UNAVAILABLE, {"Error": "no leader"})
        response = make_json(HTTPStatus.TEMPORARY_REDIRECT, {})
        place = f"http://{leader}:{self._control_port}{request.path}"
        response.headers["Location"] = place
        return response


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
    ControlInterface(service, control_port).register(app)
    return app
