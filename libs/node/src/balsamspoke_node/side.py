"""The core of a side process, built from its ports alone."""

from balsamspoke_catalogue import CatalogueSynchronizer
from balsamspoke_membership import Membership, MemberState
from balsamspoke_replica import EngineReplica, ServiceReplica
from balsamspoke_types.objects import Kind
from balsamspoke_types.ports import PeerHandler, VmState
from twisted.internet.defer import Deferred, gatherResults, succeed

from .events import SilentObserver, StopStarted
from .settings import SideSettings
from .waiters import Waiters

# A side process needs no teams and no adapters: requests name all they need.
SIDE_KINDS = (Kind.MODEL, Kind.SERVICE, Kind.KEY)


class SideNode(PeerHandler):
    """The core of a side process.

    Parameters
    ----------
    ports : NodePorts
        What it needs from outside; its identity names the service of its backend
        server.
    engine : Engine or None
        The backend server, if it is an engine.
    service : PlainServiceClient or None
        The backend server, if it is a plain service.
    fencing : int
        Fencing number of the orders of this run, larger than earlier runs'.
    is_holder : callable
        Tells whether this process still is the one beside its backend server.
    settings : SideSettings, optional
    observer : Observer, optional
        Who is told of events.
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
        self._observer = observer or SilentObserver()
        self.replica = None
        self.catalogue = CatalogueSynchronizer(
            ports.process,
            ports.clock,
            ports.random_source,
            ports.store,
            ports.transport.send,
            settings.catalogue,
            kinds=SIDE_KINDS,
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
            is_wanted=lambda vm: False,
            on_status=self.catalogue.update_peer_revision,
        )
        self._connected = set()
        self._stopping = False
        self._drained = Waiters()
        ports.transport.bind(self)

    def start(self):
        """Start to take part; the replica opens once its model is known."""
        self.catalogue.start()
        self.membership.start()
        if self._service is not None:
            self._open_replica(self._make_service_replica())

    def stop(self):
        """End at once; for a planned stop call ``drain`` before."""
        if self.replica is not None:
            self.replica.stop()
        self.membership.stop()
        self.catalogue.stop()

    @property
    def is_ready(self):
        """Whether the backend server takes work, and some entry process can send it."""
        if self.replica is None or self._stopping or not self._connected:
            return False
        return self.replica.report().accepting

    def drain(self):
        """Stop as planned: queued requests move on, running ones end.

        Returns
        -------
        Deferred
            Fires when nothing runs any more and the last messages had time to
            be sent. Orders that were on their way are refused meanwhile.
        """
        if not self._stopping:
            self._stopping = True
            self._observer.observe(StopStarted())
            self.membership.announce_leaving()
            self._begin_drain()
        return self._drained.wait()

    def peer_connected(self, peer):
        """Note a connection."""
        self._connected.add(peer)
        self.membership.peer_connected(peer)
        self.catalogue.peer_connected(peer)
        if self.replica is not None:
            self.replica.peer_connected(peer)

    def peer_disconnected(self, peer):
        """Note the loss of a connection."""
        self._connected.discard(peer)
        self.membership.peer_disconnected(peer)
        self.catalogue.peer_disconnected(peer)
        if self.replica is not None:
            self.replica.peer_disconnected(peer)

    def peer_message(self, peer, message):
        """Hand a message to whom it concerns."""
        if self.replica is not None and self.replica.peer_message(peer, message):
            return
        _ = self.membership.peer_message(peer, message) or self.catalogue.peer_message(
            peer, message
        )

    def _begin_drain(self):
        replica = self.replica
        idle = replica.drain() if replica is not None else succeed(None)
        told = Deferred()
        self._clock.call_later(self._settings.leaving_grace, told.callback, None)
        gatherResults([idle, told]).addCallback(self._send_last_messages)

    def _send_last_messages(self, _):
        self._clock.call_later(
            self._settings.last_messages_time, self._drained.fire, None
        )

    def _note_vms(self, records, _asked_at):
        """Take no new work once the VM list says that the own VM is leaving."""
        for record in records:
            if record.vm == self.identity.vm and record.state is VmState.LEAVING:
                self.drain()

    def _get_revision(self):
        return self.catalogue.view.revision

    def _note_catalogue(self, kind, name):
        if self._engine is None or (kind, name) != (Kind.MODEL, self.identity.service):
            return
        model = self.catalogue.view.model(self.identity.service)
        if model is None:
            return
        if self.replica is None:
            if self._stopping:
                return
            self._open_replica(self._make_engine_replica(model))
        else:
            self.replica.set_model(model)

    def _note_members(self):
        members = self.membership.members()
        usable = [one for one in members if one.state is not MemberState.SUSPECT]
        self.catalogue.set_peers(tuple(one.process for one in usable))

    def _open_replica(self, replica):
        self.replica = replica
        replica.start()
        for peer in sorted(self._connected):
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
