"""The ports of the platform: object API and VM list."""

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from ..objects import Kind


@dataclass(frozen=True, slots=True)
class StoredObject:
    """An object as the object API holds it.

    Attributes
    ----------
    kind : Kind
        Kind of the object.
    name : str
        Name, unique within its kind.
    version : int
        Revision of the whole store at this object's last write. Revisions
        increase with each write to any object.
    value : bytes
        Content; empty for a tombstone.
    deleted : bool
        Whether this says that the object was deleted at that version.
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
        The objects, tombstones only among events.
    revision : int
        The store's revision that the listing or batch is up to.
    next_page : str
        Token that asks for the next page; empty on the last.
    """

    objects: tuple[StoredObject, ...]
    revision: int
    next_page: str = ""


class Watch(ABC):
    """A running watch."""

    @abstractmethod
    def stop(self):
        """End the watch; no callback is made after this."""


class ObjectStore(ABC):
    """The platform's object API.

    Every method returns a Deferred. Reads fail with ``StoreUnavailable``;
    writes with ``StoreUnavailable`` only if they certainly had no effect, and
    with ``WriteOutcomeUnknown`` where that isn't certain. Reads may answer from
    an older view; conditional writes never do.
    """

    @abstractmethod
    def read(self, kind, name):
        """Give the StoredObject; fail with ObjectNotFound."""

    @abstractmethod
    def list_page(self, kind, page=""):
        """Give an ObjectPage of all objects of a kind."""

    @abstractmethod
    def create(self, kind, name, value):
        """Give the new StoredObject; fail with VersionConflict if it exists."""

    @abstractmethod
    def update(self, kind, name, value, version):
        """Give the new StoredObject; fail with VersionConflict.

        Parameters
        ----------
        version : int
            The version that must be the object's current one.
        """

    @abstractmethod
    def delete(self, kind, name, version):
        """Give the tombstone; fail with VersionConflict or ObjectNotFound."""

    @abstractmethod
    def watch(self, kinds, revision, on_events, on_end):
        """Watch kinds from a revision on.

        Parameters
        ----------
        kinds : tuple of Kind
            What to watch.
        revision : int
            Events with a later version are reported.
        on_events : callable
            Called with an ObjectPage; its revision may advance without events.
        on_end : callable
            Called once with a StoreError when the watch ended.

        Returns
        -------
        Watch
            Not a Deferred.
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
        Id, never used for another VM again.
    address : str
        IP number and port of our process on it, as ``ip:port``.
    region, failure_domain : str
        Where the VM is.
    role : str
        ``entry``, or ``side`` for the VM of a backend server.
    service : str
        The model or plain service of the backend server; empty for entries.
    state : VmState
        Whether the VM stays.
    """

    vm: str
    address: str
    region: str
    failure_domain: str
    role: str
    service: str = ""
    state: VmState = VmState.LIVE


class VmList(ABC):
    """The platform's VM list; it lags."""

    @abstractmethod
    def fetch(self):
        """Return a Deferred of a tuple of VmRecord; fails with VmListUnavailable."""
