"""Team budgets, as one entry process enforces them."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import ReserveTokens, ReturnTokens, TokensGranted
from balsamspoke_types.outcomes import Cause
from twisted.internet.defer import Deferred, fail, succeed

from .balancing import PlanningContext, plan_units
from .borrowing import Borrower, LoanCollector
from .bucket import MICRO
from .exceptions import BudgetRefused
from .ledger import compute_usable_limits
from .lending import LoanBook
from .placement import choose_holders, find_group
from .reclaiming import Reclaimer
from .reservations import Reservation
from .settings import BudgetSettings
from .shares import GroupShare
from .vms import VmObservation

_SYNC_INTERVAL = timedelta(seconds=1)
_RELEASE_SYNC_INTERVAL = timedelta(milliseconds=50)
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """State of one group's share, for status pages.

    Attributes
    ----------
    group : int
        Index of the group.
    units : int
        Units that this process uses.
    usable : bool
        Whether this process may grant from them now.
    holders : tuple of (ProcessId, int)
        Units of each holder, by the record last read or written.
    reclaimed : tuple of ProcessId
        Holders whose units are being reclaimed, by the same record.
    """

    group: int
    units: int
    usable: bool
    holders: tuple[tuple[ProcessId, int], ...]
    reclaimed: tuple[ProcessId, ...]


class TeamBudgets:
    """Keep every team within its rate and burst over all entry processes.

    Each entry process grants tokens from token buckets that are sized by the units it
    holds. It borrows from other holders what its own buckets lack.

    Parameters
    ----------
    process : ProcessId
        Id of this run of the process.
    clock : Clock
        Monotonic time and timers.
    random_source : random.Random
        Randomises delays and the order of loan requests to holders.
    store : ObjectStore
        Client of the object API, which stores the groups' records.
    send : callable
        Called with a ProcessId and a message for it.
    find_limits : callable
        Called with a team's name; returns its Limits in force, or None if there is no
        such team.
    settings : BudgetSettings
        Settings, equal in all entry processes.

    Attributes
    ----------
    send : callable
        As passed.
    """

    def __init__(
        self,
        process,
        clock,
        random_source,
        store,
        send,
        find_limits,
        settings=BudgetSettings(),  # noqa: B008
    ):
        self._process = process
        self._clock = clock
        self._random = random_source
        self._store = store
        self._find_limits = find_limits
        self._settings = settings
        self._lifetime = settings.grant_lifetime.total_seconds()
        self._observation = VmObservation(settings.vm_list_gap)
        self._borrower = Borrower(clock, send, settings)
        self._loans = LoanBook(settings.loan_lifetime)
        self._peers = {}
        self._holders_by_group = {}
        self._shares = {}
        self._timer = None
        self._is_leaving = False
        self.send = send

    def start(self):
        """Start to claim units and to grant tokens; call once."""
        for group in range(self._settings.groups):
            self._open_share(group)
        self._run_periodic_sync()

    def stop(self):
        """Cancel the periodic timer; units aren't released."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reserve(self, team, amount):
        """Reserve tokens of a team's budget for a request.

        Parameters
        ----------
        team : str
            Name of the team.
        amount : int
            Most tokens that the request may use.

        Returns
        -------
        Deferred
            Fires with a Reservation, or fails with BudgetRefused.
        """
        limits = self._find_limits(team)
        refusal = self._find_refusal(limits, amount)
        if refusal is not None:
            return fail(refusal)
        now = self._clock.monotonic()
        group = find_group(team, self._settings.groups)
        share = self._shares.get(group)
        bucket, hold = None, None
        if share is not None:
            bucket, hold = share.take(team, limits, amount, now)
        taken = hold.amount // MICRO if hold is not None else 0
        reservation = Reservation(team, taken, self, bucket, hold)
        if taken == amount:
            return succeed(reservation)
        return self._borrow(reservation, amount, group, limits, now)

    def peer_connected(self, peer):
        """Add a connected entry process to those that can lend tokens."""
        self._peers[peer.vm] = peer
        self._holders_by_group.clear()

    def peer_disconnected(self, peer):
        """Remove a disconnected entry process from those that can lend tokens."""
        self._borrower.remove_holder(peer)
        if self._peers.get(peer.vm) == peer:
            del self._peers[peer.vm]
            self._holders_by_group.clear()

    def peer_message(self, peer, message):
        """Process a budget message from an entry process; ignore other messages."""
        if isinstance(message, ReserveTokens):
            self._lend(peer, message)
        elif isinstance(message, TokensGranted):
            self._borrower.handle_grant(peer, message)
        elif isinstance(message, ReturnTokens):
            now = self._clock.monotonic()
            self._loans.end((peer, message.reservation), message.unused, now)

    def handle_vm_list(self, records, requested_at):
        """Process a VM list: renew leases and update the shares of this process.

        Parameters
        ----------
        records : tuple of VmRecord
            All VMs of the list.
        requested_at : timedelta
            Monotonic time at which the list was requested.
        """
        if not self._observation.update(records, requested_at):
            return
        self._holders_by_group.clear()
        is_listed = self._observation.is_listed(self._process.vm)
        for share in self._shares.values():
            share.renew_from_vm_list(is_listed, requested_at)
        self._sync_shares()

    def refresh_limits(self, team):
        """Apply a team's limits at once, not at the next sync up to a second later."""
        share = self._shares.get(find_group(team, self._settings.groups))
        if share is not None:
            share.buckets.set_limits(
                team, self._find_limits(team), self.read_microseconds()
            )

    def release_units(self):
        """Release all units before a planned stop.

        Returns
        -------
        Deferred
            Fires with None once the units are released, or at the latest after the
            setting ``release_timeout``.
        """
        self._is_leaving = True
        result = Deferred()
        deadline = self._clock.monotonic() + self._settings.release_timeout
        self._continue_release(result, deadline)
        return result

    def describe(self):
        """Return a tuple with the ShareStatus of each share, by group."""
        now = self._clock.monotonic()
        return tuple(
            ShareStatus(
                group,
                share.buckets.units,
                share.is_usable(now),
                tuple(sorted(share.record.units.items())),
                tuple(sorted(share.record.marks)),
            )
            for group, share in sorted(self._shares.items())
        )

    def read_microseconds(self):
        """Return the monotonic time in microseconds."""
        return self._clock.monotonic() // _MICROSECOND

    def _find_refusal(self, limits, amount):
        if self._is_leaving:
            return BudgetRefused(Cause.STOPPING)
        if limits is None:
            return BudgetRefused(Cause.NOT_ALLOWED)
        # Skips computing the exact capacity, which is at least half of the burst.
        if 2 * amount <= limits.burst:
            return None
        if amount > compute_usable_limits(limits, self._lifetime).burst:
            return BudgetRefused(Cause.LARGER_THAN_BURST)
        return None

    def _borrow(self, reservation, amount, group, limits, now):
        team = reservation.team
        holders = [
            peer
            for peer in self._find_peers(group)
            if not self._borrower.is_empty(peer, team, now)
        ]
        self._random.shuffle(holders)
        result = Deferred()
        LoanCollector(
            reservation, amount, holders, self._borrower, result, limits.rate
        ).request_next()
        return result

    def _lend(self, peer, request):
        now = self._clock.monotonic()
        limits = self._find_limits(request.team)
        share = self._shares.get(find_group(request.team, self._settings.groups))
        bucket = None
        may_grant = limits is not None and not self._is_leaving and request.amount > 0
        if may_grant and share is not None and share.is_usable(now):
            bucket = share.buckets.get_bucket(
                request.team, limits, self.read_microseconds()
            )

        def take(tokens):
            return share.take(request.team, limits, tokens, now)[1]

        key = (peer, request.reservation)
        self.send(peer, self._loans.lend(key, request, bucket, take, now))

    def _find_holders(self, group):
        found = self._holders_by_group.get(group)
        if found is None:
            vms = self._observation.entry_vms | {self._process.vm}
            found = choose_holders(group, vms, self._settings.holders)
            self._holders_by_group[group] = found
        return found

    def _find_peers(self, group):
        if self._observation.entry_vms:
            vms = self._find_holders(group)
        else:
            vms = choose_holders(group, self._peers, self._settings.holders)
        share = self._shares.get(group)
        record_vms = {process.vm for process in share.record.units} if share else set()
        candidates = dict.fromkeys([*vms, *sorted(record_vms)])
        return [self._peers[vm] for vm in candidates if vm in self._peers]

    def _open_share(self, group):
        self._shares[group] = GroupShare(
            group,
            self._process,
            self._clock,
            self._random,
            self._store,
            self._settings,
            self._plan,
            Reclaimer(self._process, self._settings),
        )

    def _plan(self, share, record):
        if not self._is_leaving:
            record = share.reclaimer.plan(record, self._observation)
        return plan_units(record, self._make_context(share.index, record))

    def _make_context(self, group, record):
        own_vm = self._process.vm
        present = {own_vm, *self._peers, *(process.vm for process in record.units)}
        holders = tuple(vm for vm in self._find_holders(group) if vm in present)
        can_rebalance = self._observation.requested_at is not None
        return PlanningContext(
            self._process,
            holders,
            self._settings.units,
            can_rebalance,
            self._is_leaving,
        )

    def _run_periodic_sync(self):
        self._timer = self._clock.call_later(_SYNC_INTERVAL, self._run_periodic_sync)
        for share in self._shares.values():
            for team in share.buckets.list_teams():
                limits = self._find_limits(team)
                share.buckets.set_limits(team, limits, self.read_microseconds())
        self._sync_shares()

    def _sync_shares(self):
        now = self._clock.monotonic()
        if self._observation.requested_at is not None and not self._is_leaving:
            self._update_shares()
        for share in list(self._shares.values()):
            share.sync(now)

    def _update_shares(self):
        for group in range(self._settings.groups):
            is_holder = self._process.vm in self._find_holders(group)
            share = self._shares.get(group)
            if is_holder and share is None:
                self._open_share(group)
            elif not is_holder and share is not None and self._can_close(share):
                del self._shares[group]

    def _can_close(self, share):
        vms = [process.vm for process in share.record.units]
        return share.is_record_known and share.is_idle and self._process.vm not in vms

    def _continue_release(self, result, deadline):
        now = self._clock.monotonic()
        if now >= deadline or all(share.is_idle for share in self._shares.values()):
            result.callback(None)
            return
        for share in self._shares.values():
            share.buckets.set_units(0, self.read_microseconds())
            share.sync(now, is_forced=True)
        self._clock.call_later(
            _RELEASE_SYNC_INTERVAL, self._continue_release, result, deadline
        )
