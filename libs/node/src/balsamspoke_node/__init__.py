"""The entry and side process cores, which do all their I/O through ports."""

from .callers import CallerRequest, Exchange, Responder
from .entry import EntryNode
from .events import (
    CatalogueChanged,
    NullObserver,
    RequestEnded,
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
    "NullObserver",
    "RequestEnded",
    "Responder",
    "SideNode",
    "SideSettings",
    "StopStarted",
    "TokensGap",
]
