"""Speeds of replicas in one entry process, learned together with its peers."""

import math
from dataclasses import replace
from datetime import timedelta

from ..observing import ReplicaSpeedChanged
from .messages import ReplicaSlowdown, SlowdownNotice

# Interval at which a rule is told to peers and side processes. It changes over tens of
# seconds.
NOTICE_INTERVAL = timedelta(seconds=1)
# Peers that a notice is sent to, drawn anew each time, so that its cost doesn't grow
# with their number.
NOTICE_RECIPIENTS = 3
# Replicas in a notice, so that it fits into a datagram.
MAX_NOTICE_REPLICAS = 200
# Samples without which there is nothing to tell.
MIN_NOTICE_SAMPLES = 4.0
# Running requests that count as none: so few hardly lengthen an engine's steps, and a
# slow engine, where requests stay longer, is still compared with the others.
FEW_RUNNING = 8
# Change of a rule, as a factor, that is reported.
REPORTED_CHANGE = 1.4


class ReplicaSpeedCoordinator:
    """Learn from answers how long work takes at each replica, and tell the peers.

    The speed of an engine is shared through its side process, which every entry process
    tells its demand. Replicas of plain services have none: what answers show of them is
    told to a few peers at a time. Only the rule is shared. What a replica states at the
    moment would arrive too late, and send all processes to the same one.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._speeds = context.fleet.speeds
        self._reported = {}
        self._told_at = {}
        self._notices = 0

    def start(self):
        """Start to tell the peers and to report changes."""
        self._maintain()

    def record_answer(self, record, route, load, duration):
        """Record a complete answer of a plain service.

        One that waited for a slot says nothing of the replica's speed.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        route : str
            Name of the route.
        load : ServerLoad or None
            Load that the answer states.
        duration : timedelta
            Time from the sending of the request to its answer.
        """
        if load is None or load.waiting:
            return
        kind = make_answer_kind(route)
        self._speeds.record_duration(record, kind, duration, self._clock.monotonic())

    def record_first_event(self, record, backlog, running, waited):
        """Record the first event of a stream.

        Parameters
        ----------
        record : ReplicaRecord
            The engine.
        backlog : int
            Prompt tokens that it read from the sending of the request until the event.
        running : int
            Requests there when the request was sent.
        waited : timedelta
            Time from then until the event.
        """
        # Waits are comparable for backlogs of about the same length, beside about as
        # many requests. The engine's step makes most of a short one.
        kind = (
            "first event",
            record.service,
            backlog.bit_length(),
            _find_bucket(running),
        )
        now = self._clock.monotonic()
        self._speeds.record_duration(record, kind, waited, now, False)

    def record_interval(self, record, route, running, interval):
        """Record an interval between events of a route's stream, from its sampler.

        The more requests run at an engine, the longer is each of its steps. Only the
        intervals beside about as many are compared; their cost is part of the
        placement, and would count twice.
        """
        kind = ("interval", route, _find_bucket(running))
        self._speeds.record_duration(record, kind, interval, self._clock.monotonic())

    def add_to_demand(self, record, demand):
        """Return an EntryDemand for an engine, with what is known of its speed."""
        now = self._clock.monotonic()
        samples = self._speeds.take_recent_samples(record, now)
        told_at = self._told_at.get(record.id)
        if told_at is not None and now - told_at < NOTICE_INTERVAL:
            return replace(demand, recent_samples=samples)
        self._told_at[record.id] = now
        learned = self._speeds.describe_learned(record, now)
        return replace(demand, learned_slowdown=learned, recent_samples=samples)

    def receive(self, message):
        """Process a message of a peer; return whether it concerns speeds."""
        if not isinstance(message, SlowdownNotice):
            return False
        now = self._clock.monotonic()
        for each in message.replicas:
            record = self._context.fleet.directory.find(each.replica)
            if record is not None and record.born == each.born:
                self._speeds.merge(record, each.learned, now)
        return True

    def find_extremes(self):
        """Return the slowdowns as a rule of the fastest and the slowest replica.

        The result is None if nothing is known of any.
        """
        rules = [rule for _, rule in self._list_rules()]
        return (min(rules), max(rules)) if rules else None

    def _maintain(self):
        # First, so that an error doesn't end the notices for good.
        self._clock.call_later(NOTICE_INTERVAL, self._maintain)
        directory = self._context.fleet.directory
        for replica_id in [each for each in self._told_at if not directory.find(each)]:
            del self._told_at[replica_id]
        rules = list(self._list_rules())
        self._report_changes(rules)
        self._notify(rules)

    def _list_rules(self):
        now = self._clock.monotonic()
        for record in self._context.fleet.directory.list_all():
            rule = self._speeds.find_rule(record, now)
            if rule is not None:
                yield record, rule

    def _report_changes(self, rules):
        reported, self._reported = self._reported, {}
        for record, rule in rules:
            known = reported.get((record.id, record.born), 1.0)
            if max(rule / known, known / rule) >= REPORTED_CHANGE:
                known = rule
                event = ReplicaSpeedChanged(record.id, record.service, round(rule, 2))
                self._context.observer.observe(event)
            self._reported[record.id, record.born] = known

    def _notify(self, rules):
        """Tell a few peers of the plain replicas, if any of them is not as usual.

        They are those of services whose replicas state how long work takes.
        """
        plain = [each for each in rules if self._is_plain(each[0])]
        if all(rule == 1.0 for _, rule in plain):
            return
        records = [record for record, _ in plain]
        told = self._take_turn(list(self._describe(records)))
        peers = self._context.peer_ips
        for _ in range(min(NOTICE_RECIPIENTS, len(peers))):
            peer = peers[int(self._context.draw() * len(peers))]
            self._context.peers.send(peer, SlowdownNotice(told))

    def _take_turn(self, told):
        """Return the part of a list that fits into this notice, each part in turn."""
        parts = max(1, math.ceil(len(told) / MAX_NOTICE_REPLICAS))
        first = self._notices % parts * MAX_NOTICE_REPLICAS
        self._notices += 1
        return tuple(told[first : first + MAX_NOTICE_REPLICAS])

    def _describe(self, records):
        now = self._clock.monotonic()
        for record in records:
            learned = self._speeds.describe_learned(record, now)
            if learned is not None and learned.samples >= MIN_NOTICE_SAMPLES:
                yield ReplicaSlowdown(record.id, record.born, learned)

    def _is_plain(self, record):
        if not self._speeds.is_stated(record.service):
            return False
        configuration = self._context.configuration
        if configuration is None:
            return False
        service = configuration.find_service(record.service)
        return service is not None and service.engine is None


def make_answer_kind(route):
    """Return the kind of work of a plain service that a route's answers are."""
    return ("answer", route)


def _find_bucket(running):
    """Return the bucket of a number of running requests; it doubles with each one."""
    return (running // FEW_RUNNING).bit_length()
