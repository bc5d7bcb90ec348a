"""Ports of the platform: object API and VM list."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..objects import Kind


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object or tombstone of the object API.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name, unique within its kind.
    version : int
        Revision of the store at the last write of this object. The revision
        increases with each write to any object.
    value : bytes
        Content; empty for a tombstone.
    deleted : bool
        Whether this is a tombstone: the object was deleted at ``version``.
    """

    kind: Kind
    name: str
    version: int
    value: bytes
    deleted: bool = False


@dataclass(frozen=True, slots=True)
class ObjectPage:
    """One page of a listing, or one batch of events.

    Attributes
    ----------
    objects : tuple of StoredObject
        The objects; tombstones occur only among events.
    revision : int
        Store revision that the listing or batch reflects.
    next_page : str
        Token that requests the next page; empty on the last page.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_page: str = ""


class Watch(ABC):
    """A running watch of the object API."""

    @abstractmethod
    def stop(self):
        """Stop the watch; no callback is made afterwards."""


class ObjectStore(ABC):
    """The platform's object API.

    Every method but ``watch`` returns a Deferred. Reads fail with
    ``StoreUnavailable``. Writes fail with ``StoreUnavailable`` only if they certainly
    had no effect, otherwise with ``WriteOutcomeUnknown``. Reads may be stale;
    conditional writes always check the current version.
    """

    @abstractmethod
    def read(self, kind, name):
        """Return a Deferred of the StoredObject; it fails with ObjectNotFound."""

    @abstractmethod
    def list_page(self, kind, page=""):
        """Return a Deferred of one ObjectPage of the objects of a kind."""

    @abstractmethod
    def create(self, kind, name, value):
        """Create an object and return a Deferred of the new StoredObject.

        It fails with VersionConflict if the object exists.
        """

    @abstractmethod
    def update(self, kind, name, value, version):
        """Replace the value of an object and return a Deferred of the new StoredObject.

        It fails with VersionConflict if ``version`` is not the current one.

        Parameters
        ----------
        version : int
            Expected current version of the object.
        """

    @abstractmethod
    def delete(self, kind, name, version):
        """Delete an object at an expected version; return a Deferred of the tombstone.

        It fails with VersionConflict or ObjectNotFound.
        """

    @abstractmethod
    def watch(self, kinds, revision, on_events, on_end):
        """Watch the changes of some kinds after a revision.

        Parameters
        ----------
        kinds : tuple of Kind
            Kinds to watch.
        revision : int
            Events with a later version are delivered.
        on_events : callable
            Called with an ObjectPage of events; it may be empty and only advance the
            revision.
        on_end : callable
            Called once with a StoreError when the watch ends.

        Returns
        -------
        Watch
            Handle that stops the watch; not a Deferred.
        """


class VmState(enum.Enum):
    """State of a VM in the VM list."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class VmRecord:
    """A VM in the VM list.

    Attributes
    ----------
    vm : str
        Id of the VM, never reused for another one.
    address : str
        IP address and port of the process on the VM, as ``ip:port``.
    region : str
        Region of the VM.
    failure_domain : str
        Failure domain of the VM.
    role : str
        ``entry`` for an entry process, ``side`` for the VM of a backend server.
    service : str
        Base model or plain service of the backend server; empty for entry processes.
    state : VmState
        Whether the VM is live or leaving.
    """

    vm: str
    address: str
    region: str
    failure_domain: str
    role: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(ABC):
    """The platform's VM list, which may be out of date."""

    @abstractmethod
    def fetch(self):
        """Return a Deferred of a tuple of VmRecord; it fails with VmListUnavailable."""
