"""A stand-in for a backend server, with its own counts of requests.

It answers every request with a small JSON document after a random time.
Requests below ``/-/`` that don't come through an entry control it:

- ``GET /-/observations`` returns its counts;
- ``POST /-/misbehave`` with ``{"misbehaviour": "hang"}`` selects a misbehaviour;
- ``POST /-/leave`` changes its state to ``leaving``.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Sequence
from datetime import timedelta

import msgspec
import trio
from absl import flags
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from rhubarbfield.exceptions import UsageError
from rhubarbfield.routing.requests import DispatchId
from rhubarbfield.testing.observations import (
    MisbehaveOrder,
    Misbehaviour,
    Observations,
    StandInSettings,
)
from rhubarbfield.testing.relay import Relay, RelayMode
from rhubarbfield.types import BackendServerState, RequestId, ServiceName

NOT_RUN_HEADERS = {"Rhubarbfield-Outcome": "not-run"}
SLOW_FACTOR = 10
KEEP_ALIVE_SECONDS = 60
LISTEN_BACKLOG = 512
LOOPBACK = "127.0.0.1"
_logger = logging.getLogger(__name__)


class StandInBackend:
    """State of one stand-in backend server.

    Parameters
    ----------
    settings
        Service, limits and answer times.

    Attributes
    ----------
    running_ids
        Dispatches in progress.
    state
        State that the server announces.
    port
        Port on loopback; 0 until the server listens.
    """

    def __init__(self, settings: StandInSettings) -> None:
        self.settings = settings
        self.state = BackendServerState.SERVING
        self.misbehaviour = Misbehaviour.NONE
        self.running_ids: set[DispatchId] = set()
        self.port = 0
        self.relay: Relay | None = None
        self._observations = Observations()
        self._newest_epoch = 0
        self._rng = random.Random(settings.seed)
        self._nursery: trio.Nursery | None = None

    def observe(self) -> Observations:
        """Return the counts so far."""
        if self.relay is not None:
            self._observations.connections = self.relay.open
            self._observations.most_connections = self.relay.most_open
            self._observations.over_connections = self.relay.over_limit
        return self._observations

    def misbehave(self, misbehaviour: Misbehaviour) -> None:
        """Select how the server misbehaves from now on."""
        self.misbehaviour = misbehaviour
        modes = {
            Misbehaviour.CUT_SHORT: RelayMode.CUT_ANSWERS,
            Misbehaviour.SILENT: RelayMode.SILENT,
        }
        if self.relay is not None:
            self.relay.mode = modes.get(misbehaviour, RelayMode.PASS)

    def use_nursery(self, nursery: trio.Nursery) -> None:
        """Run requests in ``nursery``, so that they continue without a connection."""
        self._nursery = nursery

    async def answer(self) -> Response:
        """Answer the current request of the app."""
        headers = request.headers
        request_id = RequestId(headers.get("Rhubarbfield-Request-Id", ""))
        if self._is_stale(headers.get("Rhubarbfield-Epoch", "")):
            self._observations.stale_epochs += 1
            return _refuse("a newer owner was seen")
        if self.misbehaviour is Misbehaviour.REFUSE:
            return _refuse("told to refuse")
        if self.state is BackendServerState.LEAVING:
            return _refuse("leaving")
        if self._observations.running >= self.settings.slots:
            self._observations.over_slots += 1
            return _refuse("no slot is free")
        self._count_run(request_id)
        dispatch_id = DispatchId(headers.get("Rhubarbfield-Dispatch-Id", request_id))
        await self._run_in_background(dispatch_id)
        if self.misbehaviour is Misbehaviour.ERROR:
            return Response("told to fail\n", status=500)
        body = {"request_id": request_id, "service": self.settings.service}
        return _answer_json(body, {"Rhubarbfield-Request-Id": request_id})

    async def _run_in_background(self, dispatch_id: DispatchId) -> None:
        assert self._nursery is not None
        finished = trio.Event()
        self._observations.running += 1
        self._observations.most_running = max(
            self._observations.most_running, self._observations.running
        )
        self.running_ids.add(dispatch_id)
        self._nursery.start_soon(self._work, dispatch_id, finished)
        await finished.wait()

    async def _work(self, dispatch_id: DispatchId, finished: trio.Event) -> None:
        seconds = self._draw_duration_seconds()
        longest = self.settings.longest_timeout.total_seconds()
        if self.misbehaviour is Misbehaviour.HANG:
            seconds = longest
        await trio.sleep(min(seconds, longest))
        self._observations.running -= 1
        self.running_ids.discard(dispatch_id)
        finished.set()

    def _draw_duration_seconds(self) -> float:
        mean = self.settings.mean_latency.total_seconds()
        spread = self.settings.spread
        if self.misbehaviour is Misbehaviour.SLOW:
            mean *= SLOW_FACTOR
        if not mean:
            return 0.0
        return self._rng.lognormvariate(math.log(mean) - spread**2 / 2, spread)

    def _is_stale(self, epoch: str) -> bool:
        if not epoch.isdecimal():
            return False
        stale = int(epoch) < self._newest_epoch
        self._newest_epoch = max(self._newest_epoch, int(epoch))
        return stale

    def _count_run(self, request_id: RequestId) -> None:
        runs = self._observations.runs_by_request
        runs[request_id] = runs.get(request_id, 0) + 1
        key = request.headers.get("Idempotency-Key")
        if key is not None:
            tenant = request.headers.get("Rhubarbfield-Tenant", "")
            name = f"{tenant}/{key}"
            keys = self._observations.runs_by_key
            keys[name] = keys.get(name, 0) + 1


def _answer_json(body: object, headers: dict[str, str] | None = None) -> Response:
    return Response(
        msgspec.json.encode(body), content_type="application/json", headers=headers
    )


def _refuse(reason: str) -> Response:
    return Response(reason + "\n", status=503, headers=NOT_RUN_HEADERS)


def make_app(stand_in: StandInBackend) -> QuartTrio:
    """Return the HTTP app of ``stand_in``."""
    app = QuartTrio(__name__)

    @app.get("/-/observations")
    async def show_observations() -> Response:
        if _is_routed():
            return await stand_in.answer()
        return _answer_json(stand_in.observe())

    @app.post("/-/misbehave")
    async def change_behaviour() -> Response:
        if _is_routed():
            return await stand_in.answer()
        try:
            order = msgspec.json.decode(await request.get_data(), type=MisbehaveOrder)
        except msgspec.DecodeError as error:
            return Response(f"{error}\n", status=400)
        stand_in.misbehave(order.misbehaviour)
        return _answer_json(order)

    @app.post("/-/leave")
    async def leave() -> Response:
        if _is_routed():
            return await stand_in.answer()
        stand_in.state = BackendServerState.LEAVING
        return _answer_json(stand_in.state)

    methods = ["GET", "POST", "PUT", "PATCH", "DELETE"]

    @app.route("/", methods=methods, defaults={"path": ""})
    @app.route("/<path:path>", methods=methods)
    async def answer(path: str) -> Response:
        return await stand_in.answer()

    return app


def _is_routed() -> bool:
    return "Rhubarbfield-Request-Id" in request.headers


async def serve_backend(
    settings: StandInSettings,
    port: int = 0,
    *,
    task_status: trio.TaskStatus[StandInBackend] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve a stand-in on loopback until cancelled.

    Parameters
    ----------
    settings
        Service, limits and answer times.
    port
        Port to listen on; 0 takes any free port.
    task_status
        Receives the stand-in once it listens.
    """
    stand_in = StandInBackend(settings)
    config = Config()
    config.bind = [f"{LOOPBACK}:0"]
    config.keep_alive_timeout = KEEP_ALIVE_SECONDS
    config.loglevel = "WARNING"
    async with trio.open_nursery() as nursery:
        stand_in.use_nursery(nursery)
        app = make_app(stand_in)
        binds = await nursery.start(serve, app, config)
        upstream_port = int(binds[0].rpartition(":")[2])
        stand_in.relay = Relay(settings.connections, upstream_port)
        listeners = await trio.open_tcp_listeners(
            port, host=LOOPBACK, backlog=LISTEN_BACKLOG
        )
        stand_in.port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, stand_in.relay.handle, listeners)
        _logger.info("stand-in backend server listens on port %d", stand_in.port)
        task_status.started(stand_in)


def main(argv: Sequence[str]) -> int:
    """Serve a stand-in configured by the flags in ``argv``; return the exit code.

    Raises
    ------
    UsageError
        If a flag is unknown or its value is invalid.
    """
    values = flags.FlagValues()
    flags.DEFINE_integer("port", 0, "Port to listen on.", flag_values=values)
    flags.DEFINE_string("service", "board", "Service name.", flag_values=values)
    flags.DEFINE_integer("slots", 8, "Request slots.", 1, flag_values=values)
    flags.DEFINE_integer("connections", 64, "Connection limit.", 1, flag_values=values)
    flags.DEFINE_float("mean_ms", 20, "Mean time of an answer.", 0, flag_values=values)
    flags.DEFINE_float("spread", 0.5, "Spread of answer times.", 0, flag_values=values)
    flags.DEFINE_integer("seed", 0, "Seed of answer times.", flag_values=values)
    try:
        values(["backend", *argv])
    except flags.Error as error:
        raise UsageError(str(error)) from error
    settings = StandInSettings(
        service=ServiceName(values.service),
        slots=values.slots,
        connections=values.connections,
        mean_latency=timedelta(milliseconds=values.mean_ms),
        spread=values.spread,
        seed=values.seed,
    )
    try:
        trio.run(serve_backend, settings, values.port)
    except KeyboardInterrupt:
        _logger.info("stopped")
    return 0
