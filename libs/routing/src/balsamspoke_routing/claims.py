"""Results of claiming an idempotency key."""

from dataclasses import dataclass

from balsamspoke_types.ports import ServiceResponse

from .records import IdempotencyRecord


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """An idempotency record as it was last read from or written to the object API.

    Attributes
    ----------
    name : str
        Object name of the record.
    version : int
        Object version, the precondition of the next write.
    record : IdempotencyRecord
        Decoded content.
    """

    name: str
    version: int
    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class Granted:
    """The record names the claiming attempt, which may now be sent to its replica.

    Attributes
    ----------
    stored_record : StoredRecord
        The record of the claiming attempt.
    """

    stored_record: StoredRecord


@dataclass(frozen=True, slots=True)
class AnswerSaved:
    """An earlier request with the key was answered.

    Attributes
    ----------
    response : ServiceResponse or None
        The saved answer; None if it was too long to be saved.
    """

    response: ServiceResponse | None


@dataclass(frozen=True, slots=True)
class Pending:
    """Another attempt was or may still be handed over; its outcome isn't recorded yet.

    Attributes
    ----------
    stored_record : StoredRecord
        The record of the other attempt; in state NOT_RUN if another process has just
        recorded that this attempt never runs.
    """

    stored_record: StoredRecord


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An earlier request with the key may have run; its outcome was lost for good."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used before for a request with other content."""
