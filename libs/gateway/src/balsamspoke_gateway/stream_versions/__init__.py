"""Which software version began a stream, known wherever its caller resumes it."""

from .coordinator import StreamVersionCoordinator
from .holder import StreamOriginHolder
from .lifetime import MAX_LIFETIME
from .messages import StreamOriginQuery, StreamOriginReply, StreamStarted
from .records import StreamKeys, StreamOrigin, make_stream_keys
from .register import (
    RegisterConflict,
    ServiceVersions,
    StoredRegister,
    VersionRegister,
    VersionRegisterStore,
)

__all__ = [
    "MAX_LIFETIME",
    "RegisterConflict",
    "ServiceVersions",
    "StoredRegister",
    "StreamKeys",
    "StreamOrigin",
    "StreamOriginHolder",
    "StreamOriginQuery",
    "StreamOriginReply",
    "StreamStarted",
    "StreamVersionCoordinator",
    "VersionRegister",
    "VersionRegisterStore",
    "make_stream_keys",
]
