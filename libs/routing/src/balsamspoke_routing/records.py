"""Idempotency records, as the object API holds them."""

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
    """What is known of the record's attempt."""

    PENDING = "pending"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    ANSWERED = "answered"


@dataclass(frozen=True, slots=True)
class IdempotencyRecord:
    """What is kept of a request with an idempotency key.

    Attributes
    ----------
    digest : str
        Digest of the request, without its id.
    attempt : AttemptId
        The only attempt that may be handed over.
    replica : ProcessId
        The only side process that the attempt is sent to.
    state : RecordState
        What became of the attempt.
    operation : str
        Names the write; never used again.
    written : datetime
        Wall time of the write.
    response : ServiceResponse or None
        The answer, if it was short enough to keep.
    """

    digest: str
    attempt: AttemptId
    replica: ProcessId
    state: RecordState
    operation: str
    written: datetime
    response: ServiceResponse | None = None

    def encode(self):
        """Return the bytes that the object API holds."""
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
        """Read back what ``encode`` gave.

        Raises
        ------
        RecordMalformed
            If the bytes aren't a record.
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
            raise RecordMalformed("not an idempotency record") from error


def name_record(team, idempotency_key):
    """Return the name of the record of a team's idempotency key."""
    digest = hashlib.sha256()
    for part in (team, idempotency_key):
        encoded = part.encode()
        digest.update(len(encoded).to_bytes(8, "big"))
        digest.update(encoded)
    return digest.hexdigest()


def digest_request(request):
    """Return a digest of what a CallRequest asks for.

    Headers are left out but for the content type: a repeat may differ in others.
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
