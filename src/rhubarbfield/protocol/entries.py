"""Stream between each entry and the leader of its failure domain."""

from __future__ import annotations

import msgspec

from rhubarbfield.fleet import Configuration
from rhubarbfield.leases import Lease
from rhubarbfield.ownership import DirectoryEntry
from rhubarbfield.peering import StreamMethod
from rhubarbfield.types import (
    BackendServerId,
    ConfigurationVersion,
    Epoch,
    FailureDomain,
    Incarnation,
    InstanceName,
)


class EntryMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the messages on this stream."""


class EntryHello(EntryMessage, frozen=True):
    """Opens the session of an entry.

    Attributes
    ----------
    entry, incarnation
        Name of the entry and incarnation of its process.
    domain
        Failure domain of the entry; controllers of other domains refuse it.
    address
        ``host:port`` at which the entry accepts announcements.
    number
        Number of the lease request that this message makes.
    configuration
        Version of the configuration in effect at the entry.
    """

    entry: InstanceName
    incarnation: Incarnation
    domain: FailureDomain
    address: str
    number: int
    configuration: ConfigurationVersion


class RenewEntry(EntryMessage, frozen=True):
    """Asks to extend the lease of an entry, which covers all its backend servers.

    Attributes
    ----------
    number, epoch
        Number of the request and epoch of the session.
    configuration
        Version of the configuration in effect at the entry.
    """

    number: int
    epoch: Epoch
    configuration: ConfigurationVersion


class EntryOpened(EntryMessage, frozen=True):
    """Confirms that the session is open, and grants its first lease."""

    lease: Lease


class EntryLease(EntryMessage, frozen=True):
    """Reply to a request to extend the lease."""

    lease: Lease


class EntryRefused(EntryMessage, frozen=True):
    """Reports that this controller can't open or keep the session.

    Attributes
    ----------
    leader
        Leader of the domain, if another instance is known to lead.
    reason
        Human-readable reason for the log.
    """

    leader: InstanceName | None
    reason: str


class DirectoryUpdate(EntryMessage, frozen=True):
    """Changes to the domain's backend servers since the previous update.

    Attributes
    ----------
    changed
        New and changed backend servers.
    removed
        Backend servers that were removed from the directory.
    """

    changed: tuple[DirectoryEntry, ...]
    removed: tuple[BackendServerId, ...] = ()


class ConfigurationUpdate(EntryMessage, frozen=True):
    """The complete accepted configuration."""

    configuration: Configuration


ENTRY_STREAM = StreamMethod(
    "/rhubarbfield.Controller/Entry",
    EntryHello | RenewEntry,
    EntryOpened | EntryLease | EntryRefused | DirectoryUpdate | ConfigurationUpdate,
)
