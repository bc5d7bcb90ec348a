"""Authentication of requests by API key, and authorization of teams."""

from dataclasses import dataclass
from urllib.parse import unquote_to_bytes

from balsamspoke_catalogue import digest_key
from balsamspoke_types.keys import KEY_PATTERN_BYTES
from balsamspoke_types.outcomes import Cause

from .exceptions import RequestRefused

_SCHEME = "bearer "
_KEY_HEADER = "authorization"

# JSON may encode any character of a key as \uXXXX.
_JSON_ESCAPE_PREFIX = b"\\u"

# Each server on the path to the backend server may percent-decode once more.
_MAXIMUM_PERCENT_DECODINGS = 4


@dataclass(frozen=True, slots=True)
class Principal:
    """The team that a request is made for, and its authenticated key record.

    Attributes
    ----------
    team : str
        Name of the team; empty for a request without a key.
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


def authenticate(request, catalogue):
    """Return the team and key record of a request; the key itself is not kept.

    Parameters
    ----------
    request : CallerRequest
        The request, whose Authorization header may contain a key.
    catalogue : CatalogueView
        Catalogue with the keys and teams in force.

    Returns
    -------
    Principal

    Raises
    ------
    RequestRefused
        If the Authorization header has another scheme than Bearer or a key that is
        not in force, or if a key occurs elsewhere in the request, where it could be
        forwarded.
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
    """Refuse a request with a key outside of the Authorization header.

    Raises
    ------
    RequestRefused
        If the path, the query, the body or another header contains a key.
    """
    body = _unescape_json(request.body) if _JSON_ESCAPE_PREFIX in request.body else b""
    texts = [
        request.target.encode(errors="replace"),
        request.body,
        body.replace(b"\\", b""),
    ]
    for name, value in request.headers:
        if name != _KEY_HEADER:
            texts += [name.encode(errors="replace"), value.encode(errors="replace")]
    misplaced = any(_contains_key(text) for text in texts)
    if misplaced:
        raise RequestRefused(
            Cause.KEY_MISPLACED,
            "a key may only stand in the Authorization header",
        )


def _contains_key(text):
    """Return whether a text contains a key, plain or percent-encoded."""
    for _ in range(_MAXIMUM_PERCENT_DECODINGS):
        if KEY_PATTERN_BYTES.search(text):
            return True
        decoded = unquote_to_bytes(text) if b"%" in text else text
        if decoded == text:
            return False
        text = decoded
    return KEY_PATTERN_BYTES.search(text) is not None


def _unescape_json(body):
    """Return a body with its JSON escapes of ASCII characters replaced."""
    parts = body.split(_JSON_ESCAPE_PREFIX)
    unescaped = [parts[0]]
    for part in parts[1:]:
        digits = part[:4]
        try:
            code = int(digits, 16)
        except ValueError:
            unescaped.append(_JSON_ESCAPE_PREFIX + part)
            continue
        character = bytes([code]) if code < 128 else b"?"
        unescaped.append(character + part[4:])
    return b"".join(unescaped)


def authorize_team(principal, allowed_teams, open_to_all, resource):
    """Check that a request may use a resource.

    Parameters
    ----------
    principal : Principal
        Team and key of the request; empty without a key.
    allowed_teams : tuple of str
        Teams whose keys give access to the resource.
    open_to_all : bool
        Whether all requests may use the resource, with or without a key.
    resource : str
        Description of the resource for the error message.

    Raises
    ------
    RequestRefused
        If the request may not use the resource. For another team's adapter,
        ``request_handler`` reports an unknown model before it calls this function.
    """
    if open_to_all or (principal.has_key and principal.team in allowed_teams):
        return
    if not principal.has_key:
        raise RequestRefused(Cause.KEY_MISSING, f"{resource} needs a key")
    raise RequestRefused(Cause.NOT_ALLOWED, f"the key does not open {resource}")
