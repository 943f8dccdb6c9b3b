"""Silences of workers, and which of them began at the same time.

Workers that fall silent together have a common cause: a rack without power, a cut
link, a controller that hears nothing. A single one may have been ended by what it ran.
"""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

import msgspec

from rhubarbfield.types import WorkerId

# Silences of removed workers that are remembered, and for how long.
MAX_PAST_SILENCES = 64
PAST_SILENCE_RETENTION = timedelta(seconds=30)
# Difference between two workers that are noticed by calls at different times.
SIMULTANEITY_SLACK = timedelta(milliseconds=100)


class Silence(msgspec.Struct, frozen=True):
    """The time in which a worker fell silent.

    Attributes
    ----------
    heard_at
        Monotonic time of its last report or reply.
    missed_at
        Monotonic time of the first call without a reply after that.
    """

    heard_at: timedelta
    missed_at: timedelta

    def may_coincide(self, other: Silence) -> bool:
        """Return whether two workers may have fallen silent at the same moment."""
        return (
            self.heard_at <= other.missed_at + SIMULTANEITY_SLACK
            and other.heard_at <= self.missed_at + SIMULTANEITY_SLACK
        )


class PastSilences:
    """The silences of workers that were removed lately."""

    def __init__(self) -> None:
        self._silences: dict[WorkerId, Silence] = {}

    def add(self, worker: WorkerId, silence: Silence) -> None:
        """Remember the silence of a worker that is removed."""
        self._silences[worker] = silence
        if len(self._silences) > MAX_PAST_SILENCES:
            del self._silences[next(iter(self._silences))]

    def list_simultaneous(
        self, worker: WorkerId, silence: Silence, present: Mapping[WorkerId, Silence]
    ) -> list[WorkerId]:
        """Return the other workers that may have fallen silent at the same moment.

        Parameters
        ----------
        worker, silence
            A worker and its silence.
        present
            The silences of the workers that are silent now.
        """
        oldest = silence.missed_at - PAST_SILENCE_RETENTION
        return [
            name
            for name, each in {**self._silences, **present}.items()
            if name != worker
            and each.missed_at >= oldest
            and silence.may_coincide(each)
        ]
