"""Software versions at which streams may have begun, as stored for all processes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field, replace
from datetime import timedelta

from .lifetime import MIN_LIFETIME


@dataclass(frozen=True, slots=True)
class ServiceVersions:
    """Software versions of one service.

    Attributes
    ----------
    current : frozenset of str
        Versions at which streams may begin.
    retired : dict
        Versions at which none may begin any more, though some may still be resumed,
        with a number that no other retirement has.
    """

    current: frozenset[str] = frozenset()
    retired: dict[str, int] = field(default_factory=dict)

    @property
    def all(self):
        """Versions (set of str) at which a stream may have begun."""
        return self.current | set(self.retired)


@dataclass(frozen=True, slots=True)
class VersionRegister:
    """The versions of all services, as of one write.

    Attributes
    ----------
    services : dict
        ServiceVersions by service.
    lifetime : timedelta
        Time after its start in which a stream may be resumed.
    is_complete : bool
        Whether no stream that may be resumed began at a version that is missing.
    era : int
        Era of the store in which it was written.
    """

    services: dict[str, ServiceVersions] = field(default_factory=dict)
    lifetime: timedelta = MIN_LIFETIME
    is_complete: bool = False
    era: int = 0

    def is_reliable(self, era):
        """Return whether it lists all versions, read in an era of the store.

        A store that was restored from an older copy may have lost what was added since.
        """
        return self.is_complete and self.era == era

    def list_versions(self, service):
        """Return the set of versions at which streams of a service may have begun."""
        return self.services.get(service, ServiceVersions()).all

    def is_current(self, service, version):
        """Return whether streams may begin at a version of a service."""
        return version in self.services.get(service, ServiceVersions()).current

    def add(self, service, version):
        """Return a register in which streams may begin at a version of a service."""
        versions = self.services.get(service, ServiceVersions())
        retired = {
            name: number for name, number in versions.retired.items() if name != version
        }
        changed = ServiceVersions(versions.current | {version}, retired)
        return self._replace_service(service, changed)

    def retire(self, service, version, number):
        """Return a register in which a version of a service is retired."""
        versions = self.services[service]
        changed = ServiceVersions(
            versions.current - {version}, {**versions.retired, version: number}
        )
        return self._replace_service(service, changed)

    def remove(self, service, version):
        """Return a register without a version of a service that was retired."""
        versions = self.services[service]
        retired = {
            name: number for name, number in versions.retired.items() if name != version
        }
        return self._replace_service(
            service, ServiceVersions(versions.current, retired)
        )

    def _replace_service(self, service, versions):
        return replace(self, services={**self.services, service: versions})


@dataclass(frozen=True, slots=True)
class StoredRegister:
    """What a read of the store has found.

    Attributes
    ----------
    register : VersionRegister or None
        The register; None if there is none, or one that can't be read.
    revision : int
        Revision of its last change; 0 if there is none.
    era : int
        Era of the store; 0 if it states none.
    """

    register: VersionRegister | None
    revision: int
    era: int


class RegisterConflict(Exception):
    """Another process has written the register since it was read."""


class VersionRegisterStore(ABC):
    """The VersionRegister in the platform's store.

    All calls fail with StoreUnavailable if the store does not answer.
    """

    @abstractmethod
    def read(self):
        """Return an awaitable StoredRegister, as of no earlier than the call."""

    @abstractmethod
    def write(self, register, revision):
        """Write a VersionRegister over the one of a revision; 0 if there was none.

        The returned awaitable fails with RegisterConflict if the register has another
        revision by now.
        """
