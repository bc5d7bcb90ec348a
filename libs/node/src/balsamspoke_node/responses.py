"""HTTP responses, with refusals in the error format of the OpenAI API."""

import math
from datetime import timedelta

import orjson
from balsamspoke_types.keys import redact_keys
from balsamspoke_types.outcomes import Cause

JSON_HEADER = ("content-type", "application/json")

STATUS_OF_CAUSE = {
    Cause.MALFORMED: 400,
    Cause.TOO_LARGE: 413,
    Cause.UNSUPPORTED: 400,
    Cause.KEY_MISSING: 401,
    Cause.KEY_REJECTED: 401,
    Cause.KEY_MISPLACED: 400,
    Cause.UNKNOWN_MODEL: 404,
    Cause.UNKNOWN_ROUTE: 404,
    Cause.NOT_ALLOWED: 403,
    Cause.OVER_LIMIT: 429,
    Cause.LARGER_THAN_BURST: 400,
    Cause.BUDGET_UNAVAILABLE: 503,
    Cause.NO_REPLICA: 503,
    Cause.OVERLOADED: 503,
    Cause.LOAD_FAILED: 503,
    Cause.DEADLINE: 503,
    Cause.STOPPING: 503,
    Cause.RECORD_UNAVAILABLE: 503,
    Cause.IN_PROGRESS: 409,
    Cause.KEY_REUSED: 422,
    Cause.BACKEND_LOST: 502,
    Cause.BACKEND_FAILED: 502,
    Cause.CATALOGUE_UNAVAILABLE: 503,
    Cause.CANCELLED: 499,
    Cause.INTERNAL: 500,
}

_CLIENT_ERRORS = range(400, 429)


def describe_refusal(refusal, request_id):
    """Return the JSON object of a refusal, in the error format of the OpenAI API.

    Parameters
    ----------
    refusal : Refusal
        Cause, outcome, message and retry delay.
    request_id : str
        Id of the caller's request, repeated in the object.
    """
    status = STATUS_OF_CAUSE[refusal.cause]
    kind = "invalid_request_error" if status in _CLIENT_ERRORS else "server_error"
    return {
        "error": {
            "message": redact_keys(refusal.message),
            "type": kind,
            "code": refusal.cause.value,
            "outcome": refusal.ran.value,
            "request_id": request_id,
            "retry_after": _count_seconds(refusal.retry_after),
        }
    }


def write_refusal(responder, refusal, request_id):
    """Send a refusal as a complete JSON response."""
    headers = [
        JSON_HEADER,
        ("x-request-id", request_id),
        ("x-outcome", refusal.ran.value),
    ]
    seconds = _count_seconds(refusal.retry_after)
    if seconds is not None:
        headers.append(("retry-after", str(math.ceil(seconds))))
    body = orjson.dumps(describe_refusal(refusal, request_id))
    write_response(responder, STATUS_OF_CAUSE[refusal.cause], headers, body)


def write_response(responder, status, headers, body):
    """Send a complete response, with a content-length header added."""
    length = ("content-length", str(len(body)))
    responder.start(status, (*headers, length))
    responder.write(body)
    responder.end()


def _count_seconds(duration):
    if duration is None:
        return None
    return max(duration, timedelta(0)).total_seconds()
