"""The asyncio loop inside trio that grpclib needs."""

from __future__ import annotations

import logging
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import trio_asyncio

logger = logging.getLogger(__name__)


@asynccontextmanager
async def open_bridge() -> AsyncIterator[None]:
    """Run an asyncio loop inside trio while the block runs.

    An error in a callback of that loop affects a single connection: it is
    logged and the process continues.
    """
    async with trio_asyncio.open_loop() as loop:
        loop.set_exception_handler(_log_fault)
        yield


def _log_fault(loop: Any, context: dict[str, Any]) -> None:
    logger.error(
        "connection-fault %s", context.get("message"), exc_info=context.get("exception")
    )
