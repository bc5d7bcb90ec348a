"""The core of an entry process, built from its ports alone."""

from balsamspoke_catalogue import CatalogueKeeper
from balsamspoke_limits import Limits, TeamBudgets
from balsamspoke_membership import Membership, MemberState
from balsamspoke_routing import (
    AttemptRunner,
    IdempotencyLedger,
    RecordSweeper,
    ReplicaDirectory,
)
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import PeerHandler, VmState

from .context import EntryContext
from .events import CatalogueChanged, ObserverGroup, SilentObserver, StopStarted
from .explanations import Explanations
from .frontdoor import RequestHandler
from .settings import EntrySettings
from .waiters import Waiters
from .watchers import choose_watchers

ENTRY_ROLE = "entry"
SIDE_ROLE = "side"


class EntryNode(PeerHandler):
    """The core of an entry process.

    Parameters
    ----------
    process : ProcessId
        This run.
    identity : NodeIdentity
        Where it runs.
    clock : Clock
    random_source : random.Random
    store : ObjectStore
    vm_list : VmList
    transport : PeerTransport
    settings : EntrySettings, optional
    observer : Observer, optional
        Who is told of events.
    """

    def __init__(
        self,
        process,
        identity,
        clock,
        random_source,
        store,
        vm_list,
        transport,
        settings=None,
        observer=None,
    ):
        settings = settings or EntrySettings()
        self.process = process
        self.identity = identity
        self.settings = settings
        self._clock = clock
        self.explanations = Explanations(settings.kept_explanations)
        self._observer = ObserverGroup(self.explanations, observer or SilentObserver())
        self.catalogue = CatalogueKeeper(
            process,
            clock,
            random_source,
            store,
            transport.send,
            settings.catalogue,
            on_change=self._note_catalogue,
        )
        self.membership = Membership(
            process,
            identity.vm,
            clock,
            random_source,
            vm_list,
            transport,
            settings.membership,
            get_revision=self._get_revision,
            on_change=self._note_members,
            on_vms=self._note_vms,
            is_wanted=self._is_wanted,
            on_status=self.catalogue.note_revision,
        )
        self.directory = ReplicaDirectory(clock, random_source, settings.directory)
        self.budgets = TeamBudgets(
            process,
            clock,
            random_source,
            store,
            transport.send,
            self._find_limits,
            settings.budgets,
        )
        self.runner = AttemptRunner(
            process,
            clock,
            random_source,
            transport.send,
            self.directory,
            IdempotencyLedger(process, clock, store, random_source, settings.ledger),
            self.catalogue.view.is_key_valid,
            settings.attempts,
        )
        self._sweeper = RecordSweeper(clock, store, random_source, settings.ledger)
        self.context = EntryContext(
            process,
            clock,
            settings,
            self.catalogue.view,
            self.budgets,
            self.runner,
            self._observer,
        )
        self._handler = RequestHandler(self.context)
        self._routed = set()
        self._silent = set()
        self._listed_services = None
        self._listed_entries = frozenset()
        self._connected = set()
        self._started_at = None
        self._found_others = False
        self._stopping = False
        self._drained = Waiters()
        self._stop_timer = None
        transport.bind(self)

    def start(self):
        """Start to take part; requests are taken once the catalogue is complete."""
        self._started_at = self._clock.monotonic()
        self.catalogue.start()
        self.membership.start()
        self.budgets.start()
        self._sweeper.start()

    def stop(self):
        """End at once; for a planned stop call ``drain`` before."""
        self.membership.stop()
        self.catalogue.stop()
        self.budgets.stop()
        self._sweeper.stop()

    @property
    def is_ready(self):
        """Whether the balancer should send requests."""
        return (
            self.catalogue.view.is_complete
            and not self._stopping
            and self._has_found_others()
        )

    @property
    def running_requests(self):
        """The number of requests under way."""
        return len(self.context.exchanges)

    def handle(self, request, responder):
        """Answer a caller's request.

        Parameters
        ----------
        request : CallerRequest
        responder : Responder

        Returns
        -------
        Exchange or None
            What to tell of the caller; None if the answer was given already.
        """
        return self._handler.handle(request, responder)

    def drain(self):
        """Stop as planned: no running request is cut.

        Returns
        -------
        Deferred of int
            Requests that were still running at the stop timeout.
        """
        if not self._stopping:
            self._stopping = True
            self._observer.observe(StopStarted())
            self.membership.announce_leaving()
            self._clock.call_later(self.settings.readiness_grace, self._refuse_new)
        return self._drained.wait()

    def peer_connected(self, peer):
        """Note a connection."""
        self._connected.add(peer)
        self.membership.peer_connected(peer)
        self.catalogue.peer_connected(peer)
        self.budgets.peer_connected(peer)
        self.runner.peer_connected(peer)

    def peer_disconnected(self, peer):
        """Note the loss of a connection."""
        self._connected.discard(peer)
        self.membership.peer_disconnected(peer)
        self.catalogue.peer_disconnected(peer)
        self.budgets.peer_disconnected(peer)
        self.runner.peer_disconnected(peer)

    def peer_message(self, peer, message):
        """Hand a message to whom it concerns."""
        _ = (
            self.runner.peer_message(peer, message)
            or self.membership.peer_message(peer, message)
            or self.catalogue.peer_message(peer, message)
            or self.budgets.peer_message(peer, message)
        )

    def _refuse_new(self):
        self._handler.refuse_new_requests()
        self.context.on_idle = self._hand_back
        self._stop_timer = self._clock.call_later(
            self.settings.stop_timeout, self._hand_back
        )
        if not self.context.exchanges:
            self._hand_back()

    def _hand_back(self):
        self.context.on_idle = None
        self._stop_timer.cancel()
        left = len(self.context.exchanges)
        self.budgets.hand_back().addBoth(lambda _: self._drained.fire(left))

    def _has_found_others(self):
        """Tell whether a fresh process can serve, or has waited long enough."""
        if self._found_others or self._started_at is None:
            return self._found_others
        waited = self._clock.monotonic() - self._started_at
        is_late = waited >= self.settings.others_wait
        self._found_others = is_late or self._knows_all_listed()
        return self._found_others

    def _knows_all_listed(self):
        """Tell whether all services can be routed to, and all entries be asked."""
        if self._listed_services is None:
            return False
        usable = {one.service for one in self.directory.describe() if one.usable}
        reached = {peer.vm for peer in self._connected} | {self.identity.vm}
        return self._listed_services <= usable and self._listed_entries <= reached

    def _find_limits(self, team_name):
        team = self.catalogue.view.team(team_name)
        return Limits(team.rate, team.burst) if team is not None else None

    def _get_revision(self):
        return self.catalogue.view.revision

    def _note_catalogue(self, kind, name):
        if kind is Kind.TEAM:
            self.budgets.note_limits(name)
        version = self.catalogue.view.version_of(kind, name)
        self._observer.observe(CatalogueChanged(kind, name, version))

    def _is_wanted(self, vm):
        return vm.vm != self.identity.vm

    def _note_vms(self, records, asked_at):
        self.budgets.note_vms(records, asked_at)
        live = [record for record in records if record.state is VmState.LIVE]
        sides = [record for record in live if record.role == SIDE_ROLE]
        entries = [record for record in live if record.role == ENTRY_ROLE]
        self._listed_services = {record.service for record in sides}
        self._listed_entries = {record.vm for record in entries}

    def _note_members(self):
        entries = self.membership.members(role=ENTRY_ROLE)
        self._choose_catalogue_sources(entries)
        sides = self.membership.members(role=SIDE_ROLE)
        for member in sides:
            self.directory.note_member(
                member.process,
                member.vm.service,
                member.vm.failure_domain,
                live=member.state is MemberState.LIVE,
                leaving=_is_leaving(member),
            )
        silent = {one.process for one in sides if one.state is MemberState.SUSPECT}
        news, self._silent = silent - self._silent, silent
        for process in sorted(news):
            self.runner.peer_silent(process)
        known = {member.process for member in sides}
        for gone in self._routed - known:
            self.directory.forget(gone)
        self._routed = known

    def _choose_catalogue_sources(self, entries):
        usable = [entry for entry in entries if entry.state is not MemberState.SUSPECT]
        self.directory.set_entry_count(len(usable) + 1)
        self.catalogue.set_peers(tuple(entry.process for entry in usable))
        domain = self.identity.failure_domain
        same_domain = [
            entry.process
            for entry in usable
            if entry.vm.failure_domain == domain
            and entry.state is MemberState.LIVE
            and entry.process != self.process
        ]
        watchers = choose_watchers(
            [self.process, *same_domain], self.settings.watchers_per_domain
        )
        self.catalogue.set_watching(self.process in watchers)


def _is_leaving(member):
    return member.state is MemberState.LEAVING or member.vm.state is VmState.LEAVING
