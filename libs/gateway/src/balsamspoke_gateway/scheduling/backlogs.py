"""Prompts that a replica has yet to read, by the priority of their requests."""

from dataclasses import dataclass

# Engines know the priorities from 0 to this one; less urgent ones count as this one.
LEAST_URGENT = 9


@dataclass(frozen=True, slots=True)
class PriorityBacklog:
    """Unread prompts of one priority at a replica; part of messages.

    Attributes
    ----------
    priority : int
        Priority of the requests; 0 is the most urgent.
    prompts : int
        Number of the prompts.
    tokens : int
        Length of the prompts in tokens, together.
    """

    priority: int
    prompts: int
    tokens: int

    def add(self, prompts, tokens):
        """Return the backlog with more prompts, or with fewer if they are negative."""
        return PriorityBacklog(
            self.priority, self.prompts + prompts, self.tokens + tokens
        )


class UnreadPrompts:
    """Sum of unread prompts by priority; at most ten priorities are told apart."""

    def __init__(self, backlogs=()):
        self._backlogs = {each.priority: each for each in backlogs}

    def add(self, priority, tokens, prompts=1):
        """Add prompts of a priority, or remove them if the numbers are negative."""
        priority = _clamp(priority)
        backlog = self._backlogs.get(priority, PriorityBacklog(priority, 0, 0))
        backlog = backlog.add(prompts, tokens)
        self._backlogs[priority] = backlog
        if backlog.prompts <= 0:
            del self._backlogs[priority]

    def add_all(self, backlogs):
        """Add PriorityBacklogs."""
        for each in backlogs:
            self.add(each.priority, each.tokens, each.prompts)

    def subtract_all(self, backlogs):
        """Remove PriorityBacklogs that were added before."""
        for each in backlogs:
            self.add(each.priority, -each.tokens, -each.prompts)

    def __iter__(self):
        return iter(self._backlogs.values())

    def list(self):
        """Return the PriorityBacklogs, the most urgent first."""
        return tuple(self._backlogs[key] for key in sorted(self._backlogs))


def count_tokens_ahead(backlogs, total, priority):
    """Return the prompt tokens that a replica reads before a request sent now.

    This handles a burst of patient requests: engines admit the most urgent prompt
    first, so what waits behind an urgent one doesn't delay it. A prompt that is being
    read is read to its end whatever its priority; it is taken for one of mean length.

    Parameters
    ----------
    backlogs : iterable of PriorityBacklog
        Unread prompts at the replica.
    total : int
        Unread prompt tokens there. What exceeds the sum of the backlogs comes from
        processes that don't state priorities, and counts as urgent.
    priority : int or None
        Priority of the request; None if all prompts are read before it.
    """
    if priority is None:
        return total
    patient_prompts = patient_tokens = 0
    priority = _clamp(priority)
    for each in backlogs:
        if _clamp(each.priority) > priority:
            patient_prompts += each.prompts
            patient_tokens += each.tokens
    if not patient_tokens:
        return total
    mean_tokens = patient_tokens / max(1, patient_prompts)
    return max(0, total - patient_tokens) + round(mean_tokens)


def _clamp(priority):
    """Return the priority as which an engine takes one."""
    return min(max(0, priority), LEAST_URGENT)
