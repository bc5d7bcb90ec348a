"""Software versions that the replicas of each service have had lately."""


class VersionHistory:
    """Tell whether all replicas of a service have had the same software version.

    Only a process that has followed the replicas without a gap can tell: a version may
    have come and gone while it wasn't running or didn't hear the store.
    """

    def __init__(self):
        self._followed_since = None
        self._last_seen = {}

    @property
    def is_following(self):
        """Whether the replicas have been read since the start."""
        return self._followed_since is not None

    def restart(self, now):
        """Record that the replicas are followed from a monotonic time on."""
        self._followed_since = now

    def record(self, versions, now):
        """Record the versions that are listed at a monotonic time.

        Parameters
        ----------
        versions : iterable of tuple of str
            Service and software version of the listed replicas.
        now : timedelta
            Monotonic time.
        """
        for service, version in versions:
            self._last_seen.setdefault(service, {})[version] = now

    def list_versions(self, service):
        """Return the set of versions of a service that were seen and not forgotten."""
        return set(self._last_seen.get(service, ()))

    def find_only_version(self, service, since):
        """Return the one version of a service since a monotonic time.

        It is None if there were several, or if some may have gone unseen.
        """
        if not self._has_followed(since):
            return None
        last_seen = self._last_seen.get(service, {})
        versions = [version for version, seen in last_seen.items() if seen >= since]
        return versions[0] if len(versions) == 1 else None

    def is_absent(self, service, version, since):
        """Return whether no replica had a version of a service since a time."""
        last_seen = self._last_seen.get(service, {}).get(version)
        return self._has_followed(since) and (last_seen is None or last_seen < since)

    def _has_followed(self, since):
        return self._followed_since is not None and self._followed_since <= since

    def expire(self, cutoff):
        """Forget the versions last seen before a monotonic time."""
        for service, last_seen in list(self._last_seen.items()):
            kept = {name: seen for name, seen in last_seen.items() if seen >= cutoff}
            if kept:
                self._last_seen[service] = kept
            else:
                del self._last_seen[service]
