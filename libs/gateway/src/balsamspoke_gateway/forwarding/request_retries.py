"""Retries of one request, within the retry budget of its service."""

from ..observing import RetryDecided

# Failed attempts after which a request is given up, even if the retry budget allows
# more. Attempts that could not connect to a replica do not count.
MAX_FAILED_ATTEMPTS = 4


class RequestRetries:
    """Take the retries of one request from the RetryBudget of its service.

    Parameters
    ----------
    context : GatewayContext
        Shared state of the process.
    request_id : str
        Id of the request.
    service : str
        Name of the service.
    progress : Progress
        State of the request over its attempts.
    """

    def __init__(self, context, request_id, service, progress):
        self._context = context
        self._request_id = request_id
        self._service = service
        self._progress = progress
        self._budget = context.find_retry_budget(service)
        self._is_counted = False
        self._taken_at = None

    def allow_attempt(self):
        """Return whether the request may be sent, for the first time or once more."""
        now = self._context.clock.monotonic()
        self._taken_at = None
        if not self._is_counted:
            self._is_counted = True
            self._budget.record_request(now)
        failed_attempts = self._progress.failed_attempts
        if not failed_attempts:
            return True
        if failed_attempts >= MAX_FAILED_ATTEMPTS or not self._take(now):
            return False
        self._taken_at = now
        return True

    def give_back(self):
        """Return the retry of the last attempt, which has reached no replica."""
        if self._taken_at is not None:
            self._budget.give_back(self._taken_at)

    def _take(self, now):
        context = self._context
        is_allowed = self._budget.take(now, context.compute_retry_share(now))
        decided = RetryDecided(
            self._request_id,
            self._service,
            is_allowed,
            self._budget.count_requests(now),
            self._budget.count_retries(now),
            context.standing.processes,
            now - context.started_at,
        )
        context.observer.observe(decided)
        return is_allowed
