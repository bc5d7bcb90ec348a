"""Pauses in which a caller reads too slowly for its answer to be read on."""

from datetime import timedelta

# Time for which any replica leaves an answer unread, and in which the end of one that
# was given up earlier is noticed.
UNREAD_TOLERANCE = timedelta(seconds=1)


class CallerPauses:
    """Remember how long a replica's answer was left unread for its caller.

    A replica gives up an answer that is left unread for long, which is no failure of
    the replica.
    """

    def __init__(self):
        self._excused_until = None

    def record(self, began_at, now):
        """Record a pause between two monotonic times (timedelta)."""
        if now - began_at >= UNREAD_TOLERANCE:
            self._excused_until = now + UNREAD_TOLERANCE

    def is_excused(self, now):
        """Return whether a replica that gives up now may do so for a pause."""
        return self._excused_until is not None and now <= self._excused_until
