import gc
import sys
import unittest

from balsamspoke_fakes import VirtualClock
from balsamspoke_gateway.buffering import ReceiveBudget
from balsamspoke_gateway.exceptions import AnswerLost, OutcomeUnknown, TimedOut
from balsamspoke_gateway.forwarding.attempt import MAX_EVENTS_PER_TURN
from balsamspoke_gateway.forwarding.streams import EventSplitter

from .scripted_replicas import Answer
from .world import World, make_record, seconds

# Time between two pieces of an answer that never pauses.
INTERVAL_SECONDS = 0.005


class BusyClock(VirtualClock):
    """A clock whose timers run after the sockets of a turn, which bring a piece each.

    Parameters
    ----------
    clock : VirtualClock
        The clock that it replaces.
    """

    def __init__(self, clock):
        super().__init__(clock.time)

    def call_later(self, delay, function, *arguments):
        late = delay + seconds(2 * INTERVAL_SECONDS)
        return super().call_later(late, function, *arguments)


class EndlessAnswerTests(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.world.add(make_record("a"), make_record("e", "engines", 2))
        self.world.tell_state(make_record("e", "engines", 2), {})
        self.world.context.clock = BusyClock(self.world.clock)

    def send_endless(self, route, piece, duration):
        """Send a request, and let its answer go on; return its sink."""
        endless = Answer(pieces=(), goes_silent=True)
        self.world.client.script("a", endless)
        self.world.client.script("e", endless)
        sink, _ = self.world.send(route, caller_timeout=1)
        exchange = self.world.client.exchanges[-1]
        for _ in range(int(duration / INTERVAL_SECONDS)):
            if exchange.is_aborted:
                break
            exchange.supply(piece)
            self.world.pass_time(INTERVAL_SECONDS)
        return sink

    # Each piece cancelled the timer of the wait for it, so none ever ran.
    def test_an_answer_that_never_pauses_ends_at_its_time(self):
        sink = self.send_endless("unsafe", b"x", 1.1)
        self.assertIsInstance(sink.failure, TimedOut | OutcomeUnknown)
        sink = self.send_endless("stream", b"id: 1\ndata: x\n\n", 1.1)
        self.assertTrue(sink.is_broken)

    def test_an_answer_that_never_pauses_goes_on_until_then(self):
        sink = self.send_endless("stream", b"id: 1\ndata: x\n\n", 0.9)
        self.assertFalse(sink.is_ended)


class SumOfAnswersTests(unittest.TestCase):
    """Unfinished answers of which each one is within its bound."""

    LIMIT_BYTES = 10_000
    PIECE_BYTES = 1_000

    def setUp(self):
        self.world = World()
        self.received = ReceiveBudget(self.LIMIT_BYTES)
        self.world.context.received = self.received
        self.world.add(make_record("a"), make_record("e", "engines", 2))
        self.world.tell_state(make_record("e", "engines", 2), {})

    def open(self, route, replica_id, count, **others):
        """Send requests that a replica answers without end; return their exchanges."""
        endless = Answer(pieces=(), goes_silent=True, **others)
        self.world.client.script(replica_id, *[endless] * count)
        for _ in range(count):
            self.world.send(route, caller_timeout=4)
        return self.world.client.exchanges[-count:]

    def supply(self, exchanges, count):
        """Let all exchanges go on by a number of pieces, as far as they are read."""
        for _ in range(count):
            for exchange in exchanges:
                if not exchange.is_aborted:
                    exchange.supply(b"x" * self.PIECE_BYTES)
                self.assertLessEqual(self.received.held_bytes, self.LIMIT_BYTES)
            self.world.pass_time(0.01)

    # 590 requests at three replicas took an entry process from 43 MB to 1,089 MB.
    def test_endless_answers_stay_within_the_memory_for_all_of_them(self):
        for route, replica_id, others in (
            ("unsafe", "a", {}),
            ("safe", "a", {"status": 500}),
            ("unsafe", "a", {"status": 503, "has_run": False}),
            ("stream", "e", {}),
            ("stream", "e", {"status": 500}),
        ):
            with self.subTest(route=route, **others):
                self.setUp()
                exchanges = self.open(route, replica_id, 50, **others)
                self.supply(exchanges, 5)
                read_on = [each for each in exchanges if not each.is_aborted]
                self.assertLessEqual(len(read_on), 10)
                self.world.pass_time(5)
                self.assertEqual(self.received.held_bytes, 0)

    def test_an_answer_is_dropped_of_the_replica_of_which_most_is_held(self):
        self.world.add(make_record("b", number=3))
        for name in "ab":
            endless = Answer(pieces=(), goes_silent=True)
            self.world.client.script(name, *[endless] * 20)
        sinks = [self.world.send("unsafe", caller_timeout=4)[0] for _ in range(20)]
        replicas = [replica_id for replica_id, _ in self.world.client.sent]
        exchanges = self.world.client.exchanges
        number = replicas.index("a")
        exchanges[number].supply(b"x" * 3_000)
        faulty = [
            exchange
            for replica_id, exchange in zip(replicas, exchanges, strict=True)
            if replica_id == "b"
        ]
        self.supply(faulty, 3)
        self.assertTrue(any(each.is_aborted for each in faulty))
        exchanges[number].answer.goes_silent = False
        exchanges[number].supply(b"x")
        self.assertEqual(sinks[number].status, 200)

    def test_an_answer_that_is_dropped_tells_that_it_may_have_run(self):
        sink, _ = self.world.send("unsafe", caller_timeout=4)
        self.world.client.script("a", Answer(pieces=(), goes_silent=True))
        sink, _ = self.world.send("unsafe", caller_timeout=4)
        self.world.client.exchanges[-1].supply(b"x" * (self.LIMIT_BYTES + 1))
        self.assertIsInstance(sink.failure, OutcomeUnknown)

    # What an error's traceback refers to stayed until the garbage collector came by.
    def test_nothing_is_kept_of_an_answer_that_has_failed(self):
        gc.disable()
        self.addCleanup(gc.enable)
        (exchange,) = self.open("unsafe", "a", 1)
        piece = b"x" * 500
        before = sys.getrefcount(piece)
        exchange.supply(piece)
        exchange.supply(b"y")
        exchange.lose(AnswerLost("connection lost"))
        self.assertEqual(sys.getrefcount(piece), before)
        (exchange,) = self.open("stream", "e", 1)
        exchange.supply(piece)
        exchange.lose(AnswerLost("connection lost"))
        splitters = [
            each for each in gc.get_objects() if isinstance(each, EventSplitter)
        ]
        self.assertEqual(sum(each.held_bytes for each in splitters), 0)

    def test_a_caller_that_leaves_as_its_answer_is_dropped_is_not_served_again(self):
        endless = Answer(pieces=(), goes_silent=True)
        self.world.client.script("a", endless, endless)
        _, first = self.world.send("safe", caller_timeout=4)
        self.world.send("safe", caller_timeout=4)
        exchanges = self.world.client.exchanges[-2:]
        exchanges[0].supply(b"x" * 9_000)
        exchanges[1].supply(b"x" * 2_000)
        first.cancel()
        self.world.pass_time(1)
        self.assertTrue(exchanges[0].is_aborted)
        self.assertEqual(len(self.world.client.sent), 2)


class SmallEventTests(unittest.TestCase):
    # Thousands of events of two bytes were handled before anything else could run.
    def test_the_events_of_one_piece_are_forwarded_over_several_turns(self):
        world = World()
        world.add(make_record("e", "engines", 2))
        world.tell_state(make_record("e", "engines", 2), {})
        count = 5 * MAX_EVENTS_PER_TURN
        world.client.script("e", Answer(pieces=[b"\n\n" * count]))
        sink, _ = world.send("stream")
        self.assertEqual(sink.body, b"\n\n" * MAX_EVENTS_PER_TURN)
        world.pass_time(0)
        self.assertEqual(sink.body, b"\n\n" * count)
        self.assertTrue(sink.is_finished)

    # The whole buffer was searched and copied for each byte of an event.
    def test_the_bytes_of_an_event_are_searched_once(self):
        splitter = EventSplitter()
        searched_bytes = 0
        size = 5000
        for number in range(size):
            splitter.add(b"x")
            searched_bytes += number + 1 - splitter._searched
            self.assertEqual(splitter.take(1), [])
        self.assertLess(searched_bytes, 4 * size)


if __name__ == "__main__":
    unittest.main()
