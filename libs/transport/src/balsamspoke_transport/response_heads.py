"""Heads of responses: what makes one, and how long its connection is kept."""

import re
from datetime import timedelta

import h11

MAX_STATUS = 599
MAX_KEEP_ALIVE_TIMEOUT = timedelta(hours=1)
# Digits of a stated timeout; longer ones are ignored.
_MAX_TIMEOUT_DIGITS = 9
_TIMEOUT_FIELD = b"timeout="
_VERSION_PREFIX = b"1."
_FOLDED_LINE = re.compile(rb"\n[ \t]")


def check_head(event, text):
    """Check what the parser takes for the head of a response.

    The parser joins a line that begins with a blank to the one before it. From a server
    in trouble it is as likely a field that tells the length of the body.

    Parameters
    ----------
    event : h11.Response
        The parsed head.
    text : bytes
        The head as it was received.

    Raises
    ------
    h11.RemoteProtocolError
        If it is none of HTTP/1.
    """
    if not event.http_version.startswith(_VERSION_PREFIX):
        raise h11.RemoteProtocolError("another protocol than HTTP/1")
    if event.status_code > MAX_STATUS:
        raise h11.RemoteProtocolError(f"no HTTP status: {event.status_code}")
    if _FOLDED_LINE.search(text):
        raise h11.RemoteProtocolError("a line of the head begins with a blank")


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
