"""Settings of a replicated group."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.exceptions import UsageError
from rhubarbfield.storage import MAX_COMMAND_BYTES

MIN_HEARTBEATS_IN_LEASE = 3
MAX_CLOCK_DRIFT = 0.25
MAX_BATCH_ENTRIES = 4096
MAX_BATCH_BYTES = 512 * 1024
MIB = 1024 * 1024


class GroupSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Settings that are the same on all replicas of a group.

    Attributes
    ----------
    heartbeat
        Interval between a leader's heartbeats to each peer.
    lease
        Time after answering a leader during which a voter refuses to vote for
        any other replica.
    election_min, election_max
        Bounds of the random election timeout.
    clock_drift
        Largest relative error of any clock's rate.
    snapshot_after
        Number of entries applied between two snapshots.
    snapshot_bytes
        Bytes of entries applied between two snapshots, if that is reached first; where
        the last snapshot is larger, as many bytes as it has.
    kept_entries, kept_bytes
        Number and bytes of the entries kept before a snapshot, so that a replica that
        lags slightly needs no snapshot.
    batch_bytes, batch_entries
        Size limits of the entries in one message.
    batches_in_flight
        Maximum number of unacknowledged messages with entries per peer.
    append_interval
        Shortest time from the leader's append of proposals to the next one; those
        that arrive meanwhile share a message to each peer, and a sync.
    max_pending
        Maximum number of unfinished proposals at a leader.
    max_pending_bytes
        Maximum bytes of proposals that are not committed at a leader.
    propose_timeout
        Time within which a proposal must be committed.
    max_learners
        Maximum number of learners of a group.
    replace_after
        Time without contact after which a caught-up learner replaces a voter;
        None leaves replacement to operators.
    wanted_voters
        Number of voters up to which learners are promoted; 0 leaves promotion
        to operators.

    Raises
    ------
    UsageError
        If the settings contradict each other.
    """

    heartbeat: timedelta = timedelta(milliseconds=400)
    lease: timedelta = timedelta(milliseconds=1600)
    election_min: timedelta = timedelta(seconds=2)
    election_max: timedelta = timedelta(seconds=3)
    clock_drift: float = 0.05
    snapshot_after: int = 1000
    snapshot_bytes: int = 8 * MIB
    kept_entries: int = 500
    kept_bytes: int = 4 * MIB
    batch_bytes: int = 256 * 1024
    batch_entries: int = 512
    batches_in_flight: int = 4
    append_interval: timedelta = timedelta()
    max_pending: int = 4096
    max_pending_bytes: int = 8 * MIB
    propose_timeout: timedelta = timedelta(seconds=5)
    max_learners: int = 64
    replace_after: timedelta | None = None
    wanted_voters: int = 0

    def __post_init__(self) -> None:
        """Check that the settings are consistent."""
        for holds, message in self._list_rules():
            if not holds:
                raise UsageError(message)

    def _list_rules(self) -> tuple[tuple[bool, str], ...]:
        counts = (
            self.snapshot_after,
            self.snapshot_bytes,
            self.batch_entries,
            self.batches_in_flight,
            self.max_pending,
        )
        return (
            (self.heartbeat > timedelta(), "heartbeat must be above zero"),
            (
                self.lease >= MIN_HEARTBEATS_IN_LEASE * self.heartbeat,
                f"lease must be at least {MIN_HEARTBEATS_IN_LEASE} heartbeats",
            ),
            (
                0 <= self.clock_drift <= MAX_CLOCK_DRIFT,
                f"clock_drift must be between 0 and {MAX_CLOCK_DRIFT}",
            ),
            (
                self.election_min * (1 - self.clock_drift)
                >= self.lease * (1 + self.clock_drift),
                "election_min must exceed lease by the clock drift",
            ),
            (
                self.election_max > self.election_min,
                "election_max must be above election_min",
            ),
            (min(counts) > 0, "counts must be above zero"),
            (
                timedelta() <= self.append_interval < self.heartbeat,
                "append_interval must not be negative, and below heartbeat",
            ),
            (
                min(self.kept_entries, self.kept_bytes) >= 0,
                "kept_entries and kept_bytes must not be negative",
            ),
            (
                self.max_pending_bytes >= MAX_COMMAND_BYTES,
                f"max_pending_bytes must be at least {MAX_COMMAND_BYTES}",
            ),
            (
                self.batch_entries <= MAX_BATCH_ENTRIES,
                f"batch_entries must be at most {MAX_BATCH_ENTRIES}",
            ),
            (
                0 < self.batch_bytes <= MAX_BATCH_BYTES,
                f"batch_bytes must be between 1 and {MAX_BATCH_BYTES}",
            ),
            (
                self.propose_timeout >= self.lease,
                "propose_timeout must be at least lease",
            ),
        )

    @property
    def leader_lease(self) -> timedelta:
        """Time from sending a heartbeat for which a leader may rely on its lease.

        Shorter than ``lease`` by the drift of two clocks.
        """
        return self.lease * self.rate_ratio

    @property
    def rate_ratio(self) -> float:
        """Least ratio of the rates of two clocks."""
        return (1 - self.clock_drift) / (1 + self.clock_drift)
