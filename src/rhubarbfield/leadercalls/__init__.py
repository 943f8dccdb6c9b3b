"""Calls to the leader of a group, and the answers of members that don't lead.

Importing it doesn't import the replicated log, which entries don't run.
"""

from rhubarbfield.leadercalls.answers import NotAdmitted, NotLeading, Unavailable
from rhubarbfield.leadercalls.calls import LeaderCalls, LeaderFailure

__all__ = ["LeaderCalls", "LeaderFailure", "NotAdmitted", "NotLeading", "Unavailable"]
