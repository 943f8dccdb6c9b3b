"""The state of one backend server, across all its connections to an entry."""

from __future__ import annotations

import logging
from datetime import timedelta

import msgspec
import trio
from returns.result import Failure, Result, Success

from rhubarbfield.announcements.messages import Announce
from rhubarbfield.announcements.ports import (
    Granted,
    GrantSink,
    OwnedBy,
    OwnershipLost,
    OwnershipPort,
    OwnershipUnavailable,
)
from rhubarbfield.announcements.settings import AnnouncementSettings
from rhubarbfield.clock import Clock
from rhubarbfield.exceptions import check_invariant
from rhubarbfield.types import BackendServerState, Epoch

logger = logging.getLogger(__name__)


class AnnouncedServer:
    """One backend server: its latest announcement and its ownership.

    Calls to the domain are serialised, so that a release in progress always
    completes before the next claim.

    Parameters
    ----------
    announce
        Its first announcement.
    settings, clock, ownership, sink
        As in :class:`~rhubarbfield.announcements.AnnouncementSessions`.
    """

    def __init__(
        self,
        announce: Announce,
        *,
        settings: AnnouncementSettings,
        clock: Clock,
        ownership: OwnershipPort,
        sink: GrantSink,
    ) -> None:
        self.announce = announce
        self.granted: Granted | None = None
        self.changed = trio.Event()
        self._settings = settings
        self._clock = clock
        self._ownership = ownership
        self._sink = sink
        self._published = announce
        self._last_contact_at = clock.monotonic()
        self._disconnected_at: timedelta | None = None
        self._sent_interval = settings.heartbeat_interval
        self._expected_interval = settings.heartbeat_interval
        self._marked_silent = False
        self._handed_over = False
        self._reported_epoch = Epoch(0)
        self._domain_call_lock = trio.Lock()

    @property
    def time_since_contact(self) -> timedelta:
        """The time since the last message from the server."""
        return self._clock.monotonic() - self._last_contact_at

    @property
    def silence_timeout(self) -> timedelta:
        """How long the server may stay silent before it gets no new requests."""
        shortest = self._settings.heartbeat_interval
        return self._settings.silence_timeout * (self._expected_interval / shortest)

    def set_heartbeat_interval(self, interval: timedelta) -> None:
        """Set the heartbeat interval that is being sent to the server.

        The server applies it only after its next heartbeat, which may still
        follow at the previous interval.
        """
        self._expected_interval = max(self._sent_interval, interval)
        self._sent_interval = interval

    def handle_disconnect(self) -> None:
        """Record that the server's only connection has ended."""
        self._disconnected_at = self._clock.monotonic()

    def handle_announcement(
        self, announce: Announce, counted_after: timedelta | None = None
    ) -> None:
        """Record an announcement and pass it to the router immediately.

        Parameters
        ----------
        announce
            The announcement.
        counted_after
            A time by the entry's clock that is certainly before the server
            counted its requests; None if there is none.
        """
        previous, self.announce = self.announce, announce
        self._record_contact()
        if _differs(previous, announce):
            self.changed.set()
            self._grant_to_sink()
        self._report(announce.running, counted_after)

    def handle_heartbeat(
        self, running: int, counted_after: timedelta | None = None
    ) -> None:
        """Record a heartbeat; see :meth:`handle_announcement`."""
        self._record_contact()
        self._report(running, counted_after)

    def check_silence(self) -> None:
        """Mark the server as leaving in the router after the silence timeout."""
        if self.granted is None or self._marked_silent:
            return
        if self._is_silent():
            self._marked_silent = True
            logger.info("server-silent server=%s", self.announce.server)
            self._sink.mark_leaving(self.announce.server, self.granted.epoch)

    async def publish(self) -> OwnedBy | None:
        """Claim or update the server in the domain, retrying until it succeeds.

        Returns
        -------
        OwnedBy or None
            The owner, if another entry owns the server.
        """
        while self._is_outdated():
            async with self._domain_call_lock:
                if not self._is_outdated():
                    return None
                result = await self._publish_once()
            match result:
                case Failure(OwnedBy() as owner):
                    return owner
                case Failure(OwnershipUnavailable()):
                    await self._clock.sleep(self._settings.retry_delay)
                case Failure(OwnershipLost()):
                    self.drop_grant()
        return None

    def drop_grant(self) -> bool:
        """Stop using the server; return whether no request of this entry runs on it."""
        granted, self.granted = self.granted, None
        self._reported_epoch = Epoch(0)
        self.changed.set()
        return granted is None or self._sink.revoke(self.announce.server, granted.epoch)

    async def hand_over(self) -> None:
        """Release the server for another entry and never claim it again."""
        self._handed_over = True
        await self.release(removed=False)

    async def release(self, *, removed: bool) -> None:
        """Give up ownership of the server, retrying until it succeeds.

        Parameters
        ----------
        removed
            Whether no entry should wait for the server.
        """
        async with self._domain_call_lock:
            granted = self.granted
            if granted is None:
                return
            settled = self.drop_grant()
            server = self.announce.server
            while True:
                released = await self._ownership.release(
                    server, granted.epoch, settled=settled, removed=removed
                )
                if not isinstance(released, Failure):
                    break
                if isinstance(released.failure(), OwnershipLost):
                    break
                await self._clock.sleep(self._settings.retry_delay)
            logger.info("server-released server=%s settled=%s", server, settled)

    async def _publish_once(
        self,
    ) -> Result[None, OwnedBy | OwnershipLost | OwnershipUnavailable]:
        announce = self.announce
        if self.granted is not None:
            updated = await self._ownership.update(announce, self.granted.epoch)
            if isinstance(updated, Success):
                self._published = announce
            return updated
        match await self._ownership.claim(announce):
            case Success(granted):
                self._published = announce
                self._apply_grant(granted)
                return Success(None)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError

    def _apply_grant(self, granted: Granted) -> None:
        check_invariant(
            self.granted is None or granted.epoch >= self.granted.epoch,
            "owner-epoch-grows",
            (self.announce.server, self.granted, granted),
        )
        self.granted = granted
        self._grant_to_sink()
        self._report(self.announce.running, None)

    def _is_outdated(self) -> bool:
        if self._handed_over:
            return False
        return self.granted is None or _differs(self._published, self.announce)

    def _is_silent(self) -> bool:
        if self.time_since_contact >= self.silence_timeout:
            return True
        if self._disconnected_at is None:
            return False
        disconnected_for = self._clock.monotonic() - self._disconnected_at
        return disconnected_for >= self._settings.silence_timeout

    def _record_contact(self) -> None:
        self._last_contact_at = self._clock.monotonic()
        self._disconnected_at = None
        if self._marked_silent:
            self._marked_silent = False
            self._grant_to_sink()
        elif self.granted is not None:
            self._sink.renew(
                self.announce.server, self.granted.epoch, self._valid_until()
            )

    def _grant_to_sink(self) -> None:
        if self.granted is None:
            return
        # An unsettled grant is reported once per epoch; from then on the router
        # itself tracks the requests in doubt.
        reported = self.granted
        if reported.epoch == self._reported_epoch:
            reported = msgspec.structs.replace(reported, settled=True)
        self._reported_epoch = reported.epoch
        self._sink.grant(self.announce, reported, self._valid_until())
        if self.announce.state is BackendServerState.LEAVING:
            self._sink.mark_leaving(self.announce.server, self.granted.epoch)

    def _report(self, running: int, counted_after: timedelta | None) -> None:
        if self.granted is not None:
            self._sink.report(
                self.announce.server, self.granted.epoch, running, counted_after
            )

    def _valid_until(self) -> timedelta:
        return self._last_contact_at + self.silence_timeout


def _differs(first: Announce, second: Announce) -> bool:
    return _without_counts(first) != _without_counts(second)


def _without_counts(announce: Announce) -> Announce:
    return msgspec.structs.replace(announce, number=0, running=0, heard=0)
