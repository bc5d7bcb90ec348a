"""The core of an entry process, which does all its I/O through ports."""

from balsamspoke_catalogue import CatalogueSynchronizer
from balsamspoke_gateway.observing import Observers
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
from .events import CatalogueChanged, NullObserver, StopStarted
from .explanations import Explanations
from .identity import ENTRY_ROLE, SIDE_ROLE
from .readiness import StartReadiness
from .request_handler import RequestHandler
from .settings import EntrySettings
from .waiters import Waiters
from .watchers import select_watchers


class EntryNode(PeerHandler):
    """The core of an entry process, from admission of a request to its answer.

    Parameters
    ----------
    ports : NodePorts
        Clock, random source, platform clients and peer transport.
    settings : EntrySettings, optional
        The defaults of EntrySettings if omitted.
    observer : Observer, optional
        Receives the events of the ``events`` module, as the internal request history
        does.
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
        self.explanations = Explanations(settings.maximum_explanations)
        self._observer = Observers(self.explanations, observer or NullObserver())
        self.catalogue = CatalogueSynchronizer(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.store,
            ports.transport.send,
            settings.catalogue,
            on_change=self._handle_catalogue_change,
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
            on_change=self._handle_membership_change,
            on_vm_list=self._handle_vm_list,
            should_connect=self._should_connect,
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
        self._record_sweeper = RecordSweeper(
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
        self._directory_processes = set()
        self._suspects = set()
        self._readiness = StartReadiness(
            ports.clock, ports.identity.vm, self.directory, settings.startup_timeout
        )
        self._is_stopping = False
        self._drain_waiters = Waiters()
        self._stop_timer = None
        ports.transport.bind(self)

    def start(self):
        """Start all components; refuse requests until the catalogue is complete."""
        self._readiness.start()
        self.catalogue.start()
        self.membership.start()
        self.budgets.start()
        self._record_sweeper.start()

    def stop(self):
        """Stop all components at once; for a planned stop, ``drain`` first."""
        self.membership.stop()
        self.catalogue.stop()
        self.budgets.stop()
        self._record_sweeper.stop()

    @property
    def is_ready(self):
        """Whether the load balancer should send requests to this process."""
        return (
            self.catalogue.view.is_complete
            and not self._is_stopping
            and self._readiness.is_met()
        )

    @property
    def running_requests(self):
        """The number of admitted requests without a final answer."""
        return len(self.context.exchanges)

    def handle(self, request, responder):
        """Admit a caller's request and start its exchange, or refuse it.

        Parameters
        ----------
        request : CallerRequest
            The complete HTTP request.
        responder : Responder
            Receives the answer.

        Returns
        -------
        Exchange or None
            The exchange to notify of the caller's disconnection and backpressure;
            None if the request was answered immediately.
        """
        return self._handler.handle(request, responder)

    def drain(self):
        """Begin a planned stop, in which running requests may finish.

        Returns
        -------
        Deferred of int
            The number of requests still running at the stop timeout; 0 if all
            finished before it.
        """
        if not self._is_stopping:
            self._is_stopping = True
            self._observer.observe(StopStarted())
            self.membership.announce_leaving()
            self._clock.call_later(self.settings.readiness_grace, self._stop_admission)
        return self._drain_waiters.wait()

    def peer_connected(self, peer):
        """Pass a new peer connection to all components."""
        self._readiness.add_peer(peer)
        self.membership.peer_connected(peer)
        self.catalogue.peer_connected(peer)
        self.budgets.peer_connected(peer)
        self.runner.peer_connected(peer)

    def peer_disconnected(self, peer):
        """Pass the loss of a peer connection to all components."""
        self._readiness.remove_peer(peer)
        self.membership.peer_disconnected(peer)
        self.catalogue.peer_disconnected(peer)
        self.budgets.peer_disconnected(peer)
        self.runner.peer_disconnected(peer)

    def peer_message(self, peer, message):
        """Dispatch a peer message to the component that handles its type."""
        _ = (
            self.runner.peer_message(peer, message)
            or self.membership.peer_message(peer, message)
            or self.catalogue.peer_message(peer, message)
            or self.budgets.peer_message(peer, message)
        )

    def _stop_admission(self):
        self._handler.refuse_new_requests()
        self.context.on_idle = self._finish_drain
        self._stop_timer = self._clock.call_later(
            self.settings.stop_timeout, self._finish_drain
        )
        if not self.context.exchanges:
            self._finish_drain()

    def _finish_drain(self):
        self.context.on_idle = None
        self._stop_timer.cancel()
        unfinished = len(self.context.exchanges)
        self.budgets.release_units().addBoth(
            lambda _: self._drain_waiters.fire(unfinished)
        )

    def _find_limits(self, team_name):
        team = self.catalogue.view.team(team_name)
        return Limits(team.rate, team.burst) if team is not None else None

    def _get_revision(self):
        return self.catalogue.view.revision

    def _handle_catalogue_change(self, kind, name):
        if kind is Kind.TEAM:
            self.budgets.refresh_limits(name)
        version = self.catalogue.view.get_current_version(kind, name)
        self._observer.observe(CatalogueChanged(kind, name, version))

    def _should_connect(self, vm):
        return vm.vm != self.identity.vm

    def _handle_vm_list(self, records, requested_at):
        self.budgets.handle_vm_list(records, requested_at)
        self._readiness.handle_vm_list(records)

    def _handle_membership_change(self):
        entries = self.membership.members(role=ENTRY_ROLE)
        self._update_catalogue_sources(entries)
        sides = self.membership.members(role=SIDE_ROLE)
        for member in sides:
            self.directory.update_member(
                member.process,
                member.vm.service,
                member.vm.failure_domain,
                live=member.state is MemberState.LIVE,
                leaving=_is_leaving(member),
            )
        suspects = {one.process for one in sides if one.state is MemberState.SUSPECT}
        new_suspects, self._suspects = suspects - self._suspects, suspects
        for process in sorted(new_suspects):
            self.runner.peer_silent(process)
        side_processes = {member.process for member in sides}
        for removed in self._directory_processes - side_processes:
            self.directory.remove_member(removed)
        self._directory_processes = side_processes

    def _update_catalogue_sources(self, entries):
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
        watchers = select_watchers(
            [self.process, *same_domain], self.settings.watchers_per_domain
        )
        self.catalogue.set_watching(self.process in watchers)


def _is_leaving(member):
    return member.state is MemberState.LEAVING or member.vm.state is VmState.LEAVING
