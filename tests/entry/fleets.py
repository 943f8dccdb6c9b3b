"""A fleet in memory and helpers for tests that use it."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import trio
from returns.result import Failure, Result, Success

from rhubarbfield.entry.daemon import Entry
from rhubarbfield.language import parse
from rhubarbfield.operators import Submission
from rhubarbfield.replay.events import TracedFleet
from rhubarbfield.replay.fleet import SERVICE, MemoryFleet
from rhubarbfield.routing import BackendAnswer, CallerRequest, Refusal
from rhubarbfield.types import (
    CommandNumber,
    IdempotencyKey,
    OperatorName,
    RequestClass,
    RequestId,
    Tenant,
)
from tests.replication.determinism import run_deterministic

DOMAINS = {"north": ("n1", "n2"), "south": ("s1", "s2"), "west": ("w1", "w2")}
START_SECONDS = 15.0
TENANT = Tenant("iris")


def run_fleet(body: Callable[[MemoryFleet], Awaitable[None]], seed: int = 1) -> None:
    """Run ``body`` against a new fleet after all its processes have started."""

    async def run() -> None:
        traced = TracedFleet(
            name="test", domains=DOMAINS, workers_each=0, servers_each=1, seed=seed
        )
        async with trio.open_nursery() as nursery:
            fleet = MemoryFleet(traced, nursery)
            await fleet.start()
            await trio.sleep(START_SECONDS)
            await body(fleet)
            nursery.cancel_scope.cancel()

    run_deterministic(run, seed)


def make_request(name: str, key: str = "") -> CallerRequest:
    return CallerRequest(
        request_id=RequestId(name),
        tenant=TENANT,
        service=SERVICE,
        request_class=RequestClass.INTERACTIVE,
        method="POST" if key else "GET",
        path="/",
        timeout=timedelta(seconds=10),
        idempotent=not key,
        idempotency_key=IdempotencyKey(key) if key else None,
    )


async def route(
    fleet: MemoryFleet, entry: str, request: CallerRequest
) -> Result[BackendAnswer, Refusal]:
    """Route ``request`` inside the process of ``entry``."""
    found: Entry = fleet.entries[entry]
    results: list[Result[BackendAnswer, Refusal]] = []

    async def run() -> None:
        results.append(await found.router.route(request))

    await fleet.processes[f"entry {entry}"].run_inside(run)
    return results[0]


async def configure(fleet: MemoryFleet, controller: str, number: int, text: str) -> str:
    """Submit a command; return ``accepted``, ``declined`` or the kind of failure."""
    statement: Any = parse(text).unwrap()
    submission = Submission(
        operator=OperatorName("ana"),
        number=CommandNumber(number),
        text=text,
        statement=statement,
    )
    match await fleet.controllers[controller].operators.command(submission):
        case Success(record):
            return "accepted" if record.accepted else "declined"
        case Failure(failure):
            return failure.kind.value
    raise AssertionError


def isolate_domain(fleet: MemoryFleet, domain: str) -> None:
    """Cut the network between a failure domain and all others."""
    others = [host for name in DOMAINS if name != domain for host in fleet.hosts[name]]
    for inside in fleet.hosts[domain]:
        for outside in others:
            fleet.network.cut(inside, outside)
            fleet.network.cut(outside, inside)


def find_owner(fleet: MemoryFleet, server: str) -> tuple[str, int]:
    """Return a backend server's owner and epoch according to its domain's log."""
    domain = server.split("-")[1]
    logs = [
        fleet.controllers[name]._domain_log
        for name in DOMAINS[domain]
        if name in fleet.controllers
    ]
    log = max(logs, key=lambda log: log.position)
    found = log.state.ownership.servers[server]  # type: ignore[index]
    return str(found.owner), found.epoch
