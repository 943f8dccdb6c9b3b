"""Settings of the decisions: routing, placing and timing."""

from __future__ import annotations

from enum import StrEnum

from rhubarbfield.settings.fields import (
    Duration,
    Section,
    amount,
    optional,
    required,
    seconds,
)


class PlacementProfile(StrEnum):
    """What a deployment weighs most."""

    LENDING = "lending"
    CONSORTIUM = "consortium"


class Routing(Section):
    """How callers' requests are queued, sent and retried."""

    default_request: Duration = seconds(
        "default_request_seconds",
        5,
        least=0.01,
        most=600,
        about="Deadline of a request whose caller states none.",
    )
    longest_request: Duration = seconds(
        "longest_request_seconds",
        60,
        least=0.1,
        most=3600,
        about="Longest deadline that a caller may state.",
    )
    longest_queue_requests: int = amount(
        256,
        least=1,
        most=100_000,
        about="Requests of one class that may wait in one entry.",
    )
    largest_request_mb: float = amount(
        1, least=0.001, most=64, about="Largest body of a request."
    )
    largest_answer_mb: float = amount(
        8, least=0.001, most=64, about="Largest answer held before it is sent on."
    )
    retry_budget_fraction: float = amount(
        0.1, least=0, most=1, about="Retries allowed for each answered request."
    )
    ejection_failures: int = amount(
        5, least=1, most=1000, about="Failures in a row that eject a backend server."
    )
    ejection: Duration = seconds(
        "ejection_seconds",
        10,
        least=0.1,
        most=3600,
        about="How long an ejected backend server gets no requests.",
    )
    largest_ejected_fraction: float = amount(
        0.3, least=0, most=0.9, about="Share of a service that may be ejected at once."
    )
    slow_start: Duration = seconds(
        "slow_start_seconds",
        10,
        least=0,
        most=600,
        about="How long a new backend server takes to get its full share.",
    )


class Weights(Section):
    """What placing a task costs, by what it harms; only ratios matter."""

    tail_latency: float = amount(
        1, least=0, most=100, about="Weight of predicted harm to tail latency."
    )
    throughput: float = amount(
        1, least=0, most=100, about="Weight of batch work finished later."
    )
    evictions: float = amount(
        1, least=0, most=100, about="Weight of an eviction and its redone work."
    )


PROFILE_WEIGHTS = {
    PlacementProfile.LENDING: Weights(tail_latency=6, throughput=1, evictions=1),
    PlacementProfile.CONSORTIUM: Weights(tail_latency=1, throughput=3, evictions=3),
}


class Placement(Section):
    """How tasks are placed on workers."""

    profile: PlacementProfile = required(
        "Which deployment's weights to start from: lending or consortium."
    )
    weights: Weights | None = optional("Weights to use in place of the profile's.")
    memory_quantile: float = amount(
        0.95, least=0.5, most=0.999, about="Quantile of reported memory to commit."
    )
    estimate_margin_fraction: float = amount(
        0.2, least=0, most=2, about="Margin above an estimated size."
    )
    most_failed_attempts: int = amount(
        3, least=1, most=100, about="Failed attempts on distinct workers end a task."
    )
    quarantine_failures: int = amount(
        5, least=1, most=1000, about="Failed starts in a row quarantine a worker."
    )
    quarantine_probe: Duration = seconds(
        "quarantine_probe_seconds",
        60,
        least=1,
        most=86_400,
        about="Time between probes of a quarantined worker.",
    )
    largest_quarantined_fraction: float = amount(
        0.3,
        least=0,
        most=0.9,
        about="Share of workers quarantined without an operator.",
    )

    @property
    def effective_weights(self) -> Weights:
        """The stated weights, or those of the profile."""
        return self.weights or PROFILE_WEIGHTS[self.profile]


class Timing(Section):
    """Heartbeats, leases and stops."""

    heartbeat: Duration = seconds(
        "heartbeat_seconds",
        0.5,
        least=0.05,
        most=30,
        about="Time between heartbeats on every long-lived stream.",
    )
    silence: Duration = seconds(
        "silence_seconds",
        2,
        least=0.1,
        most=120,
        about="Silence after which a stream is replaced by a new one.",
    )
    election_timeout: Duration = seconds(
        "election_timeout_seconds",
        1.5,
        least=0.1,
        most=60,
        about="Silence of a leader after which voters elect another.",
    )
    leader_lease: Duration = seconds(
        "leader_lease_seconds",
        1.2,
        least=0.1,
        most=60,
        about="How long a leader trusts its last contact with a quorum.",
    )
    backend_server_lease: Duration = seconds(
        "backend_server_lease_seconds",
        3,
        least=0.2,
        most=120,
        about="How long an entry owns a backend server without renewal.",
    )
    worker_lease: Duration = seconds(
        "worker_lease_seconds",
        10,
        least=0.5,
        most=600,
        about="How long a worker runs its tasks without renewal.",
    )
    drift_fraction: float = amount(
        0.02, least=0, most=0.2, about="How far two clocks' rates may differ."
    )
    readiness_off: Duration = seconds(
        "readiness_off_seconds",
        3,
        least=0,
        most=120,
        about="How long a stopping entry goes on accepting after readiness is off.",
    )
    longest_stop: Duration = seconds(
        "longest_stop_seconds",
        60,
        least=1,
        most=3600,
        about="Deadline of a graceful shutdown.",
    )
    snapshot_commands: int = amount(
        1000, least=10, most=1_000_000, about="Commands between snapshots of a log."
    )
