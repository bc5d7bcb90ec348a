import unittest

from balsamspoke_fakes import VirtualClock
from balsamspoke_gateway.exceptions import OutcomeUnknown, TimedOut
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
