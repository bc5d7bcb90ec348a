"""Frame of a case: its record, its exit status, and the end of all processes."""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

from .deployment import Deployment, Record

HELD, BROKEN, NOT_RUN = 0, 1, 2


def has_trouble():
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(file, play, entries=1):
    """Play a case and exit with its status.

    Parameters
    ----------
    file : str
        Script of the case, beside which ``record.txt`` is written.
    play : callable
        Coroutine function called with the Deployment and the Record; returns whether
        the rule held.
    entries : int
        Number of entry processes.
    """
    record = Record(Path(file).resolve().parent)
    # An early end leaves no process behind.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    try:
        status = asyncio.run(_play(play, Deployment(entries), record))
    except Exception:
        record.write(traceback.format_exc())
        traceback.print_exc()
        status = NOT_RUN
    record.write(f"exit status {status}")
    sys.exit(status)


async def _play(play, deployment, record):
    try:
        is_held = await play(deployment, record)
    finally:
        deployment.stop()
    return HELD if is_held else BROKEN
