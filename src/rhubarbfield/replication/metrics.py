"""Metrics of replicas, labelled by group since a process belongs to few groups."""

from __future__ import annotations

from prometheus_client import Counter, Gauge, Histogram

SYNC_BUCKETS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0, 3.0, 10.0)

SYNC_SECONDS = Histogram(
    "rhubarbfield_replication_sync_seconds",
    "Time that the disk of a leader took to make entries durable.",
    ["group"],
    buckets=SYNC_BUCKETS,
)
STORE_SECONDS = Histogram(
    "rhubarbfield_replication_store_seconds",
    "Time that the store of a replica took, by operation, at leaders and followers.",
    ["group", "operation"],
    buckets=SYNC_BUCKETS,
)
ELECTIONS_WON = Counter(
    "rhubarbfield_replication_elections_won", "Terms that this replica led.", ["group"]
)
LEADERSHIP_LOST = Counter(
    "rhubarbfield_replication_leadership_lost", "Terms that ended.", ["group"]
)
LAG_ENTRIES = Gauge(
    "rhubarbfield_replication_lag_entries",
    "Entries that the voter furthest behind lacks, at the leader.",
    ["group"],
)
