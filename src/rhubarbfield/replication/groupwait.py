"""Log lines that say what a replica without a group waits for."""

from __future__ import annotations

import logging
from collections.abc import Iterable
from datetime import timedelta

from rhubarbfield.logs import LogValue, log_event
from rhubarbfield.types import GroupId, InstanceName

logger = logging.getLogger(__name__)

REPORT_INTERVAL = timedelta(seconds=10)


class GroupWait:
    """Reports the wait for a group at its beginning and then once in a while.

    Parameters
    ----------
    group
        The group that is awaited.
    """

    def __init__(self, group: GroupId) -> None:
        self._group = group
        self._next_report_at: timedelta | None = None

    def report(
        self,
        now: timedelta,
        *,
        may_form: bool,
        answered: Iterable[InstanceName],
        silent: Iterable[InstanceName],
        non_empty: Iterable[InstanceName],
        **more: LogValue,
    ) -> None:
        """Log what is awaited, unless this was done a short time ago.

        Parameters
        ----------
        now
            The monotonic time.
        may_form
            Whether this replica may take part in forming the group.
        answered
            The initial voters that answered recently that their logs are empty.
        silent
            Those that did not answer recently.
        non_empty
            Those that answered recently that they have a log.
        more
            Further fields.
        """
        if self._next_report_at is not None and now < self._next_report_at:
            return
        self._next_report_at = now + REPORT_INTERVAL
        log_event(
            logger,
            logging.INFO,
            "group-awaited",
            group=self._group,
            may_form=may_form,
            answered=" ".join(sorted(answered)),
            silent=" ".join(sorted(silent)),
            non_empty=" ".join(sorted(non_empty)),
            **more,
        )
