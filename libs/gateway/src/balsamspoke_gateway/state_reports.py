"""Messages of a side process that tell entry processes the state of its replica."""

from dataclasses import dataclass
from datetime import timedelta

from .adapters.report_intervals import IDLE_INTERVAL
from .messages import ReplicaState
from .peers.pacing import MIN_INTERVAL, choose_interval
from .scheduling.backlogs import UnreadPrompts

# Reports in a row in which entry processes are told of a restart at once: a message may
# be lost, and many processes would wait seconds for the next one.
RESTART_NOTICES = 3


@dataclass(frozen=True, slots=True)
class _SentState:
    """The last state sent to an entry process.

    Attributes
    ----------
    sent_at : timedelta
        Monotonic time.
    content : tuple
        What is sent soon after it has changed.
    born : int
        Start time of the replica in milliseconds.
    notices_left : int
        Further times that the process is told of this start at once.
    """

    sent_at: timedelta
    content: tuple
    born: int
    notices_left: int = 0


class StateReporter:
    """Send the state of a replica to the entry processes that have demand there.

    Parameters
    ----------
    clock : Clock
        Source of monotonic time.
    peers : PeerSender
        Sends the messages.
    plan : AdapterPlan
        Knows the demands and what is refused.
    admission : AdmissionController
        Knows which prompts are queued.
    load_times : AdapterLoadTimes
        Knows how long an adapter's load takes.
    speed : EngineSpeed
        Adds what is known of the replica's speed.
    """

    def __init__(self, clock, peers, plan, admission, load_times, speed):
        self._clock = clock
        self._peers = peers
        self._plan = plan
        self._admission = admission
        self._load_times = load_times
        self._speed = speed
        self._last_sent = {}

    def send(self, report, model_wait):
        """Send the state to entry processes whose update is due or demand is met.

        Demand is met if the replica holds at least one of the wanted adapters. A
        restart is sent at once to all, and so before the replica is ordered to load its
        model: until then they believe that it has its earlier software version.

        Parameters
        ----------
        report : EngineReport
            The replica's last report.
        model_wait : timedelta
            Predicted time until the replica holds its model.
        """
        now = self._clock.monotonic()
        demands = self._plan.list_demands(now)
        totals = _DemandTotals.compute(demands.values())
        interval = choose_interval(len(demands))
        for entry, demand in demands.items():
            last = self._last_sent.get(entry)
            notices = _count_notices(last, report.born)
            if not self._is_due(report, demand, last, notices, interval, now):
                continue
            notices_left = max(0, notices - 1)
            content = _get_content(report)
            self._last_sent[entry] = _SentState(now, content, report.born, notices_left)
            state = self._make_state(report, demand, totals, interval, model_wait, now)
            state = self._speed.add_to_state(state, entry, last is None, now)
            self._peers.send(entry, state)
        for entry in set(self._last_sent) - set(demands):
            del self._last_sent[entry]
        self._speed.retain(demands)

    def _is_due(self, report, demand, last, notices, interval, now):
        """Return whether an entry process is to be told the state now."""
        if last is None or notices > 0:
            return True
        # A change is sent at once to few entry processes, and with a delay to many.
        is_unchanged = last.content == _get_content(report)
        delay = interval if is_unchanged else interval - MIN_INTERVAL
        if now - last.sent_at >= delay:
            return True
        return _is_demand_met(report, demand, last, now)

    def _make_state(self, report, demand, totals, interval, model_wait, now):
        others_unread_prompts = UnreadPrompts(totals.unread_prompts.list())
        others_unread_prompts.subtract_all(demand.unread_prompts)
        return ReplicaState(
            report.born,
            report.models,
            report.pending,
            report.running,
            report.waiting,
            self._plan.count_wanted(report),
            totals.in_flight - demand.in_flight,
            totals.unread_tokens - demand.unread_tokens,
            interval.total_seconds(),
            self._admission.queued_tokens,
            self._admission.is_required,
            self._load_times.estimate.total_seconds(),
            model_wait.total_seconds(),
            report.is_leaving,
            self._plan.list_refused(now),
            others_unread_prompts=others_unread_prompts.list(),
        )


@dataclass(frozen=True, slots=True)
class _DemandTotals:
    """Sums of the demands of all entry processes."""

    in_flight: int
    unread_tokens: int
    unread_prompts: UnreadPrompts

    @classmethod
    def compute(cls, demands):
        unread_prompts = UnreadPrompts()
        for demand in demands:
            unread_prompts.add_all(demand.unread_prompts)
        return cls(
            sum(each.in_flight for each in demands),
            sum(each.unread_tokens for each in demands),
            unread_prompts,
        )


def _get_content(report):
    """Return what of a report is sent soon after it has changed."""
    return report.models, report.pending, report.is_leaving


def _is_demand_met(report, demand, last, now):
    """Return whether to tell an entry process that it can have what it wants.

    It is told once that the replica holds a wanted adapter, and again after a time if
    it still wants it: a message may be lost.

    Parameters
    ----------
    report : EngineReport
        The replica's last report.
    demand : EntryDemand
        Demand of the entry process.
    last : _SentState
        The last state sent to it.
    now : timedelta
        Monotonic time.
    """
    told = last.content[0] if now - last.sent_at < IDLE_INTERVAL else {}
    return any(
        _holds(report.models, each) and not _holds(told, each) for each in demand.wanted
    )


def _holds(models, wanted):
    """Return whether models, with their adapters' versions, have a WantedAdapter."""
    return models.get(wanted.model, {}).get(wanted.adapter, -1) >= wanted.version


def _count_notices(last, born):
    """Return how often a process is still to be told of a start of the replica.

    Parameters
    ----------
    last : _SentState or None
        The last state sent to the process; None if there is none.
    born : int
        Start time of the replica in milliseconds.
    """
    if last is None:
        return 0
    return last.notices_left if last.born == born else RESTART_NOTICES
