"""Settings for routing, placement and timing."""

from __future__ import annotations

from enum import StrEnum

from rhubarbfield.settings.fields import (
    Duration,
    Section,
    duration_field,
    number_field,
    optional_field,
    required_field,
)


class PlacementProfile(StrEnum):
    """Deployment kind that selects the default placement weights."""

    LENDING = "lending"
    CONSORTIUM = "consortium"


class Routing(Section):
    """How requests of callers are queued, sent and retried."""

    default_request: Duration = duration_field(
        "default_request_seconds",
        5,
        minimum=0.01,
        maximum=600,
        description="Deadline of a request whose caller states none.",
    )
    longest_request: Duration = duration_field(
        "longest_request_seconds",
        60,
        minimum=0.1,
        maximum=3600,
        description="Longest deadline that a caller may state.",
    )
    longest_queue_requests: int = number_field(
        256,
        minimum=1,
        maximum=100_000,
        description="Requests of one class that may wait in one entry.",
    )
    largest_request_mb: float = number_field(
        1, minimum=0.001, maximum=64, description="Largest body of a request."
    )
    largest_answer_mb: float = number_field(
        8,
        minimum=0.001,
        maximum=64,
        description="Largest answer held before it is sent on.",
    )
    retry_budget_fraction: float = number_field(
        0.1,
        minimum=0,
        maximum=1,
        description="Retries allowed for each answered request.",
    )
    ejection_failures: int = number_field(
        5,
        minimum=1,
        maximum=1000,
        description="Failures in a row that eject a backend server.",
    )
    ejection: Duration = duration_field(
        "ejection_seconds",
        10,
        minimum=0.1,
        maximum=3600,
        description="How long an ejected backend server gets no requests.",
    )
    largest_ejected_fraction: float = number_field(
        0.3,
        minimum=0,
        maximum=0.9,
        description="Share of a service that may be ejected at once.",
    )
    slow_start: Duration = duration_field(
        "slow_start_seconds",
        10,
        minimum=0,
        maximum=600,
        description="How long a new backend server takes to get its full share.",
    )


class Weights(Section):
    """Weights of the costs of placing a task; only their ratios matter."""

    tail_latency: float = number_field(
        1,
        minimum=0,
        maximum=100,
        description="Weight of predicted harm to tail latency.",
    )
    throughput: float = number_field(
        1, minimum=0, maximum=100, description="Weight of batch work finished later."
    )
    evictions: float = number_field(
        1,
        minimum=0,
        maximum=100,
        description="Weight of an eviction and its redone work.",
    )


PROFILE_WEIGHTS = {
    PlacementProfile.LENDING: Weights(tail_latency=6, throughput=1, evictions=1),
    PlacementProfile.CONSORTIUM: Weights(tail_latency=1, throughput=3, evictions=3),
}


class Placement(Section):
    """How tasks are placed on workers."""

    profile: PlacementProfile = required_field(
        "Which deployment's weights to start from: lending or consortium."
    )
    weights: Weights | None = optional_field(
        "Weights to use in place of the profile's."
    )
    memory_quantile: float = number_field(
        0.95,
        minimum=0.5,
        maximum=0.999,
        description="Quantile of reported memory to commit.",
    )
    estimate_margin_fraction: float = number_field(
        0.2, minimum=0, maximum=2, description="Margin above an estimated size."
    )
    most_failed_attempts: int = number_field(
        3,
        minimum=1,
        maximum=100,
        description="Failed attempts on distinct workers end a task.",
    )
    quarantine_failures: int = number_field(
        5,
        minimum=1,
        maximum=1000,
        description="Failed starts in a row quarantine a worker.",
    )
    quarantine_probe: Duration = duration_field(
        "quarantine_probe_seconds",
        60,
        minimum=1,
        maximum=86_400,
        description="Time between probes of a quarantined worker.",
    )
    largest_quarantined_fraction: float = number_field(
        0.3,
        minimum=0,
        maximum=0.9,
        description="Share of workers quarantined without an operator.",
    )

    @property
    def effective_weights(self) -> Weights:
        """The configured weights, or the default weights of the profile."""
        return self.weights or PROFILE_WEIGHTS[self.profile]


class Timing(Section):
    """Heartbeats, leases and shutdown."""

    heartbeat: Duration = duration_field(
        "heartbeat_seconds",
        0.5,
        minimum=0.05,
        maximum=30,
        description="Time between heartbeats on every long-lived stream.",
    )
    silence: Duration = duration_field(
        "silence_seconds",
        2,
        minimum=0.1,
        maximum=120,
        description="Silence after which a stream is replaced by a new one.",
    )
    election_timeout: Duration = duration_field(
        "election_timeout_seconds",
        1.5,
        minimum=0.1,
        maximum=60,
        description="Silence of a leader after which voters elect another.",
    )
    leader_lease: Duration = duration_field(
        "leader_lease_seconds",
        1.2,
        minimum=0.1,
        maximum=60,
        description="How long a leader trusts its last contact with a quorum.",
    )
    backend_server_lease: Duration = duration_field(
        "backend_server_lease_seconds",
        3,
        minimum=0.2,
        maximum=120,
        description="How long an entry owns a backend server without renewal.",
    )
    worker_lease: Duration = duration_field(
        "worker_lease_seconds",
        10,
        minimum=0.5,
        maximum=600,
        description="How long a worker runs its tasks without renewal.",
    )
    drift_fraction: float = number_field(
        0.02,
        minimum=0,
        maximum=0.2,
        description="How far two clocks' rates may differ.",
    )
    readiness_off: Duration = duration_field(
        "readiness_off_seconds",
        3,
        minimum=0,
        maximum=120,
        description=(
            "How long a stopping entry goes on accepting after readiness is off."
        ),
    )
    longest_stop: Duration = duration_field(
        "longest_stop_seconds",
        60,
        minimum=1,
        maximum=3600,
        description="Deadline of a graceful shutdown.",
    )
    snapshot_commands: int = number_field(
        1000,
        minimum=10,
        maximum=1_000_000,
        description="Commands between snapshots of a log.",
    )
