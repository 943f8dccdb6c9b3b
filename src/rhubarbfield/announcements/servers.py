"""What an entry knows of one backend server, over all its connections."""

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
    """One backend server: its last words, and whether this entry owns it.

    Its calls to the domain take turns, so that a release in progress is
    always settled before the next claim is made.

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
        self._heard_at = clock.monotonic()
        self._ended_at: timedelta | None = None
        self._told_interval = settings.heartbeat_interval
        self._expected_interval = settings.heartbeat_interval
        self._quiet = False
        self._retired = False
        self._told_epoch = Epoch(0)
        self._turn = trio.Lock()

    @property
    def silent_for(self) -> timedelta:
        """How long nothing has been heard of the server."""
        return self._clock.monotonic() - self._heard_at

    @property
    def silence_timeout(self) -> timedelta:
        """How long the server may say nothing."""
        least = self._settings.heartbeat_interval
        return self._settings.silence_timeout * (self._expected_interval / least)

    def expect(self, interval: timedelta) -> None:
        """Note the interval that the server is told now.

        It follows it only from its next heartbeat on, and may still send that
        one at the interval it was told before.
        """
        self._expected_interval = max(self._told_interval, interval)
        self._told_interval = interval

    def note_end(self) -> None:
        """Note that the server's connection has ended, with no other one."""
        self._ended_at = self._clock.monotonic()

    def hear(self, announce: Announce, counted_after: timedelta | None = None) -> None:
        """Take in an announcement and pass it to the router at once.

        Parameters
        ----------
        announce
            The announcement.
        counted_after
            A reading of the entry's clock surely before the server counted;
            None if that is not known.
        """
        before, self.announce = self.announce, announce
        self._touch()
        if _differs(before, announce):
            self.changed.set()
            self._use()
        self._report(announce.running, counted_after)

    def hear_heartbeat(
        self, running: int, counted_after: timedelta | None = None
    ) -> None:
        """Take in a heartbeat; see :meth:`hear`."""
        self._touch()
        self._report(running, counted_after)

    def check_silence(self) -> None:
        """Tell the router once the server has been silent for too long."""
        if self.granted is None or self._quiet:
            return
        if self._is_silent():
            self._quiet = True
            logger.info("server-silent server=%s", self.announce.server)
            self._sink.mark_leaving(self.announce.server, self.granted.epoch)

    async def publish(self) -> OwnedBy | None:
        """Bring the domain's view up to date, however long that takes.

        Returns
        -------
        OwnedBy or None
            Another entry that owns the server.
        """
        while self._is_outdated():
            async with self._turn:
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
        """Stop using the server; return whether nothing of ours runs on it."""
        granted, self.granted = self.granted, None
        self._told_epoch = Epoch(0)
        self.changed.set()
        return granted is None or self._sink.revoke(self.announce.server, granted.epoch)

    async def hand_over(self) -> None:
        """Give the server up for another entry, and never claim it again."""
        self._retired = True
        await self.release(removed=False)

    async def release(self, *, removed: bool) -> None:
        """Give the server up and see it through.

        Parameters
        ----------
        removed
            Whether no entry is to look for the server.
        """
        async with self._turn:
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
                self._take_grant(granted)
                return Success(None)
            case Failure(failure):
                return Failure(failure)
        raise AssertionError

    def _take_grant(self, granted: Granted) -> None:
        check_invariant(
            self.granted is None or granted.epoch >= self.granted.epoch,
            "owner-epoch-grows",
            (self.announce.server, self.granted, granted),
        )
        self.granted = granted
        self._use()
        self._report(self.announce.running, None)

    def _is_outdated(self) -> bool:
        if self._retired:
            return False
        return self.granted is None or _differs(self._published, self.announce)

    def _is_silent(self) -> bool:
        if self.silent_for >= self.silence_timeout:
            return True
        if self._ended_at is None:
            return False
        without = self._clock.monotonic() - self._ended_at
        return without >= self._settings.silence_timeout

    def _touch(self) -> None:
        self._heard_at = self._clock.monotonic()
        self._ended_at = None
        if self._quiet:
            self._quiet = False
            self._use()
        elif self.granted is not None:
            self._sink.renew(self.announce.server, self.granted.epoch, self._until())

    def _use(self) -> None:
        if self.granted is None:
            return
        # Doubt is told once: the router has kept it since the first time.
        told = self.granted
        if told.epoch == self._told_epoch:
            told = msgspec.structs.replace(told, settled=True)
        self._told_epoch = told.epoch
        self._sink.grant(self.announce, told, self._until())
        if self.announce.state is BackendServerState.LEAVING:
            self._sink.mark_leaving(self.announce.server, self.granted.epoch)

    def _report(self, running: int, counted_after: timedelta | None) -> None:
        if self.granted is not None:
            self._sink.report(
                self.announce.server, self.granted.epoch, running, counted_after
            )

    def _until(self) -> timedelta:
        return self._heard_at + self.silence_timeout


def _differs(one: Announce, other: Announce) -> bool:
    return _without_counts(one) != _without_counts(other)


def _without_counts(announce: Announce) -> Announce:
    return msgspec.structs.replace(announce, number=0, running=0, heard=0)
