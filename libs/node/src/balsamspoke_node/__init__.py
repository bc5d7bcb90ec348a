"""The cores of the entry and side processes, built from ports alone."""

from .callers import CallerRequest, Exchange, Responder
from .entry import EntryNode
from .events import (
    CatalogueChanged,
    Observer,
    ObserverGroup,
    RequestEnded,
    SilentObserver,
    StopStarted,
    TokensGap,
)
from .identity import NodeIdentity
from .ports import NodePorts
from .settings import EntrySettings, SideSettings
from .side import SideNode

__all__ = [
    "CallerRequest",
    "CatalogueChanged",
    "EntryNode",
    "EntrySettings",
    "Exchange",
    "NodeIdentity",
    "NodePorts",
    "Observer",
    "ObserverGroup",
    "RequestEnded",
    "Responder",
    "SideNode",
    "SideSettings",
    "SilentObserver",
    "StopStarted",
    "TokensGap",
]
