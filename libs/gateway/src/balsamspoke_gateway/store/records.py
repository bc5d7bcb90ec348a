"""Record kinds that an entry process reads from the platform's store."""

from dataclasses import dataclass

from ..ports import RecordSource


@dataclass(frozen=True, slots=True)
class AnnouncedVersion:
    """Announcement of the newest version of an adapter.

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
class DrainRequest:
    """Object by which the operator drains the failure domain of the same name.

    Attributes
    ----------
    is_readable : bool
        Whether its content is as expected; it has no meaning.
    """

    is_readable: bool = True


@dataclass(frozen=True, slots=True)
class EntrySources:
    """Sources of the record kinds that an entry process follows.

    Attributes
    ----------
    configurations : RecordSource
        Source of Configurations.
    replicas : RecordSource
        Source of ReplicaRecords.
    versions : RecordSource
        Source of AnnouncedVersions.
    entries : RecordSource
        Source of the IP addresses of entry processes.
    drained_domains : RecordSource or None
        Source of DrainRequests; None if operators don't drain failure domains.
    """

    configurations: RecordSource
    replicas: RecordSource
    versions: RecordSource
    entries: RecordSource
    drained_domains: RecordSource | None = None
