"""Which failure domains are drained, by the latest list or notice."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..fleet.replicas import RECOVERY_GRACE


@dataclass(frozen=True, slots=True)
class DrainChanges:
    """Difference that a list or notice of the drained domains has made.

    Attributes
    ----------
    drained : tuple of str
        Names of the domains that are drained from now on.
    returned : dict
        Time (timedelta) for which each domain was drained that is so no longer, by its
        name.
    """

    drained: tuple[str, ...] = ()
    returned: dict[str, timedelta] = field(default_factory=dict)


class DrainedDomains:
    """Track the drained failure domains, and the store's position that shows them.

    This handles lists of the store and notices of peers that arrive in any order: a
    peer may know a later position of the store than its answer to this process, which
    came late. Each names all drained domains, and the one of the latest position holds.

    It also handles a faulty notice with a position that the store hasn't reached, after
    which nothing would count any more: a list that was asked for later and shows an
    earlier position of the same era disproves it, and all notices from there on.

    A store that was restored from an older copy may have lost what the operator wrote.
    What was drained before stays so for ``RECOVERY_GRACE``, in which the operator
    writes it again.
    """

    def __init__(self):
        self._position = None
        self._named = frozenset()
        self._read_position = None
        self._read_names = frozenset()
        self._heard_at = None
        self._disproved = None
        self._drained_since = {}
        self._kept_until = {}

    @property
    def position(self):
        """StorePosition of the latest list or notice; None if there was none."""
        return self._position

    @property
    def read_position(self):
        """StorePosition that this process has read itself; None if it has read none."""
        return self._read_position

    @property
    def read_names(self):
        """Names (frozenset) of the domains that it has read itself."""
        return self._read_names

    @property
    def is_unconfirmed(self):
        """Whether a peer's notice holds, which this process hasn't read yet."""
        return self._heard_at is not None

    @property
    def drained(self):
        """Names (frozenset) of the domains that are to get nothing."""
        return frozenset(self._drained_since)

    def read(self, names, position, now, asked_at=None):
        """Adopt what this process has read, unless a later notice is known.

        Parameters
        ----------
        names : iterable of str
            Names of all drained domains.
        position : StorePosition
            Position of the store that shows them.
        now : timedelta
            Monotonic time.
        asked_at : timedelta or None
            Monotonic time at which a list was asked for; None for a watch, whose answer
            may show an earlier position than the store's.

        Returns
        -------
        DrainChanges
        """
        self._read_position = position
        self._read_names = frozenset(names)
        if self._disproved is not None and position >= self._disproved:
            self._disproved = None
        if self._is_disproved_by(position, asked_at):
            self._disproved = self._position
            self._position = None
        return self._adopt(self._read_names, position, now, None)

    def hear(self, names, position, now):
        """Adopt a peer's notice, unless a later position is known; see ``read``."""
        disproved = self._disproved
        if disproved is not None and position.era == disproved.era:
            if position >= disproved:
                return DrainChanges()
        return self._adopt(names, position, now, now)

    def expire(self, now):
        """Return the DrainChanges by domains that the restored store still lacks."""
        for name in [each for each, end in self._kept_until.items() if now >= end]:
            del self._kept_until[name]
        return self._apply(now)

    def _is_disproved_by(self, position, asked_at):
        """Return whether a list shows that the store hasn't reached the position."""
        if self._heard_at is None or asked_at is None or asked_at < self._heard_at:
            return False
        is_same_era = position.era == self._position.era
        return is_same_era and position < self._position

    def _adopt(self, names, position, now, heard_at):
        if self._position is not None and position < self._position:
            return DrainChanges()
        if position == self._position:
            # A read of the same position confirms a notice.
            if heard_at is None and self._heard_at is not None:
                self._heard_at = None
                self._named = frozenset(names)
            return self._apply(now)
        if self._position is not None and position.era > self._position.era:
            self._keep_drained(now + RECOVERY_GRACE)
        self._position = position
        self._heard_at = heard_at
        self._named = frozenset(names)
        return self._apply(now)

    def _keep_drained(self, end):
        for name in self._drained_since:
            self._kept_until[name] = end

    def _apply(self, now):
        wanted = self._named.union(self._kept_until)
        drained = tuple(sorted(wanted.difference(self._drained_since)))
        returned = {
            name: now - since
            for name, since in self._drained_since.items()
            if name not in wanted
        }
        for name in returned:
            del self._drained_since[name]
        for name in drained:
            self._drained_since[name] = now
        return DrainChanges(drained, returned)
