"""Events of the platform's store, and of what is read from it."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConfigurationAdopted:
    """A newer configuration is in force in this process.

    Attributes
    ----------
    version : int
        Version of the configuration.
    """

    version: int


@dataclass(frozen=True, slots=True)
class AdapterAnnounced:
    """A version of an adapter was announced.

    Attributes
    ----------
    model : str
        Name of the base model.
    adapter : str
        Name of the adapter.
    version : int
        The announced version.
    """

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntriesListed:
    """The list of entry processes was read or changed.

    Attributes
    ----------
    count : int
        Entry processes that share the fleet's budgets, including this one.
    """

    count: int


@dataclass(frozen=True, slots=True)
class StoreRestored:
    """The store was restored from an older copy; all records are read again.

    Attributes
    ----------
    previous_era : int
        Era of the store before.
    era : int
        Era of the store now.
    """

    previous_era: int
    era: int


@dataclass(frozen=True, slots=True)
class WatchFailed:
    """A watch of records in the store ended without an answer.

    Attributes
    ----------
    records : str
        Kind of the records.
    duration : float
        Seconds since the watch began.
    reason : str
        Text of the error.
    """

    records: str
    duration: float
    reason: str


@dataclass(frozen=True, slots=True)
class VersionsRegistered:
    """The software versions at which streams may have begun were changed here.

    Attributes
    ----------
    versions : dict
        Versions (tuple of str) by service.
    is_complete : bool
        Whether no stream that may be resumed began at a version that is missing.
    """

    versions: dict[str, tuple[str, ...]]
    is_complete: bool


@dataclass(frozen=True, slots=True)
class PeersAhead:
    """Requests are refused until the configuration that a peer has is known here.

    Attributes
    ----------
    version : int
        Version of the configuration here.
    peer_version : int
        Version of the configuration at the peer.
    """

    version: int
    peer_version: int


@dataclass(frozen=True, slots=True)
class DependencyLost:
    """A dependency does not answer any more.

    Attributes
    ----------
    name : str
        ``store`` or ``replica``.
    reason : str
        Text of the error of the failed call.
    """

    name: str
    reason: str


@dataclass(frozen=True, slots=True)
class DependencyRegained:
    """A dependency answers again.

    Attributes
    ----------
    name : str
        ``store`` or ``replica``.
    """

    name: str
