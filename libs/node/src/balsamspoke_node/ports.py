"""What every node core is built from."""

import random
from dataclasses import dataclass

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.ports import Clock, ObjectStore, PeerTransport, VmList

from .identity import NodeIdentity


@dataclass(frozen=True, slots=True)
class NodePorts:
    """All that a node core of either role needs from outside.

    Attributes
    ----------
    process : ProcessId
        This run.
    identity : NodeIdentity
        Where it runs.
    clock : Clock
        Time.
    random_source : random.Random
        Source of all random choices.
    store : ObjectStore
        The platform's object API.
    vm_list : VmList
        The platform's VM list.
    transport : PeerTransport
        Messages between processes.
    """

    process: ProcessId
    identity: NodeIdentity
    clock: Clock
    random_source: random.Random
    store: ObjectStore
    vm_list: VmList
    transport: PeerTransport
