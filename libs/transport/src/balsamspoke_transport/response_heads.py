"""Heads of responses: what makes one, and how long its connection is kept."""

from datetime import timedelta

import h11

MAX_STATUS = 599
MAX_KEEP_ALIVE_TIMEOUT = timedelta(hours=1)
# Digits of a stated timeout; longer ones are ignored.
_MAX_TIMEOUT_DIGITS = 9
_TIMEOUT_FIELD = b"timeout="
_VERSION_PREFIX = b"1."


def check_head(event):
    """Check what the parser takes for the head of a response.

    Parameters
    ----------
    event : h11.Response
        The parsed head.

    Raises
    ------
    h11.RemoteProtocolError
        If it is none of HTTP/1.
    """
    if not event.http_version.startswith(_VERSION_PREFIX):
        raise h11.RemoteProtocolError("another protocol than HTTP/1")
    if event.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f"no HTTP status: {event.status_code}")


def parse_keep_alive_timeout(head):
    """Parse the time for which a server keeps an idle connection open.

    Parameters
    ----------
    head : HttpHead
        Head of a response.

    Returns
    -------
    timedelta or None
        The time; None if the head states none that makes sense.
    """
    timeout = None
    for field in (head.find(b"keep-alive") or b"").split(b","):
        value = field.strip()
        digits = value.removeprefix(_TIMEOUT_FIELD)
        is_number = digits.isdigit() and len(digits) <= _MAX_TIMEOUT_DIGITS
        if value.startswith(_TIMEOUT_FIELD) and is_number:
            timeout = min(timedelta(seconds=int(digits)), MAX_KEEP_ALIVE_TIMEOUT)
    return timeout
