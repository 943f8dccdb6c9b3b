"""Connections to several peers, replaced when they may no longer work."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Generic, TypeVar

from rhubarbfield.clock import Clock
from rhubarbfield.peering.ports import Connection, Transport

CLOSE_DELAY = timedelta(seconds=60)  # lets calls on a retired connection end

PeerT = TypeVar("PeerT")


class ConnectionPool(Generic[PeerT]):
    """One connection to each peer, opened on first use.

    Parameters
    ----------
    addresses
        Host and port of each peer.
    transport
        Transport used to reach the peers.
    clock
        Clock for the delay before retired connections are closed.
    locate
        Returns host and port of a peer that ``addresses`` does not list.
    """

    def __init__(
        self,
        addresses: Mapping[PeerT, tuple[str, int]],
        transport: Transport,
        clock: Clock,
        locate: Callable[[PeerT], tuple[str, int]] | None = None,
    ) -> None:
        self._addresses = dict(addresses)
        self._locate = locate
        self._transport = transport
        self._clock = clock
        self._current: dict[PeerT, Connection] = {}
        self._retired: deque[tuple[timedelta, Connection]] = deque()

    def get(self, peer: PeerT) -> Connection:
        """Return the connection to ``peer``."""
        connection = self._current.get(peer)
        if connection is None:
            address = self._addresses.get(peer)
            if address is None and self._locate is not None:
                address = self._locate(peer)
            host, port = address or self._addresses[peer]
            connection = self._transport.open_connection(host, port)
            self._current[peer] = connection
        return connection

    def retire(self, peer: PeerT, connection: Connection) -> None:
        """Stop using ``connection`` for new calls; close it after ``CLOSE_DELAY``."""
        if self._current.get(peer) is connection:
            del self._current[peer]
            self._retired.append((self._clock.monotonic(), connection))
        self._close_expired()

    def restore(self, peer: PeerT, connection: Connection) -> None:
        """Use a retired connection again, since the peer replied on it."""
        for number, (_, retired) in enumerate(self._retired):
            if retired is connection:
                del self._retired[number]
                break
        else:
            return
        replaced = self._current.get(peer)
        self._current[peer] = connection
        if replaced is not None:
            self._retired.append((self._clock.monotonic(), replaced))

    def _close_expired(self) -> None:
        cutoff = self._clock.monotonic() - CLOSE_DELAY
        while self._retired and self._retired[0][0] <= cutoff:
            self._retired.popleft()[1].close()
