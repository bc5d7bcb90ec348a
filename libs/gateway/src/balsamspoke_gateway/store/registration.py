"""Registration of an entry process in the list of those that share the budgets."""

from dataclasses import replace
from datetime import timedelta

from balsamspoke_types.exceptions import StoreUnavailable
from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError
from twisted.python.failure import Failure

# Interval of updates of the list of entry processes and of retries of failed writes.
REGISTRY_INTERVAL = timedelta(milliseconds=600)
# Time after its registration in which the processes that start together with this one
# have registered too.
SETTLING_TIME = timedelta(seconds=4)


class EntryRegistration:
    """Keep an entry process in the list, and tell it its Standing.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    registry : EntryRegistry
        List of entry processes.
    peers : PeerDirectory
        What was read of the list.
    reachability : Reachability
        Is told when the store does not answer.
    read_list : callable
        Reads the list anew; returns an awaitable of whether the store answered.
    """

    def __init__(self, context, registry, peers, reachability, read_list):
        self._context = context
        self._registry = registry
        self._peers = peers
        self._reachability = reachability
        self._read_list = read_list
        self._registered_at = None
        # Addresses of expired peers whose removal has failed.
        self._unremoved = set()

    async def maintain(self):
        """Keep this process in the list, and remove peers assumed to have ended."""
        while True:
            try:
                if not self._peers.is_registered:
                    await self._register()
                await self._remove_expired()
            except StoreUnavailable as error:
                self._reachability.record_failure(error)
            except CancelledError:
                raise
            except Exception:
                # Without its loop the process would never be listed again.
                self._context.report_bug(Failure())
            await self._settle()
            await sleep(self._context.clock, REGISTRY_INTERVAL)

    def update_standing(self):
        """Adopt what the list says of this process."""
        context = self._context
        was_listed = self._peers.was_listed_before
        context.standing = replace(
            context.standing,
            processes=context.processes,
            is_settled=context.standing.is_settled or was_listed,
            may_follow_another=was_listed or not self._peers.is_registered,
        )

    async def _register(self):
        await self._registry.register()
        self._peers.record_registration()
        self._registered_at = self._context.clock.monotonic()
        # Whoever registered before is in the list now.
        await self._read_list()
        self.update_standing()

    async def _remove_expired(self):
        """Remove expired peers, those last whose removal has failed before."""
        now = self._context.clock.monotonic()
        expired = self._context.peer_activity.list_expired(now)
        for ip in sorted(expired, key=self._unremoved.__contains__):
            if ip in self._peers:
                self._unremoved.add(ip)
                await self._registry.remove(self._peers.find_name(ip))
            self._unremoved.discard(ip)

    async def _settle(self):
        """Read the list once more, when those that start together have registered."""
        context = self._context
        if context.standing.is_settled or self._registered_at is None:
            return
        if context.clock.monotonic() - self._registered_at < SETTLING_TIME:
            return
        if await self._read_list():
            context.standing = replace(context.standing, is_settled=True)
