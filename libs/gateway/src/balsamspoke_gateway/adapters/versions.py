"""Oldest adapter versions that requests may start on."""

from ..requests import AdapterName


class AdapterVersions:
    """Track the newest announced version of each adapter."""

    def __init__(self):
        self._versions = {}

    def announce(self, model, adapter, version):
        """Record an announced version, unless a newer one was announced before."""
        name = AdapterName(model, adapter)
        self._versions[name] = max(version, self._versions.get(name, 0))

    def find(self, name):
        """Return the oldest version of an AdapterName that requests may start on.

        The result is 0 if they may start on any version.
        """
        return self._versions.get(name, 0)
