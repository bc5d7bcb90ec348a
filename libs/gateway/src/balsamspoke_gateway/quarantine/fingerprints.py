"""Fingerprints by which a request is recognised when it is sent again."""

import xxhash

_PREFIX = "request:"


def make_fingerprint(request, team):
    """Return the text by which all processes recognise a repeated request.

    Callers give each attempt another id, so the content is compared.

    Parameters
    ----------
    request : CallerRequest
        The request.
    team : str
        Name of the caller's team; empty if not known.

    Returns
    -------
    str
        The same for requests of one team with equal method, host, path with query, and
        body.
    """
    digest = xxhash.xxh3_128()
    for field in (
        request.method,
        request.host.encode(),
        request.target,
        team.encode(),
        request.body,
    ):
        # The length keeps the end of one field from passing for the start of the next.
        digest.update(b"%d:" % len(field))
        digest.update(field)
    return _PREFIX + digest.hexdigest()


def is_fingerprint(part):
    """Return whether a part of a request is its fingerprint."""
    return part.startswith(_PREFIX)
