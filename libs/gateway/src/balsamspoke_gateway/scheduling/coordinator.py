"""Decisions on which requests are served first, with the process's state."""

from datetime import timedelta

from ..exceptions import Overloaded
from ..observing import TeamsLimited
from .messages import WorkReport
from .patience import compute_longest_wait, find_most_urgent
from .return_times import ReturnTimes
from .shares import TeamShares, WaitRatios
from .work_reports import REPORT_INTERVAL, REPORT_LIFETIME, choose_recipients

# Retry-after time of requests that are refused for lack of capacity.
BUSY_RETRY_AFTER = timedelta(milliseconds=300)


class SchedulingCoordinator:
    """Admit or refuse requests to engines by urgency, time left and team.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    """

    def __init__(self, context):
        self._context = context
        self._shares = TeamShares()
        self._return_times = ReturnTimes(context.draw)
        self._most_urgent = {}
        self._most_urgent_of = None
        self._limited = ()

    def start(self):
        """Start to tell the peers of scarce services; return at once."""
        self._report()

    def receive(self, ip, message):
        """Process a message of a peer (IP address); return whether it is for here."""
        if not isinstance(message, WorkReport):
            return False
        expires = self._context.clock.monotonic() + REPORT_LIFETIME
        self._shares.record_peer(ip, message.works, expires)
        return True

    def check_wait(self, forwarding, wait, candidates):
        """Raise Overloaded if a request is not to be sent to the engine now.

        Parameters
        ----------
        forwarding : Forwarding
            The request.
        wait : timedelta
            Predicted time to its first event, without the load of an adapter.
        candidates : list of Candidate
            The replicas that it may be sent to.
        """
        longest = self._find_longest_wait(forwarding)
        if forwarding.progress.is_scheduled:
            # Its work is counted already.
            is_admitted = wait <= longest
        else:
            forwarding.progress.is_scheduled = True
            is_admitted = self._admit(forwarding, wait, longest, candidates)
        if not is_admitted:
            raise Overloaded(
                f"a wait of {wait.total_seconds():.3f} s is predicted",
                max(BUSY_RETRY_AFTER, wait - longest),
            )

    def is_most_urgent(self, forwarding):
        """Return whether no request of a Forwarding's service is more urgent."""
        return forwarding.priority <= self._find_most_urgent(forwarding.service)

    def find_limit_return(self, team, tokens, error):
        """Return the time after which a caller may find its team within its limit.

        Parameters
        ----------
        team : Team
            The caller's team.
        tokens : int
            Cost of the refused request.
        error : OverLimit
            The refusal.
        """
        now = self._context.clock.monotonic()
        # Callers come to all processes, so each one plans its part of the limit.
        rate = team.rate / self._context.processes
        earliest = error.retry_after
        return self._return_times.reserve(team.name, earliest, tokens, rate, now)

    def _admit(self, forwarding, wait, longest, candidates):
        if forwarding.team is None:
            return wait <= longest
        service, team = forwarding.service, forwarding.team.name
        teams = self._context.configuration.teams
        now = self._context.clock.monotonic()
        least = wait
        if self._shares.is_limited(service, team, teams, now):
            least = min(
                (
                    each.load.predict_wait(0, forwarding.stated_priority)
                    for each in candidates
                    if each.held is not None
                ),
                default=wait,
            )
        waits = WaitRatios(wait / longest, least / longest)
        tokens = forwarding.request.prompt.tokens
        return self._shares.admit(service, team, teams, tokens, waits, now)

    def _find_most_urgent(self, service):
        configuration = self._context.configuration
        if self._most_urgent_of is not configuration:
            self._most_urgent_of = configuration
            self._most_urgent = {}
        most_urgent = self._most_urgent.get(service)
        if most_urgent is None:
            most_urgent = find_most_urgent(configuration, service)
            self._most_urgent[service] = most_urgent
        return most_urgent

    def _find_longest_wait(self, forwarding):
        return compute_longest_wait(
            forwarding.route.objective,
            forwarding.stated_priority,
            self._find_most_urgent(forwarding.service),
            forwarding.time_left(),
        )

    def _report(self):
        """Tell some peers the teams' work while a service is full."""
        context = self._context
        # First, so that an error doesn't end the reports for good.
        context.clock.call_later(REPORT_INTERVAL, self._report)
        works = self._shares.list_work(context.clock.monotonic())
        if works:
            for ip in choose_recipients(context.peer_ips, context.draw):
                context.peers.send(ip, WorkReport(works))
        self._observe_limits()

    def _observe_limits(self):
        """Report which teams are limited, if they are others than before."""
        context = self._context
        if context.configuration is None:
            return
        limited = self._shares.list_limited(
            context.configuration.teams, context.clock.monotonic()
        )
        if limited != self._limited:
            self._limited = limited
            context.observer.observe(TeamsLimited(limited))
