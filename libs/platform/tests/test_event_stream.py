import unittest

from balsamspoke_fakes.properties import examples
from balsamspoke_platform import EventStreamError, EventStreamParser
from balsamspoke_platform.event_stream import MAX_EVENT_BYTES
from hypothesis import given
from hypothesis import strategies as st

EVENTS = st.lists(st.binary(min_size=1, max_size=20).map(lambda b: b.hex().encode()))


class EventStreamParserTests(unittest.TestCase):
    @examples(100)
    @given(
        events=EVENTS,
        line_end=st.sampled_from([b"\n", b"\r\n"]),
        cuts=st.lists(st.integers(1, 30)),
        ends=st.booleans(),
    )
    def test_events_come_whole_however_the_bytes_are_cut(
        self, events, line_end, cuts, ends
    ):
        blank = line_end + line_end
        stream = b": comment" + blank + b"event: x" + line_end
        stream += b"".join(b"data: " + event + blank for event in events)
        if ends:
            stream += b"data: [DONE]" + blank + b"data: late" + blank
        parser, found = EventStreamParser(), []
        for cut in [*cuts, len(stream)]:
            found += parser.feed(stream[:cut])
            stream = stream[cut:]
        self.assertEqual(found, events)
        self.assertEqual(parser.done, ends)

    def test_event_over_the_size_limit_is_rejected(self):
        parser = EventStreamParser()
        parser.feed(b"data: ")
        with self.assertRaises(EventStreamError):
            parser.feed(bytes(MAX_EVENT_BYTES))
