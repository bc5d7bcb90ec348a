"""Queue of the prompts that wait to be sent to one replica."""

from collections import OrderedDict, deque
from dataclasses import dataclass
from datetime import timedelta

from ..exceptions import NO_DELAY

# Admitted prompts are remembered for this long, so that a request that is repeated
# because its reply was lost is not counted twice.
ADMITTED_MEMORY = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class QueuedPrompt:
    """A prompt that an entry process wants to send to the replica.

    Attributes
    ----------
    entry : str
        IP address of the entry process.
    number : int
        Number of the admission request, unique at the entry process.
    tokens : int
        Prompt tokens to prefill.
    priority : int
        Priority of the request; 0 comes first.
    due : timedelta
        Monotonic time at which it must be sent to meet its latency objective.
    expires : timedelta
        Monotonic time after which it is not sent any more.
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
class AdmissionStep:
    """Decisions on queued prompts.

    Attributes
    ----------
    admitted : tuple of QueuedPrompt
        Prompts that may be sent now.
    rejected : tuple of QueuedPrompt
        Prompts that have expired.
    """

    admitted: tuple[QueuedPrompt, ...] = ()
    rejected: tuple[QueuedPrompt, ...] = ()


@dataclass(frozen=True, slots=True)
class _SentTokens:
    key: tuple
    tokens: int
    sent_at: timedelta


class AdmissionQueue:
    """Admit prompts to a replica within its prefill rate limit, the most urgent first.

    This handles prompts that arrive faster than the replica can prefill them between
    the events of its streams: sent at once, a few prompts in a row would delay the next
    event of all running streams.
    """

    def __init__(self):
        self._queued = {}
        self._admitted = OrderedDict()
        self._sent = deque()

    @property
    def tokens(self):
        """Tokens of all queued prompts."""
        return sum(each.tokens for each in self._queued.values())

    def is_admitted(self, key):
        """Return whether the prompt with a key was admitted recently."""
        return key in self._admitted

    def add(self, prompt):
        """Add a QueuedPrompt, unless it is queued or was admitted already."""
        if prompt.key not in self._admitted:
            self._queued.setdefault(prompt.key, prompt)

    def remove(self, key):
        """Remove a queued prompt that no longer waits."""
        self._queued.pop(key, None)

    def release(self, key):
        """Let others have what an admitted prompt may send that is not sent."""
        if key in self._admitted:
            self._sent = deque(each for each in self._sent if each.key != key)

    def predict_wait(self, key, rate_limit, now):
        """Return the timedelta until a queued prompt is admitted.

        It is None if no prompt with that key is queued.

        Parameters
        ----------
        key : tuple
            Key of the QueuedPrompt.
        rate_limit : PrefillRateLimit
            Rate limit in force.
        now : timedelta
            Monotonic time.
        """
        if key not in self._queued:
            return None
        queue = self._order(now)
        place = [each.key for each in queue].index(key)
        tokens_ahead = sum(each.tokens for each in queue[:place])
        first_start = self._find_start(queue[0], rate_limit, now)
        return first_start - now + rate_limit.compute_duration(tokens_ahead)

    def advance(self, rate_limit, now):
        """Admit the prompts that may be sent now, and reject those that have expired.

        Parameters
        ----------
        rate_limit : PrefillRateLimit or None
            Rate limit in force; None if prompts need not wait.
        now : timedelta
            Monotonic time.

        Returns
        -------
        AdmissionStep
        """
        self._drop_old(rate_limit, now)
        rejected = [each for each in self._queued.values() if now >= each.expires]
        for each in rejected:
            del self._queued[each.key]
        admitted = []
        for each in self._order(now):
            if rate_limit and self._find_start(each, rate_limit, now) > now:
                break
            del self._queued[each.key]
            self._admitted[each.key] = now
            self._sent.append(_SentTokens(each.key, each.tokens, now))
            admitted.append(each)
        return AdmissionStep(tuple(admitted), tuple(rejected))

    def find_next_time(self, rate_limit, now):
        """Return the monotonic time of the next decision; None if nothing is queued.

        Parameters
        ----------
        rate_limit : PrefillRateLimit or None
            Rate limit in force; None if prompts need not wait.
        now : timedelta
            Monotonic time.
        """
        if not self._queued:
            return None
        if rate_limit is None:
            return now
        start = self._find_start(self._order(now)[0], rate_limit, now)
        return min(start, *(each.expires for each in self._queued.values()))

    def _order(self, now):
        """Return the queued prompts in the order in which they are admitted.

        Those that can't meet their objective any more come after the others of their
        priority, so that one delay doesn't make all later ones miss it.
        """
        return sorted(
            self._queued.values(),
            key=lambda each: (each.priority, each.due < now, each.due, each.key),
        )

    def _find_start(self, prompt, rate_limit, now):
        """Return the earliest time at which a prompt may be sent.

        A prompt that exceeds the limit by itself is sent when nothing else was.
        """
        allowed = max(0, rate_limit.tokens - prompt.tokens)
        excess = sum(each.tokens for each in self._sent) - allowed
        for each in self._sent:
            if excess <= 0:
                break
            now = max(now, each.sent_at + rate_limit.window)
            excess -= each.tokens
        return now

    def _drop_old(self, rate_limit, now):
        while self._admitted:
            key, admitted_at = next(iter(self._admitted.items()))
            if now - admitted_at < ADMITTED_MEMORY:
                break
            del self._admitted[key]
        window = NO_DELAY if rate_limit is None else rate_limit.window
        while self._sent and now - self._sent[0].sent_at >= window:
            self._sent.popleft()
