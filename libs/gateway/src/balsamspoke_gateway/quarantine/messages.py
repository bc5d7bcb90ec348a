"""Messages between entry processes about crashes; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class CrashSuspect:
    """A request that a replica had begun or queued when it crashed.

    Attributes
    ----------
    request : str
        Fingerprint of the request. It isn't the id that the caller gave, which differs
        when the same request is sent again.
    parts : tuple of str
        Ids of its shared prompt parts that no replica is known to have answered.
    """

    request: str
    parts: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Requests of one entry process that may have crashed a replica.

    Attributes
    ----------
    replica : str
        Id of the replica.
    born : int
        Start time of the replica in milliseconds; identifies one start of it.
    suspects : tuple of CrashSuspect
        The requests.
    """

    replica: str
    born: int
    suspects: tuple[CrashSuspect, ...]


@dataclass(frozen=True, slots=True)
class QuarantineEntry:
    """Parts that are in quarantine together.

    Attributes
    ----------
    parts : tuple of str
        Requests that have all of these parts are refused.
    seconds_left : float
        Seconds until the quarantine ends.
    is_certain : bool
        Whether the parts are known to crash replicas; otherwise they may do so.
    """

    parts: tuple[str, ...]
    seconds_left: float
    is_certain: bool = True


@dataclass(frozen=True, slots=True)
class QuarantineUpdate:
    """What the sender has in quarantine.

    Attributes
    ----------
    entries : tuple of QuarantineEntry
        All or some of it.
    """

    entries: tuple[QuarantineEntry, ...]


@dataclass(frozen=True, slots=True)
class AnsweredParts:
    """Parts of requests that replicas have answered lately without a crash.

    Attributes
    ----------
    parts : tuple of str
        Ids of the parts.
    """

    parts: tuple[str, ...]
