"""Knowledge of where streams have started, kept together by all processes."""

from twisted.internet.defer import Deferred

from .history import VersionHistory
from .holder import StreamOriginHolder
from .holder_selection import HolderSelection
from .inquiry import StreamOriginInquiry
from .lifetime import StreamLifetime
from .messages import StreamOriginReply, StreamStarted
from .records import StreamOrigin
from .register_cache import RegisterCache
from .registration import VersionRegistration
from .upkeep import RegisterUpkeep

# Seconds without an answer of the store after which a replica of another version may
# have gone unseen. Replicas write their entries every second or so.
MAX_STORE_SILENCE = 3.0


class StreamVersionCoordinator:
    """Find the service and software version at which a resumed stream has started.

    What two software versions of a replica write doesn't fit together, and replicas
    don't check it. A caller may resume its stream at any process, also after all entry
    processes have started anew. So a version is registered in the store before the
    first stream begins there, and where several are registered, a process tells a few
    others of each stream that starts, which are chosen by the stream's content.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._clock = context.clock
        self._history = VersionHistory()
        self._lifetime = StreamLifetime()
        self._register = RegisterCache(self._clock, self._lifetime)
        self._reachability = None
        self._registration = None
        self._unannounced = {}
        self._holder = StreamOriginHolder(self._clock, self._send)
        self._inquiry = StreamOriginInquiry(self._clock, self._send)
        self._selection = HolderSelection(context)

    @property
    def lifetime(self):
        """Time (timedelta) for which a stream may be resumed after its start."""
        return self._lifetime.value

    def start(self, reachability, store):
        """Start to keep the register of versions.

        Parameters
        ----------
        reachability : Reachability
            Tells whether the store is heard.
        store : VersionRegisterStore
            Holds the register.
        """
        self._reachability = reachability
        self._registration = VersionRegistration(
            self._context,
            store,
            RegisterUpkeep(self._history),
            self._register,
            self._lifetime,
            reachability.record_failure,
        )
        self._registration.start()

    def count_records(self):
        """Return the number of streams of which the origin is known."""
        return len(self._holder)

    def count_pending(self):
        """Return the number of questions without an answer."""
        return len(self._inquiry)

    def record_recovery(self):
        """Record that the store answers again.

        After a long outage, replicas may have come and gone unseen.
        """
        outage = self._reachability.last_outage
        if outage is None or outage > MAX_STORE_SILENCE:
            self._history.restart(self._clock.monotonic())

    def handle_restored_store(self):
        """Begin anew with a store that was restored from an older copy."""
        if self._registration is not None:
            self._registration.handle_restored_store()

    def record_replica(self, record):
        """Record the version of a ReplicaRecord, though it may have gone since."""
        version = (record.service, record.software_version)
        self._history.record([version], self._clock.monotonic())

    def refresh(self):
        """Record the versions that the directory lists, and forget what is too old.

        The caller does so before and after it changes the directory.
        """
        now = self._clock.monotonic()
        configuration = self._context.configuration
        if configuration is not None:
            self._lifetime.include_timeout(configuration.longest_resumable_timeout)
        versions = self._context.fleet.directory.list_versions()
        if versions and not self._history.is_following:
            self._history.restart(now)
        self._history.record(versions, now)
        self._history.expire(now - self.lifetime)
        self._holder.lifetime = self.lifetime
        self._announce_delayed()

    async def register(self, service, version, patience):
        """Register a version before the first event of a stream is passed on.

        A store that doesn't answer at once delays the event by little: the holders are
        told then.

        Parameters
        ----------
        service : str
            Name of the replica's service.
        version : str
            Software version of the replica.
        patience : timedelta or None
            Time for which the caller waits in all; None if it doesn't say.
        """
        if patience is not None:
            self._lifetime.include(patience)
        if self._registration is not None:
            await self._registration.add(service, version)

    def record_start(self, keys, origin):
        """Record the first event of a stream.

        Parameters
        ----------
        keys : StreamKeys
            Keys of the stream.
        origin : StreamOrigin
            Where the stream has started.
        """
        self._holder.put(keys, origin)
        if self._is_only_version(origin):
            self._unannounced[keys] = origin
        else:
            self._announce(keys, origin)

    def record_end(self, keys):
        """Record that a request has ended, whether or not a stream has started."""
        self._unannounced.pop(keys, None)

    async def find(self, keys, service):
        """Return the StreamOrigin of a stream that a caller resumes.

        Parameters
        ----------
        keys : StreamKeys
            Keys of the stream.
        service : str
            Service that the request would be sent to.

        Returns
        -------
        StreamOrigin or None
            None if the stream may have started at a version that can't be told.
        """
        origin = self._holder.find(keys)
        if origin is not None:
            return origin
        reading = Deferred.fromCoroutine(self._read_register(service))
        told = await self._inquiry.ask(keys, self._selection.choose_asked(keys))
        if told.origin is not None:
            return told.origin
        has_read = await reading
        version = self._find_only_version(service, has_read, told.is_complete)
        return None if version is None else StreamOrigin(service, version)

    def describe_versions(self, service):
        """Return which versions a stream may have begun at, for logs."""
        versions = self._register.find_versions(service)
        if versions is None:
            return "the store doesn't tell which versions it may have begun at"
        listed = self._list_versions(service) | versions
        return f"it may have begun at {', '.join(sorted(listed)) or 'none'}"

    def receive(self, ip, message):
        """Process a message of a peer; return whether it concerns streams."""
        if isinstance(message, StreamOriginReply):
            self._inquiry.receive(message)
            return True
        return self._holder.receive(ip, message)

    async def _read_register(self, service):
        """Return whether what is known of the register is as of now."""
        if self._registration is None:
            return False
        registered = self._register.find_versions(service)
        if registered is not None and len(registered) > 1:
            # They stay so for long.
            return True
        return await self._registration.read_now()

    def _find_only_version(self, service, has_read, is_told):
        """Return the one version that the service has had; None if not certain.

        Without the store and the peers, streams may have begun at a version that has
        come since they were last heard, however lately that was.

        Parameters
        ----------
        service : str
            Name of the service.
        has_read : bool
            Whether what is known of the register is as of now.
        is_told : bool
            Whether all holders say that they don't know the stream.
        """
        if has_read:
            return self._choose_only(service, self._register.find_versions(service))
        return self._find_followed_version(service) if is_told else None

    def _choose_only(self, service, registered):
        """Return the one version of a service; None if not certain.

        A version that is listed also counts: a process that could not write may have
        begun streams there.

        Parameters
        ----------
        service : str
            Name of the service.
        registered : set of str or None
            Versions at which streams may have begun; None if not known.
        """
        if registered is None:
            return self._find_followed_version(service)
        if len(registered) != 1:
            return None
        if not self._list_versions(service) <= registered:
            return None
        return next(iter(registered))

    def _list_versions(self, service):
        """Return the set of versions that a service has had lately, as seen here."""
        listed = self._context.fleet.directory.list_versions()
        now = {version for name, version in listed if name == service}
        return now | self._history.list_versions(service)

    def _is_only_version(self, origin):
        """Return whether a StreamOrigin is the only one at which streams may begin."""
        service, version = origin.service, origin.version
        registered = self._register.find_versions(service)
        if registered is not None and version not in registered:
            return False
        return self._choose_only(service, registered) == version

    def _find_followed_version(self, service):
        """Return the one version that was listed for long enough; None if not certain.

        It serves where the register can't be read, or is not complete yet. One that is
        not complete tells all the same of versions that were not seen here.
        """
        silence = None if self._reachability is None else self._reachability.silence
        if silence is None or silence > MAX_STORE_SILENCE:
            return None
        since = self._clock.monotonic() - self.lifetime
        version = self._history.find_only_version(service, since)
        return version if self._register.list_known(service) <= {version} else None

    def _announce_delayed(self):
        """Announce the running streams of services that have several versions now."""
        origins = set(self._unannounced.values())
        certain = {each for each in origins if self._is_only_version(each)}
        for keys, origin in list(self._unannounced.items()):
            if origin not in certain:
                del self._unannounced[keys]
                self._announce(keys, origin)

    def _announce(self, keys, origin):
        message = StreamStarted(
            keys.request, origin.service, origin.version, keys.content
        )
        for ip in self._selection.choose_told(keys):
            self._send(ip, message)

    def _send(self, ip, message):
        self._context.peers.send(ip, message)
