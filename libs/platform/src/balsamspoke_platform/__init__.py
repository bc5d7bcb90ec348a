"""HTTP clients of the platform and of the backend servers."""

from balsamspoke_transport.clock import ReactorClock

from .eager_port import listen_eagerly
from .engine import HttpEngine
from .event_stream import EventStreamParser
from .exceptions import EventStreamError, HttpFailure, NotSent, ReplyLost
from .http import HttpClient, HttpReply, build_agent, read_body
from .plain_service import HttpPlainService
from .settled_write import delete_settled, write_settled
from .store import HttpObjectStore
from .vm_list import HttpVmList

__all__ = [
    "EventStreamError",
    "EventStreamParser",
    "HttpClient",
    "HttpEngine",
    "HttpFailure",
    "HttpObjectStore",
    "HttpPlainService",
    "HttpReply",
    "HttpVmList",
    "NotSent",
    "ReactorClock",
    "ReplyLost",
    "build_agent",
    "delete_settled",
    "listen_eagerly",
    "read_body",
    "write_settled",
]
