"""Messages, bytes and processor time of sessions at steady state.

``python -m rhubarbfield.measurement.sessions`` prints a table. The sessions
are those of the program; their clients send the same messages repeatedly, so
that nearly all of the processor time is spent in the sessions. Time is virtual.
Processor time is that of this process; it includes the in-memory streams, but
no network transport.
"""

from __future__ import annotations

import argparse
import statistics
import time
from collections.abc import Awaitable, Callable
from datetime import UTC, datetime, timedelta

import msgspec
import trio
import trio.testing

from rhubarbfield.announcements import (
    Announce,
    AnnouncementSessions,
    AnnouncementSettings,
    FromBackendServer,
    Heartbeat,
    ToBackendServer,
)
from rhubarbfield.clock import TrioClock
from rhubarbfield.ownership import OwnershipState
from rhubarbfield.testing.ownership import MemoryOwnership, RecordingGrantSink
from rhubarbfield.testing.streams import MemoryStream, memory_stream_pair
from rhubarbfield.testing.worklog import ControllerLog, MemoryWorkLog
from rhubarbfield.types import (
    AttemptId,
    BackendServerId,
    Epoch,
    FailureDomain,
    Incarnation,
    InstanceName,
    RackName,
    ServiceName,
    WorkerId,
)
from rhubarbfield.workers import (
    AttemptUsage,
    FromWorker,
    LatencySample,
    RenewLease,
    Resources,
    SessionOpened,
    ToWorker,
    UsageReport,
    WorkerHello,
    WorkerSessions,
    WorkerSessionSettings,
)

SIZES = (10, 50, 113)
ROUNDS = 3
ATTEMPTS_PER_WORKER = 30
MEASURED_TIME = timedelta(minutes=2)
MICROSECONDS_PER_SECOND = 1_000_000
ENTRY = InstanceName("entry-north-1")
WORKER_SETTINGS = WorkerSessionSettings()
SERVER_SETTINGS = AnnouncementSettings()

Scenario = Callable[[trio.Nursery, int], Awaitable[list[MemoryStream]]]


class RunResult(msgspec.Struct, frozen=True, kw_only=True):
    """Results of one run.

    Attributes
    ----------
    messages_in, messages_out
        Messages to and from the program, per session and second.
    bytes_in, bytes_out
        Size of these messages as JSON, per session and second.
    cpu_share
        Processor time of all sessions together, as a fraction of one core.
    cpu_per_message
        Processor time per message, in either direction.
    """

    messages_in: float
    messages_out: float
    bytes_in: float
    bytes_out: float
    cpu_share: float
    cpu_per_message: timedelta


class _DiscardedObservations:
    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        pass


async def open_workers(nursery: trio.Nursery, count: int) -> list[MemoryStream]:
    """Open ``count`` worker sessions and return the workers' streams.

    Parameters
    ----------
    nursery
        Nursery that runs the sessions and the workers.
    count
        Number of workers.
    """
    sessions = WorkerSessions(
        WORKER_SETTINGS,
        clock=TrioClock(),
        log=ControllerLog(MemoryWorkLog()),
        observations=_DiscardedObservations(),
    )
    nursery.start_soon(sessions.sweep)
    streams = []
    for number in range(count):
        client_stream, program_stream = memory_stream_pair(ToWorker, FromWorker)
        nursery.start_soon(sessions.serve, program_stream)
        await client_stream.send(_make_hello(f"worker-{number:03d}"))
        opened = await client_stream.receive()
        assert isinstance(opened, SessionOpened)
        renewal = RenewLease(number=10_000, epoch=opened.epoch)
        nursery.start_soon(
            _repeat, client_stream, renewal, WORKER_SETTINGS.renew_interval
        )
        usage_interval = WORKER_SETTINGS.choose_usage_interval(count)
        nursery.start_soon(_repeat, client_stream, _make_usage(), usage_interval)
        nursery.start_soon(_discard_all, client_stream)
        streams.append(client_stream)
    return streams


async def open_servers(nursery: trio.Nursery, count: int) -> list[MemoryStream]:
    """Open ``count`` sessions of backend servers and return the servers' streams.

    Parameters
    ----------
    nursery
        Nursery that runs the sessions and the backend servers.
    count
        Number of backend servers.
    """
    sessions = AnnouncementSessions(
        SERVER_SETTINGS,
        entry=ENTRY,
        clock=TrioClock(),
        ownership=MemoryOwnership(OwnershipState(), ENTRY),
        sink=RecordingGrantSink(),
    )
    nursery.start_soon(sessions.watch)
    streams = []
    for number in range(count):
        client_stream, program_stream = memory_stream_pair(
            ToBackendServer, FromBackendServer
        )
        nursery.start_soon(sessions.serve, program_stream)
        await client_stream.send(_make_announce(f"runner-{number:03d}"))
        nursery.start_soon(_discard_all, client_stream)
        streams.append(client_stream)
    await trio.sleep(SERVER_SETTINGS.heartbeat_interval.total_seconds() / 2)
    heartbeat = Heartbeat(number=10_000, running=5)
    interval = SERVER_SETTINGS.choose_heartbeat_interval(count)
    for stream in streams:
        nursery.start_soon(_repeat, stream, heartbeat, interval)
    return streams


def measure(open_sessions: Scenario, count: int) -> RunResult:
    """Run ``count`` sessions at steady state and return the results.

    Parameters
    ----------
    open_sessions
        Function that opens the sessions.
    count
        Number of sessions.
    """

    async def run() -> RunResult:
        async with trio.open_nursery() as nursery:
            streams = await open_sessions(nursery, count)
            await trio.sleep(MEASURED_TIME.total_seconds() / 10)
            before, cpu_before = _read_counters(streams), time.process_time()
            await trio.sleep(MEASURED_TIME.total_seconds())
            spent, after = time.process_time() - cpu_before, _read_counters(streams)
            nursery.cancel_scope.cancel()
        return _make_result([b - a for a, b in zip(before, after, strict=True)], spent)

    def _make_result(counted: list[int], spent: float) -> RunResult:
        seconds = MEASURED_TIME.total_seconds()
        each = [number / count / seconds for number in counted]
        return RunResult(
            messages_in=each[0],
            messages_out=each[1],
            bytes_in=each[2],
            bytes_out=each[3],
            cpu_share=spent / seconds,
            cpu_per_message=timedelta(seconds=spent / (counted[0] + counted[1])),
        )

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def print_table(rounds: int) -> None:
    """Measure each number of sessions and print the medians.

    Parameters
    ----------
    rounds
        Number of runs for each number of sessions.
    """
    print(
        f"{'sessions of':<16}{'count':>6}{'msg/s in':>10}{'out':>7}"
        f"{'B/s in':>9}{'out':>7}{'core':>8}{'us/msg':>8}  least-most"
    )
    for name, scenario in (
        ("workers", open_workers),
        ("backend servers", open_servers),
    ):
        for count in SIZES:
            runs = [measure(scenario, count) for _ in range(rounds)]
            print(_format_row(name, count, runs))


def main() -> None:
    """Run the measurement with the arguments of the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    print_table(parser.parse_args().rounds)


def _format_row(name: str, count: int, runs: list[RunResult]) -> str:
    costs = [
        run.cpu_per_message.total_seconds() * MICROSECONDS_PER_SECOND for run in runs
    ]
    share = statistics.median(run.cpu_share for run in runs)
    one = runs[0]
    return (
        f"{name:<16}{count:>6}{one.messages_in:>10.2f}{one.messages_out:>7.2f}"
        f"{one.bytes_in:>9.0f}{one.bytes_out:>7.0f}{share:>8.2%}"
        f"{statistics.median(costs):>8.0f}  {min(costs):.0f}-{max(costs):.0f}"
    )


def _read_counters(streams: list[MemoryStream]) -> list[int]:
    return [
        sum(stream.outgoing.messages for stream in streams),
        sum(stream.incoming.messages for stream in streams),
        sum(stream.outgoing.octets for stream in streams),
        sum(stream.incoming.octets for stream in streams),
    ]


async def _repeat(
    stream: MemoryStream, message: msgspec.Struct, interval: timedelta
) -> None:
    data = msgspec.json.encode(message)
    while await stream.outgoing.send(data):
        await trio.sleep(interval.total_seconds())


async def _discard_all(stream: MemoryStream) -> None:
    while await stream.incoming.receive() is not None:
        pass


def _make_hello(worker: str) -> WorkerHello:
    return WorkerHello(
        worker=WorkerId(worker),
        rack=RackName("rack-1"),
        domain=FailureDomain("north"),
        incarnation=Incarnation("0123456789abcdef"),
        number=1,
        capacity=Resources(cores=32, memory_mb=125_000),
    )


def _make_usage() -> UsageReport:
    return UsageReport(
        taken_at=datetime(2026, 1, 1, tzinfo=UTC),
        attempts=tuple(
            AttemptUsage(
                attempt=AttemptId(f"catalogue-{number:05d}-1"),
                cores=0.873,
                memory_mb=2048,
                progress=0.4375,
            )
            for number in range(ATTEMPTS_PER_WORKER)
        ),
        services=(
            LatencySample(
                service=ServiceName("sample-board"),
                requests=1200,
                median_ms=21.5,
                tail_ms=180.25,
            ),
        ),
    )


def _make_announce(server: str) -> Announce:
    return Announce(
        number=1,
        server=BackendServerId(server),
        service=ServiceName("sample-board"),
        incarnation=Incarnation("0123456789abcdef"),
        host="10.20.30.40",
        port=9000,
        slots=8,
        connections=64,
    )


if __name__ == "__main__":
    main()
