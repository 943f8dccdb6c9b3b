"""Standing tasks that wait for room, and those that have waited for long."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import timedelta

import msgspec

from rhubarbfield.logs import log_event
from rhubarbfield.scheduling.backfilling import Forecast, StepKey, get_key
from rhubarbfield.scheduling.headroom import WaitingStep
from rhubarbfield.scheduling.model import RunNumber, TaskName
from rhubarbfield.types import WorkerId

# A fixed log area, independent of the module's name.
logger = logging.getLogger("rhubarbfield.scheduling.leader")


class Wait(msgspec.Struct, frozen=True):
    """A standing task for which no worker was found.

    Attributes
    ----------
    last_run
        Its last run.
    since
        Monotonic time of the first round that found no worker.
    """

    last_run: RunNumber
    since: timedelta


class Claim(msgspec.Struct, frozen=True):
    """A task that has waited long enough for a reservation."""

    task: TaskName
    waiting: WaitingStep
    since: timedelta


def find_claim(claims: Iterable[Claim], holder: StepKey) -> Claim | None:
    """Return the first claim of a task of a step."""
    return next((each for each in claims if get_key(each.waiting) == holder), None)


def log_reservation(
    claim: Claim, worker: WorkerId, forecast: Forecast, now: timedelta
) -> None:
    """Log that a worker is reserved for a task."""
    log_event(
        logger,
        logging.INFO,
        "room-reserved",
        task=claim.task,
        worker=worker,
        waited=now - claim.since,
        due_in=forecast.due - now,
        ends=forecast.ends,
    )
