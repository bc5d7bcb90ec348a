import random
import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_fakes.properties import examples
from balsamspoke_platform import delete_settled, write_settled
from balsamspoke_types.exceptions import (
    StoreUnavailable,
    VersionConflict,
    WriteOutcomeUnknown,
)
from balsamspoke_types.objects import Kind
from hypothesis import given
from hypothesis import strategies as st


class Writer:
    """Appends marks to one object, each once, with a share of the replies lost."""

    def __init__(self, state, time, seed, lost_reply_rate):
        self.store = FakeStore(state, VirtualClock(time), random.Random(seed))
        self.store.lost_reply_rate = lost_reply_rate
        self.failures = []

    def append(self, mark):
        def change(current):
            value = current.value if current else b""
            return None if mark in value else value + mark

        done = write_settled(self.store, Kind.TEAM, "a", change)
        done.addErrback(lambda failure: self.failures.append((mark, failure.value)))


class SettledWriteTests(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.state = StoreState()
        self.store = FakeStore(self.state, VirtualClock(self.time))

    def get_result(self, deferred):
        results = []
        deferred.addBoth(results.append)
        self.time.advance(timedelta(minutes=1))
        if hasattr(results[0], "raiseException"):
            results[0].raiseException()
        return results[0]

    def lose_replies(self, count):
        """Lose the replies to the next ``count`` calls."""
        self.store.is_lost = lambda what, left=[True] * count: bool(left) and left.pop()

    @examples(60)
    @given(
        seed=st.integers(0, 2**32),
        lost=st.floats(0, 0.5),
        steps=st.lists(st.tuples(st.integers(0, 2), st.integers(0, 20)), max_size=12),
    )
    def test_each_mark_is_written_once_or_the_writer_is_told(self, seed, lost, steps):
        time, state = VirtualTime(), StoreState()
        writers = [Writer(state, time, seed + number, lost) for number in range(3)]
        marks = []
        for number, (writer, pause) in enumerate(steps):
            marks.append(b"<%d>" % number)
            writers[writer].append(marks[-1])
            time.advance(timedelta(milliseconds=pause))
        time.advance(timedelta(minutes=5))
        stored = state.objects.get((Kind.TEAM, "a"))
        value = stored.value if stored else b""
        failed = dict(failure for writer in writers for failure in writer.failures)
        for mark in marks:
            if mark not in failed:
                self.assertEqual(value.count(mark), 1)
            elif not isinstance(failed[mark], WriteOutcomeUnknown):
                self.assertEqual(value.count(mark), 0)

    def test_lost_write_that_cannot_be_read_back_has_an_unknown_outcome(self):
        def change(current):
            return b"value" if current is None else None

        done = write_settled(self.store, Kind.TEAM, "a", change, None)
        self.lose_replies(99)
        with self.assertRaises(WriteOutcomeUnknown):
            self.get_result(done)

    def test_outage_before_the_first_write_is_reported_as_nothing_written(self):
        self.state.available = False
        with self.assertRaises(StoreUnavailable):
            self.get_result(
                write_settled(self.store, Kind.TEAM, "a", lambda _: b"", None)
            )

    def test_stale_read_is_replaced_by_the_object_of_the_conflict(self):
        self.state.put(Kind.TEAM, "a", b"one")
        self.state.put(Kind.TEAM, "a", b"two")
        self.store.stale_reads = 1

        def change(current):
            return None if b"+" in current.value else current.value + b"+"

        written = self.get_result(write_settled(self.store, Kind.TEAM, "a", change))
        self.assertEqual(written.value, b"two+")

    def test_deletion_with_a_lost_reply_is_repeated(self):
        stored = self.state.put(Kind.TEAM, "a", b"one")
        self.lose_replies(1)
        deleted = self.get_result(
            delete_settled(self.store, Kind.TEAM, "a", stored.version)
        )
        self.assertIsNone(deleted)
        self.assertEqual(self.state.objects, {})

    def test_deletion_of_a_changed_object_conflicts(self):
        stored = self.state.put(Kind.TEAM, "a", b"one")
        changed = self.state.put(Kind.TEAM, "a", b"two")
        with self.assertRaises(VersionConflict) as caught:
            self.get_result(delete_settled(self.store, Kind.TEAM, "a", stored.version))
        self.assertEqual(caught.exception.current, changed)
