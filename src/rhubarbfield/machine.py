"""Deterministic state machines driven by a replicated log.

A component keeps its state in a :class:`msgspec.Struct`, defines each change
as a tagged struct derived from :class:`Command`, and registers the function
that applies it with :meth:`CommandRegistry.applies`.
:class:`SectionedMachine` combines several components under one log.

Registered functions depend only on the state and the command, not on a clock,
a random source or settings. The leader that proposes a command puts any such
value into the command.
"""

from __future__ import annotations

import functools
import operator
from collections.abc import Callable, Iterable, Mapping
from typing import Any, Generic, TypeVar

import msgspec

from rhubarbfield.containment import Unit, contain
from rhubarbfield.exceptions import BrokenInvariantError, RhubarbfieldError
from rhubarbfield.types import LogIndex


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands of a replicated log."""


class Reply(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of the results of applying a command."""


class Done(Reply, frozen=True):
    """The command was applied."""


class Refused(Reply, frozen=True):
    """The command was valid but had no effect.

    Attributes
    ----------
    reason
        Why, as a sentence for the user.
    """

    reason: str


class Inapplicable(Reply, frozen=True):
    """Applying the command raised an error, on every replica alike.

    Attributes
    ----------
    reason
        The error.
    """

    reason: str


class UnencodableCommandError(RhubarbfieldError):
    """A command can't be written to the log, or not be read from it."""


StateT = TypeVar("StateT")
Watcher = Callable[[LogIndex, "Command", "Reply"], None]
CommandT = TypeVar("CommandT", bound=Command)
Applier = Callable[[Any, Any], Reply]


def join_types(types: Iterable[type]) -> Any:
    """Return the union of ``types``, for a decoder."""
    return functools.reduce(operator.or_, types)


class CommandRegistry(Generic[StateT]):
    """Registry of the commands of one type of state."""

    def __init__(self) -> None:
        self._appliers: dict[type[Command], Applier] = {}

    @property
    def command_types(self) -> tuple[type[Command], ...]:
        """Registered command types, in order of registration."""
        return tuple(self._appliers)

    def applies(
        self, command_type: type[CommandT]
    ) -> Callable[
        [Callable[[StateT, CommandT], Reply]], Callable[[StateT, CommandT], Reply]
    ]:
        """Register the decorated function to apply commands of ``command_type``."""

        def register(
            applier: Callable[[StateT, CommandT], Reply],
        ) -> Callable[[StateT, CommandT], Reply]:
            self._appliers[command_type] = applier
            return applier

        return register

    def apply(self, state: StateT, command: Command) -> Reply:
        """Apply ``command`` to ``state`` and return the reply."""
        return self._appliers[type(command)](state, command)


class SectionedMachine(Generic[StateT]):
    """Replicated state machine made of named sections.

    Parameters
    ----------
    state_type
        Struct with one field per section; each field has a default.
    sections
        Command registry of each section, by field name.
    reply_types
        All replies that a registered function may return besides
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
            join_types((Done, Refused, Inapplicable, *reply_types))
        )
        self._states = msgspec.msgpack.Decoder(state_type)
        self._encoder = msgspec.msgpack.Encoder()
        self._watchers: list[Watcher] = []
        self._restore_watchers: list[Callable[[], None]] = []

    def watch(self, watcher: Watcher) -> None:
        """Call ``watcher`` after each command applied from now on."""
        self._watchers.append(watcher)

    def unwatch(self, watcher: Watcher) -> None:
        """Undo one call of :meth:`watch`."""
        self._watchers.remove(watcher)

    def watch_restore(self, watcher: Callable[[], None]) -> None:
        """Call ``watcher`` after each restore from now on."""
        self._restore_watchers.append(watcher)

    def encode_command(self, command: Command) -> bytes:
        """Encode ``command`` for the log.

        Raises
        ------
        UnencodableCommandError
            If replicas could not read it.
        """
        try:
            data = self._encoder.encode(command)
            self._commands.decode(data)
        except (ValueError, TypeError, OverflowError, RecursionError) as error:
            name = type(command).__name__
            raise UnencodableCommandError(f"{name}: {error}") from error
        return data

    def decode_reply(self, data: bytes) -> Reply:
        """Decode a reply encoded by :meth:`apply`."""
        return self._replies.decode(data)

    def apply(self, index: LogIndex, command: bytes) -> bytes:
        """Apply an encoded command and return the encoded reply.

        A registered function that raises has done the same to the state of every
        replica; the reply is then :class:`Inapplicable`.

        Raises
        ------
        BrokenInvariantError
            If this version can't read the command, as it could only leave out what
            other replicas apply.
        """
        try:
            decoded = self._commands.decode(command)
        except msgspec.MsgspecError as error:
            observed = f"index {index}: {error}"
            raise BrokenInvariantError("committed-is-readable", observed) from error
        name, registry = self._sections[type(decoded)]
        kind = type(decoded).__name__
        reply: Reply
        try:
            reply = registry.apply(getattr(self.state, name), decoded)
        except Exception as error:
            contain(Unit.COMMAND, error, command=kind, index=index)
            reply = Inapplicable(reason=repr(error))
        for watcher in self._watchers:
            try:
                watcher(index, decoded, reply)
            except Exception as error:
                contain(Unit.OBSERVER, error, command=kind, index=index)
        return self._encoder.encode(reply)

    def take_snapshot(self) -> bytes:
        """Encode the whole state."""
        return self._encoder.encode(self.state)

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by one encoded by :meth:`take_snapshot`."""
        self.state = self._states.decode(snapshot)
        for watcher in self._restore_watchers:
            watcher()
