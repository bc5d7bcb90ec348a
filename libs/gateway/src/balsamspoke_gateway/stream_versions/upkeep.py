"""Changes of the register of versions as rollouts begin and end."""

from dataclasses import replace
from datetime import timedelta

# Time for which a process relies on what it has read of the register when a stream
# begins.
REGISTRATION_LIFETIME = timedelta(seconds=45)
# Time without a replica of a version after which it is retired; replicas restart, and
# entries of the store expire and come back, within less.
RETIREMENT_DELAY = timedelta(seconds=10)


class RegisterUpkeep:
    """Decide how the register of versions is to change.

    This handles rollouts, of which the processes that see their beginning may not see
    the end. A version is removed in two steps, each by any process: it is retired once
    no replica has it, and removed once a process has seen it retired for as long as a
    stream may begin there unnoticed and be resumed after that. No time of day is
    compared between processes.

    Parameters
    ----------
    history : VersionHistory
        Versions that this process has seen listed.
    """

    def __init__(self, history):
        self._history = history
        self._retired_since = {}
        self._incomplete_since = {}

    def choose_change(self, stored, lifetime, now):
        """Return the VersionRegister to write instead of the stored one, or None.

        Parameters
        ----------
        stored : StoredRegister
            What was read.
        lifetime : timedelta
            Time after its start in which a stream may be resumed, as known here.
        now : timedelta
            Monotonic time of the read.
        """
        register = stored.register
        if register is None:
            self._incomplete_since.clear()
            return None
        changed = self._adopt_era(register, stored.era)
        changed = replace(changed, lifetime=max(lifetime, changed.lifetime))
        changed = self._complete(changed, now)
        changed = self._retire_versions(changed, stored.revision, now)
        changed = self._remove_versions(changed, now)
        return None if changed == register else changed

    def _adopt_era(self, register, era):
        """Return the register as one of an era; of another one it is incomplete."""
        if register.era == era:
            return register
        return replace(register, era=era, is_complete=False)

    def _complete(self, register, now):
        """Return the register as complete once streams of before can't be resumed."""
        if register.is_complete:
            self._incomplete_since.clear()
            return register
        known = self._incomplete_since.get(register.era, now)
        self._incomplete_since = {register.era: known}
        if now - known < REGISTRATION_LIFETIME + register.lifetime:
            return register
        return replace(register, is_complete=True)

    def _retire_versions(self, register, number, now):
        since = now - RETIREMENT_DELAY
        for service, versions in register.services.items():
            for version in versions.current:
                if self._history.is_absent(service, version, since):
                    register = register.retire(service, version, number)
        return register

    def _remove_versions(self, register, now):
        """Return the register without versions that were retired for long enough."""
        retired = {
            (service, version, number)
            for service, versions in register.services.items()
            for version, number in versions.retired.items()
        }
        self._retired_since = {
            each: self._retired_since.get(each, now) for each in retired
        }
        for service, version, number in retired:
            age = now - self._retired_since[service, version, number]
            if age >= REGISTRATION_LIFETIME + register.lifetime:
                register = register.remove(service, version)
        return register
