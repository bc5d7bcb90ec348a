"""A network in memory that loses, delays, doubles and reorders messages."""

import random
from datetime import timedelta

from balsamspoke_types.ports import PeerTransport

CONNECT_INTERVAL = timedelta(milliseconds=200)


class FakeNetwork:
    """Carry messages between the FakeTransports of one test.

    Attributes
    ----------
    delay, jitter : timedelta
        One way; a random part of the jitter is added, so messages overtake.
    loss_rate, double_rate : float
        Part of the messages that are lost or come twice.
    cut : set of tuple of str
        Pairs (from VM, to VM) between which nothing arrives; one way each.
    log : list
        Every message sent, as (sender, receiver, message).
    """

    def __init__(self, time, random_source=None):
        self.time = time
        self.random = random_source or random.Random(0)
        self.delay = timedelta(microseconds=500)
        self.jitter = timedelta(0)
        self.loss_rate = 0.0
        self.double_rate = 0.0
        self.cut = set()
        self.log = []
        self.processes = {}

    def cut_between(self, left, right):
        """Cut every pair of a VM in ``left`` and one in ``right``, both ways."""
        for one in left:
            for other in right:
                self.cut |= {(one, other), (other, one)}

    def heal(self):
        """End all cuts."""
        self.cut.clear()

    def carries(self, sender, receiver):
        """Whether messages from a VM to another arrive now."""
        return (sender, receiver) not in self.cut

    def draw_delay(self):
        """Draw the time of one message on its way."""
        return self.delay + self.jitter * self.random.random()


class FakeTransport(PeerTransport):
    """One process's end of a FakeNetwork.

    Parameters
    ----------
    network : FakeNetwork
        The network.
    process : ProcessId
        Whose end it is; replaces an earlier process of the same VM.
    clock : VirtualClock
        The process's clock; arrivals wait while it is paused.
    """

    def __init__(self, network, process, clock):
        self.network = network
        self.process = process
        self.clock = clock
        self.handler = None
        self._wanted = set()
        self._up = set()
        network.processes[process.vm] = self
        clock.call_later(CONNECT_INTERVAL, self._keep_connections)

    def bind(self, handler):
        """Name the handler."""
        self.handler = handler

    def connect(self, vm):
        """Keep a connection to the process on a VM."""
        self._wanted.add(vm.vm)
        self._try_connect(vm.vm)

    def disconnect(self, vm_id):
        """Stop keeping a connection."""
        self._wanted.discard(vm_id)

    def send(self, peer, message):
        """Send a message, if the network carries it."""
        network = self.network
        if self.clock.is_killed:
            return
        network.log.append((self.process, peer, message))
        copies = 2 if network.random.random() < network.double_rate else 1
        for _ in range(copies):
            if network.random.random() >= network.loss_rate:
                when = network.time.elapsed + network.draw_delay()
                network.time.schedule(when, self._arrive, peer, message)

    def _arrive(self, peer, message):
        receiver = self.network.processes.get(peer.vm)
        if receiver is None or receiver.process != peer:
            return
        if self.network.carries(self.process.vm, peer.vm) and receiver.handler:
            receiver.clock.run_when_awake(
                receiver.handler.peer_message, self.process, message
            )

    def _keep_connections(self):
        for vm_id in sorted(self._wanted):
            self._try_connect(vm_id)
        for peer in sorted(self._up):
            if not self._is_connected(peer):
                self._lose(peer)
        self.clock.call_later(CONNECT_INTERVAL, self._keep_connections)

    def _is_connected(self, peer):
        receiver = self.network.processes.get(peer.vm)
        alive = receiver is not None and receiver.process == peer
        return (
            alive
            and not receiver.clock.is_killed
            and self.network.carries(self.process.vm, peer.vm)
            and self.network.carries(peer.vm, self.process.vm)
        )

    def _try_connect(self, vm_id):
        receiver = self.network.processes.get(vm_id)
        if receiver is None or receiver.process in self._up:
            return
        if self._is_connected(receiver.process) and not receiver.clock.is_paused:
            self._gain(receiver.process)
            receiver._gain(self.process)

    def _gain(self, peer):
        if peer in self._up:
            return
        for older in [known for known in self._up if known.vm == peer.vm]:
            self._lose(older)
        self._up.add(peer)
        self._tell("peer_connected", peer)

    def _lose(self, peer):
        self._up.discard(peer)
        self._tell("peer_disconnected", peer)

    def _tell(self, event, peer):
        if self.handler is not None:
            self.clock.run_when_awake(getattr(self.handler, event), peer)
