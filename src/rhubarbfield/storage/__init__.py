"""Durable storage of replicated logs."""

from rhubarbfield.storage.file import FileStore
from rhubarbfield.storage.files import FileLayer, SystemFiles
from rhubarbfield.storage.memory import MemoryStore
from rhubarbfield.storage.records import (
    MAX_COMMAND_BYTES,
    Entry,
    EntryKind,
    HardState,
    LogPosition,
    ReplicaId,
    Snapshot,
    StoredLog,
)
from rhubarbfield.storage.store import (
    DiskFull,
    LogStore,
    StoreDamaged,
    StoreFailure,
    StoreInUse,
    SyncFailed,
)

__all__ = [
    "LogStore",
    "MemoryStore",
    "FileStore",
    "FileLayer",
    "SystemFiles",
    "StoredLog",
    "HardState",
    "Entry",
    "EntryKind",
    "LogPosition",
    "ReplicaId",
    "Snapshot",
    "StoreFailure",
    "StoreDamaged",
    "SyncFailed",
    "DiskFull",
    "StoreInUse",
    "MAX_COMMAND_BYTES",
]
