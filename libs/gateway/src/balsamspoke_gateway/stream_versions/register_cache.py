"""What an entry process knows of the register of versions."""

from .upkeep import REGISTRATION_LIFETIME


class RegisterCache:
    """Keep the register as it was last read or written by this process.

    Parameters
    ----------
    clock : Clock
        Source of the age of what was read.
    lifetime : StreamLifetime
        Lifetime of the streams of this process; it grows to that of the register.
    """

    def __init__(self, clock, lifetime):
        self._clock = clock
        self._lifetime = lifetime
        self._register = None
        self._era = None
        self._read_at = None

    def adopt(self, register, era, read_at):
        """Adopt what a call has read or written.

        Parameters
        ----------
        register : VersionRegister or None
            The register; None if there is none.
        era : int
            Era of the store.
        read_at : timedelta
            Monotonic time at which the read began.
        """
        if self._read_at is not None and read_at < self._read_at:
            # An answer that came late.
            return
        self._register, self._era = register, era
        self._read_at = read_at
        if register is not None:
            # Streams may have begun at other processes with more patient callers.
            self._lifetime.include(register.lifetime)

    def forget(self):
        """Forget the register, as the store may have lost changes of it."""
        self._read_at = None

    def find_versions(self, service):
        """Return the set of versions at which streams of a service may have begun.

        It is None if that is not known, or was read too long ago.
        """
        if not self._is_recent or not self._register.is_reliable(self._era):
            return None
        return self._register.list_versions(service)

    def list_known(self, service):
        """Return the set of versions that were read last; some may be missing."""
        return (
            set() if self._register is None else self._register.list_versions(service)
        )

    def is_registered(self, service, version):
        """Return whether streams may begin at a version, as far as is known here."""
        return (
            self._is_recent
            and self._register.is_current(service, version)
            and self._register.lifetime >= self._lifetime.value
        )

    @property
    def _is_recent(self):
        if self._register is None or self._read_at is None:
            return False
        return self._clock.monotonic() - self._read_at < REGISTRATION_LIFETIME
