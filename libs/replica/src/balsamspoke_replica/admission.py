"""Whether an engine's replica takes a request into its queue."""

from balsamspoke_types.outcomes import Cause


class EngineAdmission:
    """Refuse what the engine can't run now.

    Parameters
    ----------
    settings : ReplicaSettings
        Bounds of the queue.
    watch : EngineWatch
        Says whether the engine answers.
    loader : AdapterLoader
        Says which adapters can't be loaded.
    holdership : Holdership
        Says whether orders may be given.
    """

    def __init__(self, settings, monitor, loader, ownership):
        self._settings = settings
        self._monitor = monitor
        self._loader = loader
        self._ownership = ownership

    def find_refusal_cause(self, message, model_name):
        """Return the Cause for which a RunGeneration is refused, or None."""
        if message.model != model_name or self._ownership.is_lost:
            return Cause.NO_REPLICA
        if self._monitor.has_polled and not self._monitor.is_up:
            return Cause.BACKEND_LOST
        if self._loader.get_load_backoff(message.adapter) is not None:
            return Cause.LOAD_FAILED
        return None

    def has_room(self, queued_requests, queued_tokens, tokens):
        """Return whether a request of so many tokens fits into the queue."""
        settings = self._settings
        return (
            queued_requests < settings.queued_requests
            and queued_tokens + tokens <= settings.queued_tokens
        )
