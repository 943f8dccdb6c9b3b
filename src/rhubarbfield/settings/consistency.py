"""Checks of the settings that involve more than one key."""

from __future__ import annotations

import difflib
from collections.abc import Iterator, Sequence

import msgspec

from rhubarbfield.settings.document import Path
from rhubarbfield.settings.model import FleetInstance, Settings

PORT_KEYS = (
    "entry_peer_port",
    "controller_peer_port",
    "announcements_port",
    "workers_port",
    "operators_port",
)
MIN_HEARTBEATS_PER_INTERVAL = 2  # in the silence timeout and server and worker leases


class Inconsistency(msgspec.Struct, frozen=True):
    """A value that is well formed but conflicts with other settings.

    Attributes
    ----------
    path
        Path of the key to change.
    seen
        The value found, as text.
    allowed
        What the value has to agree with, as a sentence part.
    """

    path: Path
    seen: str
    allowed: str


def check_consistency(settings: Settings) -> list[Inconsistency]:
    """Return every conflict between keys of ``settings``."""
    return [
        *_check_own_instance(settings),
        *_check_own_port_conflicts(settings),
        *_check_instances(settings.fleet.instances),
        *_check_regions(settings.fleet.instances),
        *_check_fleet_voters(settings),
        *_check_domains(settings),
        *_check_routing(settings),
        *_check_timing(settings),
    ]


def _check_own_instance(settings: Settings) -> Iterator[Inconsistency]:
    own = settings.instance
    listed = settings.fleet.find_instance(own.name)
    if listed is None:
        allowed = "has to be one of fleet.instances"
        yield Inconsistency(("instance", "name"), own.name, allowed)
        return
    for key in ("failure_domain", "region"):
        expected = getattr(listed, key)
        if getattr(own, key) != expected:
            allowed = f"fleet.instances says {expected} for {own.name}"
            yield Inconsistency(("instance", key), getattr(own, key), allowed)
    for key in PORT_KEYS:
        expected = getattr(listed, key)
        seen = getattr(settings.addresses, key)
        if seen != expected:
            allowed = f"fleet.instances says {expected} for {own.name}"
            yield Inconsistency(("addresses", key), str(seen), allowed)


def _check_own_port_conflicts(settings: Settings) -> Iterator[Inconsistency]:
    used: dict[int, str] = {}
    for key in ("callers_port", *PORT_KEYS):
        port = getattr(settings.addresses, key)
        if port in used:
            allowed = f"addresses.{used[port]} has this port already"
            yield Inconsistency(("addresses", key), str(port), allowed)
        used.setdefault(port, key)


def _check_instances(instances: Sequence[FleetInstance]) -> Iterator[Inconsistency]:
    names: set[str] = set()
    used: dict[str, str] = {}
    for index, instance in enumerate(instances):
        path: Path = ("fleet", "instances", index)
        if instance.name in names:
            allowed = "another instance has this name already"
            yield Inconsistency((*path, "name"), instance.name, allowed)
        names.add(instance.name)
        for key in PORT_KEYS:
            address = f"{instance.host} port {getattr(instance, key)}"
            owner = f"{instance.name} {key}"
            if used.setdefault(address, owner) != owner:
                allowed = f"{used[address]} has this address already"
                yield Inconsistency((*path, key), address, allowed)


def _check_regions(instances: Sequence[FleetInstance]) -> Iterator[Inconsistency]:
    regions: dict[str, str] = {}
    for index, instance in enumerate(instances):
        region = regions.setdefault(instance.failure_domain, instance.region)
        if region != instance.region:
            path: Path = ("fleet", "instances", index, "region")
            allowed = (
                f"{instance.failure_domain} is in region {region}"
                " in an earlier instance"
            )
            yield Inconsistency(path, instance.region, allowed)


def _check_voters(
    path: Path, voters: Sequence[str], known: Sequence[str]
) -> Iterator[Inconsistency]:
    if len(voters) % 2 == 0:
        allowed = "has to name an odd number of voters"
        yield Inconsistency(path, f"{len(voters)} voters", allowed)
    for index, name in enumerate(voters):
        if name in voters[:index]:
            yield Inconsistency((*path, index), name, "is named twice")
        if name not in known:
            nearest = difflib.get_close_matches(name, known, n=1)
            hint = f"; did you mean {nearest[0]}?" if nearest else ""
            allowed = f"has to be one of fleet.instances{hint}"
            yield Inconsistency((*path, index), name, allowed)


def _check_fleet_voters(settings: Settings) -> Iterator[Inconsistency]:
    known = [instance.name for instance in settings.fleet.instances]
    path: Path = ("fleet", "fleet_voters")
    yield from _check_voters(path, settings.fleet.fleet_voters, known)


def _check_domains(settings: Settings) -> Iterator[Inconsistency]:
    fleet = settings.fleet
    known = [instance.name for instance in fleet.instances]
    domains = {instance.failure_domain for instance in fleet.instances}
    for domain, members in fleet.domains.items():
        path: Path = ("fleet", "domains", domain)
        if domain not in domains:
            yield Inconsistency(path, domain, "no instance is in this failure domain")
        yield from _check_voters((*path, "voters"), members.voters, known)
        yield from _check_voter_locations(settings, domain, members.voters)
    for domain in sorted(domains - set(fleet.domains)):
        yield Inconsistency(("fleet", "domains"), "", f"{domain} is missing")


def _check_voter_locations(
    settings: Settings, domain: str, voters: Sequence[str]
) -> Iterator[Inconsistency]:
    found = [settings.fleet.find_instance(name) for name in voters]
    known = [instance for instance in found if instance is not None]
    inside = [instance for instance in known if instance.failure_domain == domain]
    path: Path = ("fleet", "domains", domain, "voters")
    if known and not inside:
        yield Inconsistency(path, "", f"has to name a voter in {domain} itself")
        return
    for index, instance in enumerate(found):
        if instance is not None and inside and instance.region != inside[0].region:
            allowed = f"has to be in region {inside[0].region}, as {domain} is"
            yield Inconsistency((*path, index), instance.name, allowed)


def _check_routing(settings: Settings) -> Iterator[Inconsistency]:
    routing = settings.routing
    if routing.default_request > routing.longest_request:
        seen = f"{routing.default_request.total_seconds():g}"
        allowed = "has to be at most longest_request_seconds"
        yield Inconsistency(("routing", "default_request_seconds"), seen, allowed)


def _check_timing(settings: Settings) -> Iterator[Inconsistency]:
    timing = settings.timing
    if timing.silence < MIN_HEARTBEATS_PER_INTERVAL * timing.heartbeat:
        seen = f"{timing.silence.total_seconds():g}"
        allowed = f"has to be at least {MIN_HEARTBEATS_PER_INTERVAL} heartbeats"
        yield Inconsistency(("timing", "silence_seconds"), seen, allowed)
    if timing.leader_lease * (1 + timing.drift_fraction) > timing.election_timeout:
        seen = f"{timing.leader_lease.total_seconds():g}"
        allowed = "has to end before election_timeout_seconds, including clock drift"
        yield Inconsistency(("timing", "leader_lease_seconds"), seen, allowed)
    for key in ("backend_server_lease", "worker_lease"):
        lease = getattr(timing, key)
        if lease < MIN_HEARTBEATS_PER_INTERVAL * timing.heartbeat:
            seen = f"{lease.total_seconds():g}"
            allowed = f"has to be at least {MIN_HEARTBEATS_PER_INTERVAL} heartbeats"
            yield Inconsistency(("timing", f"{key}_seconds"), seen, allowed)
    if timing.readiness_off > timing.longest_stop:
        seen = f"{timing.readiness_off.total_seconds():g}"
        allowed = "has to be at most longest_stop_seconds"
        yield Inconsistency(("timing", "readiness_off_seconds"), seen, allowed)
