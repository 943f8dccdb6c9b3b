"""Failures that end a process with a replica."""

from __future__ import annotations

from rhubarbfield.exceptions import RhubarbfieldError
from rhubarbfield.storage import StoreFailure
from rhubarbfield.types import GroupId


class StoreLostError(RhubarbfieldError):
    """The store of a log can't be used or trusted any more.

    Parameters
    ----------
    group
        Whose log.
    failure
        What the store said.
    """

    def __init__(self, group: GroupId, failure: StoreFailure) -> None:
        super().__init__(f"the store of group {group} failed: {failure}")
