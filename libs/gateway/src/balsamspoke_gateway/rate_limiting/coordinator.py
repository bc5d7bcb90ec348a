"""Rate limits of replicas in one entry process, kept together with its peers."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from ..exceptions import NO_DELAY, AnswerOverdue
from ..observing import RateLimitLifted, RateLimitNamed
from .effective import EffectiveLimit, LimitFinder
from .issuers import IssuerSelection
from .issuing import GroupIssuer
from .messages import ColdNotice, PermitReply, PermitRequest, RateLimitNotice
from .permits import MAX_WAIT
from .warmups import WarmupTracker

# Time in which a reply arrives, also from another region.
REPLY_TIMEOUT = timedelta(milliseconds=100)
# Time after an unanswered request for a permit until the next one.
UNANSWERED_WAIT = timedelta(milliseconds=200)

FROM_ANSWER = "it said so in an answer"
FROM_UNLIMITED_ANSWER = "it named none in an answer"
FROM_PEER = "a peer says so"


class RateLimitCoordinator:
    """Send replicas no more requests than they take, together with the peers.

    This handles a replica that is overloaded and names the rate that it still takes
    from all processes together, and one that is cold and takes little for a time. Every
    request to it needs a permit, and all permits for one replica are issued by one
    process: buckets at each process would either add up to a burst for every one of
    them, or leave unused what falls to the idle ones.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.

    Attributes
    ----------
    warmups : WarmupTracker
        Notices that replicas turn cold.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._limits = context.fleet.rate_limits
        self._waits = context.fleet.permit_waits
        self._own_ip = context.settings.ip
        self._issuers = IssuerSelection(self._own_ip, context.peer_activity)
        self._cold = context.fleet.cold_replicas
        self._finder = LimitFinder(context, self._limits, self._cold)
        self._issuer = GroupIssuer(context, self._finder, self._issuers)
        self.warmups = WarmupTracker(
            context, self._finder, self._cold, self._issuers, self._issuer.open
        )
        self._waiters = {}
        self._last_number = 0

    def count_pending(self):
        """Return the number of requests for permits without a reply."""
        return len(self._waiters)

    def record_cold(self, record, duration, reason):
        """Record that a replica is cold from now on, and let the peers know.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        duration : timedelta
            Time for which it is cold; of several times, the later end counts.
        reason : str
            How this process learned it, for the log.
        """
        self.warmups.record_return(record, duration, reason)

    def record_answer(self, record, answer, sent_at):
        """Record what an answer of a replica says of its limits.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        answer : ReplicaAnswer
            Its answer.
        sent_at : timedelta
            Monotonic time at which the request was sent.
        """
        if answer.cold_left is not None:
            self.warmups.record_answer(record, answer.cold_left)
        if answer.rate_limit is not None:
            if self._record_named(record, answer.rate_limit, FROM_ANSWER):
                self._notify(record)
        elif answer.is_signed and self._limits.record_unnamed(record, sent_at):
            self._handle_lifted(record, FROM_UNLIMITED_ANSWER)
            self._notify(record)

    async def take_permit(self, record):
        """Return whether a request may be sent to a replica now.

        If not, the replica is no candidate until a permit can be expected.
        """
        now = self._clock.monotonic()
        limit = self._finder.find(record)
        if limit is None:
            return True
        if self._waits.find_time_left(record, now) is not None:
            return False
        wait = await self._request_permit(record, limit, now)
        if wait <= NO_DELAY or self._finder.find(record) is None:
            return True
        # A wait is no longer than the limit lasts.
        time_left = self._finder.find_time_left(record)
        hold = wait if time_left is None else min(wait, time_left)
        self._waits.record(record, hold, self._clock.monotonic())
        if limit.is_cold:
            self._cold.record_withheld(record)
        return False

    def receive(self, ip, message):
        """Process a message of a peer; return whether it concerns rate limits."""
        if isinstance(message, RateLimitNotice):
            self._receive_notice(message)
        elif isinstance(message, ColdNotice):
            self.warmups.receive(message)
        elif isinstance(message, PermitRequest):
            self._receive_request(ip, message)
        elif isinstance(message, PermitReply):
            waiter = self._waiters.pop(message.number, None)
            if waiter is not None:
                waiter.callback(message)
        else:
            return False
        return True

    def inform(self, ip):
        """Tell a peer that has just started of the limits that this process keeps.

        The issuer of a replica's permits does so, so that the peer is told once. Where
        that is the peer itself from now on, all processes do.
        """
        now = self._clock.monotonic()
        for record in self._context.fleet.directory.list_all():
            limit = self._finder.find(record)
            if limit is None:
                continue
            if self._issuers.choose(record.id, now) not in (self._own_ip, ip):
                continue
            self.warmups.inform(ip, record)
            rate = self._limits.find_rate(record)
            if rate is not None:
                notice = RateLimitNotice(record.id, record.born, rate)
                self._context.peers.send(ip, notice)

    async def _request_permit(self, record, limit, now):
        """Return the time after which to ask again; ``NO_DELAY`` with a permit."""
        issuer = self._issuers.choose(record.id, now)
        if issuer == self._own_ip:
            return self._issuer.issue(issuer, record.id, record.born, limit)
        self._last_number += 1
        number = self._last_number
        waiter = self._waiters[number] = Deferred()
        request = PermitRequest(
            number,
            record.id,
            record.born,
            limit.rate,
            limit.is_cold,
            limit.is_assumed,
        )
        self._context.peers.send(issuer, request)
        try:
            reply = await add_timeout(
                waiter, self._clock, REPLY_TIMEOUT, AnswerOverdue()
            )
        except AnswerOverdue:
            self._issuers.record_silence(issuer, self._clock.monotonic())
            return UNANSWERED_WAIT
        finally:
            self._waiters.pop(number, None)
        self._issuers.record_reply(issuer)
        # The order of the arguments makes a time that is not a number zero.
        wait = min(MAX_WAIT.total_seconds(), max(0.0, reply.wait))
        return timedelta(seconds=wait)

    def _receive_request(self, ip, request):
        asked = EffectiveLimit(request.rate, request.is_cold, request.is_assumed)
        wait = self._issuer.issue(ip, request.replica, request.born, asked)
        reply = PermitReply(request.number, wait.total_seconds())
        self._context.peers.send(ip, reply)

    def _receive_notice(self, notice):
        record = self._context.fleet.directory.find(notice.replica)
        if record is None or record.born != notice.born:
            return
        if notice.rate is not None:
            self._record_named(record, notice.rate, FROM_PEER)
        elif self._limits.lift(record):
            self._handle_lifted(record, FROM_PEER)

    def _record_named(self, record, rate, reason):
        now = self._clock.monotonic()
        is_news = self._limits.record_named(record, rate, now)
        if is_news:
            rate = self._limits.find_rate(record)
            event = RateLimitNamed(record.id, rate, reason)
            self._context.observer.observe(event)
            if self._issuers.choose(record.id, now) == self._own_ip:
                self._issuer.open(record)
        return is_news

    def _handle_lifted(self, record, reason):
        self._waits.clear(record)
        self._context.observer.observe(RateLimitLifted(record.id, reason))

    def _notify(self, record):
        rate = self._limits.find_rate(record)
        self._context.send_to_peers(RateLimitNotice(record.id, record.born, rate))
