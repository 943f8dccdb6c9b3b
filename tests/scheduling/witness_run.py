"""Random days that check each time since which a lease counts as not extended.

``python -m tests.scheduling.witness_run --seeds 20`` plays them. They are those of
:mod:`tests.scheduling.restart_run`; sessions with workers fail besides, and are opened
again within the term.
"""

from __future__ import annotations

from contextlib import ExitStack
from datetime import timedelta
from functools import partial
from typing import Any
from unittest.mock import patch

from rhubarbfield.scheduling.contact import WorkerContact
from rhubarbfield.scheduling.session import WorkerSession
from rhubarbfield.types import WorkerId
from tests.replication.determinism import expect_contained_errors
from tests.scheduling import late_days
from tests.scheduling.late_days import RandomDay
from tests.scheduling.restart_run import RestartDay

# Probability that a session fails at a view, and while the worker is silent.
FAILURE = 0.001
SILENT_FAILURE = 0.1
ROUNDING = timedelta(microseconds=10)


class WitnessDay(RestartDay):
    """A day on which all extensions of leases are known."""

    def __init__(self, seed: int, **options: Any) -> None:
        super().__init__(seed, **options)
        self._extended: dict[WorkerId, timedelta] = {}

    async def play(self) -> None:
        offer, shorten = WorkerContact.offer_lease, WorkerSession.shorten_lease
        view = WorkerSession._view_once
        day = self

        def offer_lease(contact: WorkerContact, now: timedelta) -> timedelta | None:
            if contact.may_extend_lease:
                known = day._extended.get(contact.worker, timedelta())
                day._extended[contact.worker] = max(known, now)
            return offer(contact, now)

        def shorten_lease(session: WorkerSession, since: timedelta) -> timedelta:
            extended = day._extended.get(session.worker, timedelta())
            if since < session.unextended_since:
                day.counts["counted by witnesses"] += 1
                if since < extended - ROUNDING:
                    day.faults.append(
                        f"{session.worker} counts from {since}, extended at {extended}"
                    )
            return shorten(session, since)

        async def view_once(session: WorkerSession) -> None:
            contact = session._contact
            failure = FAILURE if contact.is_responsive else SILENT_FAILURE
            if day.random.random() < failure:
                day.counts["failed sessions"] += 1
                raise RuntimeError("the session fails")
            await view(session)

        with ExitStack() as stack:
            for owner, name, replacement in (
                (WorkerContact, "offer_lease", offer_lease),
                (WorkerSession, "shorten_lease", shorten_lease),
                (WorkerSession, "_view_once", view_once),
            ):
                stack.enter_context(patch.object(owner, name, replacement))
            await super().play()


def play_day(
    seed: int, *, has_single_lease: bool = False, is_wide: bool = False
) -> RandomDay:
    """Play the day of a seed and return it."""
    make_day = partial(
        WitnessDay, seed, has_single_lease=has_single_lease, is_wide=is_wide
    )
    with expect_contained_errors():
        return late_days.play_day(make_day, seed)


if __name__ == "__main__":
    late_days.run_days(play_day, has_wide_days=True)
