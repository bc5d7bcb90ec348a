"""Team budgets of one entry process."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.messages import ReserveTokens, ReturnTokens, TokensGranted
from balsamspoke_types.outcomes import Cause
from twisted.internet.defer import Deferred, fail, succeed

from .balancing import Standing, plan_units
from .borrowing import Borrower, Collection
from .bucket import MICRO
from .exceptions import BudgetRefused
from .ledger import find_usable_limits
from .lending import LoanBook
from .placement import choose_holders, find_group
from .reclaiming import Reclaimer
from .reservations import Reservation
from .settings import BudgetSettings
from .shares import GroupShare
from .vms import VmObservation

_PULSE = timedelta(seconds=1)
_HAND_BACK_PULSE = timedelta(milliseconds=50)
_MICROSECOND = timedelta(microseconds=1)


@dataclass(frozen=True, slots=True)
class ShareStatus:
    """State of a share, for status pages.

    Attributes
    ----------
    group : int
        The group.
    units : int
        Units that this process holds.
    usable : bool
        Whether it may grant from them now.
    holders : tuple of (ProcessId, int)
        Units of all holders, as last seen.
    reclaimed : tuple of ProcessId
        Holders whose units are being reclaimed.
    """

    group: int
    units: int
    usable: bool
    holders: tuple[tuple[ProcessId, int], ...]
    reclaimed: tuple[ProcessId, ...]


class TeamBudgets:
    """Keep every team within its rate and burst over all entry processes.

    Parameters
    ----------
    process : ProcessId
        This run of the process.
    clock : Clock
        Time.
    random_source : random.Random
        Spreads calls and choices.
    store : ObjectStore
        The object API.
    send : callable
        Called with a ProcessId and a message.
    find_limits : callable
        Called with a team's name; returns its Limits in force, or None.
    settings : BudgetSettings
        The same for all processes.
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
        self._loans = LoanBook(settings.hold_lifetime)
        self._peers = {}
        self._holders = {}
        self._shares = {}
        self._timer = None
        self._is_leaving = False
        self.send = send

    def start(self):
        """Start to hold units; call once."""
        for group in range(self._settings.groups):
            self._open_share(group)
        self._pulse()

    def stop(self):
        """Stop all timers; nothing is handed back."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def reserve(self, team, amount):
        """Set tokens aside for a request.

        Parameters
        ----------
        team : str
            Whose budget.
        amount : int
            Most tokens that the request may use.

        Returns
        -------
        Deferred
            Of a Reservation; fails with BudgetRefused.
        """
        limits = self._find_limits(team)
        refusal = self._check(limits, amount)
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
        return self._collect(reservation, amount, group, limits, now)

    def peer_connected(self, peer):
        """Note that an entry process can be asked."""
        self._peers[peer.vm] = peer
        self._holders.clear()

    def peer_disconnected(self, peer):
        """Note that an entry process can't be asked."""
        self._borrower.forget(peer)
        if self._peers.get(peer.vm) == peer:
            del self._peers[peer.vm]
            self._holders.clear()

    def peer_message(self, peer, message):
        """Take a message of an entry process; others than ours are ignored."""
        if isinstance(message, ReserveTokens):
            self._lend(peer, message)
        elif isinstance(message, TokensGranted):
            self._borrower.take_grant(peer, message)
        elif isinstance(message, ReturnTokens):
            now = self._clock.monotonic()
            self._loans.end((peer, message.reservation), message.unused, now)

    def note_vms(self, records, asked_at):
        """Take a list of VMs.

        Parameters
        ----------
        records : tuple of VmRecord
            The list.
        asked_at : timedelta
            Monotonic time at which it was asked for.
        """
        if not self._observation.note(records, asked_at):
            return
        self._holders.clear()
        is_shown = self._observation.shows(self._process.vm)
        for share in self._shares.values():
            share.note_vms(is_shown, asked_at)
        self._pulse_shares()

    def note_limits(self, team):
        """Take a team's limits in force at once; else it takes up to a second."""
        share = self._shares.get(find_group(team, self._settings.groups))
        if share is not None:
            share.ledger.note_limits(team, self._find_limits(team), self.read_clock())

    def hand_back(self):
        """Give all units up before a planned stop.

        Returns
        -------
        Deferred
            Fires when they are given up, or after the time limit.
        """
        self._is_leaving = True
        result = Deferred()
        deadline = self._clock.monotonic() + self._settings.hand_back_timeout
        self._hand_back_more(result, deadline)
        return result

    def describe(self):
        """Return a tuple of ShareStatus."""
        now = self._clock.monotonic()
        return tuple(
            ShareStatus(
                group,
                share.ledger.units,
                share.is_usable(now),
                tuple(sorted(share.record.units.items())),
                tuple(sorted(share.record.marks)),
            )
            for group, share in sorted(self._shares.items())
        )

    def read_clock(self):
        """Return microseconds on the monotonic clock."""
        return self._clock.monotonic() // _MICROSECOND

    def _check(self, limits, amount):
        if self._is_leaving:
            return BudgetRefused(Cause.STOPPING)
        if limits is None:
            return BudgetRefused(Cause.NOT_ALLOWED)
        # The exact capacity is only worked out for requests that come near it.
        if 2 * amount <= limits.burst:
            return None
        if amount > find_usable_limits(limits, self._lifetime).burst:
            return BudgetRefused(Cause.LARGER_THAN_BURST)
        return None

    def _collect(self, reservation, amount, group, limits, now):
        team = reservation.team
        holders = [
            peer
            for peer in self._find_peers(group)
            if not self._borrower.is_empty(peer, team, now)
        ]
        self._random.shuffle(holders)
        result = Deferred()
        Collection(
            reservation, amount, holders, self._borrower, result, limits.rate
        ).ask_next()
        return result

    def _lend(self, peer, ask):
        now = self._clock.monotonic()
        limits = self._find_limits(ask.team)
        share = self._shares.get(find_group(ask.team, self._settings.groups))
        bucket = None
        may_grant = limits is not None and not self._is_leaving and ask.amount > 0
        if may_grant and share is not None and share.is_usable(now):
            bucket = share.ledger.find_bucket(ask.team, limits, self.read_clock())

        def take(tokens):
            return share.take(ask.team, limits, tokens, now)[1]

        key = (peer, ask.reservation)
        self.send(peer, self._loans.lend(key, ask, bucket, take, now))

    def _find_holders(self, group):
        found = self._holders.get(group)
        if found is None:
            vms = self._observation.entries | {self._process.vm}
            found = choose_holders(group, vms, self._settings.holders)
            self._holders[group] = found
        return found

    def _find_peers(self, group):
        if self._observation.entries:
            vms = self._find_holders(group)
        else:
            vms = choose_holders(group, self._peers, self._settings.holders)
        own = self._shares.get(group)
        known = {process.vm for process in own.record.units} if own else set()
        asked = dict.fromkeys([*vms, *sorted(known)])
        return [self._peers[vm] for vm in asked if vm in self._peers]

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
        return plan_units(record, self._find_standing(share.index, record))

    def _find_standing(self, group, record):
        own = self._process.vm
        present = {own, *self._peers, *(process.vm for process in record.units)}
        holders = tuple(vm for vm in self._find_holders(group) if vm in present)
        claims = self._observation.asked_at is not None
        return Standing(
            self._process, holders, self._settings.units, claims, self._is_leaving
        )

    def _pulse(self):
        self._timer = self._clock.call_later(_PULSE, self._pulse)
        for share in self._shares.values():
            for team in share.ledger.teams():
                limits = self._find_limits(team)
                share.ledger.note_limits(team, limits, self.read_clock())
        self._pulse_shares()

    def _pulse_shares(self):
        now = self._clock.monotonic()
        if self._observation.asked_at is not None and not self._is_leaving:
            self._choose_shares()
        for share in list(self._shares.values()):
            share.pulse(now)

    def _choose_shares(self):
        for group in range(self._settings.groups):
            is_holder = self._process.vm in self._find_holders(group)
            share = self._shares.get(group)
            if is_holder and share is None:
                self._open_share(group)
            elif not is_holder and share is not None and self._is_done(share):
                del self._shares[group]

    def _is_done(self, share):
        vms = [process.vm for process in share.record.units]
        return share.is_read and share.is_idle and self._process.vm not in vms

    def _hand_back_more(self, result, deadline):
        now = self._clock.monotonic()
        if now >= deadline or all(share.is_idle for share in self._shares.values()):
            result.callback(None)
            return
        for share in self._shares.values():
            share.ledger.set_units(0, self.read_clock())
            share.pulse(now, hurry=True)
        self._clock.call_later(_HAND_BACK_PULSE, self._hand_back_more, result, deadline)
