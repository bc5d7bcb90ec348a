"""What binds at an engine, for operators."""

from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """Use of an engine, as its side process knows it.

    Attributes
    ----------
    running : int
        Requests that run there.
    adapters_in_use : int
        Adapters that requests use; each one keeps a slot until its last stream ends.
    adapters_wanted : int
        Adapters that requests wait for, including those being loaded.
    prefill_backlog : timedelta
        Time that the engine takes to read the prompts that it was sent.
    is_prefill_limited : bool
        Whether prompts are admitted at a limited rate, as events came late.
    """

    running: int
    adapters_in_use: int
    adapters_wanted: int
    prefill_backlog: timedelta
    is_prefill_limited: bool
