"""Command line of the daemon."""

import asyncio
import os
import sys

from loguru import logger

from .exceptions import SettingsError
from .settings import format_settings, make_parser, read_settings

EXIT_BAD_SETTINGS = 2
EXIT_FAILED_START = 3


def main(arguments=None):
    """Run the daemon until it stops.

    Parameters
    ----------
    arguments : list of str, optional
        Command-line arguments; ``sys.argv[1:]`` by default.

    Returns
    -------
    int
        Exit status: 0, ``EXIT_BAD_SETTINGS`` or ``EXIT_FAILED_START``.
    """
    parsed = make_parser().parse_args(arguments)
    try:
        settings = read_settings(parsed, os.environ)
    except SettingsError as error:
        for problem in error.exceptions:
            print(f"balsamspoked: {problem}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if parsed.check or parsed.print_settings:
        print(format_settings(settings) if parsed.print_settings else "settings are ok")
        return 0
    return _run(settings)


def _run(settings):
    from balsamspoke_transport.reactor import install_reactor

    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    install_reactor(loop)

    from twisted.internet import reactor

    from .process import DaemonProcess

    failures = []

    async def start():
        try:
            await DaemonProcess(settings, reactor).start()
        except Exception as error:
            logger.error("start failed: {}", error)
            failures.append(error)
            reactor.stop()

    reactor.callWhenRunning(lambda: loop.create_task(start()))
    reactor.run(installSignalHandlers=False)
    return EXIT_FAILED_START if failures else 0
