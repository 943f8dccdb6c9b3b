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
    """
    damage: StoreFailure | None = None
    loaded = store.load()
    if isinstance(loaded, Failure) and isinstance(loaded.failure(), StoreDamaged):
        damage = loaded.failure()
        logger.error("store-damaged group=%s %s", group, damage)
        loaded = store.discard().bind(lambda _: store.load())
    log = loaded.map(lambda stored: ReplicaLog(store, stored))
    return OpenedLog(log.bind(lambda it: _identify(it, random, founders)), damage)


def _identify(
    log: ReplicaLog, random: Random, founders: tuple[InstanceName, ...]
) -> Result[ReplicaLog, StoreFailure]:
    old = log.hard_state
    gains_right = log.is_empty and bool(founders) and not old.founders
    if old.incarnation and not gains_right:
        return Success(log)
    new = f"{random.getrandbits(INCARNATION_BITS):016x}"
    incarnation = old.incarnation or Incarnation(new)
    first = HardState(incarnation, founders=founders)
    return log.save_incarnation(first).map(lambda _: log)
