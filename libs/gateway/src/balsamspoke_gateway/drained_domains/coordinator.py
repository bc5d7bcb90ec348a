"""Drained failure domains in one entry process, kept in line with store and peers."""

from collections import Counter
from datetime import timedelta

from ..exceptions import NO_DELAY
from ..messages import DrainedDomainsNotice
from ..observing import DomainDrained, DomainReturned, DrainUnclear
from ..store.following import StorePosition
from ..store.startup import StartupGate
from .domains import DrainChanges, DrainedDomains
from .freshness import FreshnessTracker, TrackedSource
from .preloading import AdapterPreloader

FROM_STORE = "its object in the store"
FROM_PEER = "a peer says so"
# Time in which a process reads by itself what a peer has read before it.
CONFIRM_TIME = timedelta(seconds=1)
NOT_WRITTEN_AGAIN = "not written again after the store was restored"


class DrainedDomainsCoordinator:
    """Send nothing to the replicas of the failure domains that the operator drains.

    This handles maintenance of a whole failure domain under load: requests that have
    not been sent go elsewhere at once, whatever they wait for, and those that run there
    end. Each process follows the store by itself and tells its peers what it has read,
    so that one that is cut off from the store learns it from them.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._directory = context.fleet.directory
        self._domains = DrainedDomains()
        self._bound = context.settings.domain_drain_time
        self._freshness = None
        if self._bound is not None:
            self._freshness = FreshnessTracker(self._bound)
        self._preloader = AdapterPreloader(context)
        self._gate = None
        self._follower = None
        self._read_names = set()
        self._placed_elsewhere = Counter()
        self._reported = set()

    @property
    def is_known(self):
        """Whether the drained domains are known, or the deployment has none."""
        return self._freshness is None or self._domains.position is not None

    @property
    def is_current(self):
        """Whether a request may be sent without asking the store before."""
        if self._freshness is None:
            return True
        return not self._freshness.is_outdated(self._clock.monotonic())

    def count_domains(self):
        """Return the number of drained failure domains."""
        return len(self._domains.drained)

    def count_placed_elsewhere(self):
        """Return how often ``count_placement`` has counted since the current drains."""
        return self._placed_elsewhere.total()

    def track(self, source):
        """Return a RecordSource that also records when this process read a source."""
        return TrackedSource(source, self._clock, self._freshness, self._open_gate)

    def set_follower(self, follower):
        """Set the Follower of the DrainRequests, which is told when to list anew."""
        self._follower = follower

    async def wait_until_current(self):
        """Let a process that was suspended read the store before it sends a request."""
        if self.is_current:
            return
        if self._gate is None:
            self._gate = StartupGate(self._clock)
            self._list_anew()
        await self._gate.wait()
        if not self.is_current:
            self._freshness.record_failure()
        self._open_gate()

    def apply(self, page, is_full_list):
        """Apply a RecordPage of DrainRequests.

        Parameters
        ----------
        page : RecordPage
            All objects, or changes of them.
        is_full_list : bool
            Whether the page holds all objects.
        """
        if is_full_list:
            self._read_names.clear()
        for change in page.changes:
            if change.record is None:
                self._read_names.discard(change.name)
                continue
            self._check(change)
            self._read_names.add(change.name)
        asked_at = self._freshness.asked_at if is_full_list else None
        now = self._clock.monotonic()
        changes = self._domains.read(self._read_names, page.position, now, asked_at)
        self._apply_changes(changes, FROM_STORE)
        if self._domains.is_unconfirmed and not is_full_list:
            # The follower is still processing the answer.
            self._clock.call_later(NO_DELAY, self._confirm)
        if self.is_current:
            self._open_gate()

    def make_notice(self):
        """Return the DrainedDomainsNotice for peers; None if nothing was read here."""
        position = self._domains.read_position
        if position is None:
            return None
        names = tuple(sorted(self._domains.read_names))
        return DrainedDomainsNotice(position.era, position.revision, names)

    def receive(self, notice, era):
        """Process the DrainedDomainsNotice of a peer.

        Parameters
        ----------
        notice : DrainedDomainsNotice or None
            The notice; None if the peer has read nothing.
        era : int
            Era of the store that this process has read itself. A notice of another one
            is ignored: the store tells whether it is right.
        """
        if notice is None or self._freshness is None:
            return
        if notice.era != era or notice.revision < 0:
            return
        position = StorePosition(notice.era, notice.revision)
        changes = self._domains.hear(notice.domains, position, self._clock.monotonic())
        self._apply_changes(changes, FROM_PEER)
        if changes != DrainChanges():
            self._clock.call_later(CONFIRM_TIME, self._confirm)

    def record_state(self, record):
        """Process a new ReplicaState of a ReplicaRecord."""
        self._preloader.record_state(record)

    def maintain(self):
        """End what a restored store no longer shows; report unknown domains."""
        if not self._domains.drained:
            return
        changes = self._domains.expire(self._clock.monotonic())
        self._apply_changes(changes, NOT_WRITTEN_AGAIN)
        self._report_unknown()

    def count_placement(self, service):
        """Count a request for a service whose replicas in drained domains were left."""
        for name in self._directory.list_drained_domains(service):
            self._placed_elsewhere[name] += 1

    def _open_gate(self):
        gate, self._gate = self._gate, None
        if gate is not None:
            gate.open()

    def _confirm(self):
        """Read the objects anew if only a peer's notice tells what is drained."""
        if self._domains.is_unconfirmed:
            self._list_anew()

    def _list_anew(self):
        if self._follower is not None:
            self._follower.restart(NO_DELAY)

    def _apply_changes(self, changes, reason):
        if not changes.drained and not changes.returned:
            return
        # Replicas count as cold before the first request can be sent there.
        for name, duration in changes.returned.items():
            self._end(name, duration, reason)
        self._directory.set_drained_domains(self._domains.drained)
        for name in changes.drained:
            self._begin(name, reason)

    def _begin(self, name, reason):
        records = self._directory.list_domain(name)
        self._placed_elsewhere.pop(name, None)
        self._context.observer.observe(DomainDrained(name, len(records), reason))
        for record in records:
            self._context.demands.abandon(record.id)
            self._context.admission_client.abandon(record.ip)
        self._preloader.begin(name, records)

    def _end(self, name, duration, reason):
        placed_elsewhere = self._placed_elsewhere.pop(name, 0)
        event = DomainReturned(name, duration, placed_elsewhere, reason)
        self._context.observer.observe(event)
        self._reported.discard(name)
        self._preloader.end(name)
        for record in self._directory.list_domain(name):
            self._record_cold(record)

    def _record_cold(self, record):
        """Record that a replica may have become cold while its domain was drained."""
        configuration = self._context.configuration
        if configuration is None:
            return
        service = configuration.find_service(record.service)
        if service is not None and service.cold_time:
            reason = "its failure domain was drained"
            self._context.rate_limiting.record_cold(record, service.cold_time, reason)

    def _check(self, change):
        if not change.record.is_readable:
            self._report_unclear(change.name, "its content can't be read")
        if change.name in self._read_names:
            self._report_unclear(change.name, "it was written again")

    def _report_unknown(self):
        """Report each drained domain without a replica or process here, once."""
        known = self._directory.list_domains() | {self._context.settings.failure_domain}
        for name in self._domains.drained - known - self._reported:
            self._reported.add(name)
            self._report_unclear(name, "no replica is known in this failure domain")

    def _report_unclear(self, name, reason):
        self._context.observer.observe(DrainUnclear(name, reason))
