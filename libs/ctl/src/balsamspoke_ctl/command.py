"""Command-line entry point: parse arguments and run one command in a reactor."""

import os
import random

import argcomplete
from twisted.internet.defer import maybeDeferred

from .context import Context
from .exceptions import CtlError, WriteConflict
from .exit_codes import ExitCode
from .fleet import Fleet, HttpStatusClient
from .output import Output
from .parser import make_parser
from .presentation import format_conflict
from .shares import HttpMetricsClient
from .writing import ChangeWriter


def main(arguments=None):
    """Run the command line and return the exit status."""
    parser = make_parser(os.environ)
    argcomplete.autocomplete(parser)
    parsed = parser.parse_args(arguments)
    _check_addresses(parser, parsed)
    return int(_run_in_reactor(parsed))


def run_command(parsed, context):
    """Run a parsed command and report its errors.

    Parameters
    ----------
    parsed : argparse.Namespace
        Result of a parser from ``make_parser``.
    context : Context
        Clients and settings that the command uses.

    Returns
    -------
    Deferred of ExitCode
        Each CtlError is printed and determines the exit code; other exceptions are
        passed on.
    """
    deferred = maybeDeferred(parsed.run, parsed, context)
    return deferred.addErrback(_report_failure, context.output)


def _report_failure(failure, output):
    error = failure.value
    errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
    unexpected = [member for member in errors if not isinstance(member, CtlError)]
    if unexpected:
        return failure
    for member in errors:
        is_conflict = isinstance(member, WriteConflict)
        output.show_problem(format_conflict(member) if is_conflict else str(member))
    # A write whose outcome is unknown takes precedence over all other errors.
    codes = {member.exit_code for member in errors}
    return ExitCode.UNKNOWN if ExitCode.UNKNOWN in codes else errors[0].exit_code


def _check_addresses(parser, parsed):
    required_addresses = set(parsed.required_addresses)
    if getattr(parsed, "metrics", None):
        # --metrics gives the addresses, so the VM list and object API aren't used.
        return
    if getattr(parsed, "wait", False) or parsed.command == "wait":
        required_addresses.add("vm_list")
    if parsed.command == "status" and parsed.team:
        required_addresses.add("object_api")
    missing = [
        f"--{name.replace('_', '-')} or BALSAMSPOKE_{name.upper()}"
        for name in sorted(required_addresses)
        if not getattr(parsed, name)
    ]
    if missing:
        parser.error(f"this command needs {' and '.join(missing)}")


def _run_in_reactor(parsed):
    from balsamspoke_transport.reactor import install_reactor

    install_reactor()
    from twisted.internet import reactor

    results = []

    def start():
        deferred = run_command(parsed, _make_context(parsed, reactor))
        deferred.addBoth(results.append)
        deferred.addCallback(lambda _: reactor.stop())

    reactor.callWhenRunning(start)
    reactor.run()
    if results and hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0] if results else ExitCode.UNKNOWN


def _make_context(parsed, reactor):
    from balsamspoke_platform import (
        HttpClient,
        HttpObjectStore,
        HttpVmList,
        ReactorClock,
        build_agent,
    )

    agent = build_agent(reactor)

    def make_client(base_url):
        return HttpClient(agent, reactor, base_url or "http://127.0.0.1")

    clock = ReactorClock(reactor)
    store = HttpObjectStore(make_client(parsed.object_api))
    random_source = random.SystemRandom()
    return Context(
        store=store,
        fleet=Fleet(
            HttpVmList(make_client(parsed.vm_list)),
            HttpStatusClient(make_client, parsed.status_port),
            clock,
        ),
        writer=ChangeWriter(store, clock, random_source, parsed.timeout),
        metrics=HttpMetricsClient(make_client),
        output=Output(parsed.output == "json"),
        timeout=parsed.timeout,
    )
