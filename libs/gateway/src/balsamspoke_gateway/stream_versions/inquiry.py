"""Questions to the holders of a stream's origin."""

from dataclasses import dataclass
from datetime import timedelta

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import Deferred

from ..exceptions import AnswerOverdue
from .messages import StreamOriginQuery
from .records import StreamOrigin

# Time in which a reply arrives, also from another region.
REPLY_TIMEOUT = timedelta(milliseconds=100)


@dataclass(frozen=True, slots=True)
class InquiryResult:
    """What holders have told of a stream.

    Attributes
    ----------
    origin : StreamOrigin or None
        Where it has started; None if none of them knows.
    is_complete : bool
        Whether each of them has answered, unless one knew.
    """

    origin: StreamOrigin | None
    is_complete: bool


class _Question:
    __slots__ = ("unanswered", "waiter")

    def __init__(self, waiter, unanswered):
        self.waiter = waiter
        self.unanswered = unanswered


class StreamOriginInquiry:
    """Ask other processes where a stream has started.

    Parameters
    ----------
    clock : Clock
        Source of the time limit.
    send : callable
        Sends a message to the process at an IP address.
    """

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._questions = {}
        self._last_number = 0

    def __len__(self):
        return len(self._questions)

    async def ask(self, keys, holders):
        """Return an InquiryResult with the StreamOrigin that the first holder tells.

        Parameters
        ----------
        keys : StreamKeys
            Keys of the stream.
        holders : list of str
            IP addresses of the processes to ask.
        """
        if not holders:
            return InquiryResult(None, is_complete=False)
        self._last_number += 1
        number = self._last_number
        waiter = Deferred()
        self._questions[number] = _Question(waiter, len(holders))
        for ip in holders:
            query = StreamOriginQuery(number, keys.request, keys.content)
            self._send(ip, query)
        try:
            return await add_timeout(
                waiter, self._clock, REPLY_TIMEOUT, AnswerOverdue()
            )
        except AnswerOverdue:
            return InquiryResult(None, is_complete=False)
        finally:
            self._questions.pop(number, None)

    def receive(self, reply):
        """Process a StreamOriginReply."""
        question = self._questions.get(reply.number)
        if question is None:
            return
        question.unanswered -= 1
        is_known = reply.service is not None and reply.version is not None
        if not is_known and question.unanswered:
            return
        del self._questions[reply.number]
        origin = StreamOrigin(reply.service, reply.version) if is_known else None
        question.waiter.callback(InquiryResult(origin, is_complete=True))
