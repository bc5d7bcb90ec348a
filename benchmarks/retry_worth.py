"""Show which part of the failed requests the fleet's retry budget lets run once more.

The replicas of one service fail a part of all attempts for a while. The processes have
long been running, or have all started anew just before.
"""

import random
from datetime import timedelta

from balsamspoke_gateway.forwarding.retry_budget import RetryBudget
from balsamspoke_gateway.forwarding.retry_shares import compute_share
from balsamspoke_gateway.peers.standing import Standing
from balsamspoke_gateway.settings import GatewaySettings

SETTINGS = GatewaySettings("vm", "10.0.0.1", "north", retry_extra=104.0)
# Entry processes, and requests a second to the service over all of them.
FLEETS = ((1, 30), (4, 80), (32, 330), (340, 9_800), (340, 340))
FAILED_PARTS = (0.02, 0.05, 0.1, 0.2, 0.45)
# Processes serve for so long before the failures begin, which last for a while.
QUIET_SECONDS = 20.0
FAILING_SECONDS = 5.0
SEED = 1


class FailingFleet:
    """Retry budgets of the processes of a fleet.

    Parameters
    ----------
    processes : int
        Number of processes.
    rate : float
        Requests a second over all of them.
    """

    def __init__(self, processes, rate):
        self._random = random.Random(SEED)
        self._rate = rate
        self._standing = Standing(processes, True, False)
        self._budgets = []
        self._started_at = timedelta(0)
        self._start(processes)

    def _start(self, processes):
        window = SETTINGS.retry_window
        self._budgets = [RetryBudget(window) for _ in range(processes)]

    def restart(self, now):
        """Start all processes anew at a monotonic time in seconds."""
        self._started_at = timedelta(seconds=now)
        self._standing = Standing(len(self._budgets), True, True)
        self._start(len(self._budgets))

    def run(self, begin, end, failed_part):
        """Send requests between two times; return those that failed, and retries."""
        failed = retried = 0
        count = int((end - begin) * self._rate)
        for number in range(count):
            now = timedelta(seconds=begin + number / self._rate)
            budget = self._random.choice(self._budgets)
            budget.record_request(now)
            if self._random.random() < failed_part:
                age = now - self._started_at
                share = compute_share(SETTINGS, age, self._standing)
                failed += 1
                retried += budget.take(now, share)
        return failed, retried


def measure(processes, rate, failed_part, restarts):
    """Return the part of the failed requests that were sent once more."""
    fleet = FailingFleet(processes, rate)
    fleet.run(0.0, QUIET_SECONDS, 0.0)
    if restarts:
        fleet.restart(QUIET_SECONDS)
    end = QUIET_SECONDS + FAILING_SECONDS
    failed, retried = fleet.run(QUIET_SECONDS, end, failed_part)
    return retried / failed if failed else 1.0


def main():
    """Print a table for each fleet."""
    print("processes  requests/s  starts anew  " + "  ".join(map(str, FAILED_PARTS)))
    for processes, rate in FLEETS:
        for restarts in (False, True):
            parts = (measure(processes, rate, each, restarts) for each in FAILED_PARTS)
            figures = "  ".join(f"{each:4.2f}" for each in parts)
            print(f"{processes:9}  {rate:10}  {restarts!s:11}  {figures}")


if __name__ == "__main__":
    main()
