"""Messages between the leader and the controllers that relay its calls."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from typing import Generic, NewType, TypeVar

import msgspec
import trio

from rhubarbfield.clock import Clock
from rhubarbfield.peering import StreamMethod
from rhubarbfield.scheduling.ports import (
    NoReply,
    OtherLife,
    Refused,
    WorkerAddress,
    WorkerOrder,
    WorkerView,
)

# Between two batches; what is queued meanwhile shares a message.
BATCH_INTERVAL = timedelta(milliseconds=15)
MAX_BATCH_ENTRIES = 128  # even full views take less than a message may have

CallNumber = NewType("CallNumber", int)
# A worker's clock, a view, or why the call failed.
CallResult = timedelta | WorkerView | OtherLife | NoReply | Refused

EntryT = TypeVar("EntryT")


class Call(msgspec.Struct, frozen=True, array_like=True, tag="call"):
    """An order that the relay carries to a worker.

    Attributes
    ----------
    number
        Number of the call on its stream.
    to, order
        The worker and the order.
    """

    number: CallNumber
    to: WorkerAddress
    order: WorkerOrder


class Cancel(msgspec.Struct, frozen=True, array_like=True, tag="cancel"):
    """Nobody waits for the reply to a call any more."""

    number: CallNumber


class Forget(msgspec.Struct, frozen=True, array_like=True, tag="forget"):
    """The connections to an address are no longer needed."""

    address: str


class CallBatch(msgspec.Struct, frozen=True, array_like=True):
    """What the leader asks of a relay, oldest first.

    A batch without entries is a ping; the relay answers with an empty batch.

    Attributes
    ----------
    sent_at
        Reading of the leader's monotonic clock when the oldest entry was queued.
    entries
        Calls, and what became of earlier ones.
    """

    sent_at: timedelta
    entries: list[Call | Cancel | Forget]


class CallReply(msgspec.Struct, frozen=True, array_like=True):
    """The result of a call."""

    number: CallNumber
    result: CallResult


class ReplyBatch(msgspec.Struct, frozen=True, array_like=True):
    """Results of calls in any order; none in the answer to a ping.

    Attributes
    ----------
    replies
        The results.
    is_closing
        Whether the relay is about to end, and should get no further calls.
    """

    replies: list[CallReply]
    is_closing: bool = False


RELAY_STREAM = StreamMethod(
    "/rhubarbfield.Controller/RelayCalls", CallBatch, ReplyBatch
)


class Outbox(Generic[EntryT]):
    """Entries that wait to be sent together.

    Parameters
    ----------
    clock
        Source of time.

    Attributes
    ----------
    taken_since
        Monotonic time at which the oldest of the entries last taken was queued.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._entries: deque[tuple[timedelta, EntryT]] = deque()
        self._filled = trio.Event()
        self._next_batch_at = clock.monotonic()
        self.taken_since = clock.monotonic()

    def put(self, entry: EntryT) -> None:
        """Queue an entry without waiting."""
        self._entries.append((self._clock.monotonic(), entry))
        self._filled.set()

    async def take(self) -> list[EntryT]:
        """Wait for entries, and remove and return the oldest ones."""
        await self._filled.wait()
        await self._clock.sleep(self._next_batch_at - self._clock.monotonic())
        self._next_batch_at = self._clock.monotonic() + BATCH_INTERVAL
        count = min(len(self._entries), MAX_BATCH_ENTRIES)
        taken = [self._entries.popleft() for _ in range(count)]
        if not self._entries:
            self._filled = trio.Event()
        if taken:
            self.taken_since = taken[0][0]
        return [entry for _, entry in taken]

    @property
    def is_empty(self) -> bool:
        """Whether no entry is queued."""
        return not self._entries

    def clear(self) -> None:
        """Remove all entries."""
        self._entries.clear()
        self._filled = trio.Event()
