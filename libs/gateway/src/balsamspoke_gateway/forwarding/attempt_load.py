"""Load that an attempt adds to its replica."""


class AttemptLoad:
    """Count an attempt, and its prompt until it is read, in its replica's load.

    Parameters
    ----------
    load : ReplicaLoad
        Load of the replica.
    prompt : Prompt or None
        Prompt of the request.
    priority : int or None
        Priority that the replica is told.

    Attributes
    ----------
    unread_tokens : int
        Tokens of the prompt that count as unread.
    """

    def __init__(self, load, prompt, priority):
        self._load = load
        self._prompt = prompt
        self._priority = priority
        self.unread_tokens = 0

    def begin(self):
        """Count the attempt."""
        self._load.in_flight += 1
        if self._prompt is None:
            return
        self.unread_tokens = self._prompt.tokens
        self._load.unread_tokens += self.unread_tokens
        if self.unread_tokens and self._priority is not None:
            self._load.unread_prompts.add(self._priority, self.unread_tokens)

    def end(self):
        """Count the attempt no longer."""
        self._load.in_flight -= 1
        self.release_prompt()

    def release_prompt(self):
        """Count the prompt no longer, once it is read or given up."""
        if not self.unread_tokens:
            return
        self._load.unread_tokens -= self.unread_tokens
        if self._priority is not None:
            self._load.unread_prompts.add(self._priority, -self.unread_tokens, -1)
        self.unread_tokens = 0
