"""What a claim of an idempotency key can come to."""

from dataclasses import dataclass

from balsamspoke_types.ports import ServiceResponse

from .records import IdempotencyRecord


@dataclass(frozen=True, slots=True)
class HeldRecord:
    """A record as it was last seen in the object API.

    Attributes
    ----------
    name : str
        Its name.
    version : int
        Its version there.
    record : IdempotencyRecord
        Its content.
    """

    name: str
    version: int
    record: IdempotencyRecord


@dataclass(frozen=True, slots=True)
class Granted:
    """The record names our attempt, which may now be sent to the replica named."""

    held: HeldRecord


@dataclass(frozen=True, slots=True)
class AnswerSaved:
    """An earlier request ran; response is None if it was too long to keep."""

    response: ServiceResponse | None


@dataclass(frozen=True, slots=True)
class Pending:
    """Another attempt may be handed over, or was, and its outcome isn't known.

    Attributes
    ----------
    held : HeldRecord
        The record of that attempt.
    """

    held: HeldRecord


@dataclass(frozen=True, slots=True)
class OutcomeUnknown:
    """An earlier request may have run, and nobody will ever know."""


@dataclass(frozen=True, slots=True)
class KeyReused:
    """The key was used for another request."""
