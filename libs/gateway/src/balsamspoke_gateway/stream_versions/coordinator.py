"""Knowledge of where streams have started, kept together by the entry processes."""

from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from ..exceptions import AnswerOverdue
from ..rendezvous import rank_names
from .history import VersionHistory
from .messages import StreamOriginQuery, StreamOriginReply, StreamStarted
from .records import StreamOrigin, StreamRecords, make_stream_key

# Other processes that are told where a stream has started.
HOLDERS = 2
# Processes that are asked: the sender of a notice is no holder of it, and a process
# that came back since ranks before one that was told.
ASKED_PROCESSES = HOLDERS + 1
# Time in which a reply arrives, also from another region.
REPLY_TIMEOUT = timedelta(milliseconds=100)
# Shortest time for which a stream's origin is kept.
MIN_LIFETIME = timedelta(seconds=30)
# A caller that resumes a stream may have waited for the route's timeout once before.
LIFETIME_TIMEOUTS = 2
# Seconds without an answer of the store after which a replica of another version may
# have gone unseen. Replicas write their entries every second or so.
MAX_STORE_SILENCE = 3.0


class _Question:
    __slots__ = ("unanswered", "waiter")

    def __init__(self, waiter, unanswered):
        self.waiter = waiter
        self.unanswered = unanswered


class StreamVersionCoordinator:
    """Find the service and software version at which a resumed stream has started.

    What two software versions of a replica write doesn't fit together, and replicas
    don't check it. A caller may resume its stream at any process, also after the one
    where it started has ended. So a process tells a few others of each stream that
    starts, which are chosen by the stream's key; a process that doesn't know a stream
    asks them. No process is told while all replicas have had the same version for as
    long as an attempt may take: then nobody needs to know.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._records = StreamRecords()
        self._history = VersionHistory()
        self._reachability = None
        self._unannounced = {}
        self._questions = {}
        self._last_number = 0

    @property
    def lifetime(self):
        """Time (timedelta) for which a stream may be resumed after its start."""
        return max(MIN_LIFETIME, LIFETIME_TIMEOUTS * self._longest_attempt)

    @property
    def _longest_attempt(self):
        """Time (timedelta) that an attempt to get a stream takes at most."""
        configuration = self._context.configuration
        if configuration is None:
            return MIN_LIFETIME
        return configuration.longest_resumable_timeout

    def start(self, reachability):
        """Use a Reachability to tell whether the store is heard."""
        self._reachability = reachability

    def count_records(self):
        """Return the number of streams of which the origin is known."""
        return len(self._records)

    def count_pending(self):
        """Return the number of questions without an answer."""
        return len(self._questions)

    def record_recovery(self):
        """Record that the store answers again.

        After a long outage, replicas may have come and gone unseen.
        """
        outage = self._reachability.last_outage
        if outage is None or outage > MAX_STORE_SILENCE:
            self._history.restart(self._clock.monotonic())

    def refresh(self):
        """Record the versions that the directory lists, and forget what is too old.

        The caller does so before and after it changes the directory.
        """
        now = self._clock.monotonic()
        versions = self._context.fleet.directory.list_versions()
        if versions and not self._history.is_following:
            self._history.restart(now)
        self._history.record(versions, now)
        cutoff = now - self.lifetime
        self._history.expire(cutoff)
        self._records.expire(cutoff)
        self._announce_delayed()

    def record_start(self, team, request_id, origin):
        """Record the first event of a stream.

        Parameters
        ----------
        team : str
            Name of the caller's team; empty for none.
        request_id : str
            Id of the caller's request.
        origin : StreamOrigin
            Where the stream has started.
        """
        key = make_stream_key(team, request_id)
        if key is None:
            return
        self._records.put(key, origin, self._clock.monotonic())
        if self._find_only_version(origin.service) is None:
            self._announce(key, origin)
        else:
            self._unannounced[key] = origin

    def record_end(self, team, request_id):
        """Record that a request has ended, whether or not a stream has started."""
        self._unannounced.pop(make_stream_key(team, request_id), None)

    async def find(self, team, request_id, service):
        """Return the StreamOrigin of a stream that a caller resumes.

        Parameters
        ----------
        team : str
            Name of the caller's team; empty for none.
        request_id : str or None
            Id of the request that brought the first event; None if not stated.
        service : str
            Service that the request would be sent to.

        Returns
        -------
        StreamOrigin or None
            None if the stream may have started at a version that can't be told.
        """
        key = make_stream_key(team, request_id)
        if key is not None:
            origin = self._records.find(key) or await self._ask(key)
            if origin is not None:
                return origin
        version = self._find_only_version(service)
        return None if version is None else StreamOrigin(service, version)

    def receive(self, ip, message):
        """Process a message of a peer; return whether it concerns streams."""
        if isinstance(message, StreamStarted):
            origin = StreamOrigin(message.service, message.version)
            self._records.put(message.stream, origin, self._clock.monotonic())
        elif isinstance(message, StreamOriginQuery):
            self._reply(ip, message)
        elif isinstance(message, StreamOriginReply):
            self._receive_reply(message)
        else:
            return False
        return True

    def _find_only_version(self, service):
        """Return the one version that a service has had; None if not certain."""
        silence = None if self._reachability is None else self._reachability.silence
        if silence is None or silence > MAX_STORE_SILENCE:
            return None
        since = self._clock.monotonic() - self._longest_attempt
        return self._history.find_only_version(service, since)

    def _announce_delayed(self):
        """Announce the running streams of services that have several versions now."""
        services = {origin.service for origin in self._unannounced.values()}
        certain = {each for each in services if self._find_only_version(each)}
        for key, origin in list(self._unannounced.items()):
            if origin.service not in certain:
                del self._unannounced[key]
                self._announce(key, origin)

    def _announce(self, key, origin):
        message = StreamStarted(key, origin.service, origin.version)
        for ip in self._rank_peers(key)[:HOLDERS]:
            self._context.peers.send(ip, message)

    def _rank_peers(self, key):
        now = self._clock.monotonic()
        return rank_names(key, self._context.peer_activity.list_heard(now))

    async def _ask(self, key):
        """Return the StreamOrigin that the holders tell; None if none knows it."""
        asked = self._rank_peers(key)[:ASKED_PROCESSES]
        if not asked:
            return None
        self._last_number += 1
        number = self._last_number
        waiter = Deferred()
        self._questions[number] = _Question(waiter, len(asked))
        for ip in asked:
            self._context.peers.send(ip, StreamOriginQuery(number, key))
        try:
            return await add_timeout(
                waiter, self._clock, REPLY_TIMEOUT, AnswerOverdue()
            )
        except AnswerOverdue:
            return None
        finally:
            self._questions.pop(number, None)

    def _reply(self, ip, query):
        origin = self._records.find(query.stream)
        if origin is None:
            reply = StreamOriginReply(query.number)
        else:
            reply = StreamOriginReply(query.number, origin.service, origin.version)
        self._context.peers.send(ip, reply)

    def _receive_reply(self, reply):
        question = self._questions.get(reply.number)
        if question is None:
            return
        question.unanswered -= 1
        is_known = reply.service is not None and reply.version is not None
        if not is_known and question.unanswered:
            return
        del self._questions[reply.number]
        origin = StreamOrigin(reply.service, reply.version) if is_known else None
        question.waiter.callback(origin)
