"""Digests of the heartbeats that a controller answers without the leader."""

from __future__ import annotations

import logging
from collections.abc import Awaitable, Callable
from datetime import timedelta

import msgspec
from returns.result import Result, Success

from rhubarbfield.clock import Clock
from rhubarbfield.logs import log_event
from rhubarbfield.peering import CallFailure
from rhubarbfield.scheduling.heartbeats import (
    DigestHandled,
    Heartbeat,
    HeartbeatDigest,
    HeartbeatReply,
    HeartbeatRequest,
    Sighting,
)
from rhubarbfield.scheduling.model import STATE_VERSION
from rhubarbfield.types import InstanceName, WorkerId

logger = logging.getLogger(__name__)

# Shorter than the interval of heartbeats: a controller that is cut off then
# acknowledges at most one of a worker, which is not silent to the leader before
# it has missed two.
CONTACT_TIMEOUT = timedelta(seconds=1)
DIGEST_INTERVAL = timedelta(milliseconds=250)  # from one digest to the next
# Together with the interval, shorter than the timeout of contact, which thus
# outlasts the loss of one digest.
DIGEST_TIMEOUT = timedelta(milliseconds=700)

LeaderCall = Callable[
    [InstanceName, HeartbeatRequest, timedelta],
    Awaitable[Result[HeartbeatReply, CallFailure]],
]


class _Answered(msgspec.Struct, frozen=True):
    """A heartbeat that was answered, and when it was received."""

    heartbeat: Heartbeat
    received_at: timedelta


class DigestSender:
    """Collects answered heartbeats, and sends them to the leader.

    Parameters
    ----------
    call
        Calls a controller, and returns its reply within a timeout.
    clock
        Source of time.
    name
        This controller.
    """

    def __init__(self, call: LeaderCall, clock: Clock, name: InstanceName) -> None:
        self._name = name
        self._call = call
        self._clock = clock
        self._answered: dict[WorkerId, _Answered] = {}
        self._accepted_by: InstanceName | None = None
        self._accepted_at: timedelta | None = None
        self._had_contact = False

    @property
    def has_contact(self) -> bool:
        """Whether a leader accepted a digest that was sent a short time ago."""
        if self._accepted_at is None:
            return False
        return self._clock.monotonic() - self._accepted_at <= CONTACT_TIMEOUT

    def was_accepted_by(self, leader: InstanceName) -> bool:
        """Return whether the last accepted digest was accepted by ``leader``."""
        return leader == self._accepted_by

    def add(self, heartbeat: Heartbeat) -> None:
        """Include a heartbeat in the next digest, unless a later one is included."""
        self._keep(_Answered(heartbeat, self._clock.monotonic()))

    def clear(self) -> None:
        """Forget the heartbeats, since this controller leads."""
        self._answered.clear()
        self._accepted_by = self._accepted_at = None
        self._had_contact = False

    async def send(self, leader: InstanceName | None) -> tuple[WorkerId, ...]:
        """Send a digest, also without heartbeats, since it proves contact.

        Returns
        -------
        tuple of WorkerId
            Workers that the leader does not know.
        """
        unknown: tuple[WorkerId, ...] = ()
        if leader is not None:
            unknown = await self._send_to(leader)
        if self.has_contact != self._had_contact:
            self._had_contact = not self._had_contact
            log_event(
                logger,
                logging.INFO,
                "leader-regained" if self._had_contact else "leader-lost",
                leader=leader,
            )
        return unknown

    async def _send_to(self, leader: InstanceName) -> tuple[WorkerId, ...]:
        sent_at = self._clock.monotonic()
        sent = self._take_answered(sent_at)
        digest = HeartbeatDigest(
            tuple(
                Sighting(
                    each.heartbeat.report.worker,
                    each.heartbeat.sequence,
                    each.heartbeat.clock,
                    sent_at - each.received_at,
                )
                for each in sent
            ),
            self._name,
            STATE_VERSION,
        )
        match await self._call(leader, digest, DIGEST_TIMEOUT):
            case Success(DigestHandled(unknown=unknown)):
                self._accepted_by = leader
                self._accepted_at = sent_at
                return unknown
        for each in sent:
            self._keep(each)
        return ()

    def _take_answered(self, now: timedelta) -> list[_Answered]:
        """Return what the next digest lists.

        Older heartbeats are left out: their workers have called another
        controller since.
        """
        taken = self._answered.values()
        self._answered = {}
        return [each for each in taken if now - each.received_at <= CONTACT_TIMEOUT]

    def _keep(self, answered: _Answered) -> None:
        worker = answered.heartbeat.report.worker
        present = self._answered.get(worker)
        if present is None or present.heartbeat.sequence < answered.heartbeat.sequence:
            self._answered[worker] = answered
