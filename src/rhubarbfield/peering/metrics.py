"""Metrics of the transport between processes."""

from __future__ import annotations

from prometheus_client import Counter

MESSAGES = Counter(
    "rhubarbfield_peering_messages",
    "Messages between this process and others.",
    ["direction"],
)
BYTES = Counter(
    "rhubarbfield_peering_bytes",
    "Bytes of messages between this process and others, without framing.",
    ["direction"],
)

_SENT_MESSAGES = MESSAGES.labels("sent")
_SENT_BYTES = BYTES.labels("sent")
_RECEIVED_MESSAGES = MESSAGES.labels("received")
_RECEIVED_BYTES = BYTES.labels("received")


def count_sent(size: int) -> None:
    """Count a sent message of ``size`` bytes."""
    _SENT_MESSAGES.inc()
    _SENT_BYTES.inc(size)


def count_received(size: int) -> None:
    """Count a received message of ``size`` bytes."""
    _RECEIVED_MESSAGES.inc()
    _RECEIVED_BYTES.inc(size)
