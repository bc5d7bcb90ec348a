"""Run one command of the tool in a reactor of its own."""

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
    """Run the tool; return the exit status."""
    parser = make_parser(os.environ)
    argcomplete.autocomplete(parser)
    parsed = parser.parse_args(arguments)
    _check_addresses(parser, parsed)
    return int(_run_in_reactor(parsed))


def run_command(parsed, context):
    """Run the parsed command.

    Parameters
    ----------
    parsed : argparse.Namespace
        From ``make_parser``.
    context : Context
        The ports.

    Returns
    -------
    Deferred of ExitCode
        Errors that the tool knows are printed and end in their code.
    """
    running = maybeDeferred(parsed.run, parsed, context)
    return running.addErrback(_report_failure, context.output)


def _report_failure(failure, output):
    error = failure.value
    errors = error.exceptions if isinstance(error, ExceptionGroup) else (error,)
    unknown = [found for found in errors if not isinstance(found, CtlError)]
    if unknown:
        return failure
    for found in errors:
        is_conflict = isinstance(found, WriteConflict)
        output.show_problem(format_conflict(found) if is_conflict else str(found))
    # A lost reply weighs most: it is the one that isn't known.
    codes = {found.exit_code for found in errors}
    return ExitCode.UNKNOWN if ExitCode.UNKNOWN in codes else errors[0].exit_code


def _check_addresses(parser, parsed):
    needs = set(parsed.needs)
    if getattr(parsed, "metrics", None):
        # The processes are named, so that neither list of the platform is needed.
        return
    if getattr(parsed, "wait", False) or parsed.command == "wait":
        needs.add("vm_list")
    if parsed.command == "status" and parsed.team:
        needs.add("object_api")
    missing = [
        f"--{name.replace('_', '-')} or BALSAMSPOKE_{name.upper()}"
        for name in sorted(needs)
        if not getattr(parsed, name)
    ]
    if missing:
        parser.error(f"this command needs {' and '.join(missing)}")


def _run_in_reactor(parsed):
    from twisted.internet import asyncioreactor

    asyncioreactor.install()
    from twisted.internet import reactor

    results = []

    def start():
        running = run_command(parsed, _make_context(parsed, reactor))
        running.addBoth(results.append)
        running.addCallback(lambda _: reactor.stop())

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

    def make_caller(base_url):
        return HttpClient(agent, reactor, base_url or "http://127.0.0.1")

    clock = ReactorClock(reactor)
    store = HttpObjectStore(make_caller(parsed.object_api))
    source = random.SystemRandom()
    return Context(
        store=store,
        fleet=Fleet(
            HttpVmList(make_caller(parsed.vm_list)),
            HttpStatusClient(make_caller, parsed.status_port),
            clock,
        ),
        writer=ChangeWriter(store, clock, source, parsed.timeout),
        metrics=HttpMetricsClient(make_caller),
        output=Output(parsed.output == "json"),
        timeout=parsed.timeout,
    )
