"""How recently a leader has been in contact with its peers."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta

from rhubarbfield.logs import LogValue
from rhubarbfield.replication.peer import Peer
from rhubarbfield.replication.state import NEVER, ReplicaState
from rhubarbfield.storage import ReplicaId
from rhubarbfield.types import InstanceName

LEARNER_CONTACT_TIMEOUT = timedelta(seconds=30)
NO_CONTACT = "never"


def describe_quorum(
    state: ReplicaState, peers: Mapping[ReplicaId, Peer]
) -> dict[str, LogValue]:
    """Return the fields of a log event that say why a leader has no quorum.

    Parameters
    ----------
    state
        The leader's state.
    peers
        The leader's peers.

    Returns
    -------
    dict[str, LogValue]
        Besides group and term, ``contacts`` has the time since the last answer of
        each other voter, ``acknowledged`` the age of the latest message that it
        has answered, and ``heartbeat_age`` the time since the leader last sent to
        any of them; in seconds.
    """
    now = state.now
    voters = {
        voter.name: peers[voter] for voter in state.log.quorum.voters if voter in peers
    }
    contacts = {name: peer.last_contact_at for name, peer in voters.items()}
    acknowledged = {name: peer.acknowledged_sent_at for name, peer in voters.items()}
    last_sent_at = max((peer.last_sent_at for peer in voters.values()), default=NEVER)
    return {
        "group": state.group,
        "term": state.term,
        "contacts": _format_ages(contacts, now),
        "acknowledged": _format_ages(acknowledged, now),
        "heartbeat_age": None if last_sent_at == NEVER else now - last_sent_at,
    }


def find_unreachable(
    state: ReplicaState, peers: Mapping[ReplicaId, Peer]
) -> list[ReplicaId]:
    """Return the learners without contact for ``LEARNER_CONTACT_TIMEOUT``."""
    voters = state.log.quorum.voters
    now = state.now
    return [
        peer.id
        for peer in peers.values()
        if peer.id not in voters
        and now - max(peer.last_contact_at, peer.added_at) > LEARNER_CONTACT_TIMEOUT
    ]


def _format_ages(times: Mapping[InstanceName, timedelta], now: timedelta) -> str:
    return " ".join(
        f"{name}={_format_age(at, now)}" for name, at in sorted(times.items())
    )


def _format_age(at: timedelta, now: timedelta) -> str:
    return NO_CONTACT if at == NEVER else f"{(now - at).total_seconds():.3f}"
