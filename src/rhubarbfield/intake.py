"""What a process holds of requests and messages that it has not dealt with yet.

A connection counts with the bytes that it made the process hold. Once all of them
would exceed a limit, those that wait for their client are given up, the one that has
waited longest before the others: nothing of what they sent was carried out. A request
that is whole is not given up any more.
"""

from __future__ import annotations

import logging
import resource
from collections.abc import Callable
from datetime import timedelta

import msgspec
import trio
from prometheus_client import Counter, Gauge

from rhubarbfield.waits import WaitReport

logger = logging.getLogger(__name__)

BYTES_IN_MB = 1_000_000
DEFAULT_HELD_BYTES = 48 * BYTES_IN_MB
# Share of a machine's memory that unfinished requests may take.
SHARE_OF_MEMORY = 1 / 8
# Memory of an open connection beside what was read from it.
CONNECTION_BYTES = 16_384
SHARE_OF_DESCRIPTORS = 1 / 2
SHARE_OF_LINGERING = 1 / 2

GIVEN_UP = Counter(
    "rhubarbfield_given_up_connections",
    "Connections given up or refused for lack of room, while they waited for a client.",
)
HELD_BYTES = Gauge(
    "rhubarbfield_held_bytes",
    "Bytes held of requests and messages that are not dealt with yet.",
)


class IntakeLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Limits of what a process holds.

    Attributes
    ----------
    held_bytes
        Bytes of unfinished requests and messages, and of whole requests that are being
        answered.
    connections
        Open connections of clients.
    """

    held_bytes: int = DEFAULT_HELD_BYTES
    connections: int = 2_048


def choose_limits(
    *, memory_mb: float | None, held_mb: float | None = None, least_bytes: int
) -> IntakeLimits:
    """Return the limits of a process.

    Parameters
    ----------
    memory_mb
        Memory of the machine in MB, or None if it isn't known.
    held_mb
        Bytes to hold, in MB; if None, they follow from the memory.
    least_bytes
        Bytes that are always held, so that the largest requests have room.
    """
    wanted = DEFAULT_HELD_BYTES
    if held_mb is not None:
        wanted = int(held_mb * BYTES_IN_MB)
    elif memory_mb:
        wanted = int(memory_mb * BYTES_IN_MB * SHARE_OF_MEMORY)
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return IntakeLimits(
        held_bytes=max(wanted, least_bytes),
        connections=max(int(descriptors * SHARE_OF_DESCRIPTORS), 1),
    )


class Intake:
    """Counts what all listeners of a process hold.

    Parameters
    ----------
    limits
        Limits of the process.

    Attributes
    ----------
    decoding
        Held while content is decoded that costs much more time than its size lets
        expect, so that one client at a time takes it from the others.
    """

    def __init__(self, limits: IntakeLimits | None = None) -> None:
        self._limits = IntakeLimits() if limits is None else limits
        self._held_bytes = 0
        self._connections = 0
        # In the order in which they began to wait.
        self._waiting: dict[Holding, None] = {}
        self._report = WaitReport(logger, "intake-full", _read_time)
        self.decoding = trio.Lock()
        HELD_BYTES.set_function(lambda: self._held_bytes)

    @property
    def held_bytes(self) -> int:
        """Bytes that are held at present."""
        return self._held_bytes

    @property
    def has_room(self) -> bool:
        """Whether connections that end may take their time to close."""
        return self._connections < self._limits.connections * SHARE_OF_LINGERING

    def admit(self) -> Holding | None:
        """Return the holding of a new connection, or None if there is no room."""
        is_full = self._connections >= self._limits.connections
        if is_full and not self._give_up_one():
            self._note()
            return None
        self._connections += 1
        return Holding(self, CONNECTION_BYTES, is_connection=True)

    def hold(self) -> Holding:
        """Return a holding of something else than a connection."""
        return Holding(self, 0, is_connection=False)

    def _make_room(self) -> None:
        while self._held_bytes > self._limits.held_bytes and self._give_up_one():
            pass

    def _give_up_one(self) -> bool:
        """Give up the connection that has waited longest; False if there is none."""
        holding = next(iter(self._waiting), None)
        if holding is None:
            return False
        self._note()
        holding._leave()
        return True

    def _note(self) -> None:
        GIVEN_UP.inc()
        self._report.repeat()


class Holding:
    """What one connection or stream makes the process hold; see :class:`Intake`.

    Attributes
    ----------
    is_given_up
        Whether the connection was given up.
    """

    def __init__(self, intake: Intake, base: int, *, is_connection: bool) -> None:
        self._intake = intake
        self._base = base
        self._is_connection = is_connection
        self._give_up: Callable[[], object] = _do_nothing
        self._bytes = 0
        self._is_closed = False
        self.is_given_up = False

    def charge(self, size: int) -> None:
        """Count ``size`` more bytes; the connection may be given up by that."""
        if not self.is_given_up:
            self._bytes += size
            self._intake._held_bytes += size
            self._intake._make_room()

    def begin(self, give_up: Callable[[], object]) -> None:
        """Wait for a request from now on; nothing of it is held yet.

        Parameters
        ----------
        give_up
            Called when the connection is given up; it does not wait.
        """
        if not self.is_given_up:
            self._give_up = give_up
            self._intake._waiting.pop(self, None)
            self._intake._waiting[self] = None
            self.charge(self._base - self._bytes)

    def keep(self) -> None:
        """Keep the connection until :meth:`begin`, as its request is whole."""
        self._intake._waiting.pop(self, None)

    def finish(self) -> None:
        """Hold nothing until :meth:`begin`."""
        self._release()

    def close(self) -> None:
        """Count the connection no more, as it is closed."""
        if not self._is_closed:
            self._is_closed = True
            self._intake._connections -= self._is_connection
            self._release()

    def _leave(self) -> None:
        self._release()
        self.is_given_up = True
        self._give_up()

    def _release(self) -> None:
        self._intake._waiting.pop(self, None)
        self._intake._held_bytes -= self._bytes
        self._bytes = 0


def _do_nothing() -> None:
    pass


def _read_time() -> timedelta:
    return timedelta(seconds=trio.current_time())
