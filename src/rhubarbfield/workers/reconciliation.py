"""Comparing what a worker says it runs with what the log has on it."""

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
    """What follows from a hello.

    Attributes
    ----------
    keep
        Attempts that the worker goes on with or whose end it still reports.
    resend
        Orders that may not have arrived, in committed order.
    lost
        Reports, on the worker's own word, that an attempt is no more.
    """

    keep: tuple[AttemptId, ...]
    resend: tuple[Order, ...]
    lost: tuple[AttemptReport, ...]


def reconcile(hello: WorkerHello, admitted: Admitted) -> Reconciliation:
    """Compare a hello with the log as of the session that it opened.

    Parameters
    ----------
    hello
        The worker's word.
    admitted
        What the log answered to it.
    """
    held = {held.attempt for held in hello.running}
    keep: list[AttemptId] = []
    resend: list[Order] = []
    lost: list[AttemptReport] = []
    for live in admitted.live:
        attempt = live.start.attempt
        if attempt in held:
            keep.append(attempt)
            resend.extend(live.pending)
        elif _may_never_have_arrived(live, admitted):
            resend.extend(_resend_unseen(live))
        else:
            lost.append(_report_lost(live))
    return Reconciliation(keep=tuple(keep), resend=tuple(resend), lost=tuple(lost))


def _may_never_have_arrived(live: LiveAttempt, admitted: Admitted) -> bool:
    # Another process may have started the attempt before it ended, so only
    # the one that was told can deny it and be told again.
    return live.state is AttemptState.STARTING and admitted.same_incarnation


def _resend_unseen(live: LiveAttempt) -> tuple[Order, ...]:
    stops = tuple(order for order in live.pending if isinstance(order, StopAttempt))
    return stops[:1] or (live.start, *live.pending)


def _report_lost(live: LiveAttempt) -> AttemptReport:
    return AttemptReport(
        attempt=live.start.attempt,
        epoch=live.start.epoch,
        state=AttemptState.LOST,
        detail="the worker no longer runs it",
    )
