"""Which version of an adapter a request must begin on."""

from .requests import AdapterName


class AdapterVersions:
    """The newest announced version of each adapter."""

    def __init__(self):
        self._versions = {}

    def announce(self, model, adapter, version):
        """Take an announced version; an older one is not believed again."""
        name = AdapterName(model, adapter)
        self._versions[name] = max(version, self._versions.get(name, 0))

    def find(self, name):
        """Return the oldest version that will do for an AdapterName; 0 for any."""
        return self._versions.get(name, 0)
