"""Latest outcomes of runs on a worker."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from rhubarbfield.scheduling.model import StepName
from rhubarbfield.scheduling.progress import RunKey


class WorkerOutcomes(msgspec.Struct):
    """Latest outcomes of runs on one worker.

    Attributes
    ----------
    failures
        Failed runs since the last success; without probation, also since a gap of
        ``failure_retention`` between two of them.
    failed_at
        When the latest of them failed.
    failed_steps
        The steps that they belong to; None for standing steps.
    quarantined_until
        When the quarantine ends; until then the worker receives no task, and
        afterwards one task first, the probe.
    probed_from
        When an interrupted standing task may be the probe, although the quarantine
        has not ended; None if the worker is not quarantined.
    has_stalled
        Whether runs on the worker have stalled since the last success.
    is_probe_standing
        Whether the probe is a standing task, of which progress is not known.
    probes
        The runs of the probe, more than one if it is a gang, and since when each is
        known to be on the worker; None if it is not known yet.
    shown_at
        When the worker last answered the start of one of them, or showed it.
    advanced
        Those of them that are known to have made progress.
    """

    failures: int = 0
    failed_at: timedelta = timedelta()
    failed_steps: set[StepName | None] = msgspec.field(default_factory=set)
    quarantined_until: timedelta | None = None
    probed_from: timedelta | None = None
    has_stalled: bool = False
    is_probe_standing: bool = False
    probes: dict[RunKey, timedelta | None] = msgspec.field(default_factory=dict)
    shown_at: timedelta = timedelta()
    advanced: set[RunKey] = msgspec.field(default_factory=set)

    def measure_presence(self) -> timedelta | None:
        """Return for how long the whole probe was on the worker; None if it wasn't.

        What became of it since the worker was last heard is not known.
        """
        known = [since for since in self.probes.values() if since is not None]
        if not known or len(known) < len(self.probes):
            return None
        return self.shown_at - max(known)

    @property
    def is_probe_sound(self) -> bool:
        """Whether nothing speaks against the worker once the probe has run."""
        if self.is_probe_standing:
            return not self.has_stalled
        return len(self.advanced) == len(self.probes)

    def drop_probe(self) -> None:
        """Let the next probe follow."""
        self.probes.clear()
        self.advanced.clear()
