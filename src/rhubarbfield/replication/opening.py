"""Opening the log of a replica when it starts."""

from __future__ import annotations

import logging
from random import Random

import msgspec
from returns.result import Failure, Result, Success

from rhubarbfield.replication.log import ReplicaLog
from rhubarbfield.storage import HardState, LogStore, StoreDamaged, StoreFailure
from rhubarbfield.types import GroupId, Incarnation, InstanceName

logger = logging.getLogger(__name__)

INCARNATION_BITS = 64
# A store that is known to be used for the first time has this incarnation, so that
# its replica can be made a voter before it has answered.
FIRST_INCARNATION = Incarnation("first")


class OpenedLog(msgspec.Struct, frozen=True):
    """The outcome of opening a log.

    Attributes
    ----------
    log
        The log, or why it can't be used.
    damage
        The damage for which the contents of the store were discarded, if any.
    """

    log: Result[ReplicaLog, StoreFailure]
    damage: StoreFailure | None


def open_log(
    store: LogStore,
    group: GroupId,
    random: Random,
    founders: tuple[InstanceName, ...],
    *,
    is_first_start: bool = False,
) -> OpenedLog:
    """Load a log; save an incarnation, and the right to found, in an empty one.

    Parameters
    ----------
    store
        The storage of the log; its contents are discarded if they are damaged.
    group
        The group, for logging.
    random
        The source of the incarnation.
    founders
        The founding voters if this replica may gain the right to be one of them,
        otherwise empty.
    is_first_start
        Whether a replica that gains the right has never had a store before.
    """
    damage: StoreFailure | None = None
    loaded = store.load()
    if isinstance(loaded, Failure) and isinstance(loaded.failure(), StoreDamaged):
        damage = loaded.failure()
        logger.error("store-damaged group=%s %s", group, damage)
        loaded = store.discard().bind(lambda _: store.load())
    log = loaded.map(lambda stored: ReplicaLog(store, stored))
    new = Incarnation(f"{random.getrandbits(INCARNATION_BITS):016x}")
    if founders and is_first_start and damage is None:
        new = FIRST_INCARNATION
    return OpenedLog(log.bind(lambda it: _identify(it, new, founders)), damage)


def _identify(
    log: ReplicaLog, new: Incarnation, founders: tuple[InstanceName, ...]
) -> Result[ReplicaLog, StoreFailure]:
    old = log.hard_state
    gains_right = log.is_empty and bool(founders) and not old.founders
    if old.incarnation and not gains_right:
        return Success(log)
    first = HardState(old.incarnation or new, founders=founders)
    return log.save_incarnation(first).map(lambda _: log)
