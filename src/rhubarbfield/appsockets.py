"""Sockets of the apps that hypercorn serves."""

from __future__ import annotations

from hypercorn.config import Config, Sockets

from rhubarbfield.waits import bind_when_free


async def bind_app(config: Config) -> None:
    """Bind the address of ``config`` once it is free, as hypercorn does not wait."""

    async def bind() -> Sockets:
        return config.create_sockets()

    sockets = await bind_when_free(config.bind[0], bind)
    config.bind = [f"fd://{socket.detach()}" for socket in sockets.insecure_sockets]
