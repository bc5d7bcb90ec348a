"""Idempotency records and their encoding in the object API."""

import base64
import enum
import hashlib
from dataclasses import dataclass
from datetime import datetime

import orjson
from balsamspoke_types.exceptions import IdentifierError
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.ports import ServiceResponse

from .exceptions import RecordMalformed


class RecordState(enum.Enum):
    """Outcome of the attempt that a record names.

    The values are PENDING (no outcome recorded yet), NOT_RUN (the attempt never
    runs), UNKNOWN (it may have run) and ANSWERED (it ran and was answered).
    """

    PENDING = "pending"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """Stored state of a request with an idempotency key.

    Attributes
    ----------
    digest : str
        Digest of the request's content, without its id; a key that is reused for
        other content is detected by it.
    attempt : AttemptId
        The only attempt that may be handed over.
    replica : ProcessId
        The only side process that the attempt may be sent to.
    state : RecordState
        Outcome of the attempt.
    operation : str
        Unique id of the write, by which its writer recognizes it after a lost reply.
    written : datetime
        Wall-clock time of the write.
    response : ServiceResponse or None
        The answer; None before there is one, or if it was too long to be saved.
    """

    digest: str
    attempt: AttemptId
    replica: ProcessId
    state: RecordState
    operation: str
    written: datetime
    response: ServiceResponse | None = None

    def encode(self):
        """Return the record as JSON bytes for the object API."""
        return orjson.dumps(
            {
                "digest": self.digest,
                "attempt": str(self.attempt),
                "replica": str(self.replica),
                "state": self.state.value,
                "operation": self.operation,
                "written": self.written.isoformat(),
                "response": _encode_response(self.response),
            }
        )

    @classmethod
    def decode(cls, value):
        """Return the record that ``encode`` turned into these bytes.

        Raises
        ------
        RecordMalformed
            If the bytes aren't an encoded record.
        """
        try:
            fields = orjson.loads(value)
            return cls(
                digest=fields["digest"],
                attempt=AttemptId.parse(fields["attempt"]),
                replica=ProcessId.parse(fields["replica"]),
                state=RecordState(fields["state"]),
                operation=fields["operation"],
                written=datetime.fromisoformat(fields["written"]),
                response=_decode_response(fields["response"]),
            )
        except (ValueError, KeyError, TypeError, IdentifierError) as error:
            raise RecordMalformed(
                "the object isn't a valid idempotency record"
            ) from error


def make_record_name(team, idempotency_key):
    """Return the object name of the record for a team's idempotency key."""
    digest = hashlib.sha256()
    for part in (team, idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def hash_request(request):
    """Return a digest of the content of a CallRequest.

    Of the headers only the content type counts, as a repeat may differ in others.
    """
    call = request.call
    content_types = [
        value for name, value in call.headers if name.lower() == "content-type"
    ]
    parts = [request.service, call.method, call.path, *content_types]
    digest = hashlib.sha256()
    for part in [*(text.encode() for text in parts), call.body]:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


def _encode_response(response):
    if response is None:
        return None
    return {
        "status": response.status,
        "headers": response.headers,
        "body": base64.b64encode(response.body).decode("ascii"),
    }


def _decode_response(fields):
    if fields is None:
        return None
    return ServiceResponse(
        status=fields["status"],
        headers=tuple((name, value) for name, value in fields["headers"]),
        body=base64.b64decode(fields["body"]),
    )
