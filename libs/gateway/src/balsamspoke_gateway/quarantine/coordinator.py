"""Quarantine of requests in one entry process, shared with its peers."""

from datetime import timedelta

from balsamspoke_types.timing import sleep
from twisted.internet.defer import Deferred

from ..exceptions import PromptQuarantined
from ..observing import PromptsQuarantined, QuarantineLifted, ReplicaCrashed
from .crash_detection import CrashDetector
from .messages import AnsweredParts, CrashReport, CrashSuspect, QuarantineUpdate
from .quarantine import PromptQuarantine
from .reports import CrashReportBatch, ReceivedReports
from .storage import QuarantineStorage

# Interval at which the quarantine is sent to a peer chosen at random: to those that
# have just started, and for messages that were lost.
GOSSIP_INTERVAL = timedelta(milliseconds=500)
# Peers that are told at once of a set that is new here, each of which does the same.
SPREAD_PEERS = 3
# Interval at which a process that does not hear all its peers reads the store, for this
# long after a crash.
STORE_READ_INTERVAL = timedelta(seconds=1)
STORE_READ_TIME = timedelta(minutes=1)
# Parts that this process has reported, of which it passes answers on to its peers.
MAX_REPORTED_PARTS = 1_000

OWN_CRASHES = "crashes of replicas here and at peers"
FROM_PEER = "a peer has it"
FROM_STORE = "it is in the store"
REMAINING = "crashes of replicas, without the parts that were answered"
ANSWERED_HERE = "a replica has answered it"
ANSWERED_AT_PEER = "a peer has an answer to it"


class QuarantineCoordinator:
    """Refuse requests that crash replicas, and agree with the peers on them.

    Each crash is reported to all peers with the requests that may have caused it. All
    processes decide by the same rule; the one whose report completes the case also
    tells the others the result and stores it.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._observer = context.observer
        self._quarantine = PromptQuarantine()
        self._detector = CrashDetector(
            context.clock, lambda record: context.client.is_refusing(record)
        )
        self._storage = None
        self._attempts = {}
        self._reported_parts = set()
        self._last_crash = None
        self._unstored = []
        self._reports = CrashReportBatch(self._clock, context.send_to_peers)
        self._received = ReceivedReports(self._clock, self._judge, context.report_bug)

    def start(self, store, on_store_error):
        """Start to share the quarantine, and to keep it in the store.

        Parameters
        ----------
        store : QuarantineStore
            Holds the quarantine beyond this process.
        on_store_error : callable
            Called with each StoreUnavailable.
        """
        self._storage = QuarantineStorage(
            self._clock, store, on_store_error, self._context.report_bug
        )
        self._run(self._load())
        self._run(self._gossip())
        self._run(self._follow_store())

    def count_entries(self):
        """Return the number of sets of parts in quarantine."""
        return len(self._quarantine.list_entries(self._clock.monotonic()))

    def check(self, parts):
        """Raise PromptQuarantined if a request with parts must not be sent."""
        now = self._clock.monotonic()
        time_left = self._quarantine.find_time_left(parts, now)
        if time_left is not None:
            raise PromptQuarantined(time_left)

    def record_prompt(self, prompt):
        """Record a Prompt that this process received, whatever becomes of it."""
        self._quarantine.record_prompt(prompt.shared_part_ids)

    def add_attempt(self, attempt):
        """Recall an Attempt if its request gets into quarantine while it runs."""
        self._attempts[attempt] = None

    def remove_attempt(self, attempt):
        """Forget an Attempt that has ended."""
        self._attempts.pop(attempt, None)

    def record_answered(self, parts):
        """Record that a replica has answered a request with parts without a crash."""
        if self._clear(parts, ANSWERED_HERE):
            self._context.send_to_peers(AnsweredParts(parts))

    async def investigate(self, record, forwarding):
        """Find out whether a request crashed the replica that broke off its answer.

        Parameters
        ----------
        record : ReplicaRecord
            The replica.
        forwarding : Forwarding
            The request.
        """
        fingerprint = forwarding.fingerprint
        suspect = CrashSuspect(fingerprint, forwarding.list_shared_parts())
        report = CrashReport(record.id, record.born, (suspect,))
        report = self._quarantine.select_suspects(report, self._clock.monotonic())
        parts = report.suspects[0].parts if report.suspects else ()
        checking = Deferred.fromCoroutine(self._check(record, forwarding, report))
        if parts or self._quarantine.is_repeated(fingerprint):
            await checking
        else:
            # A retry of a request that nothing speaks against need not wait.
            checking.addErrback(self._context.report_bug)

    async def _check(self, record, forwarding, report):
        """Report a crash if a replica has crashed, and did not leave."""
        has_crashed = await self._detector.check(record)
        drain_time = self._context.settings.drain_time
        if not has_crashed or not self._context.fleet.is_serving(record, drain_time):
            return
        parts = report.suspects[0].parts if report.suspects else ()
        self._observer.observe(
            ReplicaCrashed(
                record.id, forwarding.request.id, forwarding.fingerprint, parts
            )
        )
        if report.suspects:
            await self._report_crash(report)

    def receive(self, ip, message):
        """Process a message of a peer; return whether it concerns the quarantine."""
        if isinstance(message, CrashReport):
            self._received.add(message, is_own=False)
            parts = {part for each in message.suspects for part in each.parts}
            parts |= {each.request for each in message.suspects}
            self._reply_with_answered(ip, parts)
        elif isinstance(message, QuarantineUpdate):
            self._spread(self._adopt(message.entries, FROM_PEER))
            parts = {part for each in message.entries for part in each.parts}
            self._reply_with_answered(ip, parts)
        elif isinstance(message, AnsweredParts):
            self._receive_answered(message)
        else:
            return False
        return True

    def rewrite_records(self):
        """Store again what a store restored from an older copy has lost."""
        if self._storage is not None:
            self._storage.rewrite()

    def _report_crash(self, report):
        """Report a crash to the peers; return a Deferred of its judgement."""
        self._last_crash = self._clock.monotonic()
        for suspect in report.suspects:
            self._remember_reported((suspect.request, *suspect.parts))
        self._reports.add(report)
        return self._received.add(report, is_own=True)

    def _judge(self, reports, has_own):
        """Judge the CrashReports that came together, of this process or of peers."""
        now = self._clock.monotonic()
        entries = self._quarantine.record_crashes(reports, now)
        self._announce(entries, OWN_CRASHES)
        if not has_own:
            self._spread(entries)
        elif entries:
            update = QuarantineUpdate(self._quarantine.make_messages(now))
            self._context.send_to_peers(update)
            self._unstored += entries
            self._store_entries(now)

    def _remember_reported(self, parts):
        if len(self._reported_parts) > MAX_REPORTED_PARTS:
            self._reported_parts.clear()
        self._reported_parts.update(parts)

    def _adopt(self, messages, reason):
        entries = self._quarantine.adopt(messages, self._clock.monotonic())
        self._announce(entries, reason)
        return entries

    def _spread(self, entries):
        """Tell a few peers of Quarantined sets that are new here.

        Peers that have heard of the same crashes may not come to the same result, as
        they have seen other prompts and answers.
        """
        if not entries:
            return
        messages = self._quarantine.make_messages(self._clock.monotonic())
        for ip in self._choose_peers(SPREAD_PEERS):
            self._context.peers.send(ip, QuarantineUpdate(messages))

    def _announce(self, entries, reason):
        """Log Quarantined sets, and recall the attempts that they concern."""
        for entry in entries:
            parts = tuple(sorted(entry.parts))
            event = PromptsQuarantined(parts, entry.is_certain, reason)
            self._observer.observe(event)
        for attempt in list(self._attempts):
            if any(entry.parts <= attempt.parts for entry in entries):
                attempt.recall()

    def _receive_answered(self, message):
        if not self._clear(message.parts, ANSWERED_AT_PEER):
            return
        reported = tuple(each for each in message.parts if each in self._reported_parts)
        if reported:
            # The other peers suspect the parts because this process reported them.
            self._context.send_to_peers(AnsweredParts(reported))
            self._reported_parts.difference_update(reported)

    def _clear(self, parts, reason):
        """Clear answered parts; return whether one was suspected or in quarantine."""
        now = self._clock.monotonic()
        before = self._quarantine.list_entries(now)
        if not self._quarantine.record_answered(parts, now):
            return False
        kept = self._quarantine.list_entries(now)
        lifted = [each for each in before if each not in kept]
        for each in lifted:
            parts = tuple(sorted(each.parts))
            self._observer.observe(QuarantineLifted(parts, reason))
        if lifted:
            entries = self._quarantine.reconsider(now)
            self._announce(entries, REMAINING)
            self._spread(entries)
            if reason == ANSWERED_HERE:
                self._unstored += entries
        return True

    def _reply_with_answered(self, ip, parts):
        now = self._clock.monotonic()
        answered = self._quarantine.select_answered(sorted(parts), now)
        if answered:
            self._context.peers.send(ip, AnsweredParts(answered))

    async def _load(self):
        self._adopt(await self._storage.load(), FROM_STORE)
        await self._storage.run()

    async def _gossip(self):
        while True:
            await sleep(self._clock, GOSSIP_INTERVAL)
            now = self._clock.monotonic()
            entries = self._quarantine.list_entries(now)
            self._storage.retain([each.parts for each in entries])
            if entries:
                messages = self._quarantine.make_messages(now)
                for ip in self._choose_peers(1):
                    self._context.peers.send(ip, QuarantineUpdate(messages))

    async def _follow_store(self):
        """Learn from the store what silent peers have found, after a crash."""
        while True:
            await sleep(self._clock, STORE_READ_INTERVAL)
            now = self._clock.monotonic()
            self._store_entries(now)
            has_crashed = (
                self._last_crash is not None
                and now - self._last_crash <= STORE_READ_TIME
            )
            if has_crashed and self._has_silent_peers(now):
                self._adopt(await self._storage.read(), FROM_STORE)

    def _store_entries(self, now):
        """Store what was found here and is certain, or what peers can't be told."""
        if self._storage is None:
            return
        self._unstored = [each for each in self._unstored if each.ends_at > now]
        has_silent_peers = self._has_silent_peers(now)
        stored = [
            each for each in self._unstored if each.is_certain or has_silent_peers
        ]
        for each in stored:
            self._storage.add(each.parts, each.ends_at - now)
            self._unstored.remove(each)

    def _has_silent_peers(self, now):
        return self._context.peer_activity.count_silent(now) > 0

    def _choose_peers(self, count):
        """Return the IP addresses of some peers, beginning at one chosen at random."""
        ips = self._context.peer_ips
        first = int(self._context.draw() * len(ips))
        return [*ips[first:], *ips[:first]][:count]

    def _run(self, coroutine):
        Deferred.fromCoroutine(coroutine).addErrback(self._context.report_bug)
