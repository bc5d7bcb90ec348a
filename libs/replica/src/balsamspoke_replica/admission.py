"""Admission control for the queue of an engine."""

from balsamspoke_types.outcomes import Cause


class EngineAdmission:
    """Check whether a request can be queued for the engine.

    Parameters
    ----------
    settings : ReplicaSettings
        Limits of the queue.
    monitor : EngineMonitor
        Provides whether the engine is up.
    loader : AdapterLoader
        Provides which adapters are in backoff after failed loads.
    ownership : EngineOwnership
        Provides whether this process still owns the engine.
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
        """Return whether one more request fits into the queue.

        Parameters
        ----------
        queued_requests : int
            Requests in the queue now.
        queued_tokens : int
            Sum of the tokens of the queued requests.
        tokens : int
            Tokens of the new request.
        """
        settings = self._settings
        return (
            queued_requests < settings.queued_requests
            and queued_tokens + tokens <= settings.queued_tokens
        )
