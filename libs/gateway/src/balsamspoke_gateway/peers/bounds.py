"""Bounds of the numbers in messages between entry and side processes."""

from dataclasses import replace

# Largest count that is taken from a message. Sums over all processes can still be sent.
MAX_COUNT = 10**9
# Longest time that is taken from a message, in seconds.
MAX_SECONDS = 3_600.0


def bound_demand(demand):
    """Return an EntryDemand whose numbers are within their bounds.

    This handles a faulty process: with sums that no message can carry, a side process
    would fail before it gives its replica an order.
    """
    return replace(
        demand,
        in_flight=_bound_count(demand.in_flight),
        unread_tokens=_bound_count(demand.unread_tokens),
        interval=_bound_seconds(demand.interval),
        late_events=_bound_count(demand.late_events),
        max_event_interval=_bound_seconds(demand.max_event_interval),
        unread_prompts=_bound_backlogs(demand.unread_prompts),
    )


def bound_state(state):
    """Return a ReplicaState whose numbers are within their bounds."""
    return replace(
        state,
        running=_bound_count(state.running),
        waiting=_bound_count(state.waiting),
        wanted_adapters=_bound_count(state.wanted_adapters),
        others_in_flight=_bound_count(state.others_in_flight),
        others_unread_tokens=_bound_count(state.others_unread_tokens),
        interval=_bound_seconds(state.interval),
        queued_tokens=_bound_count(state.queued_tokens),
        load_time=_bound_seconds(state.load_time),
        model_wait=_bound_seconds(state.model_wait),
        others_unread_prompts=_bound_backlogs(state.others_unread_prompts),
    )


def _bound_count(count):
    return min(max(0, count), MAX_COUNT)


def _bound_seconds(number):
    # In this order, NaN becomes 0.
    return min(max(0.0, number), MAX_SECONDS)


def _bound_backlogs(backlogs):
    return tuple(
        replace(
            each,
            prompts=_bound_count(each.prompts),
            tokens=_bound_count(each.tokens),
        )
        for each in backlogs
    )
