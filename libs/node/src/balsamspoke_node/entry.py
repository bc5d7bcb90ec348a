"""The core of an entry process, built from its ports alone."""

from balsamspoke_catalogue import CatalogueSynchronizer
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
from .identity import ENTRY_ROLE, SIDE_ROLE
from .readiness import StartReadiness
from .settings import EntrySettings
from .waiters import Waiters
from .watchers import choose_watchers


class EntryNode(PeerHandler):
    """The core of an entry process.

    Parameters
    ----------
    ports : NodePorts
        What it needs from outside.
    settings : EntrySettings, optional
    observer : Observer, optional
        Who is told of events.
    """

    def __init__(
        self,
        ports,
        settings=None,
        observer=None,
    ):
        settings = settings or EntrySettings()
        self.process = ports.process
        self.identity = ports.identity
        self.settings = settings
        self._clock = ports.clock
        self.explanations = Explanations(settings.kept_explanations)
        self._observer = ObserverGroup(self.explanations, observer or SilentObserver())
        self.catalogue = CatalogueSynchronizer(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.store,
            ports.transport.send,
            settings.catalogue,
            on_change=self._note_catalogue,
        )
        self.membership = Membership(
            ports.process,
            ports.identity.vm,
            ports.clock,
            ports.random_source,
            ports.vm_list,
            ports.transport,
            settings.membership,
            get_revision=self._get_revision,
            on_change=self._note_members,
            on_vms=self._note_vms,
            is_wanted=self._is_wanted,
            on_status=self.catalogue.update_peer_revision,
        )
        self.directory = ReplicaDirectory(
            ports.clock, ports.random_source, settings.directory
        )
        self.budgets = TeamBudgets(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.store,
            ports.transport.send,
            self._find_limits,
            settings.budgets,
        )
        self.runner = AttemptRunner(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.transport.send,
            self.directory,
            IdempotencyLedger(
                ports.process,
                ports.clock,
                ports.store,
                ports.random_source,
                settings.ledger,
            ),
            self.catalogue.view.is_key_valid,
            settings.attempts,
        )
        self._sweeper = RecordSweeper(
            ports.clock, ports.store, ports.random_source, settings.ledger
        )
        self.context = EntryContext(
            ports.process,
            ports.clock,
            settings,
            self.catalogue.view,
            self.budgets,
            self.runner,
            self._observer,
        )
        self._handler = RequestHandler(self.context)
        self._routed = set()
        self._silent = set()
        self._readiness = StartReadiness(
            ports.clock, ports.identity.vm, self.directory, settings.others_wait
        )
        self._stopping = False
        self._drained = Waiters()
        self._stop_timer = None
        ports.transport.bind(self)

    def start(self):
        """Start to take part; requests are taken once the catalogue is complete."""
        self._readiness.start()
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
            and self._readiness.is_met()
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
        self._readiness.note_connected(peer)
        self.membership.peer_connected(peer)
        self.catalogue.peer_connected(peer)
        self.budgets.peer_connected(peer)
        self.runner.peer_connected(peer)

    def peer_disconnected(self, peer):
        """Note the loss of a connection."""
        self._readiness.note_disconnected(peer)
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

    def _find_limits(self, team_name):
        team = self.catalogue.view.team(team_name)
        return Limits(team.rate, team.burst) if team is not None else None

    def _get_revision(self):
        return self.catalogue.view.revision

    def _note_catalogue(self, kind, name):
        if kind is Kind.TEAM:
            self.budgets.note_limits(name)
        version = self.catalogue.view.get_current_version(kind, name)
        self._observer.observe(CatalogueChanged(kind, name, version))

    def _is_wanted(self, vm):
        return vm.vm != self.identity.vm

    def _note_vms(self, records, asked_at):
        self.budgets.note_vms(records, asked_at)
        self._readiness.note_vms(records)

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
