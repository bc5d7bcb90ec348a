"""Which software version began a stream, known wherever its caller resumes it."""

from .coordinator import StreamVersionCoordinator
from .messages import StreamOriginQuery, StreamOriginReply, StreamStarted
from .records import StreamOrigin

__all__ = [
    "StreamOrigin",
    "StreamOriginQuery",
    "StreamOriginReply",
    "StreamStarted",
    "StreamVersionCoordinator",
]
