"""Messages, octets and processor time of sessions at steady state.

``python -m rhubarbfield.measurement.sessions`` prints a table. The sessions
are those of the program; their other ends send the same words again and
again, so that nearly all of the processor time is that of the sessions. Time
is virtual; processor time is that of this process, streams in memory
included, transport over a network not.
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
ATTEMPTS_EACH = 30
LENGTH = timedelta(minutes=2)
MICROSECONDS = 1_000_000
ENTRY = InstanceName("entry-north-1")
WORKER_SETTINGS = WorkerSessionSettings()
SERVER_SETTINGS = AnnouncementSettings()

Scenario = Callable[[trio.Nursery, int], Awaitable[list[MemoryStream]]]


class Figures(msgspec.Struct, frozen=True, kw_only=True):
    """What one run gave, for each session and second unless said otherwise.

    Attributes
    ----------
    messages_in, messages_out
        Messages to and from the program.
    octets_in, octets_out
        Their size as JSON.
    cpu_share
        Processor time of all sessions together, as a part of one core.
    cpu_message
        Processor time for each message, in either direction.
    """

    messages_in: float
    messages_out: float
    octets_in: float
    octets_out: float
    cpu_share: float
    cpu_message: timedelta


class _Discard:
    def observe(self, worker: WorkerId, session: Epoch, report: UsageReport) -> None:
        pass


async def open_workers(nursery: trio.Nursery, count: int) -> list[MemoryStream]:
    """Open ``count`` sessions of workers and return the workers' ends.

    Parameters
    ----------
    nursery
        Where both ends run.
    count
        How many workers.
    """
    sessions = WorkerSessions(
        WORKER_SETTINGS,
        clock=TrioClock(),
        log=ControllerLog(MemoryWorkLog()),
        observations=_Discard(),
    )
    nursery.start_soon(sessions.sweep)
    streams = []
    for number in range(count):
        mine, theirs = memory_stream_pair(ToWorker, FromWorker)
        nursery.start_soon(sessions.serve, theirs)
        await mine.send(_make_hello(f"worker-{number:03d}"))
        opened = await mine.receive()
        assert isinstance(opened, SessionOpened)
        renewal = RenewLease(number=10_000, epoch=opened.epoch)
        nursery.start_soon(_repeat, mine, renewal, WORKER_SETTINGS.renew_interval)
        usage_interval = WORKER_SETTINGS.choose_usage_interval(count)
        nursery.start_soon(_repeat, mine, _make_usage(), usage_interval)
        nursery.start_soon(_discard_all, mine)
        streams.append(mine)
    return streams


async def open_servers(nursery: trio.Nursery, count: int) -> list[MemoryStream]:
    """Open ``count`` sessions of backend servers and return the servers' ends.

    Parameters
    ----------
    nursery
        Where both ends run.
    count
        How many backend servers.
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
        mine, theirs = memory_stream_pair(ToBackendServer, FromBackendServer)
        nursery.start_soon(sessions.serve, theirs)
        await mine.send(_make_announce(f"runner-{number:03d}"))
        nursery.start_soon(_discard_all, mine)
        streams.append(mine)
    await trio.sleep(SERVER_SETTINGS.heartbeat_interval.total_seconds() / 2)
    heartbeat = Heartbeat(number=10_000, running=5)
    interval = SERVER_SETTINGS.choose_heartbeat_interval(count)
    for stream in streams:
        nursery.start_soon(_repeat, stream, heartbeat, interval)
    return streams


def measure(open_sessions: Scenario, count: int) -> Figures:
    """Run ``count`` sessions at steady state and return what it took.

    Parameters
    ----------
    open_sessions
        Opens the sessions.
    count
        How many.
    """

    async def run() -> Figures:
        async with trio.open_nursery() as nursery:
            streams = await open_sessions(nursery, count)
            await trio.sleep(LENGTH.total_seconds() / 10)
            before, began = _count(streams), time.process_time()
            await trio.sleep(LENGTH.total_seconds())
            spent, after = time.process_time() - began, _count(streams)
            nursery.cancel_scope.cancel()
        return _divide([b - a for a, b in zip(before, after, strict=True)], spent)

    def _divide(counted: list[int], spent: float) -> Figures:
        seconds = LENGTH.total_seconds()
        each = [number / count / seconds for number in counted]
        return Figures(
            messages_in=each[0],
            messages_out=each[1],
            octets_in=each[2],
            octets_out=each[3],
            cpu_share=spent / seconds,
            cpu_message=timedelta(seconds=spent / (counted[0] + counted[1])),
        )

    return trio.run(run, clock=trio.testing.MockClock(autojump_threshold=0))


def print_table(rounds: int) -> None:
    """Measure at each size and print the medians.

    Parameters
    ----------
    rounds
        How often each size is measured.
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
    """Measure as the command line says."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    print_table(parser.parse_args().rounds)


def _format_row(name: str, count: int, runs: list[Figures]) -> str:
    costs = [run.cpu_message.total_seconds() * MICROSECONDS for run in runs]
    share = statistics.median(run.cpu_share for run in runs)
    one = runs[0]
    return (
        f"{name:<16}{count:>6}{one.messages_in:>10.2f}{one.messages_out:>7.2f}"
        f"{one.octets_in:>9.0f}{one.octets_out:>7.0f}{share:>8.2%}"
        f"{statistics.median(costs):>8.0f}  {min(costs):.0f}-{max(costs):.0f}"
    )


def _count(streams: list[MemoryStream]) -> list[int]:
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
            for number in range(ATTEMPTS_EACH)
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
