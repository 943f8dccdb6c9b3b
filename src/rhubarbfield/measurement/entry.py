"""Processor time of an entry per request, and requests per second.

``python -m rhubarbfield.measurement.entry`` serves an entry on loopback, with
callers and a stand-in backend server in a second thread, and prints a table.
The processor time is that of the entry's thread alone. The table has two rates
of requests per second: the rate that one process could reach with this
processor time, and the rate that was observed here, where both threads share
one interpreter.
"""

from __future__ import annotations

import random
import statistics
import threading
import time
from collections.abc import Sequence
from enum import StrEnum
from functools import partial

import httpx
import msgspec
import trio
from absl import flags

from rhubarbfield.backends import HttpBackends
from rhubarbfield.callers import Readiness, create_app, serve
from rhubarbfield.clock import TrioClock
from rhubarbfield.exceptions import UsageError
from rhubarbfield.measurement.commands import run_command
from rhubarbfield.measurement.fleet import LEASE
from rhubarbfield.measurement.null_ports import NoPeerEntries, NoRecords
from rhubarbfield.measurement.tables import format_spread
from rhubarbfield.routing import BackendGrant, LiveSettings, OwnedServers, Router
from rhubarbfield.testing.backend import StandInSettings, serve_backend
from rhubarbfield.types import BackendServerId, Epoch, ServiceName

SERVICE = ServiceName("board")
CONCURRENCY = 8
WARM_UP_REQUESTS = 100
MILLISECONDS_PER_SECOND = 1000
HEADERS = {"Rhubarbfield-Tenant": "casa"}


class RequestKind(StrEnum):
    """Kind of request that the callers send."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    WITH_KEY = "with-key"
    REFUSED = "refused"


class RunResult(msgspec.Struct, frozen=True):
    """Results of one run with one kind of request.

    Attributes
    ----------
    cpu_ms
        Processor time of the entry per request.
    observed_rate
        Answered requests per second.
    latency_ms
        Median latency that the callers measured.
    """

    cpu_ms: float
    observed_rate: float
    latency_ms: float


class EntryBenchmark:
    """An entry in one thread and its callers in another."""

    def __init__(self, seed: int, requests: int) -> None:
        self._seed = seed
        self._requests = requests
        self._backend_port = 0
        self._base_url = ""
        self._backend_ready = threading.Event()
        self._entry_ready = threading.Event()
        self._entry_clock = time.pthread_getcpuclockid(threading.get_ident())
        self._stopped = threading.Event()
        self.results: dict[RequestKind, RunResult] = {}

    def run(self) -> dict[RequestKind, RunResult]:
        """Measure every kind of request and return the results."""
        callers_thread = threading.Thread(
            target=trio.run, args=(self._run_callers_and_backend,)
        )
        callers_thread.start()
        self._backend_ready.wait()
        trio.run(self._run_entry)
        callers_thread.join()
        return self.results

    async def _run_entry(self) -> None:
        clock = TrioClock()
        settings = LiveSettings()
        servers = OwnedServers(clock, settings)
        backends = HttpBackends(clock, settings)
        router = Router(
            servers=servers,
            backend=backends,
            peer_entries=NoPeerEntries(),
            records=NoRecords(),
            clock=clock,
            rng=random.Random(self._seed),
            settings=settings,
        )
        readiness = Readiness()
        app = create_app(router, readiness=readiness, rng=random.Random(self._seed))
        async with trio.open_nursery() as nursery:
            await nursery.start(router.run)
            servers.grant(self._make_grant(clock)).unwrap()
            serve_app = partial(
                serve,
                stop=trio.Event(),
                readiness=readiness,
                clock=clock,
            )
            binds = await nursery.start(serve_app, app, "127.0.0.1:0")
            self._base_url = binds[0]
            self._entry_ready.set()
            await trio.to_thread.run_sync(self._stopped.wait)
            nursery.cancel_scope.cancel()

    def _make_grant(self, clock: TrioClock) -> BackendGrant:
        return BackendGrant(
            server=BackendServerId("s1"),
            service=SERVICE,
            address=f"127.0.0.1:{self._backend_port}",
            slots=CONCURRENCY,
            connections=CONCURRENCY * 8,
            epoch=Epoch(1),
            valid_until=clock.monotonic() + LEASE,
        )

    async def _run_callers_and_backend(self) -> None:
        settings = StandInSettings(
            slots=CONCURRENCY, connections=CONCURRENCY * 8, seed=self._seed
        )
        async with trio.open_nursery() as nursery:
            stand_in = await nursery.start(serve_backend, settings)
            self._backend_port = stand_in.port
            self._backend_ready.set()
            await trio.to_thread.run_sync(self._entry_ready.wait)
            for kind in RequestKind:
                await self._measure(kind, WARM_UP_REQUESTS)
                self.results[kind] = await self._measure(kind, self._requests)
            self._stopped.set()
            nursery.cancel_scope.cancel()

    async def _measure(self, kind: RequestKind, requests: int) -> RunResult:
        latencies: list[float] = []
        cpu_before = time.clock_gettime(self._entry_clock)
        started_at = time.monotonic()
        async with (
            httpx.AsyncClient(base_url=self._base_url, headers=HEADERS) as client,
            trio.open_nursery() as nursery,
        ):
            for caller in range(CONCURRENCY):
                count = requests // CONCURRENCY
                nursery.start_soon(_call, client, kind, caller, count, latencies)
        cpu = time.clock_gettime(self._entry_clock) - cpu_before
        elapsed = time.monotonic() - started_at
        return RunResult(
            cpu_ms=cpu / len(latencies) * MILLISECONDS_PER_SECOND,
            observed_rate=len(latencies) / elapsed,
            latency_ms=statistics.median(latencies) * MILLISECONDS_PER_SECOND,
        )


async def _call(
    client: httpx.AsyncClient,
    kind: RequestKind,
    caller: int,
    count: int,
    latencies: list[float],
) -> None:
    method = "GET" if kind is RequestKind.IDEMPOTENT else "POST"
    service = "nobody" if kind is RequestKind.REFUSED else SERVICE
    for number in range(count):
        headers = {}
        if kind is RequestKind.WITH_KEY:
            headers["Idempotency-Key"] = f"{caller}-{number}"
        started_at = time.monotonic()
        await client.request(method, f"/services/{service}/", headers=headers)
        latencies.append(time.monotonic() - started_at)


def main(argv: Sequence[str]) -> int:
    """Print the table for the flags in ``argv`` and return the exit code.

    Raises
    ------
    UsageError
        If a flag is unknown or has a wrong value.
    """
    values = flags.FlagValues()
    flags.DEFINE_integer("seeds", 5, "Runs of each row.", 1, flag_values=values)
    flags.DEFINE_integer("seed", 1, "The first seed.", flag_values=values)
    flags.DEFINE_integer(
        "requests", 800, "Requests of each kind a run.", CONCURRENCY, flag_values=values
    )
    try:
        values(["entry", *argv])
    except flags.Error as error:
        raise UsageError(str(error)) from error
    seeds = range(values.seed, values.seed + values.seeds)
    runs = [EntryBenchmark(seed, values.requests).run() for seed in seeds]
    print("kind           | CPU ms a request | 1/CPU a s | seen a s | p50 ms")
    for kind in RequestKind:
        results = [run[kind] for run in runs]
        cells = (
            f"{kind:14}",
            format_spread([each.cpu_ms for each in results], digits=2),
            format_spread(
                [MILLISECONDS_PER_SECOND / each.cpu_ms for each in results], digits=0
            ),
            format_spread([each.observed_rate for each in results], digits=0),
            format_spread([each.latency_ms for each in results]),
        )
        print(" | ".join(cells))
    return 0


if __name__ == "__main__":
    run_command(main)
