"""The settings of one instance, as both of its daemons read them."""

from __future__ import annotations

from enum import StrEnum

from pydantic import Field, PrivateAttr

from rhubarbfield.settings.fields import (
    FilePath,
    Host,
    Name,
    Port,
    Section,
    optional,
    required,
)
from rhubarbfield.settings.policy import Placement, Routing, Timing


class LogLevel(StrEnum):
    """How much is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Instance(Section):
    """Who this instance is."""

    name: Name = required("Name of this instance, unique in the fleet.")
    failure_domain: Name = required("Failure domain it stands in.")
    region: Name = required("Region of that failure domain.")


class Addresses(Section):
    """Where this instance listens."""

    host: Host = required("IP number to listen on.")
    callers_port: Port = required("HTTP for callers (entry).")
    announcements_port: Port = required("Announcements of backend servers (entry).")
    entry_peer_port: Port = required("Other processes' calls to the entry.")
    controller_peer_port: Port = required("Other processes' calls to the controller.")
    workers_port: Port = required("Leases and reports of workers (controller).")
    operators_port: Port = required("HTTP for operators (controller).")


class Tls(Section):
    """Certificates; absent, peers are known by the shared secret alone."""

    certificate_file: FilePath = required("Certificate of this instance, PEM.")
    key_file: FilePath = required("Its private key, PEM.")
    authority_file: FilePath = required("Authority that signed all peers, PEM.")


class FleetInstance(Section):
    """One instance as the others reach it."""

    name: Name = required("Name of the instance.")
    failure_domain: Name = required("Failure domain it stands in.")
    region: Name = required("Region of that failure domain.")
    host: Host = required("IP number at which the others reach it.")
    entry_peer_port: Port = required("Its entry's port for peers.")
    controller_peer_port: Port = required("Its controller's port for peers.")
    announcements_port: Port = required("Its port for backend servers.")
    workers_port: Port = required("Its port for workers.")
    operators_port: Port = required("Its port for operators.")


class DomainMembers(Section):
    """Who votes in the log of one failure domain."""

    voters: tuple[Name, ...] = required("Instances that vote; an odd number.")


class Fleet(Section):
    """All instances, and who votes in which log."""

    instances: tuple[FleetInstance, ...] = required("Every instance of the fleet.")
    fleet_voters: tuple[Name, ...] = required(
        "Instances that vote in the log of the whole fleet; an odd number."
    )
    domains: dict[Name, DomainMembers] = required(
        "For each failure domain, the voters of its log."
    )

    def find_instance(self, name: str) -> FleetInstance | None:
        """Return the instance of that name, if there is one."""
        return next((one for one in self.instances if one.name == name), None)


class Logging(Section):
    """What is written to the log."""

    level: LogLevel = Field(
        default=LogLevel.INFO, description="Least severe level that is written."
    )


class Settings(Section):
    """Everything that one instance is told."""

    instance: Instance = required("Who this instance is.")
    addresses: Addresses = required("Where it listens.")
    data_folder: FilePath | None = optional(
        "Folder for the state that must survive; absent on an instance without disk."
    )
    secret_file: FilePath = required(
        "File with the secret that peers and operators share."
    )
    tls: Tls | None = optional("Certificates for connections between processes.")
    fleet: Fleet = required("The other instances, and who votes.")
    routing: Routing = Field(default=Routing(), description="Requests of callers.")
    placement: Placement = required("Tasks on workers.")
    timing: Timing = Field(default=Timing(), description="Heartbeats and leases.")
    logging: Logging = Field(default=Logging(), description="The log.")
    _source: str = PrivateAttr(default="")

    @property
    def source(self) -> str:
        """Where the settings were read from."""
        return self._source

    def with_source(self, source: str) -> Settings:
        """Return the same settings, read from ``source``."""
        copy = self.model_copy()
        object.__setattr__(copy, "__pydantic_private__", {"_source": source})
        return copy
