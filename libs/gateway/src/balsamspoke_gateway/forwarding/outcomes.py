"""Events that tell how attempts and requests ended."""

from ..observing import AttemptEnded, RequestEnded


def make_attempt_ended(forwarding, choice, attempt, outcome, reason, duration):
    """Return the AttemptEnded of an attempt.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    choice : Choice
        The chosen replica.
    attempt : Attempt
        The attempt.
    outcome, reason : str
        How it ended.
    duration : timedelta
        Time from its start to its end.
    """
    record = choice.candidate.record
    return AttemptEnded(
        forwarding.request.id,
        record.id,
        forwarding.service,
        outcome,
        reason,
        attempt.status,
        duration,
        choice.wait,
        attempt.backlog,
        attempt.state_age,
        attempt.version,
        forwarding.list_shared_parts(),
        forwarding.fingerprint,
        record.software_version,
    )


def make_request_ended(forwarding, outcome, reason):
    """Return the RequestEnded of a request, which ends now.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    outcome, reason : str
        How it ended.
    """
    progress = forwarding.progress
    first = progress.first_event_at
    started_at, deadline = forwarding.started_at, forwarding.deadline
    return RequestEnded(
        forwarding.request.id,
        "" if forwarding.route is None else forwarding.route.name,
        forwarding.team_name,
        outcome,
        reason,
        forwarding.sink.status,
        progress.failed_attempts,
        forwarding.context.configuration_version,
        None if deadline is None else deadline - started_at,
        forwarding.context.clock.monotonic() - started_at,
        None if first is None else first - started_at,
    )
