"""Names of the members of a fleet, and validation of the names in a trace."""

from __future__ import annotations

from collections.abc import Iterator

from rhubarbfield.replay.events import (
    AnyEvent,
    Ask,
    Burst,
    CheckJob,
    Command,
    Cut,
    FailEverything,
    Freeze,
    Kill,
    Leave,
    LoseDisk,
    Reset,
    Silence,
    Start,
    TracedFleet,
)


def list_workers(fleet: TracedFleet) -> list[str]:
    """Return the names of all workers."""
    return [
        f"w-{domain}-{n}" for domain in fleet.domains for n in range(fleet.workers_each)
    ]


def list_servers(fleet: TracedFleet) -> list[str]:
    """Return the names of all backend servers."""
    return [
        f"s-{domain}-{n}" for domain in fleet.domains for n in range(fleet.servers_each)
    ]


def list_instances(fleet: TracedFleet) -> list[str]:
    """Return the names of all instances."""
    return [name for names in fleet.domains.values() for name in names]


def find_fleet_error(fleet: TracedFleet) -> str:
    """Return the first error in a fleet description, or an empty string."""
    instances = list_instances(fleet)
    if not all(fleet.domains.values()) or not instances:
        return "each failure domain needs an instance - at `$.domains`"
    if len(set(instances)) < len(instances) or set(instances) & set(fleet.domains):
        return "a name stands twice - at `$.domains`"
    if not set(fleet.diskless) <= set(instances):
        return "an instance is unknown - at `$.diskless`"
    if all(set(names) <= set(fleet.diskless) for names in fleet.domains.values()):
        return "some instance needs a disk - at `$.diskless`"
    return ""


def find_unknown_name(fleet: TracedFleet, event: AnyEvent) -> str:
    """Return an error if an event names an unknown member, or an empty string."""
    for field, name, known in _iterate_names(fleet, event):
        if name not in known:
            return f"{name!r} is unknown - at `$.{field}`"
    return ""


def _iterate_names(
    fleet: TracedFleet, event: AnyEvent
) -> Iterator[tuple[str, str, list[str]]]:
    instances = list_instances(fleet)
    workers = list_workers(fleet)
    match event:
        case Ask() | Burst():
            yield "entry", event.entry, instances
        case Command() | CheckJob():
            yield "controller", event.controller, instances
        case Kill() | Start():
            yield "process", event.process, _list_processes(fleet)
        case LoseDisk():
            yield "instance", event.instance, instances
        case FailEverything() | Freeze():
            yield "worker", event.worker, workers
        case Leave():
            yield "server", event.server, list_servers(fleet)
        case Cut() | Silence() | Reset():
            yield from _iterate_hosts(fleet, event)


def _iterate_hosts(
    fleet: TracedFleet, event: Cut | Silence | Reset
) -> Iterator[tuple[str, str, list[str]]]:
    hosts = [*list_instances(fleet), *list_workers(fleet), *list_servers(fleet)]
    if isinstance(event, Silence | Reset):
        yield "one", event.one, hosts
        yield "other", event.other, hosts
        return
    for name in event.sources:
        yield "sources", name, [*hosts, *fleet.domains]
    for name in event.targets:
        yield "targets", name, [*hosts, *fleet.domains]


def _list_processes(fleet: TracedFleet) -> list[str]:
    instances = list_instances(fleet)
    return [
        *(f"controller {name}" for name in instances),
        *(f"entry {name}" for name in instances),
        *(f"worker {name}" for name in list_workers(fleet)),
    ]
