"""Signals in a replica's answer: that it leaves, backoffs, rate limits, warm-up."""

from ..observing import BackoffRequested, HeaderUnreadable


def record_signals(context, record, answer, sent_at):
    """Record what an answer says of the requests that its replica takes from now on.

    Parameters
    ----------
    context : GatewayContext
        State of the process.
    record : ReplicaRecord
        The replica.
    answer : ReplicaAnswer
        Head of its answer.
    sent_at : timedelta
        Monotonic time at which the request was sent.
    """
    for name in answer.unreadable_headers:
        context.observer.observe(HeaderUnreadable(record.id, name))
    if answer.is_misdirected:
        # It may come from another replica at the address.
        return
    if answer.is_leaving:
        context.record_leaving_answer(record)
    if answer.retry_after is not None:
        now = context.clock.monotonic()
        context.fleet.backoffs.record(record, answer.retry_after, now)
        context.observer.observe(BackoffRequested(record.id, answer.retry_after))
    context.rate_limiting.record_answer(record, answer, sent_at)


def record_misdirection(context, record, has_models):
    """Record that a replica isn't at its address, or lacks what was asked.

    Parameters
    ----------
    context : GatewayContext
        State of the process.
    record : ReplicaRecord
        The replica.
    has_models : bool
        Whether replicas of the service hold models, which one may lack.
    """
    context.fleet.record_misdirection(record)
    if not has_models:
        # A replica without models lacks nothing: another one answered.
        now = context.clock.monotonic()
        context.fleet.health.record_failure(record.id, now, True)
