"""Reasons for which a step waits, and how close it is to a worker."""

from __future__ import annotations

import math
from collections.abc import Iterable
from enum import Enum

import msgspec

from rhubarbfield.scheduling.headroom import (
    WaitingStep,
    WorkerHeadroom,
    count_live,
    count_places,
    has_cores,
    has_room,
)
from rhubarbfield.scheduling.interference import InterferenceModel, measure_least_left
from rhubarbfield.scheduling.model import Step


class WaitReason(Enum):
    """Why a task is not placed.

    Attributes
    ----------
    NO_CAPACITY
        No usable worker, or for a gang too few, have enough capacity that is not
        reserved.
    SPREAD
        Workers with capacity run as many tasks of the step as it allows, or would
        have to run more of a gang.
    NO_SPARE_CORES
        Workers with capacity have no spare cores.
    INTERFERENCE
        On the workers with spare cores the task would harm serving tasks.
    TRIAL
        The task is suspected of crashing workers, and waits for one on which no
        other run has just started, or for a proof that an earlier one was cut off.
    """

    NO_CAPACITY = "no-capacity"
    SPREAD = "spread"
    NO_SPARE_CORES = "no-spare-cores"
    INTERFERENCE = "interference"
    TRIAL = "trial"


class MarginsLeft(msgspec.Struct, frozen=True):
    """What a spare-core task would leave of the margins of the serving tasks.

    Both are in log latency, on the worker where they are largest.

    Attributes
    ----------
    expected
        With the expected growth; below 0 a goal is expected to be missed.
    least
        With the largest growth that is assumed, less the reserve that a start has to
        leave; below 0 the task is refused.
    """

    expected: float
    least: float


NO_MARGINS = MarginsLeft(math.inf, math.inf)


class WaitExplanation(msgspec.Struct, frozen=True):
    """Why a step is not placed, and how close it is to a worker.

    Attributes
    ----------
    reason
        The reason.
    reserved
        Fraction of its service's cores that is reserved.
    fitting, with_cores
        Number of workers with capacity, and of these with spare cores as well.
    left
        What a task would leave of the margins on these; infinite if they are not the
        reason.
    """

    reason: WaitReason
    reserved: float
    fitting: int = 0
    with_cores: int = 0
    left: MarginsLeft = NO_MARGINS


def explain_wait(
    waiting: WaitingStep,
    fitting: Iterable[WorkerHeadroom],
    reserved: float,
    interference: InterferenceModel,
) -> WaitExplanation:
    """Return why no worker takes a task of a step.

    Parameters
    ----------
    waiting
        The step.
    fitting
        Workers with free capacity for a task of it.
    reserved
        Fraction of its service's cores that is reserved.
    interference
        The model of how images slow each other.
    """
    step = waiting.step
    usable = [each for each in fitting if has_room(step.reserved, each)]
    unlimited = msgspec.structs.replace(step, max_per_worker=0)
    needed = len(waiting.tasks) if step.gang else 1
    if sum(count_places(unlimited, each) for each in usable) < needed:
        return WaitExplanation(WaitReason.NO_CAPACITY, reserved, len(usable))
    running = count_live(waiting.tasks) if step.max_per_worker else {}
    places = sum(
        count_places(step, each, running.get(each.worker.worker, 0)) for each in usable
    )
    if places < needed or not step.uses_spare_cores:
        return WaitExplanation(WaitReason.SPREAD, reserved, len(usable))
    with_cores = [headroom for headroom in usable if has_cores(step, headroom)]
    if not with_cores:
        return WaitExplanation(WaitReason.NO_SPARE_CORES, reserved, len(usable))
    left = _measure_left(step, with_cores, interference)
    reason = WaitReason.INTERFERENCE
    return WaitExplanation(reason, reserved, len(usable), len(with_cores), left)


def _measure_left(
    step: Step, members: Iterable[WorkerHeadroom], interference: InterferenceModel
) -> MarginsLeft:
    expected = least = -math.inf
    for headroom in members:
        shares = headroom.add_share(step)
        margin = interference.find_smallest_margin(headroom.margins, shares)
        expected = max(expected, margin)
        slacks = headroom.measure_slacks(interference)
        share = headroom.worker.find_share(step)
        least = max(least, measure_least_left(slacks, step.image, share))
    return MarginsLeft(expected, least)
