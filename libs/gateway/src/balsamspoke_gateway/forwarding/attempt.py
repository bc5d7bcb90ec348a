"""An attempt to run a request at one replica."""

from datetime import timedelta

from balsamspoke_types.timing import sleep
from twisted.internet.defer import CancelledError, Deferred

from ..admission.messages import PrefillEnded
from ..exceptions import (
    NO_DELAY,
    AnswerLost,
    AnswerOverdue,
    AttemptError,
    ConnectionLost,
    NotSent,
    OutcomeUnknown,
    TimedOut,
)
from ..observing import StreamResumed
from ..requests import ReplicaRequest
from .answer_buffer import AnswerBuffer, make_room_error
from .attempt_load import AttemptLoad
from .caller_pauses import CallerPauses
from .measurements import AttemptMeasurements
from .replica_signals import record_misdirection, record_signals
from .time_limit import TimeLimit

_FIRST_SERVER_ERROR = 500
# Events of a stream that are forwarded in one turn of the event loop.
MAX_EVENTS_PER_TURN = 64
# A prompt that crashes replicas does so as the answer begins. Once a stream has gone on
# for this time, its prompt is not the cause of a crash.
HARMLESS_AFTER = timedelta(milliseconds=300)


class NotRun(AttemptError):
    """The replica states that it has not run the request."""


class Attempt:
    """Send a request to one replica and forward its answer.

    Parameters
    ----------
    forwarding : Forwarding
        The request.
    choice : Choice
        The chosen replica.

    Attributes
    ----------
    status : int
        HTTP status of the replica's answer; 0 if none came.
    version : int or None
        Adapter version that the replica is asked to use.
    state_age : timedelta or None
        Age of the side process's last report when the request was sent; None if there
        was no recent report.
    """

    def __init__(self, forwarding, choice):
        self._forwarding = forwarding
        self._context = forwarding.context
        self._choice = choice
        self._record = choice.candidate.record
        load = choice.candidate.load
        self._load = AttemptLoad(
            load, forwarding.request.prompt, forwarding.stated_priority
        )
        self._measurements = AttemptMeasurements(forwarding, self._record, load)
        self._sent_at = None
        self._last_event_at = None
        self._first_event_at = None
        self._exchange = None
        self._reading = None
        self._time_limit = TimeLimit(self._context.clock)
        self._is_recalled = False
        self._is_dropped = False
        self._caller_pauses = CallerPauses()
        self._is_answer_recorded = False
        self._buffer = AnswerBuffer(
            self._context.received, self._record.id, self._drop_answer
        )
        self.status = 0
        self.version = None
        self.state_age = None

    @property
    def backlog(self):
        """Prompt tokens known to be unread at the replica when the request was sent.

        The tokens of the request itself are included.
        """
        return self._measurements.backlog

    @property
    def parts(self):
        """Parts (frozenset of str) by which the quarantine knows the request."""
        return frozenset(self._forwarding.parts)

    @property
    def is_harmless(self):
        """Whether the replica has answered for so long that the prompt is harmless."""
        first = self._first_event_at
        if first is None:
            return False
        return self._context.clock.monotonic() - first >= HARMLESS_AFTER

    def recall(self):
        """End the attempt, as its prompt crashes replicas, unless it is harmless."""
        if self.is_harmless or self._reading is None:
            return
        self._is_recalled = True
        self._reading.cancel()

    async def run(self):
        """Forward the answer to the caller.

        Raises
        ------
        AttemptError
            If the replica gives no usable answer.
        TimedOut
            If the request's deadline passes.
        """
        self._record_start()
        try:
            self._send()
            await self._receive()
            self._context.fleet.health.record_success(self._record.id)
        except (NotSent, AnswerLost, AnswerOverdue) as error:
            self._exchange.abort()
            if self._caller_pauses.is_excused(self._context.clock.monotonic()):
                raise
            self._record_failure(error)
            await self._investigate(error)
            raise
        except CancelledError:
            self._exchange.abort()
            if self._is_recalled:
                raise OutcomeUnknown("the prompt has crashed replicas") from None
            raise
        except (TimedOut, OutcomeUnknown):
            self._exchange.abort()
            raise
        finally:
            self._end()

    def _record_start(self):
        forwarding = self._forwarding
        request = forwarding.request
        self._load.begin()
        self.state_age = self._context.fleet.find_state_age(self._record)
        if request.prompt is not None:
            priority = forwarding.stated_priority
            self._measurements.record_prompt(request.prompt, priority)
            self._context.demands.record_start(self._record.id, request.prompt.target)
            self.version = forwarding.find_held_version(self._record)
        self._context.quarantine.add_attempt(self)
        self._sent_at = self._context.clock.monotonic()
        self._context.fleet.health.record_try(self._record.id, self._sent_at)

    def _send(self):
        forwarding = self._forwarding
        team = forwarding.team
        outgoing = ReplicaRequest(
            forwarding.request,
            self._record.id,
            forwarding.time_left(),
            None if team is None else team.name,
            forwarding.stated_priority,
            self.version,
            forwarding.progress.last_event_id,
            forwarding.route.is_idempotent,
        )
        self._exchange = self._context.client.send(self._record, outgoing)

    def _end(self):
        self._time_limit.close()
        self._buffer.close()
        self._reading = None
        self._load.end()
        self._context.quarantine.remove_attempt(self)
        prompt = self._forwarding.request.prompt
        if prompt is not None:
            self._context.demands.record_end(self._record.id, prompt.target)

    def _record_failure(self, error):
        now = self._context.clock.monotonic()
        is_unreachable = isinstance(error, NotSent)
        self._context.fleet.health.record_failure(self._record.id, now, is_unreachable)

    async def _investigate(self, error):
        """Find out whether the request has crashed its replica."""
        self._context.quarantine.remove_attempt(self)
        if isinstance(error, ConnectionLost) and not self.is_harmless:
            await self._context.quarantine.investigate(self._record, self._forwarding)

    def _drop_answer(self):
        """End the attempt in the next turn, as too much is held of all answers."""
        self._context.clock.call_later(NO_DELAY, self._end_reading)

    def _end_reading(self):
        if self._reading is not None:
            self._is_dropped = True
            self._reading.cancel()

    async def _receive(self):
        """Exchange with the replica; its answer may be dropped for lack of memory."""
        try:
            await self._exchange_with_replica()
        except CancelledError:
            if self._is_dropped:
                raise make_room_error() from None
            raise

    async def _exchange_with_replica(self):
        answer = await self._limit_to_attempt(self._exchange.read_answer())
        self.status = answer.status
        if answer.load is not None:
            self._context.fleet.record_server_load(self._record, answer.load)
        record_signals(self._context, self._record, answer, self._sent_at)
        if not answer.has_run:
            if answer.is_misdirected:
                has_models = self._forwarding.request.prompt is not None
                record_misdirection(self._context, self._record, has_models)
            await self._read_body()
            raise NotRun(f"the replica answered {answer.status} without running")
        if answer.is_success and not answer.is_signed:
            raise AnswerLost("the answer has no signature")
        sink = self._forwarding.sink
        if sink.is_started and answer.status != sink.status:
            raise AnswerLost(f"the replica answered {answer.status} to a resumption")
        if answer.is_success and self._forwarding.is_stream:
            await self._forward_stream(answer)
        else:
            await self._forward_whole_answer(answer)

    def _limit_to_attempt(self, waiter):
        """Limit a Deferred to the time left for the attempt."""
        forwarding = self._forwarding
        due_at = forwarding.deadline
        error = TimedOut("the time for the answer is over")
        overdue_time = forwarding.choose_overdue_time()
        if overdue_time is not None and self._sent_at + overdue_time < due_at:
            due_at = self._sent_at + overdue_time
            error = AnswerOverdue("no answer in the time for one attempt")
        return self._limit(waiter, due_at, error)

    def _limit_to_deadline(self, waiter, reason):
        """Limit a Deferred to the time left for the request."""
        return self._limit(waiter, self._forwarding.deadline, TimedOut(reason))

    def _limit(self, waiter, due_at, error):
        self._reading = self._time_limit.limit(waiter, due_at, error)
        return self._reading

    async def _read_body(self):
        while piece := await self._limit_to_attempt(self._exchange.read_piece()):
            self._buffer.add(piece)
        return self._buffer.join()

    async def _forward_whole_answer(self, answer):
        body = await self._read_body()
        if answer.status >= _FIRST_SERVER_ERROR and self._forwarding.can_repeat:
            raise AnswerLost(f"the replica answered {answer.status}")
        sink = self._forwarding.sink
        sink.start(answer.status, answer.headers, len(body))
        sink.write(body)
        sink.finish()
        self._record_success(answer)
        duration = self._context.clock.monotonic() - self._sent_at
        self._measurements.record_whole_answer(answer, duration)

    async def _forward_stream(self, answer):
        while piece := await self._read_stream_piece():
            self._buffer.add_to_stream(piece)
            await self._forward_whole_events(answer)
            self._buffer.check_event()
        if self._buffer.has_partial_event:
            raise ConnectionLost("the stream ends in the middle of an event")
        sink = self._forwarding.sink
        if not answer.is_framed and self._first_event_at is None:
            raise ConnectionLost("the connection ended before the first event")
        if not sink.is_started:
            sink.start(answer.status, answer.headers)
        sink.finish()
        self._record_success(answer)

    async def _forward_whole_events(self, answer):
        """Forward the events that are whole by now, some in each turn of the loop."""
        while events := self._buffer.take_events(MAX_EVENTS_PER_TURN):
            if self._first_event_at is None:
                self._check_first_event(events[0])
                await self._register_version()
            self._forward_events(answer, events)
            if self._forwarding.sink.is_full:
                await self._wait_for_caller()
            if len(events) == MAX_EVENTS_PER_TURN:
                turn = sleep(self._context.clock, NO_DELAY)
                await self._limit_to_deadline(turn, "the time for the stream is over")

    def _check_first_event(self, event):
        """Raise AnswerLost if what answers a resumption is no event of the stream."""
        has_number = event.id is not None and event.id.number is not None
        if self._forwarding.sink.is_started and not has_number:
            raise AnswerLost("the answer to a resumption begins with no event id")

    async def _register_version(self):
        """Register the replica's software version; ``recall`` also ends this wait."""
        registering = self._forwarding.register_version(self._record)
        self._reading = Deferred.fromCoroutine(registering)
        await self._reading

    async def _wait_for_caller(self):
        """Leave the rest of the answer unread until the caller has read on."""
        clock = self._context.clock
        began_at = clock.monotonic()
        waiter = self._forwarding.sink.wait_for_room()
        await self._limit_to_deadline(waiter, "the caller reads too slowly")
        self._caller_pauses.record(began_at, clock.monotonic())

    def _record_success(self, answer):
        # The end of a connection may be that of the replica.
        if answer.is_success and answer.is_framed:
            self._record_answered()

    def _read_stream_piece(self):
        reading = self._exchange.read_piece()
        if self._first_event_at is None:
            return self._limit_to_attempt(reading)
        return self._limit_to_deadline(reading, "the time for the stream is over")

    def _forward_events(self, answer, events):
        progress = self._forwarding.progress
        new_events = [
            each for each in events if self._is_new(each, progress.last_event_id)
        ]
        if not new_events:
            return
        now = self._context.clock.monotonic()
        if self._first_event_at is None:
            self._record_first_event()
        else:
            self._measurements.record_interval(now - self._last_event_at)
        self._last_event_at = now
        sink = self._forwarding.sink
        if self.is_harmless:
            self._record_answered()
        if not sink.is_started:
            progress.first_event_at = self._context.clock.monotonic()
            sink.start(answer.status, answer.headers)
        sink.write(b"".join(each.data for each in new_events))
        if new_events[-1].id is not None:
            progress.last_event_id = new_events[-1].id

    @staticmethod
    def _is_new(event, last_event_id):
        if event.id is None or last_event_id is None:
            return True
        return event.id.is_after(last_event_id)

    def _report_resumption(self):
        last_event_id = self._forwarding.progress.last_event_id
        if last_event_id is None:
            return
        resumed = StreamResumed(
            self._forwarding.request.id,
            self._forwarding.resumed_id,
            self._record.id,
            self._record.software_version,
            last_event_id.text,
        )
        self._context.observer.observe(resumed)

    def _record_answered(self):
        """Record once that the replica has answered the request without a crash."""
        if not self._is_answer_recorded:
            self._is_answer_recorded = True
            self._context.quarantine.record_answered(self._forwarding.parts)

    def _record_first_event(self):
        self._first_event_at = self._context.clock.monotonic()
        self._forwarding.record_first_event(self._record, self.version)
        self._report_resumption()
        if not self._load.unread_tokens:
            return
        self._measurements.record_first_event(self._first_event_at - self._sent_at)
        prompt = self._forwarding.request.prompt
        if self._choice.admission_number is not None:
            self._context.peers.send(
                self._record.ip, PrefillEnded(self._choice.admission_number)
            )
        self._load.release_prompt()
        self._context.prefix_tracker.record_read(prompt, self._record.id)
