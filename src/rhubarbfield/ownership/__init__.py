"""Ownership of backend servers as replicated state.

At most one entry may send requests to a backend server. The log of the
failure domain records which entry that is; the entry may send only while it
holds a valid lease.
"""

from rhubarbfield.ownership import appliers as _appliers  # registers the commands
from rhubarbfield.ownership.commands import (
    OWNERSHIP_REPLIES,
    AssignServer,
    EndEntrySession,
    ForgetServer,
    OpenEntrySession,
    OwnedElsewhere,
    OwnershipEndProof,
    ReassignServer,
    ReleaseServer,
    ServerAssigned,
    SessionEpoch,
    SetServerState,
    SettleServer,
    StaleEpoch,
    UpdateServer,
    ownership_commands,
)
from rhubarbfield.ownership.directory import (
    DirectoryEntry,
    list_directory,
    plan_claim,
)
from rhubarbfield.ownership.state import (
    EntrySession,
    OwnedServer,
    OwnershipState,
    ServerDescription,
)

del _appliers

__all__ = [
    "OwnershipState",
    "OwnedServer",
    "ServerDescription",
    "EntrySession",
    "ownership_commands",
    "OWNERSHIP_REPLIES",
    "OpenEntrySession",
    "EndEntrySession",
    "AssignServer",
    "ReassignServer",
    "ReleaseServer",
    "ForgetServer",
    "SetServerState",
    "SettleServer",
    "UpdateServer",
    "OwnershipEndProof",
    "SessionEpoch",
    "ServerAssigned",
    "OwnedElsewhere",
    "StaleEpoch",
    "DirectoryEntry",
    "list_directory",
    "plan_claim",
]
