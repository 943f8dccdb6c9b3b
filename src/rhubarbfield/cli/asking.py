"""Queries and commands of operators."""

from __future__ import annotations

import getpass
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from absl import flags

from rhubarbfield.cli.options import define_settings_flag, read_settings
from rhubarbfield.cli.registry import Call, subcommand
from rhubarbfield.exceptions import EXIT_FAILURE, UsageError

if TYPE_CHECKING:
    from returns.result import Result

    from rhubarbfield.fleet import CommandRecord
    from rhubarbfield.language import Table
    from rhubarbfield.operators import OperatorFailure, OperatorsClient
    from rhubarbfield.settings import Secret

EXIT_TRY_AGAIN = 75


def _define_connection_flags(values: flags.FlagValues) -> None:
    define_settings_flag(values)
    flags.DEFINE_multi_string(
        "address",
        [],
        "Address of a controller's operators' port, in place of --settings; repeat it"
        " to name several.",
        flag_values=values,
    )
    flags.DEFINE_string(
        "secret_file",
        None,
        "File with the shared secret, in place of that in the settings.",
        flag_values=values,
    )
    flags.DEFINE_enum(
        "format", "text", ["text", "json"], "How to write it.", flag_values=values
    )


def _define_command_flags(values: flags.FlagValues) -> None:
    _define_connection_flags(values)
    flags.DEFINE_string(
        "operator",
        None,
        "Who sends the command; the name of the user if not given.",
        flag_values=values,
    )
    flags.DEFINE_integer(
        "number",
        None,
        "Number of the command. Sent again under its number, a command has its effect"
        " once and gets its first answer.",
        lower_bound=1,
        flag_values=values,
    )


@subcommand(
    "query",
    help="Ask what is running, where and why.",
    usage="--settings FILE 'show jobs where tenant = NAME'",
    flags=_define_connection_flags,
)
def run_query(call: Call) -> int:
    """Ask a query and print the table."""
    from returns.result import Success

    from rhubarbfield.language import TableFormat, format_table

    text = _read_text(call, "query")

    async def ask(client: OperatorsClient) -> Result[Table, OperatorFailure]:
        return await client.query(text)

    outcome = _ask(call, ask)
    if isinstance(outcome, Success):
        call.write(format_table(outcome.unwrap(), TableFormat(call.flags.format)))
        return 0
    return _complain(call, outcome.failure())


@subcommand(
    "command",
    help="Create, cancel, drain or configure.",
    usage="--settings FILE --operator NAME --number N 'TEXT'",
    flags=_define_command_flags,
)
def run_command(call: Call) -> int:
    """Send a command and print the decision."""
    from returns.result import Success

    text = _read_text(call, "command")
    number = call.flags.number
    if number is None:
        raise UsageError(
            "--number is missing",
            "give a number that no command has had; show commands lists them",
        )
    operator = call.flags.operator or getpass.getuser()

    async def ask(client: OperatorsClient) -> Result[CommandRecord, OperatorFailure]:
        return await client.command(operator, number, text)

    outcome = _ask(call, ask)
    if isinstance(outcome, Success):
        return _write_record(call, outcome.unwrap())
    return _complain(call, outcome.failure())


@subcommand(
    "status",
    help="Print what a controller knows of itself.",
    usage="--settings FILE",
    flags=_define_connection_flags,
)
def run_status(call: Call) -> int:
    """Print the status of the first controller that answers."""
    import msgspec
    from returns.result import Success

    async def ask(client: OperatorsClient) -> Result[Any, OperatorFailure]:
        return await client.get_status()

    outcome = _ask(call, ask)
    if isinstance(outcome, Success):
        call.write(msgspec.json.format(msgspec.json.encode(outcome.unwrap())).decode())
        return 0
    return _complain(call, outcome.failure())


def _read_text(call: Call, what: str) -> str:
    from returns.result import Failure

    from rhubarbfield.language import parse

    text = " ".join(call.arguments).strip()
    if not text:
        raise UsageError(f"the {what} is missing", "put it in quotes, after the flags")
    outcome = parse(text)
    if isinstance(outcome, Failure):
        raise UsageError(outcome.failure().format())
    return text


def _ask(call: Call, ask: Any) -> Any:
    import trio

    from rhubarbfield.operators import OperatorsClient

    addresses, secret, instances = _find_controllers(call)

    async def connect() -> Any:
        async with OperatorsClient(addresses, secret, instances) as client:
            return await ask(client)

    return trio.run(connect)


def _find_controllers(call: Call) -> tuple[Sequence[str], Secret, dict[str, str]]:
    from returns.result import Failure

    from rhubarbfield.settings import load_secret

    addresses, secret_file = call.flags.address, call.flags.secret_file
    instances: dict[str, str] = {}
    if not (addresses and secret_file):
        settings = read_settings(call)
        secret_file = secret_file or settings.secret_file
        own = settings.instance.name
        listed = sorted(settings.fleet.instances, key=lambda one: one.name != own)
        instances = {
            one.name: f"{_bracket(one.host)}:{one.operators_port}" for one in listed
        }
        addresses = addresses or list(instances.values())
    outcome = load_secret(secret_file)
    if isinstance(outcome, Failure):
        raise UsageError(outcome.failure().format())
    return addresses, outcome.unwrap(), instances


def _bracket(host: str) -> str:
    return f"[{host}]" if ":" in host else host


def _write_record(call: Call, record: CommandRecord) -> int:
    if call.flags.format == "json":
        import msgspec

        call.write(msgspec.json.format(msgspec.json.encode(record)).decode())
    else:
        decided = record.decided_at.strftime("%Y-%m-%d %H:%M:%S UTC")
        verdict = "accepted" if record.accepted else "refused"
        call.write(f"{verdict}: {record.answer}")
        call.write(f"command {record.number} of {record.operator}, decided {decided}")
    return 0 if record.accepted else EXIT_FAILURE


def _complain(call: Call, failure: OperatorFailure) -> int:
    from rhubarbfield.operators import FailureKind

    call.complain(failure.message)
    if failure.leader:
        call.complain(f"instance {failure.leader} leads")
    if failure.next_number:
        call.complain(f"number {failure.next_number} was free")
    again = {
        FailureKind.UNKNOWN_OUTCOME,
        FailureKind.INTERNAL,
        FailureKind.BUSY,
        FailureKind.NO_QUORUM,
        FailureKind.NOT_LEADER,
        FailureKind.UNREACHABLE,
    }
    return EXIT_TRY_AGAIN if failure.kind in again else EXIT_FAILURE
