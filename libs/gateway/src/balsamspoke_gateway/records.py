"""Records in the platform's store beside configurations and replicas."""

from dataclasses import dataclass

from .ports import RecordSource


@dataclass(frozen=True, slots=True)
class AnnouncedVersion:
    """The newest version of an adapter."""

    model: str
    adapter: str
    version: int


@dataclass(frozen=True, slots=True)
class EntrySources:
    """The kinds that an entry process follows.

    Attributes
    ----------
    configurations : RecordSource
        Of Configurations.
    replicas : RecordSource
        Of ReplicaRecords.
    versions : RecordSource
        Of AnnouncedVersions.
    entries : RecordSource
        Of entry processes' ip addresses.
    """

    configurations: RecordSource
    replicas: RecordSource
    versions: RecordSource
    entries: RecordSource
