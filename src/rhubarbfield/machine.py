"""Deterministic state machines that a replicated log drives.

A part of the system keeps its state in a :class:`msgspec.Struct`, describes
each change as a tagged struct derived from :class:`Command`, and registers
the function that makes the change with :meth:`CommandRegistry.applies`.
:class:`SectionedMachine` joins several such parts under one log.

Functions registered here see nothing but the state and the command: no
clock, no random source, no settings. What a change needs of these is put
into the command by the leader that proposes it.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

import msgspec

from rhubarbfield.types import LogIndex


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all changes that go through a replicated log."""


class Reply(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of what applying a command answers."""


class Done(Reply, frozen=True):
    """The command had its effect, and there is nothing more to say."""


class Refused(Reply, frozen=True):
    """The command was valid but had no effect.

    Attributes
    ----------
    reason
        A sentence for a person.
    """

    reason: str


StateT = TypeVar("StateT")
Watcher = Callable[[LogIndex, "Command", "Reply"], None]
CommandT = TypeVar("CommandT", bound=Command)
Applier = Callable[[Any, Any], Reply]


def join_types(types: Iterable[type]) -> Any:
    """Return the union of ``types``, for a decoder."""
    return functools.reduce(operator.or_, types)


class CommandRegistry(Generic[StateT]):
    """The commands of one kind of state, filled by a decorator."""

    def __init__(self) -> None:
        self._appliers: dict[type[Command], Applier] = {}

    @property
    def command_types(self) -> tuple[type[Command], ...]:
        """The registered command types, in order of registration."""
        return tuple(self._appliers)

    def applies(
        self, command_type: type[CommandT]
    ) -> Callable[
        [Callable[[StateT, CommandT], Reply]], Callable[[StateT, CommandT], Reply]
    ]:
        """Register the decorated function as what applies ``command_type``."""

        def register(
            applier: Callable[[StateT, CommandT], Reply],
        ) -> Callable[[StateT, CommandT], Reply]:
            self._appliers[command_type] = applier
            return applier

        return register

    def apply(self, state: StateT, command: Command) -> Reply:
        """Change ``state`` as ``command`` says and return the answer."""
        return self._appliers[type(command)](state, command)


class SectionedMachine(Generic[StateT]):
    """A replicated state machine made of named sections.

    Parameters
    ----------
    state_type
        A struct with one field for each section; each field has a default.
    sections
        For each field name, the registry of the commands that change it.
    reply_types
        Every reply that a registered function may return besides
        :class:`Done` and :class:`Refused`.
    """

    def __init__(
        self,
        state_type: type[StateT],
        sections: Mapping[str, CommandRegistry[Any]],
        reply_types: tuple[type[Reply], ...] = (),
    ) -> None:
        self.state = state_type()
        self._sections = {
            command_type: (name, registry)
            for name, registry in sections.items()
            for command_type in registry.command_types
        }
        self._commands = msgspec.msgpack.Decoder(join_types(self._sections))
        self._replies = msgspec.msgpack.Decoder(
            join_types((Done, Refused, *reply_types))
        )
        self._states = msgspec.msgpack.Decoder(state_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._watchers: list[Watcher] = []
        self._restore_watchers: list[Callable[[], None]] = []

    def watch(self, watcher: Watcher) -> None:
        """Have ``watcher`` called after each command applied from now on."""
        self._watchers.append(watcher)

    def watch_restore(self, watcher: Callable[[], None]) -> None:
        """Have ``watcher`` called after each restore from now on."""
        self._restore_watchers.append(watcher)

    def encode_command(self, command: Command) -> bytes:
        """Return the bytes of ``command`` as the log keeps them."""
        return self._encoder.encode(command)

    def decode_reply(self, data: bytes) -> Reply:
        """Return the reply that :meth:`apply` encoded as ``data``."""
        return self._replies.decode(data)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply an encoded command and return the encoded reply."""
        decoded = self._commands.decode(command)
        name, registry = self._sections[type(decoded)]
        reply = registry.apply(getattr(self.state, name), decoded)
        for watcher in self._watchers:
            watcher(index, decoded, reply)
        return self._encoder.encode(reply)

    def take_snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return self._encoder.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of :meth:`take_snapshot`."""
        self.state = self._states.decode(snapshot)
        for watcher in self._restore_watchers:
            watcher()
