"""The subcommand that runs stand-ins for backend servers and workers."""

from __future__ import annotations

from absl import flags

from rhubarbfield.cli.options import load_function
from rhubarbfield.cli.registry import Invocation, subcommand
from rhubarbfield.exceptions import UsageError


def _define_flags(values: flags.FlagValues) -> None:
    flags.DEFINE_string("name", None, "Its id, unique.", flag_values=values)
    flags.DEFINE_string(
        "secret_file", None, "File with the shared secret.", flag_values=values
    )
    flags.DEFINE_multi_string(
        "to", [], "Address to announce itself to; repeatable.", flag_values=values
    )
    flags.DEFINE_integer(
        "count", 1, "How many; more than one get numbers.", 1, flag_values=values
    )
    flags.DEFINE_string("service", "board", "Service it answers.", flag_values=values)
    flags.DEFINE_integer("port", 0, "Port it answers on.", flag_values=values)
    flags.DEFINE_integer("slots", 8, "Requests it runs at once.", flag_values=values)
    flags.DEFINE_integer("connections", 64, "Connections.", flag_values=values)
    flags.DEFINE_string("domain", "", "Failure domain of a worker.", flag_values=values)
    flags.DEFINE_string("rack", "r1", "Rack of a worker.", flag_values=values)
    flags.DEFINE_float("cores", 32, "Cores of a worker.", flag_values=values)
    flags.DEFINE_integer("memory_mb", 125_000, "Memory.", flag_values=values)
    flags.DEFINE_integer("accelerators", 0, "Accelerators.", flag_values=values)


@subcommand(
    "stand-in",
    help="Stand in for a backend server or a worker (a daemon).",
    usage="backend|worker --name NAME --to HOST:PORT",
    flags=_define_flags,
)
def run_stand_in(invocation: Invocation) -> int:
    """Run stand-ins until a signal stops them."""
    kinds = ("backend", "worker")
    if len(invocation.arguments) != 1 or invocation.arguments[0] not in kinds:
        raise UsageError(
            "the kind of stand-in is missing or unknown", f"one of: {', '.join(kinds)}"
        )
    stand_in = load_function("standins", "run_stand_in")
    return int(stand_in(invocation.arguments[0], invocation.flags))
