"""One attempt of a request at one replica."""

from balsamspoke_types.timing import add_timeout
from twisted.internet.defer import CancelledError

from .exceptions import (
    NO_DELAY,
    AnswerLost,
    AnswerOverdue,
    AttemptError,
    NotSent,
    OutcomeUnknown,
    TimedOut,
)
from .requests import ReplicaRequest
from .streams import EventSplitter

_FIRST_SERVER_ERROR = 500


class NotRun(AttemptError):
    """The replica states that it has not run the request."""


class Attempt:
    """Send a request to one replica and pass its answer on.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    choice : Choice
        The replica.
    """

    def __init__(self, forwarding, choice):
        self._forwarding = forwarding
        self._context = forwarding.context
        self._record = choice.candidate.record
        self._load = choice.candidate.load
        self._unread = 0
        self._backlog = 0
        self._sent_at = None
        self._exchange = None
        self.status = 0
        self.version = None
        self.state_age = None

    @property
    def backlog(self):
        """Prompt tokens that were known to be unread at the replica."""
        return self._backlog

    async def run(self):
        """Pass the answer on; fail with an AttemptError if there is none."""
        self._begin()
        try:
            await self._exchange_messages()
            self._context.fleet.health.note_success(self._record.id)
        except (NotSent, AnswerLost, AnswerOverdue) as error:
            self._exchange.abort()
            self._note_failure(error)
            raise
        except (CancelledError, TimedOut, OutcomeUnknown):
            self._exchange.abort()
            raise
        finally:
            self._end()

    def _begin(self):
        forwarding = self._forwarding
        request = forwarding.request
        self._load.in_flight += 1
        self.state_age = self._context.fleet.find_state_age(self._record)
        if request.prompt is not None:
            self._unread = request.prompt.tokens
            self._load.unread_tokens += self._unread
            self._backlog = self._load.unread_tokens + self._load.others_unread_tokens
            self._context.demands.note_begin(self._record.id, request.prompt.target)
            self.version = forwarding.find_version(self._record)
        self._sent_at = self._context.clock.monotonic()
        self._context.fleet.health.note_try(self._record.id, self._sent_at)
        team = forwarding.team
        priority = forwarding.route.priority
        if team is not None and team.priority is not None:
            priority = team.priority
        outgoing = ReplicaRequest(
            request,
            self._record.id,
            forwarding.time_left(),
            None if team is None else team.name,
            priority if forwarding.is_stream else None,
            self.version,
            forwarding.progress.last_event,
            forwarding.route.is_idempotent,
        )
        self._exchange = self._context.client.send(self._record, outgoing)

    def _end(self):
        self._load.in_flight -= 1
        self._note_read()
        prompt = self._forwarding.request.prompt
        if prompt is not None:
            self._context.demands.note_end(self._record.id, prompt.target)

    def _note_read(self):
        """Take note that the prompt has been read, or will not be."""
        self._load.unread_tokens -= self._unread
        self._unread = 0

    def _note_failure(self, error):
        now = self._context.clock.monotonic()
        is_certain = isinstance(error, NotSent)
        self._context.fleet.health.note_failure(self._record.id, now, is_certain)

    async def _exchange_messages(self):
        answer = await self._wait(self._exchange.read_answer())
        self.status = answer.status
        if answer.load is not None:
            self._context.fleet.note_statement(self._record, answer.load)
        if not answer.has_run:
            if answer.is_misdirected:
                self._context.fleet.note_misdirected(self._record)
            await self._read_body()
            raise NotRun(f"the replica answered {answer.status} without running")
        if answer.is_success and not answer.is_signed:
            raise AnswerLost("the answer has no signature")
        if answer.is_success and self._forwarding.is_stream:
            await self._pass_stream(answer)
        else:
            await self._pass_whole(answer)

    def _wait(self, waiter):
        """Limit a Deferred by the time that this attempt may take."""
        forwarding = self._forwarding
        now = self._context.clock.monotonic()
        patience = forwarding.choose_attempt_time() - (now - self._sent_at)
        if patience < forwarding.time_left():
            error = AnswerOverdue("no answer in the time for one attempt")
        else:
            patience = forwarding.time_left()
            error = TimedOut("the time for the answer is over")
        return add_timeout(waiter, self._context.clock, patience, error)

    async def _read_body(self):
        pieces = []
        while True:
            piece = await self._wait(self._exchange.read_piece())
            if not piece:
                return b"".join(pieces)
            pieces.append(piece)

    async def _pass_whole(self, answer):
        body = await self._read_body()
        if answer.status >= _FIRST_SERVER_ERROR and self._forwarding.can_repeat:
            raise AnswerLost(f"the replica answered {answer.status}")
        sink = self._forwarding.sink
        if sink.is_started:
            raise AnswerLost(f"the replica answered {answer.status} to a resumption")
        sink.start(answer.status, answer.headers, len(body))
        sink.write(body)
        sink.finish()

    async def _pass_stream(self, answer):
        splitter = EventSplitter()
        while True:
            piece = await self._read_stream_piece()
            if not piece:
                break
            self._pass_events(answer, splitter.add(piece))
        sink = self._forwarding.sink
        if splitter.has_rest:
            raise AnswerLost("the stream ends in the middle of an event")
        if not sink.is_started:
            sink.start(answer.status, answer.headers)
        sink.finish()

    def _read_stream_piece(self):
        reading = self._exchange.read_piece()
        if self._unread:
            return self._wait(reading)
        left = max(NO_DELAY, self._forwarding.time_left())
        error = TimedOut("the time for the stream is over")
        return add_timeout(reading, self._context.clock, left, error)

    def _pass_events(self, answer, events):
        progress = self._forwarding.progress
        fresh = [each for each in events if self._is_fresh(each, progress.last_event)]
        if not fresh:
            return
        if self._unread:
            self._note_first_event()
        sink = self._forwarding.sink
        if not sink.is_started:
            progress.first_event_at = self._context.clock.monotonic()
            sink.start(answer.status, answer.headers)
        sink.write(b"".join(each.data for each in fresh))
        if fresh[-1].id is not None:
            progress.last_event = fresh[-1].id

    @staticmethod
    def _is_fresh(event, last_event):
        return event.id is None or last_event is None or event.id > last_event

    def _note_first_event(self):
        waited = self._context.clock.monotonic() - self._sent_at
        self._load.learn(self._backlog, waited)
        self._note_read()
        prompt = self._forwarding.request.prompt
        self._context.read_parts.note(prompt, self._record.id)
