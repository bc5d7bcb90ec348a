"""Outcomes of requests and causes of refusals."""

import enum
from dataclasses import dataclass
from datetime import timedelta


class Ran(enum.Enum):
    """State of knowledge about whether a backend server ran a request."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Cause(enum.Enum):
    """Machine-readable cause of a refusal or an error, part of the caller's answer."""

    MALFORMED = "malformed_request"
    TOO_LARGE = "request_too_large"
    UNSUPPORTED = "unsupported_parameter"
    KEY_MISSING = "key_missing"
    KEY_REJECTED = "key_rejected"
    KEY_MISPLACED = "key_misplaced"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    NOT_ALLOWED = "not_allowed"
    OVER_LIMIT = "team_over_limit"
    LARGER_THAN_BURST = "larger_than_burst"
    BUDGET_UNAVAILABLE = "budget_unavailable"
    NO_REPLICA = "no_replica"
    OVERLOADED = "overloaded"
    LOAD_FAILED = "adapter_load_failed"
    DEADLINE = "deadline_exceeded"
    STOPPING = "stopping"
    RECORD_UNAVAILABLE = "idempotency_record_unavailable"
    IN_PROGRESS = "request_in_progress"
    KEY_REUSED = "idempotency_key_reused"
    BACKEND_LOST = "backend_lost"
    BACKEND_FAILED = "backend_failed"
    CATALOGUE_UNAVAILABLE = "catalogue_unavailable"
    CANCELLED = "cancelled"
    INTERNAL = "internal_error"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Final answer to a request that did not succeed.

    Attributes
    ----------
    cause : Cause
        Reason of the refusal.
    ran : Ran
        Whether a backend server ran the request; NOT_RUN guarantees that none did
        or will.
    message : str
        Explanation in one sentence, without API keys.
    retry_after : timedelta or None
        Delay after which a retry may succeed; None if retrying does not help.
    """

    cause: Cause
    ran: Ran
    message: str
    retry_after: timedelta | None = None
