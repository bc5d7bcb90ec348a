"""Argument parser of the tool."""

import argparse
from datetime import timedelta
from pathlib import Path

from balsamspoke_types.objects import CATALOGUE_KINDS

from . import fleet_commands, key_commands, log_commands, object_commands
from .exit_codes import format_exit_codes

OBJECT_API_VARIABLE = "BALSAMSPOKE_OBJECT_API"
VM_LIST_VARIABLE = "BALSAMSPOKE_VM_LIST"
STATUS_PORT_VARIABLE = "BALSAMSPOKE_STATUS_PORT"
DEFAULT_STATUS_PORT = "7401"
DEFAULT_TIMEOUT = timedelta(seconds=30)
DEFAULT_STATE_LINES = 5

_KIND_NAMES = [kind.value for kind in CATALOGUE_KINDS]
_EXAMPLES = """\
examples:
  balsamspokectl diff catalogue.yaml            show what apply would change
  balsamspokectl apply catalogue.yaml --wait    write it, wait until it is in force
  balsamspokectl key issue prefeitura           issue a key; it is shown once
  balsamspokectl status --adapter tides         where an adapter is loaded
  balsamspokectl explain REQUEST-ID             what was decided, and why
  balsamspokectl trace REQUEST-ID entry.log     each attempt, from collected logs
"""


def make_parser(environment):
    """Return the ArgumentParser of the tool.

    Parameters
    ----------
    environment : mapping
        Environment variables, which supply defaults.
    """
    parser = argparse.ArgumentParser(
        prog="balsamspokectl",
        description="Show and change the catalogue, and show the state of the fleet.",
        epilog=f"{_EXAMPLES}\n{format_exit_codes()}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    _add_settings(parser, environment)
    commands = parser.add_subparsers(dest="command", required=True, metavar="COMMAND")
    _add_object_commands(commands)
    _add_key_commands(commands)
    _add_fleet_commands(commands)
    return parser


def _add_settings(parser, environment):
    parser.add_argument(
        "--object-api",
        metavar="URL",
        default=environment.get(OBJECT_API_VARIABLE),
        help=f"base address of the object API (or {OBJECT_API_VARIABLE})",
    )
    parser.add_argument(
        "--vm-list",
        metavar="URL",
        default=environment.get(VM_LIST_VARIABLE),
        help=f"base address of the VM list (or {VM_LIST_VARIABLE})",
    )
    parser.add_argument(
        "--status-port",
        type=int,
        default=environment.get(STATUS_PORT_VARIABLE, DEFAULT_STATUS_PORT),
        help="status port of the entry and side processes "
        f"(or {STATUS_PORT_VARIABLE}; {DEFAULT_STATUS_PORT})",
    )
    parser.add_argument(
        "--timeout",
        type=_parse_seconds,
        default=DEFAULT_TIMEOUT,
        metavar="SECONDS",
        help="how long to wait for a revision to be in force, and to retry a write "
        "whose outcome is unknown",
    )
    parser.add_argument("--output", choices=("text", "json"), default="text")


def _add_object_commands(commands):
    apply = _add_command(commands, "apply", object_commands.apply)
    _add_files_argument(apply)
    _add_wait_flag(apply)
    _add_files_argument(_add_command(commands, "diff", object_commands.diff))
    validate = _add_command(
        commands, "validate", object_commands.validate, required_addresses=()
    )
    _add_files_argument(validate)
    validate.add_argument(
        "--complete",
        action="store_true",
        help="the files are the whole catalogue: check references between objects too",
    )
    get = _add_command(commands, "get", object_commands.get)
    get.add_argument("kind", choices=_KIND_NAMES)
    get.add_argument("name")
    listing = _add_command(commands, "list", object_commands.show_list)
    listing.add_argument("kind", choices=_KIND_NAMES)
    listing.add_argument("--team", help="only what belongs to a team")
    delete = _add_command(commands, "delete", object_commands.delete)
    delete.add_argument("kind", choices=_KIND_NAMES)
    delete.add_argument("names", nargs="+", metavar="NAME")
    _add_wait_flag(delete)


def _add_key_commands(commands):
    key = commands.add_parser("key", help="Issue and withdraw keys.")
    actions = key.add_subparsers(dest="action", required=True, metavar="ACTION")
    issue = _add_command(actions, "issue", key_commands.issue)
    issue.add_argument("team", metavar="TEAM")
    issue.add_argument("--name", help="name of the key's record; random if left out")
    _add_wait_flag(issue)
    withdraw = _add_command(actions, "withdraw", key_commands.withdraw)
    withdraw.add_argument("name", metavar="NAME")
    _add_wait_flag(withdraw)


def _add_fleet_commands(commands):
    status = _add_command(
        commands, "status", fleet_commands.status, required_addresses=("vm_list",)
    )
    status.add_argument("--team", help="a team's limits, keys and loaded adapters")
    status.add_argument(
        "--metrics",
        nargs="+",
        metavar="IP:PORT",
        help="with --team: its shares at entry processes with these metrics ports",
    )
    status.add_argument("--adapter", help="where ADAPTER or ADAPTER:VERSION is loaded")
    wait = _add_command(commands, "wait", fleet_commands.wait)
    wait.add_argument("--revision", type=int, help="the current one if left out")
    explain = _add_command(
        commands, "explain", fleet_commands.explain, required_addresses=("vm_list",)
    )
    explain.add_argument("request", metavar="REQUEST-ID")
    trace = _add_command(commands, "trace", log_commands.trace, required_addresses=())
    trace.add_argument("request", metavar="REQUEST-ID")
    trace.add_argument("files", nargs="*", type=Path, metavar="FILE")
    trace.add_argument(
        "--beliefs",
        type=int,
        default=DEFAULT_STATE_LINES,
        help="how many of the latest state events to show; those of the request's "
        "replicas are always shown",
    )


def _add_command(commands, name, run, required_addresses=("object_api",)):
    summary = run.__doc__.splitlines()[0]
    command = commands.add_parser(name, help=summary, description=summary)
    command.set_defaults(run=run, required_addresses=required_addresses)
    return command


def _add_files_argument(command):
    command.add_argument("files", nargs="+", type=Path, metavar="FILE")


def _add_wait_flag(command):
    command.add_argument(
        "--wait", action="store_true", help="wait until it is in force everywhere"
    )


def _parse_seconds(text):
    seconds = float(text)
    if not 0 <= seconds < 1e6:
        raise argparse.ArgumentTypeError(f"{text!r} isn't a number of seconds")
    return timedelta(seconds=seconds)
