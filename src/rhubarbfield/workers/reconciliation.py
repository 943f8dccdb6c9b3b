"""Reconciles the attempts that a worker reports with those in the log."""

from __future__ import annotations

import msgspec

from rhubarbfield.types import AttemptId, AttemptState
from rhubarbfield.workers.messages import (
    AttemptReport,
    WorkerHello,
)
from rhubarbfield.workers.orders import (
    Order,
    StopAttempt,
)
from rhubarbfield.workers.ports import Admitted, LiveAttempt


class Reconciliation(msgspec.Struct, frozen=True, kw_only=True):
    """The result of comparing a hello with the log.

    Attributes
    ----------
    keep
        Attempts that the worker continues or whose end it has yet to report.
    resend
        Orders that may not have arrived, in the order of their commits.
    lost
        Reports of attempts as lost, because the worker doesn't list them.
    """

    keep: tuple[AttemptId, ...]
    resend: tuple[Order, ...]
    lost: tuple[AttemptReport, ...]


def reconcile(hello: WorkerHello, admitted: Admitted) -> Reconciliation:
    """Compare a hello with the state of the log at the start of its session.

    Parameters
    ----------
    hello
        The message from the worker.
    admitted
        The committed session with the attempts in the log.
    """
    held_attempts = {held.attempt for held in hello.running}
    keep: list[AttemptId] = []
    resend: list[Order] = []
    lost: list[AttemptReport] = []
    for live in admitted.live:
        attempt = live.start.attempt
        if attempt in held_attempts:
            keep.append(attempt)
            resend.extend(live.pending)
        elif _may_have_missed_start(live, admitted):
            resend.extend(_list_missed_orders(live))
        else:
            lost.append(_report_lost(live))
    return Reconciliation(keep=tuple(keep), resend=tuple(resend), lost=tuple(lost))


def _may_have_missed_start(live: LiveAttempt, admitted: Admitted) -> bool:
    # An earlier process may have run the attempt before it ended. Only the
    # process to which the start was sent can show that it never started.
    return live.state is AttemptState.STARTING and admitted.same_incarnation


def _list_missed_orders(live: LiveAttempt) -> tuple[Order, ...]:
    stops = tuple(order for order in live.pending if isinstance(order, StopAttempt))
    return stops[:1] or (live.start, *live.pending)


def _report_lost(live: LiveAttempt) -> AttemptReport:
    return AttemptReport(
        attempt=live.start.attempt,
        epoch=live.start.epoch,
        state=AttemptState.LOST,
        detail="the worker no longer runs it",
    )
