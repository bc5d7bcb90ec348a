"""Schedule of the prompts that one replica reads beside its running streams."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from .exceptions import NO_DELAY

# Fraction of the pause limit that is used for reading; the rest covers the differences
# between estimated and real reading times.
USABLE_PAUSE_RATIO = 0.88
# Started prompts are remembered for this long, so that a repeated offer, whose answer
# was lost, is not scheduled twice.
STARTED_MEMORY = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class ReadingPace:
    """How many prompt tokens a replica may be sent.

    Attributes
    ----------
    window : timedelta
        Length of a sliding window; the longest pause between two events of a stream.
    tokens : float
        Tokens that may be sent in any window.
    """

    window: timedelta
    tokens: float

    @classmethod
    def choose(cls, pause_limit, seconds_per_token):
        """Return the pace at which streams keep a pause limit.

        Between two events of a stream, the replica must not read more tokens than it
        can within the limit.
        """
        usable_time = USABLE_PAUSE_RATIO * pause_limit.total_seconds()
        return cls(pause_limit, usable_time / seconds_per_token)


@dataclass(frozen=True, slots=True)
class PendingPrompt:
    """A prompt that an entry process wants to send to the replica.

    Attributes
    ----------
    entry : str
        IP address of the entry process.
    number : int
        Number of the offer, unique at the entry process.
    tokens : int
        Prompt tokens to read.
    priority : int
        Priority of the request; 0 comes first.
    due : timedelta
        Monotonic time at which it has to be started to meet its latency objective.
    expires : timedelta
        Monotonic time after which it is not to be started any more.
    """

    entry: str
    number: int
    tokens: int
    priority: int
    due: timedelta
    expires: timedelta

    @property
    def key(self):
        """Entry process and number."""
        return self.entry, self.number


@dataclass(frozen=True, slots=True)
class _SentTokens:
    tokens: int
    sent_at: timedelta


@dataclass(frozen=True, slots=True)
class ScheduleStep:
    """Decisions on pending prompts.

    Attributes
    ----------
    started : tuple of PendingPrompt
        Prompts that may be sent now.
    refused : tuple of PendingPrompt
        Prompts that cannot be started in time.
    """

    started: tuple[PendingPrompt, ...] = ()
    refused: tuple[PendingPrompt, ...] = ()


class PromptSchedule:
    """Decide when prompts are sent to a replica, so that its streams don't pause long.

    This handles prompts that arrive faster than the replica can read them between the
    events of its streams: without a schedule, a few prompts in a row delay the next
    event of all running streams beyond their limit. Prompts wait here instead of in the
    replica's queue; one that would wait beyond its time is refused at once.
    """

    def __init__(self):
        self._pending = {}
        self._started = OrderedDict()
        self._sent = deque()

    @property
    def pending_tokens(self):
        """Tokens of all pending prompts."""
        return sum(each.tokens for each in self._pending.values())

    def has_started(self, key):
        """Return whether the prompt with a key was started recently."""
        return key in self._started

    def add(self, prompt):
        """Add a PendingPrompt, unless it is pending or was started already."""
        if prompt.key not in self._started:
            self._pending.setdefault(prompt.key, prompt)

    def withdraw(self, key):
        """Remove a pending prompt, which the entry process no longer wants to send."""
        self._pending.pop(key, None)

    def predict_wait(self, key, pace, now):
        """Return the timedelta until a pending prompt can be started.

        It is None if no prompt with that key is pending.
        """
        if key not in self._pending:
            return None
        queue = self._order(now)
        place = [each.key for each in queue].index(key)
        tokens_ahead = sum(each.tokens for each in queue[:place])
        first_start = self._find_start(queue[0], pace, now)
        return first_start - now + pace.window * (tokens_ahead / pace.tokens)

    def advance(self, pace, now):
        """Start the prompts that are due and refuse those that have waited in vain.

        Parameters
        ----------
        pace : ReadingPace or None
            Limit on the prompts; None if they need not wait.
        now : timedelta
            Monotonic time.

        Returns
        -------
        ScheduleStep
        """
        self._expire(pace, now)
        refused = [each for each in self._pending.values() if now >= each.expires]
        for each in refused:
            del self._pending[each.key]
        started = []
        for each in self._order(now):
            if pace is not None and self._find_start(each, pace, now) > now:
                break
            del self._pending[each.key]
            self._started[each.key] = now
            self._sent.append(_SentTokens(each.tokens, now))
            started.append(each)
        return ScheduleStep(tuple(started), tuple(refused))

    def find_next_time(self, pace, now):
        """Return the monotonic time of the next decision; None if nothing is pending.

        Parameters
        ----------
        pace : ReadingPace or None
            Limit on the prompts; None if they need not wait.
        now : timedelta
            Monotonic time.
        """
        if not self._pending:
            return None
        if pace is None:
            return now
        start = self._find_start(self._order(now)[0], pace, now)
        return min(start, *(each.expires for each in self._pending.values()))

    def _order(self, now):
        """Return the pending prompts in the order in which they are started.

        Those that can't meet their objective any more come after the others of their
        priority, so that one delay doesn't make all later ones miss it.
        """
        return sorted(
            self._pending.values(),
            key=lambda each: (each.priority, each.due < now, each.due, each.key),
        )

    def _find_start(self, prompt, pace, now):
        """Return the earliest time at which a prompt may be sent.

        A prompt that exceeds the pace by itself is sent when nothing else was.
        """
        allowed = max(0, pace.tokens - prompt.tokens)
        excess = sum(each.tokens for each in self._sent) - allowed
        for each in self._sent:
            if excess <= 0:
                break
            now = max(now, each.sent_at + pace.window)
            excess -= each.tokens
        return now

    def _expire(self, pace, now):
        while self._started:
            key, started_at = next(iter(self._started.items()))
            if now - started_at < STARTED_MEMORY:
                break
            del self._started[key]
        window = NO_DELAY if pace is None else pace.window
        while self._sent and now - self._sent[0].sent_at >= window:
            self._sent.popleft()
