"""Settings of a whole fleet on loopback, for trials and for tests.

``python -m rhubarbfield.testing.fleet FOLDER`` writes them for the trial that
the README describes.
"""

from __future__ import annotations

import secrets
import sys
from pathlib import Path
from typing import Any

import msgspec
import yaml

LOOPBACK = "127.0.0.1"
FIRST_PORT = 17100
PORTS_EACH = 10
VOTERS = 3
SECRET_BYTES = 24
REGION = "loopback"


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """A fleet to be written.

    Attributes
    ----------
    domains
        For each failure domain, its instances.
    first_port
        The lowest port; each instance takes ten.
    diskless
        Instances without a data folder.
    timing
        Changes to the timing section.
    """

    domains: dict[str, tuple[str, ...]]
    first_port: int = FIRST_PORT
    diskless: tuple[str, ...] = ()
    timing: dict[str, float] = {}


class InstancePlace(msgspec.Struct, frozen=True, kw_only=True):
    """One instance that was written.

    Attributes
    ----------
    name, domain
        Who it is.
    settings_file
        Its settings.
    port
        Its lowest port: callers; then announcements, entry peers, controller
        peers, workers and operators.
    """

    name: str
    domain: str
    settings_file: Path
    port: int

    @property
    def callers(self) -> str:
        """The URL for callers."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def announcements(self) -> str:
        """Where backend servers announce themselves."""
        return f"{LOOPBACK}:{self.port + 1}"

    @property
    def workers(self) -> str:
        """Where workers connect."""
        return f"{LOOPBACK}:{self.port + 4}"

    @property
    def operators(self) -> str:
        """The URL for operators."""
        return f"http://{LOOPBACK}:{self.port + 5}"


def write_fleet(folder: Path, plan: FleetPlan) -> dict[str, InstancePlace]:
    """Write the settings of each instance and the secret they share.

    Parameters
    ----------
    folder
        Where to write; data folders are made there, too.
    plan
        The fleet.

    Returns
    -------
    dict[str, InstancePlace]
        The instances by name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    secret_file = folder / "secret"
    secret_file.write_text(secrets.token_hex(SECRET_BYTES), encoding="utf-8")
    secret_file.chmod(0o600)
    places = _place_instances(folder, plan)
    for name, described in describe_fleet(plan, folder).items():
        text = yaml.safe_dump(described)
        places[name].settings_file.write_text(text, encoding="utf-8")
    return places


def describe_fleet(
    plan: FleetPlan, folder: Path = Path("/nowhere")
) -> dict[str, dict[str, Any]]:
    """Return the settings of each instance, as its file would hold them.

    Parameters
    ----------
    plan
        The fleet.
    folder
        Where the secret and the data folders would be.
    """
    places = _place_instances(folder, plan)
    fleet = _describe_instances(plan, places)
    return {
        name: _describe_instance(plan, place, fleet, folder)
        for name, place in places.items()
    }


def _place_instances(folder: Path, plan: FleetPlan) -> dict[str, InstancePlace]:
    places: dict[str, InstancePlace] = {}
    for domain, names in plan.domains.items():
        for name in names:
            places[name] = InstancePlace(
                name=name,
                domain=domain,
                settings_file=folder / f"{name}.yaml",
                port=plan.first_port + PORTS_EACH * len(places),
            )
    return places


def _describe_instances(
    plan: FleetPlan, places: dict[str, InstancePlace]
) -> dict[str, Any]:
    instances = [
        {
            "name": place.name,
            "failure_domain": place.domain,
            "region": REGION,
            "host": LOOPBACK,
            **_list_ports(place),
        }
        for place in places.values()
    ]
    for instance in instances:
        del instance["callers_port"]
    firsts = [names[0] for names in plan.domains.values()]
    return {
        "instances": instances,
        "fleet_voters": _make_odd([*firsts, *(n for n in places if n not in firsts)]),
        "domains": {
            domain: {"voters": _choose_voters(plan, domain, places)}
            for domain in plan.domains
        },
    }


def _choose_voters(
    plan: FleetPlan, domain: str, places: dict[str, InstancePlace]
) -> list[str]:
    """Return two voters inside and a witness from the next domain."""
    order = list(plan.domains)
    own = list(plan.domains[domain])[: VOTERS - 1]
    place = order.index(domain)
    others = [
        plan.domains[order[(place + step) % len(order)]][-1]
        for step in range(1, len(order))
    ]
    rest = [name for name in plan.domains[domain] if name not in own]
    return _make_odd([*own, *others, *rest])


def _make_odd(names: list[str]) -> list[str]:
    return names[:VOTERS] if len(names) >= VOTERS else names[:1]


def _list_ports(place: InstancePlace) -> dict[str, int]:
    names = (
        "callers_port",
        "announcements_port",
        "entry_peer_port",
        "controller_peer_port",
        "workers_port",
        "operators_port",
    )
    return {name: place.port + number for number, name in enumerate(names)}


def _describe_instance(
    plan: FleetPlan, place: InstancePlace, fleet: dict[str, Any], folder: Path
) -> dict[str, Any]:
    described = {
        "instance": {
            "name": place.name,
            "failure_domain": place.domain,
            "region": REGION,
        },
        "addresses": {"host": LOOPBACK, **_list_ports(place)},
        "secret_file": str(folder / "secret"),
        "fleet": fleet,
        "placement": {"profile": "lending"},
    }
    if plan.timing:
        described["timing"] = dict(plan.timing)
    if place.name not in plan.diskless:
        described["data_folder"] = str(folder / f"data-{place.name}")
    return described


def main() -> None:
    """Write the fleet of the README's trial into the folder named."""
    folder = Path(sys.argv[1])
    plan = FleetPlan(
        domains={"north": ("a1", "a2"), "south": ("b1", "b2"), "west": ("c1", "c2")},
        diskless=("a2", "b2", "c2"),
    )
    for place in write_fleet(folder, plan).values():
        print(place.name, place.domain, place.port)


if __name__ == "__main__":
    main()
