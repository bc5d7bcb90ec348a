"""The core of a side process, which does all its I/O through ports."""

from balsamspoke_catalogue import CatalogueSynchronizer
from balsamspoke_membership import Membership, MemberState
from balsamspoke_replica import EngineReplica, ServiceReplica
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import PeerHandler, VmState
from twisted.internet.defer import Deferred, gatherResults, succeed

from .events import NullObserver, StopStarted
from .settings import SideSettings
from .waiters import Waiters

# A side process needs no teams or adapters: each request carries what it needs of them.
SIDE_KINDS = (Kind.MODEL, Kind.SERVICE, Kind.KEY)


class SideNode(PeerHandler):
    """The core of a side process, which runs requests on its backend server.

    Parameters
    ----------
    ports : NodePorts
        Clock, random source, platform clients and peer transport. Its identity names
        the model or plain service of the backend server.
    engine : Engine or None
        Client of the backend server if it is an engine, otherwise None.
    service : PlainServiceClient or None
        Client of the backend server if it is a plain service, otherwise None.
    fencing : int
        Fencing token of this run, sent with each command to the engine; higher than
        that of any earlier run.
    is_holder : callable
        Returns whether this process is still the one that may send commands to its
        engine.
    settings : SideSettings, optional
        The defaults of SideSettings if omitted.
    observer : Observer, optional
        Receives the events of the core and of its replica.

    Attributes
    ----------
    replica : EngineReplica, ServiceReplica or None
        Runs the requests. None before ``start``, and for an engine until its model is
        in the catalogue.
    """

    def __init__(
        self,
        ports,
        engine=None,
        service=None,
        fencing=0,
        is_holder=lambda: True,
        settings=None,
        observer=None,
    ):
        settings = settings or SideSettings()
        self.process = ports.process
        self.identity = ports.identity
        self._clock = ports.clock
        self._random = ports.random_source
        self._transport = ports.transport
        self._engine = engine
        self._service = service
        self._fencing = fencing
        self._is_holder = is_holder
        self._settings = settings
        self._observer = observer or NullObserver()
        self.replica = None
        self.catalogue = CatalogueSynchronizer(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.store,
            ports.transport.send,
            settings.catalogue,
            kinds=SIDE_KINDS,
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
            should_connect=lambda vm: False,
            on_status=self.catalogue.update_peer_revision,
        )
        self._connected_peers = set()
        self._is_stopping = False
        self._drain_waiters = Waiters()
        ports.transport.bind(self)

    def start(self):
        """Start all components; an engine's replica starts when the model is known."""
        self.catalogue.start()
        self.membership.start()
        if self._service is not None:
            self._open_replica(self._make_service_replica())

    def stop(self):
        """Stop all components at once; for a planned stop, ``drain`` first."""
        if self.replica is not None:
            self.replica.stop()
        self.membership.stop()
        self.catalogue.stop()

    @property
    def is_ready(self):
        """Whether the replica accepts work and some peer is connected to send it."""
        if self.replica is None or self._is_stopping or not self._connected_peers:
            return False
        return self.replica.report().accepting

    def drain(self):
        """Begin a planned stop, in which running requests may finish.

        Queued requests are refused as not run, so that entry processes can send them
        to other replicas.

        Returns
        -------
        Deferred
            Fires when no request runs any more, ``minimum_drain_time`` has passed
            and the last messages had ``flush_time`` to be sent. Requests that were
            in transit at the call are refused until then.
        """
        if not self._is_stopping:
            self._is_stopping = True
            self._observer.observe(StopStarted())
            self.membership.announce_leaving()
            self._begin_drain()
        return self._drain_waiters.wait()

    def peer_connected(self, peer):
        """Pass a new peer connection to all components."""
        self._connected_peers.add(peer)
        self.membership.peer_connected(peer)
        self.catalogue.peer_connected(peer)
        if self.replica is not None:
            self.replica.peer_connected(peer)

    def peer_disconnected(self, peer):
        """Pass the loss of a peer connection to all components."""
        self._connected_peers.discard(peer)
        self.membership.peer_disconnected(peer)
        self.catalogue.peer_disconnected(peer)
        if self.replica is not None:
            self.replica.peer_disconnected(peer)

    def peer_message(self, peer, message):
        """Dispatch a peer message to the component that handles its type."""
        if self.replica is not None and self.replica.peer_message(peer, message):
            return
        _ = self.membership.peer_message(peer, message) or self.catalogue.peer_message(
            peer, message
        )

    def _begin_drain(self):
        replica = self.replica
        replica_drained = replica.drain() if replica is not None else succeed(None)
        grace = Deferred()
        self._clock.call_later(self._settings.minimum_drain_time, grace.callback, None)
        gatherResults([replica_drained, grace]).addCallback(self._finish_drain)

    def _finish_drain(self, _):
        self._clock.call_later(
            self._settings.flush_time, self._drain_waiters.fire, None
        )

    def _handle_vm_list(self, records, _requested_at):
        """Drain once the VM list marks this process's own VM as leaving."""
        for record in records:
            if record.vm == self.identity.vm and record.state is VmState.LEAVING:
                self.drain()

    def _get_revision(self):
        return self.catalogue.view.revision

    def _handle_catalogue_change(self, kind, name):
        if self._engine is None or (kind, name) != (Kind.MODEL, self.identity.service):
            return
        model = self.catalogue.view.model(self.identity.service)
        if model is None:
            return
        if self.replica is None:
            if self._is_stopping:
                return
            self._open_replica(self._make_engine_replica(model))
        else:
            self.replica.set_model(model)

    def _handle_membership_change(self):
        members = self.membership.members()
        usable = [one for one in members if one.state is not MemberState.SUSPECT]
        self.catalogue.set_peers(tuple(one.process for one in usable))

    def _open_replica(self, replica):
        self.replica = replica
        replica.start()
        for peer in sorted(self._connected_peers):
            replica.peer_connected(peer)

    def _make_engine_replica(self, model):
        return EngineReplica(
            self.process,
            model,
            self._clock,
            self._random,
            self._engine,
            self._transport.send,
            self.catalogue.view.is_key_valid,
            self._fencing,
            self._is_holder,
            self._settings.replica,
            on_event=self._observer.observe,
        )

    def _make_service_replica(self):
        return ServiceReplica(
            self.process,
            self.identity.service,
            self._clock,
            self._random,
            self._service,
            self._transport.send,
            self.catalogue.view.is_key_valid,
            self._settings.replica,
            on_event=self._observer.observe,
        )
