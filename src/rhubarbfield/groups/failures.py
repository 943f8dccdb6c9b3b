"""Failures of a replica that end its process."""

from __future__ import annotations

from rhubarbfield.exceptions import RhubarbfieldError
from rhubarbfield.storage import StoreFailure
from rhubarbfield.types import GroupId


class StoreLostError(RhubarbfieldError):
    """The store of a replicated log has failed and cannot be used any more.

    Parameters
    ----------
    group
        The group that the log belongs to.
    failure
        The failure of the store.
    """

    def __init__(self, group: GroupId, failure: StoreFailure) -> None:
        super().__init__(f"the store of group {group} failed: {failure}")
