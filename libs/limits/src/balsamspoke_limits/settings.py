"""Settings of team budgets."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one team over the fleet.

    Attributes
    ----------
    rate : float
        Tokens a second.
    burst : float
        Tokens that may be used at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Settings that all entry processes share.

    Attributes
    ----------
    groups : int
        Groups that teams are hashed into.
    units : int
        Units that each group's budgets are divided into.
    holders : int
        Entry VMs that hold units of one group.
    grant_lifetime : timedelta
        Time from the start of a reservation in which its tokens must be granted.
    ask_timeout : timedelta
        Wait for one holder's answer.
    confirmation_lifetime : timedelta
        Longest use of units after they were last confirmed.
    vm_list_lag : timedelta
        How old an answer of the VM list may be.
    vm_list_gap : timedelta
        Longest time between VM list fetches that count as one observation.
    refresh_interval : timedelta
        Time between reads of a group's record.
    retry_interval : timedelta
        Least time between tries to write a group's record.
    hand_back_timeout : timedelta
        Longest wait for the record when units are handed back.
    hold_lifetime : timedelta
        After which a holder forgets a loan that was never ended.
    refusal_memory : timedelta
        Time in which a holder that had too few tokens isn't asked again.
    """

    groups: int = 32
    units: int = 120
    holders: int = 8
    grant_lifetime: timedelta = timedelta(milliseconds=50)
    ask_timeout: timedelta = timedelta(milliseconds=15)
    confirmation_lifetime: timedelta = timedelta(seconds=8)
    vm_list_lag: timedelta = timedelta(seconds=5)
    vm_list_gap: timedelta = timedelta(seconds=3)
    refresh_interval: timedelta = timedelta(seconds=30)
    retry_interval: timedelta = timedelta(seconds=2)
    hand_back_timeout: timedelta = timedelta(seconds=3)
    hold_lifetime: timedelta = timedelta(minutes=30)
    refusal_memory: timedelta = timedelta(milliseconds=20)

    @property
    def reclaim_wait(self):
        """Time for which a marked holder's VM must go on being missing.

        A holder that confirms itself by the VM list can't bridge so long an
        absence: see the page on budgets.
        """
        slack = timedelta(seconds=1)
        lists = 2 * self.vm_list_lag + 2 * self.vm_list_gap
        return self.confirmation_lifetime + lists + slack
