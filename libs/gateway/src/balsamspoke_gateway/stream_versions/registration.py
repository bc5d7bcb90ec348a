"""Reads and writes of the register of versions by one entry process."""

from dataclasses import replace
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.timing import add_timeout, sleep
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from ..exceptions import AnswerOverdue
from ..observing import VersionsRegistered
from .register import RegisterConflict, VersionRegister

# Time for which the first event of a stream is held until its version is registered.
MAX_HOLD = timedelta(milliseconds=100)
# Time for which a resumed stream waits for the register.
MAX_READ_TIME = timedelta(milliseconds=500)
# Interval of attempts to write after one that has failed.
RETRY_INTERVAL = timedelta(milliseconds=600)
# Interval at which the register is read, to refresh what is known and to change it.
UPKEEP_INTERVAL = timedelta(seconds=30)
# Jitter of the interval, as a fraction of it.
UPKEEP_JITTER = 0.4
# Time within which processes that start together, or find that the store was restored,
# read the register.
READ_SPREAD = timedelta(milliseconds=300)


class VersionRegistration:
    """Register versions before streams begin there, and read the register.

    Parameters
    ----------
    context : GatewayContext
        Ports and state of the process.
    store : VersionRegisterStore
        Holds the register.
    upkeep : RegisterUpkeep
        Decides on changes.
    cache : RegisterCache
        Receives what is read and written.
    lifetime : StreamLifetime
        Lifetime of the streams of this process.
    on_error : callable
        Called with each StoreUnavailable.
    """

    def __init__(self, context, store, upkeep, cache, lifetime, on_error):
        self._context = context
        self._clock = context.clock
        self._store = store
        self._upkeep = upkeep
        self._cache = cache
        self._lifetime = lifetime
        self._on_error = on_error
        self._wanted = {}
        self._waiters = []
        self._is_writing = False
        self._has_failed = False
        self._readers = []
        self._is_reading = False
        self._has_restored = False

    def start(self):
        """Start to keep the register up to date; return at once."""
        self._run(self._maintain())

    def handle_restored_store(self):
        """Read the register anew, as the store may have lost changes of it."""
        self._has_restored = True
        self._cache.forget()
        self._clock.call_later(READ_SPREAD * self._context.draw(), self._update_soon)

    async def add(self, service, version):
        """Register a version of a service; wait for it for ``MAX_HOLD`` at most."""
        if self._cache.is_registered(service, version):
            return
        self._wanted[service, version] = None
        if not self._is_writing:
            self._is_writing = True
            self._run(self._write_wanted())
        if self._has_failed or self._cache.is_registered(service, version):
            return
        waiter = Deferred()
        self._waiters.append(waiter)
        try:
            await add_timeout(waiter, self._clock, MAX_HOLD, AnswerOverdue())
        except AnswerOverdue:
            return
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    async def read_now(self):
        """Read the register into the cache; return whether the store answered in time.

        The read begins after this call.
        """
        waiter = Deferred()
        self._readers.append(waiter)
        if not self._is_reading:
            self._is_reading = True
            self._run(self._serve_readers())
        try:
            stored = await add_timeout(
                waiter, self._clock, MAX_READ_TIME, AnswerOverdue()
            )
        except AnswerOverdue:
            return False
        finally:
            if waiter in self._readers:
                self._readers.remove(waiter)
        return stored is not None

    async def _serve_readers(self):
        """Read for all who wait; each read begins after they have asked.

        They get the StoredRegister, or None if the store fails.
        """
        try:
            while self._readers:
                readers, self._readers = self._readers, []
                stored = await self._try(self._read)
                for waiter in readers:
                    if not waiter.called:
                        waiter.callback(stored)
        finally:
            self._is_reading = False

    async def _read(self):
        """Read the register; return a StoredRegister."""
        began_at = self._clock.monotonic()
        stored = await self._store.read()
        self._cache.adopt(stored.register, stored.era, began_at)
        return stored

    async def _write(self, register, stored, began_at):
        await self._store.write(register, stored.revision)
        self._cache.adopt(register, stored.era, began_at)
        self._context.observer.observe(
            VersionsRegistered(
                {
                    service: tuple(sorted(versions.all))
                    for service, versions in register.services.items()
                },
                register.is_complete,
            )
        )

    async def _write_wanted(self):
        """Write until all wanted versions are registered."""
        try:
            while self._wanted:
                self._has_failed = not await self._try(self._register_wanted)
                waiters, self._waiters = self._waiters, []
                for waiter in waiters:
                    if not waiter.called:
                        waiter.callback(None)
                if self._has_failed:
                    await sleep(self._clock, RETRY_INTERVAL)
        finally:
            self._is_writing = False

    async def _register_wanted(self):
        """Register the wanted versions; return True."""
        wanted = list(self._wanted)
        while not all(self._cache.is_registered(*each) for each in wanted):
            began_at = self._clock.monotonic()
            stored = await self._read()
            register = stored.register or self._make_register(stored)
            lifetime = max(register.lifetime, self._lifetime.value)
            changed = replace(register, lifetime=lifetime)
            for service, version in wanted:
                if not changed.is_current(service, version):
                    changed = changed.add(service, version)
            if changed == stored.register:
                break
            try:
                await self._write(changed, stored, began_at)
            except RegisterConflict:
                continue
        for each in wanted:
            self._wanted.pop(each, None)
        return True

    def _make_register(self, stored):
        """Return the first register; it is complete if no stream can have begun.

        An object that can't be read shows that there was a register.
        """
        is_first = self._context.settings.is_first_start and not stored.revision
        is_complete = is_first and not self._has_restored
        return VersionRegister(is_complete=is_complete, era=stored.era)

    async def _maintain(self):
        await sleep(self._clock, READ_SPREAD * self._context.draw())
        while True:
            await self._update_safely()
            jitter = 1 + UPKEEP_JITTER * (self._context.draw() - 0.5)
            await sleep(self._clock, UPKEEP_INTERVAL * jitter)

    def _update_soon(self):
        self._run(self._update_safely())

    async def _update_safely(self):
        await self._try(self._update)

    async def _update(self):
        """Read the register, and change it if that is due.

        Where no stream may be resumed there is nothing to keep.
        """
        configuration = self._context.configuration
        if configuration is None or not configuration.longest_resumable_timeout:
            return
        began_at = self._clock.monotonic()
        stored = await self._read()
        lifetime = self._lifetime.value
        changed = self._upkeep.choose_change(stored, lifetime, began_at)
        if changed is None:
            return
        try:
            await self._write(changed, stored, began_at)
        except RegisterConflict:
            # The other process has most likely made the same change.
            await self._read()

    async def _try(self, action):
        """Return the result of an asynchronous call; None if the store fails."""
        try:
            return await action()
        except StoreUnavailable as error:
            self._on_error(error)
        except CancelledError:
            raise
        except Exception:
            # Without its loop the process would register nothing any more.
            self._context.report_bug(Failure())
        return None

    def _run(self, coroutine):
        Deferred.fromCoroutine(coroutine).addErrback(self._context.report_bug)
