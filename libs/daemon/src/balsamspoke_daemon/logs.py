"""Structured logs: one JSON object per line.

API keys are removed from each line, and repeated refusals are rate-limited.
"""

import sys
from datetime import timedelta

import orjson
from balsamspoke_gateway.observing import Observer
from balsamspoke_node import CatalogueChanged, RequestEnded, TokensGap
from balsamspoke_replica import RequestRefused, RequestStarted
from balsamspoke_transport.log_lines import add_json_line, get_line_format
from loguru import logger

from .status import encode_json

REPEAT_INTERVAL = timedelta(seconds=10)
ROTATION_BYTES = 50_000_000
RETAINED_FILES = 3

_DEBUG_EVENTS = (CatalogueChanged, RequestEnded, RequestRefused, RequestStarted)


def set_up_logs(settings, process):
    """Set up loguru to write to the log file, or to standard error without one.

    Parameters
    ----------
    settings : Settings
        Its ``log_level`` and ``log_file`` are used.
    process : ProcessId
        Identity of this run, added to each line.
    """
    logger.remove()
    logger.configure(extra={"process": str(process)}, patcher=add_json_line)
    # Tracebacks are part of the JSON line and must not show values of variables.
    options = {
        "level": settings.log_level,
        "format": get_line_format,
        "diagnose": False,
        "backtrace": False,
    }
    if settings.log_file is None:
        logger.add(sys.stderr, **options)
    else:
        logger.add(
            settings.log_file,
            rotation=ROTATION_BYTES,
            retention=RETAINED_FILES,
            **options,
        )


class LogObserver(Observer):
    """Log each event under its class name, except TokensGap events.

    Frequent events have level DEBUG, all others INFO. A RequestEnded event with a
    refusal has level INFO, and is logged at most once per ``REPEAT_INTERVAL`` for each
    team and cause; its line has the number of those suppressed since the last one.

    Parameters
    ----------
    clock : Clock
        Measures the time between repeated refusals.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_logged = {}
        self._suppressed = {}

    def observe(self, event):
        """Log an event."""
        if isinstance(event, TokensGap):
            return
        name = type(event).__name__
        if isinstance(event, RequestEnded) and event.refusal is not None:
            self._log_refusal(name, event)
            return
        level = "DEBUG" if isinstance(event, _DEBUG_EVENTS) else "INFO"
        self._log(level, name, event)

    def _log_refusal(self, name, event):
        repeat_key = (event.team, event.refusal.cause)
        now = self._clock.monotonic()
        last = self._last_logged.get(repeat_key)
        if last is not None and now - last < REPEAT_INTERVAL:
            self._suppressed[repeat_key] = self._suppressed.get(repeat_key, 0) + 1
            return
        self._last_logged[repeat_key] = now
        self._log("INFO", name, event, self._suppressed.pop(repeat_key, 0))

    @staticmethod
    def _log(level, name, event, suppressed=0):
        details = orjson.loads(encode_json(event))
        logger.bind(event=name, details=details, suppressed=suppressed).log(level, name)
