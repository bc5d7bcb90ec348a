"""Whose request it is, and what it may use."""

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from balsamspoke_catalogue import digest_key
from balsamspoke_types.keys import KEY_PATTERN_BYTES
from balsamspoke_types.outcomes import Cause

from .exceptions import RequestRefused

_SCHEME = "bearer "
_KEY_HEADER = "authorization"

# JSON writes any character of a key as \uXXXX if it likes.
_JSON_ESCAPE = b"\\u"

# Each server on the way may decode once more.
_PERCENT_DECODINGS = 4


@dataclass(frozen=True, slots=True)
class Principal:
    """The team that a request is made for.

    Attributes
    ----------
    team : str
        Empty for a request without a key.
    key_record : str
        Name of the KeyRecord; empty for a request without a key.
    key_version : int
        Version of that record when it was checked.
    """

    team: str = ""
    key_record: str = ""
    key_version: int = 0

    @property
    def has_key(self):
        """Return whether the request came with a key."""
        return bool(self.key_record)


def identify(request, catalogue):
    """Find out whose request it is; the key itself is dropped here.

    Parameters
    ----------
    request : CallerRequest
        The request.
    catalogue : CatalogueView
        What is in force.

    Returns
    -------
    Principal

    Raises
    ------
    RequestRefused
        If the key isn't in force, or stands where it would be passed on.
    """
    refuse_misplaced_key(request)
    value = request.find_header(_KEY_HEADER)
    if value is None:
        return Principal()
    if not value.lower().startswith(_SCHEME):
        raise RequestRefused(Cause.KEY_REJECTED, "the scheme must be Bearer")
    found = catalogue.find_key(digest_key(value[len(_SCHEME) :].strip()))
    if found is None or catalogue.team(found.record.team) is None:
        raise RequestRefused(Cause.KEY_REJECTED, "the key is not in force")
    return Principal(found.record.team, found.record.name, found.version)


def refuse_misplaced_key(request):
    """Refuse a request with a key anywhere but in its own header.

    Raises
    ------
    RequestRefused
        If the path, the query, the body or another header has a key.
    """
    body = _undo_escapes(request.body) if _JSON_ESCAPE in request.body else b""
    texts = [
        request.target.encode(errors="replace"),
        request.body,
        body.replace(b"\\", b""),
    ]
    for name, value in request.headers:
        if name != _KEY_HEADER:
            texts += [name.encode(errors="replace"), value.encode(errors="replace")]
    misplaced = any(_has_key(text) for text in texts)
    if misplaced:
        raise RequestRefused(
            Cause.KEY_MISPLACED,
            "a key may only stand in the Authorization header",
        )


def _has_key(text):
    """Tell whether there is a key in a text, also if it is percent-encoded."""
    for _ in range(_PERCENT_DECODINGS):
        if KEY_PATTERN_BYTES.search(text):
            return True
        decoded = unquote_to_bytes(text) if b"%" in text else text
        if decoded == text:
            return False
        text = decoded
    return KEY_PATTERN_BYTES.search(text) is not None


def _undo_escapes(body):
    """Return a body with its JSON escapes of ASCII characters replaced."""
    parts = body.split(_JSON_ESCAPE)
    undone = [parts[0]]
    for part in parts[1:]:
        digits = part[:4]
        try:
            code = int(digits, 16)
        except ValueError:
            undone.append(_JSON_ESCAPE + part)
            continue
        known = bytes([code]) if code < 128 else b"?"
        undone.append(known + part[4:])
    return b"".join(undone)


def require_team(principal, allowed_teams, open_to_all, what):
    """Check that a request may use something.

    Parameters
    ----------
    principal : Principal
        Whose request it is.
    allowed_teams : tuple of str
        Teams whose keys open it.
    open_to_all : bool
        Whether requests without a key may use it.
    what : str
        What it is, for the message.

    Raises
    ------
    RequestRefused
        If it may not. Another team's adapter looks like one that isn't there.
    """
    if open_to_all or (principal.has_key and principal.team in allowed_teams):
        return
    if not principal.has_key:
        raise RequestRefused(Cause.KEY_MISSING, f"{what} needs a key")
    raise RequestRefused(Cause.NOT_ALLOWED, f"the key does not open {what}")
