"""Explanations of jobs and tasks as tables with one aspect per row."""

from __future__ import annotations

from returns.result import Success

from rhubarbfield.controller.tables import DomainView, format_time, make_table
from rhubarbfield.fleet import FleetState
from rhubarbfield.language import Table
from rhubarbfield.placement import Explanation, explain_task
from rhubarbfield.placement.explanation import AttemptRecord
from rhubarbfield.types import TaskId

COLUMNS = ("aspect", "what")
MAX_LISTED_WORKERS = 20


def build_task_explanation(view: DomainView, task: str) -> Table | None:
    """Return the placement of a task, the reasons for it, and past attempts.

    The result is None if the task is unknown.
    """
    match explain_task(view.state.work, TaskId(task)):
        case Success(explanation):
            return make_table(COLUMNS, _list_aspects(view, explanation))
    return None


def build_job_explanation(state: FleetState, job: str) -> Table | None:
    """Return the state of a job and its reason, or None if it is unknown."""
    known = state.jobs.get(job)
    if known is None:
        return None
    rows = [
        ("job", known.id),
        ("state", known.state.value),
        ("reason", known.reason),
        ("created", f"by {known.created_by} at {format_time(known.created_at)}"),
        ("domain", known.domain or "none yet"),
        ("delegations", str(known.epoch)),
    ]
    return make_table(COLUMNS, rows)


def _list_aspects(view: DomainView, found: Explanation) -> list[tuple[str, str]]:
    rows = [
        ("task", found.task),
        ("job", f"{found.job} ({found.job_state.value})"),
        ("state", found.state.value),
        ("where", found.worker or "nowhere"),
        ("domain", view.domain),
        ("why", found.summary),
    ]
    if found.job in view.waits:
        rows.append(("waits", view.waits[found.job]))
    if found.live is not None:
        rows += _list_decision(found.live)
    rows += [("past attempt", _describe_attempt(attempt)) for attempt in found.past]
    listed = found.other_workers[:MAX_LISTED_WORKERS]
    rows += [(f"not on {reason.worker}", reason.reason.value) for reason in listed]
    omitted = len(found.other_workers) - len(listed)
    if omitted:
        rows.append(("not on others", f"{omitted} more workers"))
    return rows


def _list_decision(attempt: AttemptRecord) -> list[tuple[str, str]]:
    decision = attempt.decision
    rows = [("attempt", _describe_attempt(attempt))]
    rows.append(("decided by", f"{decision.strategy}, cost {decision.score:.3g}"))
    if decision.alternatives:
        alternatives = ", ".join(
            f"{other.worker} at {other.score:.3g}" for other in decision.alternatives
        )
        rows.append(("next best", alternatives))
    return rows


def _describe_attempt(attempt: AttemptRecord) -> str:
    parts = [
        f"{attempt.attempt} on {attempt.worker}, {attempt.state.value}",
        f"from {format_time(attempt.started_at)}",
    ]
    if attempt.ended_at is not None:
        parts.append(f"to {format_time(attempt.ended_at)}")
    if attempt.resumed_from is not None:
        parts.append(f"resumed from {attempt.resumed_from}")
    if attempt.reason:
        parts.append(attempt.reason)
    return ", ".join(parts)
