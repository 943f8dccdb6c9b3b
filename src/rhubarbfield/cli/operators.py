"""Subcommands for operators: query, command and status."""

from __future__ import annotations

import getpass
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from absl import flags

from rhubarbfield.cli.options import define_settings_flag, read_settings
from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import EXIT_FAILURE, UsageError

if TYPE_CHECKING:
    from returns.result import Result

    from rhubarbfield.fleet import CommandRecord
    from rhubarbfield.language import Table
    from rhubarbfield.operators import OperatorFailure, OperatorsClient
    from rhubarbfield.settings import Secret

EXIT_TEMPORARY_FAILURE = 75


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
def run_query(invocation: Invocation) -> int:
    """Send a query and print the resulting table."""
    from returns.result import Success

    from rhubarbfield.language import TableFormat, format_table

    text = _read_text(invocation, "query")

    async def send(client: OperatorsClient) -> Result[Table, OperatorFailure]:
        return await client.query(text)

    outcome = _send(invocation, send)
    if isinstance(outcome, Success):
        invocation.write(
            format_table(outcome.unwrap(), TableFormat(invocation.flags.format))
        )
        return 0
    return _report_failure(invocation, outcome.failure())


@subcommand(
    "command",
    help="Create, cancel, drain or configure.",
    usage="--settings FILE --operator NAME --number N 'TEXT'",
    flags=_define_command_flags,
)
def run_command(invocation: Invocation) -> int:
    """Send a command and print the decision on it."""
    from returns.result import Success

    text = _read_text(invocation, "command")
    number = invocation.flags.number
    if number is None:
        raise UsageError(
            "--number is missing",
            "give a number that no command has had; show commands lists them",
        )
    operator = invocation.flags.operator or getpass.getuser()

    async def send(client: OperatorsClient) -> Result[CommandRecord, OperatorFailure]:
        return await client.command(operator, number, text)

    outcome = _send(invocation, send)
    if isinstance(outcome, Success):
        return _write_record(invocation, outcome.unwrap())
    return _report_failure(invocation, outcome.failure())


@subcommand(
    "status",
    help="Print what a controller knows of itself.",
    usage="--settings FILE",
    flags=_define_connection_flags,
)
def run_status(invocation: Invocation) -> int:
    """Print the status of the first controller that answers."""
    import msgspec
    from returns.result import Success

    async def send(client: OperatorsClient) -> Result[Any, OperatorFailure]:
        return await client.get_status()

    outcome = _send(invocation, send)
    if isinstance(outcome, Success):
        invocation.write(
            msgspec.json.format(msgspec.json.encode(outcome.unwrap())).decode()
        )
        return 0
    return _report_failure(invocation, outcome.failure())


def _read_text(invocation: Invocation, what: str) -> str:
    from returns.result import Failure

    from rhubarbfield.language import parse

    text = " ".join(invocation.arguments).strip()
    if not text:
        raise UsageError(f"the {what} is missing", "put it in quotes, after the flags")
    outcome = parse(text)
    if isinstance(outcome, Failure):
        raise UsageError(outcome.failure().format())
    return text


def _send(invocation: Invocation, send: Any) -> Any:
    import trio

    from rhubarbfield.operators import OperatorsClient

    addresses, secret, instances = _find_controllers(invocation)

    async def run() -> Any:
        async with OperatorsClient(addresses, secret, instances) as client:
            return await send(client)

    return trio.run(run)


def _find_controllers(
    invocation: Invocation,
) -> tuple[Sequence[str], Secret, dict[str, str]]:
    from returns.result import Failure

    from rhubarbfield.settings import load_secret

    addresses, secret_file = invocation.flags.address, invocation.flags.secret_file
    instances: dict[str, str] = {}
    if not (addresses and secret_file):
        settings = read_settings(invocation)
        secret_file = secret_file or settings.secret_file
        own = settings.instance.name
        listed = sorted(settings.fleet.instances, key=lambda one: one.name != own)
        instances = {
            one.name: f"{_format_host(one.host)}:{one.operators_port}" for one in listed
        }
        addresses = addresses or list(instances.values())
    outcome = load_secret(secret_file)
    if isinstance(outcome, Failure):
        raise UsageError(outcome.failure().format())
    return addresses, outcome.unwrap(), instances


def _format_host(host: str) -> str:
    return f"[{host}]" if ":" in host else host


def _write_record(invocation: Invocation, record: CommandRecord) -> int:
    if invocation.flags.format == "json":
        import msgspec

        invocation.write(msgspec.json.format(msgspec.json.encode(record)).decode())
    else:
        decided = record.decided_at.strftime("%Y-%m-%d %H:%M:%S UTC")
        verdict = "accepted" if record.accepted else "refused"
        invocation.write(f"{verdict}: {record.answer}")
        invocation.write(
            f"command {record.number} of {record.operator}, decided {decided}"
        )
    return 0 if record.accepted else EXIT_FAILURE


def _report_failure(invocation: Invocation, failure: OperatorFailure) -> int:
    from rhubarbfield.operators import FailureKind

    invocation.write_error(failure.message)
    if failure.leader:
        invocation.write_error(f"instance {failure.leader} leads")
    if failure.next_number:
        invocation.write_error(f"number {failure.next_number} was free")
    temporary = {
        FailureKind.UNKNOWN_OUTCOME,
        FailureKind.INTERNAL,
        FailureKind.BUSY,
        FailureKind.NO_QUORUM,
        FailureKind.NOT_LEADER,
        FailureKind.UNREACHABLE,
    }
    return EXIT_TEMPORARY_FAILURE if failure.kind in temporary else EXIT_FAILURE
