"""Messages about the admission of prompts; each one may be lost in transit.

Field names are part of the wire format.
"""

from dataclasses import dataclass
from enum import Enum


@dataclass(frozen=True, slots=True)
class AdmissionRequest:
    """Request of an entry process to admit a prompt to a replica.

    Attributes
    ----------
    number : int
        Number of the request, unique at the entry process.
    tokens : int
        Prompt tokens that the replica has to prefill.
    priority : int
        Priority of the caller's request; 0 comes first.
    time_to_objective : float
        Seconds within which the prompt must be sent to meet the latency objective;
        negative afterwards.
    max_wait : float
        Seconds within which the prompt must be sent at all.
    """

    number: int
    tokens: int
    priority: int
    time_to_objective: float
    max_wait: float


class AdmissionStatus(Enum):
    """Status of an AdmissionRequest; after ``QUEUED`` another reply follows."""

    ADMITTED = "admitted"
    QUEUED = "queued"
    REJECTED = "rejected"


@dataclass(frozen=True, slots=True)
class AdmissionReply:
    """Reply of a side process to an AdmissionRequest.

    Attributes
    ----------
    number : int
        Number of the request.
    status : AdmissionStatus
        Whether the prompt may be sent.
    wait : float
        Predicted seconds until it may be sent.
    """

    number: int
    status: AdmissionStatus
    wait: float = 0.0


@dataclass(frozen=True, slots=True)
class AdmissionCancellation:
    """Cancellation of an AdmissionRequest, or of the admission.

    Attributes
    ----------
    number : int
        Number of the request.
    is_sent : bool
        Whether the prompt is sent all the same, as no reply has come.
    """

    number: int
    is_sent: bool = False


@dataclass(frozen=True, slots=True)
class PrefillEnded:
    """Notice that the first event after an admitted prompt has arrived.

    Attributes
    ----------
    number : int
        Number of the AdmissionRequest.
    """

    number: int
