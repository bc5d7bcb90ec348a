"""Settings of team budgets."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one team over all entry processes together.

    Attributes
    ----------
    rate : float
        Tokens per second.
    burst : float
        Tokens that may be used at once.
    """

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class BudgetSettings:
    """Settings of the budgets, which must be equal in all entry processes.

    Teams are hashed into groups. The budgets of a group are divided into units, and
    the entry processes that hold units of a group are its holders.

    Attributes
    ----------
    groups : int
        Number of groups.
    units : int
        Number of units in each group.
    holders : int
        Largest number of entry VMs that are chosen to hold units of one group.
    grant_lifetime : timedelta
        Time after the start of a reservation within which all its tokens must be
        granted.
    loan_request_timeout : timedelta
        Time to wait for the answer of one holder to a loan request.
    lease_duration : timedelta
        Time for which a process may grant from its units after the last renewal of its
        lease.
    vm_list_staleness : timedelta
        Largest age of the data in an answer of the VM list.
    vm_list_gap : timedelta
        Longest time between two VM list requests for the observation of missing VMs
        to count as uninterrupted.
    refresh_interval : timedelta
        Time between reads of a group's record by a process that holds units of it;
        multiplied by a random factor from 0.5 to 1.5.
    retry_interval : timedelta
        Backoff after a failed read or write of a group's record, and time between
        reads by a process without units; multiplied by a random factor from 0.5 to
        1.5.
    release_timeout : timedelta
        Longest time to wait until the record shows that all units were released.
    loan_lifetime : timedelta
        Time after which a holder ends a loan that the borrower never ended.
    empty_holder_backoff : timedelta
        Longest time for which a holder that had too few tokens for a team gets no loan
        request for that team.
    """

    groups: int = 32
    units: int = 120
    holders: int = 8
    grant_lifetime: timedelta = timedelta(milliseconds=50)
    loan_request_timeout: timedelta = timedelta(milliseconds=15)
    lease_duration: timedelta = timedelta(seconds=8)
    vm_list_staleness: timedelta = timedelta(seconds=5)
    vm_list_gap: timedelta = timedelta(seconds=3)
    refresh_interval: timedelta = timedelta(seconds=30)
    retry_interval: timedelta = timedelta(seconds=2)
    release_timeout: timedelta = timedelta(seconds=3)
    loan_lifetime: timedelta = timedelta(minutes=30)
    empty_holder_backoff: timedelta = timedelta(milliseconds=20)

    @property
    def reclaim_wait(self):
        """Time for which a marked holder's VM must stay missing from the VM list.

        No lease that is renewed from the VM list lasts through so long an absence:
        see the page on budgets.
        """
        slack = timedelta(seconds=1)
        lists = 2 * self.vm_list_staleness + 2 * self.vm_list_gap
        return self.lease_duration + lists + slack
