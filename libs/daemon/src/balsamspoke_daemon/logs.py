"""Structured logs: one JSON object a line, no keys, repeated failures bounded."""

import sys
from datetime import timedelta

import orjson
from balsamspoke_node import CatalogueChanged, Observer, RequestEnded, TokensGap
from balsamspoke_replica import RequestRefused, RequestStarted
from balsamspoke_transport.log_lines import add_json_line, get_line_format
from loguru import logger

from .status import encode_json

REPEAT_INTERVAL = timedelta(seconds=10)
ROTATION_BYTES = 50_000_000
KEPT_FILES = 3

_FREQUENT = (CatalogueChanged, RequestEnded, RequestRefused, RequestStarted)


def set_up_logs(settings, process):
    """Send logs where the settings say.

    Parameters
    ----------
    settings : Settings
        With log_level and log_file.
    process : ProcessId
        Named in each line.
    """
    logger.remove()
    logger.configure(extra={"process": str(process)}, patcher=add_json_line)
    # A traceback must not show the values of variables, and comes in the line.
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
            settings.log_file, rotation=ROTATION_BYTES, retention=KEPT_FILES, **options
        )


class LogObserver(Observer):
    """Log each decision worth explaining, under one event name.

    Parameters
    ----------
    clock : Clock
        Bounds how often a repeated refusal is logged.
    """

    def __init__(self, clock):
        self._clock = clock
        self._last_logged = {}
        self._suppressed = {}

    def observe(self, event):
        """Log the event."""
        if isinstance(event, TokensGap):
            return
        name = type(event).__name__
        if isinstance(event, RequestEnded) and event.refusal is not None:
            self._log_refusal(name, event)
            return
        level = "DEBUG" if isinstance(event, _FREQUENT) else "INFO"
        self._log(level, name, event)

    def _log_refusal(self, name, event):
        place = (event.team, event.refusal.cause)
        now = self._clock.monotonic()
        last = self._last_logged.get(place)
        if last is not None and now - last < REPEAT_INTERVAL:
            self._suppressed[place] = self._suppressed.get(place, 0) + 1
            return
        self._last_logged[place] = now
        self._log("INFO", name, event, self._suppressed.pop(place, 0))

    @staticmethod
    def _log(level, name, event, suppressed=0):
        details = orjson.loads(encode_json(event))
        logger.bind(event=name, details=details, suppressed=suppressed).log(level, name)
