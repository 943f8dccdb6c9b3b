"""Settings of one instance, shared by its two daemons."""

from __future__ import annotations

from enum import StrEnum

from pydantic import Field, PrivateAttr

from rhubarbfield.settings.fields import (
    FilePath,
    Host,
    Name,
    Port,
    Section,
    number_field,
    optional_field,
    required_field,
)
from rhubarbfield.settings.policy import Placement, Routing, Timing


class LogLevel(StrEnum):
    """Least severe level that is logged."""

    DEBUG = "debug"
    INFO = "info"
    WARNING = "warning"
    ERROR = "error"


class Instance(Section):
    """Identity of this instance."""

    name: Name = required_field("Name of this instance, unique in the fleet.")
    failure_domain: Name = required_field("Failure domain it stands in.")
    region: Name = required_field("Region of that failure domain.")


class Addresses(Section):
    """Host and ports that this instance listens on."""

    host: Host = required_field("IP number to listen on.")
    callers_port: Port = required_field("HTTP for callers (entry).")
    announcements_port: Port = required_field(
        "Announcements of backend servers (entry)."
    )
    entry_peer_port: Port = required_field("Other processes' calls to the entry.")
    controller_peer_port: Port = required_field(
        "Other processes' calls to the controller."
    )
    workers_port: Port = required_field("Leases and reports of workers (controller).")
    operators_port: Port = required_field("HTTP for operators (controller).")


class Tls(Section):
    """TLS certificates; without them only the shared secret authenticates peers."""

    certificate_file: FilePath = required_field("Certificate of this instance, PEM.")
    key_file: FilePath = required_field("Its private key, PEM.")
    authority_file: FilePath = required_field("Authority that signed all peers, PEM.")


class FleetInstance(Section):
    """One instance of the fleet, with the addresses its peers use."""

    name: Name = required_field("Name of the instance.")
    failure_domain: Name = required_field("Failure domain it stands in.")
    region: Name = required_field("Region of that failure domain.")
    host: Host = required_field("IP number at which the others reach it.")
    entry_peer_port: Port = required_field("Its entry's port for peers.")
    controller_peer_port: Port = required_field("Its controller's port for peers.")
    announcements_port: Port = required_field("Its port for backend servers.")
    workers_port: Port = required_field("Its port for workers.")
    operators_port: Port = required_field("Its port for operators.")


class DomainMembers(Section):
    """Voting members of the log of one failure domain."""

    voters: tuple[Name, ...] = required_field("Instances that vote; an odd number.")


class Fleet(Section):
    """All instances of the fleet and the voters of each log."""

    instances: tuple[FleetInstance, ...] = required_field(
        "Every instance of the fleet."
    )
    fleet_voters: tuple[Name, ...] = required_field(
        "Instances that vote in the log of the whole fleet; an odd number."
    )
    domains: dict[Name, DomainMembers] = required_field(
        "For each failure domain, the voters of its log."
    )

    def find_instance(self, name: str) -> FleetInstance | None:
        """Return the instance called ``name``, or None."""
        return next((one for one in self.instances if one.name == name), None)


class Logging(Section):
    """Log output."""

    level: LogLevel = Field(
        default=LogLevel.INFO, description="Least severe level that is written."
    )


class Limits(Section):
    """Bounds of what clients may make a daemon hold."""

    held_requests_mb: float = number_field(
        48,
        minimum=1,
        maximum=65_536,
        description="Memory for requests and messages that are not dealt with yet.",
    )


class Settings(Section):
    """All settings of one instance."""

    instance: Instance = required_field("Who this instance is.")
    addresses: Addresses = required_field("Where it listens.")
    data_folder: FilePath | None = optional_field(
        "Folder for the state that must survive; absent on an instance without disk."
    )
    secret_file: FilePath = required_field(
        "File with the secret that peers and operators share."
    )
    tls: Tls | None = optional_field("Certificates for connections between processes.")
    fleet: Fleet = required_field("The other instances, and who votes.")
    routing: Routing = Field(default=Routing(), description="Requests of callers.")
    placement: Placement = required_field("Tasks on workers.")
    timing: Timing = Field(default=Timing(), description="Heartbeats and leases.")
    limits: Limits = Field(default=Limits(), description="What clients may take up.")
    logging: Logging = Field(default=Logging(), description="The log.")
    _source: str = PrivateAttr(default="")

    @property
    def source(self) -> str:
        """Name of the file that the settings were read from."""
        return self._source

    def with_source(self, source: str) -> Settings:
        """Return a copy of these settings with another source."""
        copy = self.model_copy()
        object.__setattr__(copy, "__pydantic_private__", {"_source": source})
        return copy
