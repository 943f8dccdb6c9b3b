"""The stream that each entry keeps to the leader of its failure domain."""

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
        The entry, and which of its processes.
    domain
        Its failure domain; a controller of another one refuses it.
    address
        ``host:port`` at which it takes announcements.
    number
        The number of the lease request that this message is.
    configuration
        The version of the configuration in force at the entry.
    """

    entry: InstanceName
    incarnation: Incarnation
    domain: FailureDomain
    address: str
    number: int
    configuration: ConfigurationVersion


class RenewEntry(EntryMessage, frozen=True):
    """Asks to extend the entry's lease, for all its backend servers at once.

    Attributes
    ----------
    number, epoch
        The number of the request, and the session's epoch.
    configuration
        The version of the configuration in force at the entry.
    """

    number: int
    epoch: Epoch
    configuration: ConfigurationVersion


class EntryOpened(EntryMessage, frozen=True):
    """The session is open, and its first lease is granted."""

    lease: Lease


class EntryLease(EntryMessage, frozen=True):
    """Answers a request to extend the lease."""

    lease: Lease


class EntryRefused(EntryMessage, frozen=True):
    """The session can't be open here now.

    Attributes
    ----------
    leader
        Who leads the domain, if it is another and known.
    reason
        A sentence for the log.
    """

    leader: InstanceName | None
    reason: str


class DirectoryUpdate(EntryMessage, frozen=True):
    """What changed among the domain's backend servers since the last update.

    Attributes
    ----------
    changed
        New or changed ones.
    removed
        Forgotten ones.
    """

    changed: tuple[DirectoryEntry, ...]
    removed: tuple[BackendServerId, ...] = ()


class ConfigurationUpdate(EntryMessage, frozen=True):
    """The accepted configuration, whole."""

    configuration: Configuration


ENTRY_STREAM = StreamMethod(
    "/rhubarbfield.Controller/Entry",
    EntryHello | RenewEntry,
    EntryOpened | EntryLease | EntryRefused | DirectoryUpdate | ConfigurationUpdate,
)
