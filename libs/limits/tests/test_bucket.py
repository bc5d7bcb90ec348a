import unittest
from datetime import timedelta

from balsamspoke_fakes.checkers import Admission, LimitChange, find_excess
from balsamspoke_fakes.properties import examples
from balsamspoke_limits.bucket import MICRO, Bucket
from hypothesis import given
from hypothesis import strategies as st

RATE = 10
BURST = 100

STEPS = st.lists(
    st.tuples(
        st.sampled_from(["take", "settle"]),
        st.integers(0, 3_000_000),
        st.integers(1, BURST),
        st.integers(0, 30),
    ),
    max_size=60,
)


class ReplayedBucket:
    """Reference implementation that replays all takes with the tokens really used."""

    def __init__(self):
        self.takes = []

    def find_level(self, now):
        level, last = BURST * MICRO, 0
        for at, used in self.takes:
            level = min(BURST * MICRO, level + RATE * (at - last)) - used
            last = at
        return min(BURST * MICRO, level + RATE * (now - last))


class BucketTest(unittest.TestCase):
    @given(STEPS)
    @examples(300)
    def test_equals_a_replay_of_what_was_used(self, steps):
        bucket = Bucket(RATE, BURST * MICRO, BURST * MICRO, 0)
        replayed = ReplayedBucket()
        now, held, admissions = 0, [], []
        for action, wait, amount, choice in steps:
            now += wait
            if action == "take":
                hold = bucket.take(amount * MICRO, now)
                if hold is not None:
                    held.append((hold, len(replayed.takes)))
                    replayed.takes.append((now, hold.amount))
            elif held:
                hold, index = held.pop(choice % len(held))
                unused = min(hold.amount, amount * MICRO)
                bucket.give_back(hold, unused, now)
                at, taken = replayed.takes[index]
                replayed.takes[index] = (at, taken - unused)
            bucket.refill(now)
            self.assertEqual(bucket.level, replayed.find_level(now))
            self.assertEqual(bucket.open_holds, len(held))
        for at, used in replayed.takes:
            admissions.append(Admission(timedelta(microseconds=at), used / MICRO))
        changes = [LimitChange(timedelta(0), RATE, BURST)]
        self.assertIsNone(find_excess(admissions, changes))

    def test_refund_that_would_have_overflowed_is_not_credited(self):
        bucket = Bucket(RATE, BURST * MICRO, BURST * MICRO, 0)
        hold = bucket.take(50 * MICRO, 0)
        bucket.refill(5 * MICRO)
        bucket.take(100 * MICRO, 5 * MICRO)
        bucket.give_back(hold, 50 * MICRO, 5 * MICRO)
        self.assertEqual(bucket.level, 0)

    def test_tokens_above_a_lowered_capacity_are_lost(self):
        bucket = Bucket(RATE, BURST * MICRO, BURST * MICRO, 0)
        bucket.resize(1, 20 * MICRO, 0)
        self.assertEqual(bucket.level, 20 * MICRO)
        bucket.resize(RATE, BURST * MICRO, 0)
        self.assertEqual(bucket.level, 20 * MICRO)

    def test_hold_from_before_a_lowered_capacity_gets_no_refund(self):
        bucket = Bucket(RATE, BURST * MICRO, BURST * MICRO, 0)
        hold = bucket.take(50 * MICRO, 0)
        bucket.resize(RATE, 20 * MICRO, 0)
        bucket.resize(RATE, BURST * MICRO, 0)
        bucket.give_back(hold, 50 * MICRO, 0)
        self.assertEqual(bucket.level, 20 * MICRO)
