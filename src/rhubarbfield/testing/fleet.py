"""Settings files of a fleet on loopback, for trials and tests.

``python -m rhubarbfield.testing.fleet FOLDER`` writes those of the trial that
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
PORTS_PER_INSTANCE = 10
MAX_VOTERS = 3
SECRET_BYTES = 24
REGION = "loopback"


class FleetPlan(msgspec.Struct, frozen=True, kw_only=True):
    """Instances of a fleet and what differs from the defaults in their settings.

    Attributes
    ----------
    domains
        Names of the instances of each failure domain.
    first_port
        Lowest port of the fleet; each instance takes ten.
    diskless
        Instances without a data folder.
    timing
        Contents of the timing section.
    """

    domains: dict[str, tuple[str, ...]]
    first_port: int = FIRST_PORT
    diskless: tuple[str, ...] = ()
    timing: dict[str, float] = {}


class FleetInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance of a fleet, with its settings file and ports.

    Attributes
    ----------
    name, domain
        Name and failure domain of the instance.
    settings_file
        Path of its settings file.
    port
        Its lowest port, for callers; the next ones are for announcements, entry
        peers, controller peers, workers and operators, in this order.
    """

    name: str
    domain: str
    settings_file: Path
    port: int

    @property
    def callers(self) -> str:
        """URL for callers."""
        return f"http://{LOOPBACK}:{self.port}"

    @property
    def announcements(self) -> str:
        """Address to which backend servers announce themselves."""
        return f"{LOOPBACK}:{self.port + 1}"

    @property
    def workers(self) -> str:
        """Address to which workers connect."""
        return f"{LOOPBACK}:{self.port + 4}"

    @property
    def operators(self) -> str:
        """URL for operators."""
        return f"http://{LOOPBACK}:{self.port + 5}"


def write_fleet(folder: Path, plan: FleetPlan) -> dict[str, FleetInstance]:
    """Write the settings file of each instance and the secret that they share.

    Parameters
    ----------
    folder
        Folder to write to; the data folders are in it, too.
    plan
        The fleet.

    Returns
    -------
    dict[str, FleetInstance]
        Instances by name.
    """
    folder.mkdir(parents=True, exist_ok=True)
    secret_file = folder / "secret"
    secret_file.write_text(secrets.token_hex(SECRET_BYTES), encoding="utf-8")
    secret_file.chmod(0o600)
    instances = _assign_ports(folder, plan)
    for name, described in describe_fleet(plan, folder).items():
        text = yaml.safe_dump(described)
        instances[name].settings_file.write_text(text, encoding="utf-8")
    return instances


def describe_fleet(
    plan: FleetPlan, folder: Path = Path("/nowhere")
) -> dict[str, dict[str, Any]]:
    """Return the contents of each instance's settings file, by name.

    Parameters
    ----------
    plan
        The fleet.
    folder
        Folder of the secret and the data folders; nothing is written to it.
    """
    instances = _assign_ports(folder, plan)
    fleet = _describe_fleet_section(plan, instances)
    return {
        name: _describe_instance(plan, instance, fleet, folder)
        for name, instance in instances.items()
    }


def _assign_ports(folder: Path, plan: FleetPlan) -> dict[str, FleetInstance]:
    instances: dict[str, FleetInstance] = {}
    for domain, names in plan.domains.items():
        for name in names:
            instances[name] = FleetInstance(
                name=name,
                domain=domain,
                settings_file=folder / f"{name}.yaml",
                port=plan.first_port + PORTS_PER_INSTANCE * len(instances),
            )
    return instances


def _describe_fleet_section(
    plan: FleetPlan, instances: dict[str, FleetInstance]
) -> dict[str, Any]:
    listed = [
        {
            "name": instance.name,
            "failure_domain": instance.domain,
            "region": REGION,
            "host": LOOPBACK,
            **_list_ports(instance),
        }
        for instance in instances.values()
    ]
    for described in listed:
        del described["callers_port"]
    firsts = [names[0] for names in plan.domains.values()]
    return {
        "instances": listed,
        "fleet_voters": _make_odd(
            [*firsts, *(name for name in instances if name not in firsts)]
        ),
        "domains": {
            domain: {"voters": _choose_voters(plan, domain, instances)}
            for domain in plan.domains
        },
    }


def _choose_voters(
    plan: FleetPlan, domain: str, instances: dict[str, FleetInstance]
) -> list[str]:
    """Return two voters of the domain and a witness of the next domain.

    If these are too few, instances of further domains and then of the domain
    itself are added.
    """
    order = list(plan.domains)
    own = list(plan.domains[domain])[: MAX_VOTERS - 1]
    position = order.index(domain)
    others = [
        plan.domains[order[(position + step) % len(order)]][-1]
        for step in range(1, len(order))
    ]
    rest = [name for name in plan.domains[domain] if name not in own]
    return _make_odd([*own, *others, *rest])


def _make_odd(names: list[str]) -> list[str]:
    return names[:MAX_VOTERS] if len(names) >= MAX_VOTERS else names[:1]


def _list_ports(instance: FleetInstance) -> dict[str, int]:
    names = (
        "callers_port",
        "announcements_port",
        "entry_peer_port",
        "controller_peer_port",
        "workers_port",
        "operators_port",
    )
    return {name: instance.port + number for number, name in enumerate(names)}


def _describe_instance(
    plan: FleetPlan, instance: FleetInstance, fleet: dict[str, Any], folder: Path
) -> dict[str, Any]:
    described = {
        "instance": {
            "name": instance.name,
            "failure_domain": instance.domain,
            "region": REGION,
        },
        "addresses": {"host": LOOPBACK, **_list_ports(instance)},
        "secret_file": str(folder / "secret"),
        "fleet": fleet,
        "placement": {"profile": "lending"},
    }
    if plan.timing:
        described["timing"] = dict(plan.timing)
    if instance.name not in plan.diskless:
        described["data_folder"] = str(folder / f"data-{instance.name}")
    return described


def main() -> None:
    """Write the fleet of the README's trial to the folder in the first argument."""
    folder = Path(sys.argv[1])
    plan = FleetPlan(
        domains={"north": ("a1", "a2"), "south": ("b1", "b2"), "west": ("c1", "c2")},
        diskless=("a2", "b2", "c2"),
    )
    for instance in write_fleet(folder, plan).values():
        print(instance.name, instance.domain, instance.port)


if __name__ == "__main__":
    main()
