"""Admission of a request's prompt by the side process of the chosen replica."""

from dataclasses import replace
from datetime import timedelta

from ..exceptions import AdmissionAbandoned, Overloaded
from .messages import AdmissionRequest, AdmissionStatus

# Latency objectives for which a prompt may wait for admission.
MAX_WAIT_OBJECTIVES = 1.0
# Shortest retry-after time of a request whose prompt was not admitted.
MIN_RETRY_AFTER = timedelta(milliseconds=300)


async def request_admission(forwarding, choice):
    """Wait until the chosen replica may be sent the prompt, if it limits prefill.

    A request that was accepted before is not rejected here, so it does not wait.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    choice : Choice
        The replica, which holds the adapter.

    Returns
    -------
    Choice or None
        The same choice, with the number of the AdmissionRequest if there was one. None
        if the replica gets no more requests, so that another one has to be chosen.

    Raises
    ------
    Overloaded
        If the replica cannot prefill the prompt in time.
    """
    context = forwarding.context
    record, load = choice.candidate.record, choice.candidate.load
    state = context.fleet.find_state(record)
    is_required = state is not None and state.requires_admission
    if not is_required or forwarding.progress.is_accepted:
        return choice
    request = _make_request(forwarding, choice)
    target = forwarding.request.prompt.target
    # The adapter must not be evicted while its prompt is queued.
    context.demands.record_start(record.id, target)
    load.queued_tokens += request.tokens
    try:
        reply = await context.admission_client.wait_for_admission(record.ip, request)
    except AdmissionAbandoned:
        return None
    finally:
        load.queued_tokens -= request.tokens
        context.demands.record_end(record.id, target)
    if reply is not None and reply.status is not AdmissionStatus.ADMITTED:
        raise Overloaded(
            f"the replica prefills no prompt within {request.max_wait:.3f} s: "
            f"a wait of {reply.wait:.3f} s is predicted",
            max(MIN_RETRY_AFTER, timedelta(seconds=reply.wait)),
        )
    return replace(choice, admission_number=request.number)


def cancel_admission(context, choice):
    """Give back the admission of a prompt that is not sent to the chosen replica."""
    if choice.admission_number is not None:
        ip = choice.candidate.record.ip
        context.admission_client.cancel(ip, choice.admission_number)


def _make_request(forwarding, choice):
    context, route = forwarding.context, forwarding.route
    prompt = forwarding.request.prompt
    cached = context.prefix_tracker.count_cached_tokens(
        prompt, choice.candidate.record.id
    )
    tokens = max(1, prompt.tokens - cached)
    prefill_time = tokens * choice.candidate.load.seconds_per_token
    elapsed = context.clock.monotonic() - forwarding.started_at
    time_to_objective = (route.objective - elapsed).total_seconds() - prefill_time
    max_wait = min(forwarding.time_left(), MAX_WAIT_OBJECTIVES * route.objective)
    return AdmissionRequest(
        context.admission_client.make_number(),
        tokens,
        forwarding.priority,
        time_to_objective,
        max_wait.total_seconds(),
    )
