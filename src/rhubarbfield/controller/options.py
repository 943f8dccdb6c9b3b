"""Settings of a controller's components, derived from those of its instance."""

from __future__ import annotations

from datetime import timedelta

from rhubarbfield.leases import LeaseTerms
from rhubarbfield.placement import PlacementSettings, Profile, Weights, choose_settings
from rhubarbfield.replication import GroupSettings
from rhubarbfield.settings import Placement, Timing
from rhubarbfield.workers import WorkerSessionSettings

HEARTBEATS_PER_LEASE = 3
ELECTION_TIMEOUT_SPREAD = 1.5
RENEWALS_PER_LEASE = 3
MAX_MISSED_RENEWALS = 3


def make_group_settings(timing: Timing) -> GroupSettings:
    """Return the settings of replication groups."""
    drift = timing.drift_fraction
    min_election = timing.leader_lease * ((1 + drift) / (1 - drift))
    election = max(timing.election_timeout, min_election)
    return GroupSettings(
        heartbeat=timing.leader_lease // HEARTBEATS_PER_LEASE,
        lease=timing.leader_lease,
        election_min=election,
        election_max=election * ELECTION_TIMEOUT_SPREAD,
        clock_drift=drift,
        snapshot_after=timing.snapshot_commands,
        kept_entries=timing.snapshot_commands // 2,
    )


def make_entry_lease_terms(timing: Timing) -> LeaseTerms:
    """Return the terms of the lease of an entry's session."""
    return LeaseTerms(duration=timing.backend_server_lease, drift=timing.drift_fraction)


def make_worker_settings(timing: Timing) -> WorkerSessionSettings:
    """Return the settings of workers' sessions."""
    renew = timing.worker_lease / RENEWALS_PER_LEASE
    silence_limit = max(renew * MAX_MISSED_RENEWALS, timedelta(seconds=1))
    return WorkerSessionSettings(
        lease=LeaseTerms(duration=timing.worker_lease, drift=timing.drift_fraction),
        renew_interval=renew,
        silence_timeout=silence_limit,
    )


def make_placement_settings(placement: Placement) -> PlacementSettings:
    """Return the settings of the placement policy."""
    base = choose_settings(Profile(placement.profile.value))
    if placement.weights is None:
        return base
    weights = Weights(
        tail_latency=placement.weights.tail_latency,
        throughput=placement.weights.throughput,
        eviction=placement.weights.evictions,
    )
    return PlacementSettings(
        weights=weights,
        latency_ceiling=base.latency_ceiling,
        throttle_above=base.throttle_above,
        evict_above=base.evict_above,
    )
