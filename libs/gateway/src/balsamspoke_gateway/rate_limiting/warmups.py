"""What one entry process learns of cold replicas, and tells its peers."""

from datetime import timedelta

from ..exceptions import NO_DELAY
from ..observing import ReplicaTurnedCold, ReplicaTurnedWarm
from .cold import MAX_COLD_TIME, ReplicaStarts, bound_cold_time
from .messages import ColdNotice

FROM_ENTRY = "its entry in the store says so"
FROM_START = "it has just started"
FROM_COLD_ANSWER = "it said so in an answer"
FROM_COLD_PEER = "a peer says so"


class WarmupTracker:
    """Notice that replicas turn cold, and tell the peers.

    This handles replicas that start, or come back, during traffic: with the requests of
    a warm one they would crash at once. They say so in the store and in their answers,
    both of which may come late, so whichever comes first counts, and the later end.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    finder : LimitFinder
        Knows which services limit their cold replicas.
    cold : ColdReplicas
        Replicas that are cold.
    issuers : IssuerSelection
        Chooses the process that issues the permits for a replica.
    open_bucket : callable
        Called with a replica that has turned cold and whose permits are issued here.
    """

    def __init__(self, context, finder, cold, issuers, open_bucket):
        self._context = context
        self._finder = finder
        self._cold = cold
        self._issuers = issuers
        self._open_bucket = open_bucket
        self._starts = ReplicaStarts()
        self._early_starts = []
        self._is_learning_begun = False

    def record_configuration(self):
        """Record that a configuration was adopted, which may limit cold replicas."""
        self._begin_to_learn()
        now = self._context.clock.monotonic()
        early_starts, self._early_starts = self._early_starts, []
        for record, noticed_at in early_starts:
            duration = self._find_start_duration(record) - (now - noticed_at)
            self._record(record, duration, FROM_START)

    def record_entries(self, records, is_full_list, is_restored=False):
        """Record entries from the store; all processes read them, so none is told.

        Parameters
        ----------
        records : list of ReplicaRecord
            Entries that were read.
        is_full_list : bool
            Whether they are all there are.
        is_restored : bool
            Whether they are those of a store that was restored from an older copy,
            which says nothing new of the starts that are known.
        """
        new_starts = self._starts.record(records, is_full_list)
        self._begin_to_learn()
        for record in records:
            if (record.id, record.born) in new_starts:
                self._record_start(record)
            elif not is_restored:
                self._record(record, record.cold_left, FROM_ENTRY)

    def _record_start(self, record):
        if self._context.configuration is None:
            now = self._context.clock.monotonic()
            self._early_starts.append((record, now))
        self._record(record, self._find_start_duration(record), FROM_START)

    def _find_start_duration(self, record):
        """Return for how long a replica is cold whose start is new here.

        What its entry states counts. An entry that states nothing is that of a replica
        which has just started, unless the store was away: that may be long ago then.
        """
        service = self._finder.find_cold_service(record)
        directory = self._context.fleet.directory
        is_recovering = directory.is_recovering(self._context.clock.monotonic())
        if record.cold_left > NO_DELAY or service is None or is_recovering:
            return record.cold_left
        return service.cold_time

    def _begin_to_learn(self):
        """Begin to learn once both the configuration and a list were read."""
        is_known = self._context.configuration is not None
        if is_known and self._starts.is_complete and not self._is_learning_begun:
            self._is_learning_begun = True
            self._finder.begin_to_learn()

    def record_answer(self, record, cold_left):
        """Record that a replica states in an answer for how long it stays cold."""
        if self._record(record, cold_left, FROM_COLD_ANSWER):
            self._context.send_to_peers(self._make_notice(record))

    def record_return(self, record, duration, reason):
        """Record that a replica is cold, as other processes may know or not.

        The issuer of its permits tells them all; any other process tells the issuer,
        so that the replicas of a whole failure domain cost each process a few messages.
        """
        if not self._record(record, duration, reason):
            return
        issuer = self._issuers.choose(record.id, self._context.clock.monotonic())
        if issuer == self._context.settings.ip:
            self._context.send_to_peers(self._make_notice(record))
        else:
            notice = self._make_notice(record, pass_on=True)
            self._context.peers.send(issuer, notice)

    def inform(self, ip, record):
        """Tell a peer that has just started of a replica, if it is cold."""
        now = self._context.clock.monotonic()
        if self._cold.find_time_left(record, now) is not None:
            self._context.peers.send(ip, self._make_notice(record))

    def receive(self, notice):
        """Process a ColdNotice of a peer."""
        record = self._context.fleet.directory.find(notice.replica)
        if record is None or record.born != notice.born:
            return
        # The order of the arguments makes a time that is not a number zero.
        seconds = min(MAX_COLD_TIME.total_seconds(), max(0.0, notice.seconds_left))
        if not self._record(record, timedelta(seconds=seconds), FROM_COLD_PEER):
            return
        if notice.pass_on:
            self._context.send_to_peers(self._make_notice(record))

    def expire(self):
        """Report the replicas that are warm again."""
        for phase in self._cold.expire(self._context.clock.monotonic()):
            event = ReplicaTurnedWarm(phase.replica, phase.withheld)
            self._context.observer.observe(event)

    def _record(self, record, duration, reason):
        """Record that a replica is cold; return whether that is news here."""
        if duration <= NO_DELAY or not self._has_effect(record):
            return False
        now = self._context.clock.monotonic()
        was_cold = self._cold.find_time_left(record, now) is not None
        if not self._cold.record(record, duration, now):
            return False
        bounded = bound_cold_time(duration)
        self._context.observer.observe(ReplicaTurnedCold(record.id, bounded, reason))
        if not was_cold and self._is_issuer(record, now):
            self._open_bucket(record)
        return True

    def _has_effect(self, record):
        """Return whether the replica's service limits cold ones, or may do so."""
        is_known = self._context.configuration is not None
        return not is_known or self._finder.find_cold_service(record) is not None

    def _is_issuer(self, record, now):
        return self._issuers.choose(record.id, now) == self._context.settings.ip

    def _make_notice(self, record, pass_on=False):
        now = self._context.clock.monotonic()
        time_left = self._cold.find_time_left(record, now) or NO_DELAY
        seconds_left = time_left.total_seconds()
        return ColdNotice(record.id, record.born, seconds_left, pass_on)
