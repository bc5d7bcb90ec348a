"""Abstract base classes of a node's external dependencies (ports)."""

from .backend import (
    Engine,
    EngineReport,
    Generation,
    GenerationOrder,
    GenerationSink,
    PlainServiceClient,
    ServiceRequest,
    ServiceResponse,
)
from .clock import Clock, Timer
from .platform import (
    ObjectPage,
    ObjectStore,
    StoredObject,
    VmList,
    VmRecord,
    VmState,
    Watch,
)
from .transport import PeerHandler, PeerTransport

__all__ = [
    "Clock",
    "Engine",
    "EngineReport",
    "Generation",
    "GenerationOrder",
    "GenerationSink",
    "ObjectPage",
    "ObjectStore",
    "PeerHandler",
    "PeerTransport",
    "PlainServiceClient",
    "ServiceRequest",
    "ServiceResponse",
    "StoredObject",
    "Timer",
    "VmList",
    "VmRecord",
    "VmState",
    "Watch",
]
