"""Permits that this process issues, to itself and to its peers."""

from dataclasses import replace
from datetime import timedelta

from ..exceptions import NO_DELAY
from .limits import bound_rate
from .permits import PermitIssuer

# Share of a cold replica's limit below which a group of processes that hear one another
# issues nothing. Each group may have a saved permit, so few groups may issue.
MIN_GROUP_SHARE = 0.2
# Largest share of a cold replica's limit that a process issues which isn't the first
# choice. The first choice may issue the whole limit meanwhile, as it hears others.
MAX_SECOND_SHARE = 0.2
# Time after which such a group asks again, as it may have grown.
MINOR_GROUP_WAIT = timedelta(milliseconds=200)


class GroupIssuer:
    """Issue permits within the share of the processes that hear this one.

    This handles processes that are cut off from one another: each group goes on
    sending, and all of them together keep the limit of a replica. It also handles
    links that are cut between some of them only, where the groups overlap.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    finder : LimitFinder
        Limits as this process knows them.
    issuers : IssuerSelection
        Tells the share of this process's group.
    """

    def __init__(self, context, finder, issuers):
        self._context = context
        self._finder = finder
        self._issuers = issuers
        self._permits = PermitIssuer()

    def issue(self, process, replica_id, born, asked):
        """Issue a permit, if there is one.

        Parameters
        ----------
        process : str
            IP address of the process that asks.
        replica_id : str
            Id of the replica.
        born : int
            Start time of the replica in milliseconds.
        asked : EffectiveLimit
            Limit as that process knows it.

        Returns
        -------
        timedelta
            ``NO_DELAY`` if there is a permit, else the time after which to ask again.
        """
        limit = self._find_limit(replica_id, born, asked)
        if limit is None:
            return NO_DELAY
        now = self._context.clock.monotonic()
        share = self._issuers.compute_share(now)
        if limit.is_cold and share < MIN_GROUP_SHARE:
            return MINOR_GROUP_WAIT
        is_partial = limit.is_cold and not self._issuers.is_first_choice(replica_id)
        if is_partial:
            share = min(share, MAX_SECOND_SHARE)
        rate = share * bound_rate(limit.rate)
        part = replace(limit, rate=rate, is_partial=is_partial)
        return self._permits.take((replica_id, born), process, part, now)

    def open(self, record):
        """Begin to count the permits for a replica that has just got a limit."""
        limit = self._finder.find(record)
        if limit is not None:
            now = self._context.clock.monotonic()
            self._permits.open((record.id, record.born), limit, now)

    def _find_limit(self, replica_id, born, asked):
        """Return the stricter limit that the asking process or this one knows.

        The result is None if only the other process assumes one, as it has started.
        """
        record = self._context.fleet.directory.find(replica_id)
        if record is None or record.born != born:
            return asked
        own = self._finder.find(record)
        if own is None and asked.is_assumed:
            return None
        return asked.combine(own)
