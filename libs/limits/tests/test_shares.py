import random
import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_limits import BudgetSettings, Limits
from balsamspoke_limits.ledger import GroupBuckets
from balsamspoke_limits.reclaiming import Reclaimer
from balsamspoke_limits.records import GroupRecord
from balsamspoke_limits.shares import GroupShare
from balsamspoke_types.exceptions import WriteOutcomeUnknown
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.objects import Kind
from twisted.internet.defer import fail

PROCESS = ProcessId("vm-0", 1)
SETTINGS = BudgetSettings()
MICROS = 1_000_000


class LossyStore(FakeStore):
    """Can lose updates before they take effect, with an unknown outcome."""

    loses_writes = False

    def update(self, kind, name, value, version):
        if self.loses_writes:
            return fail(WriteOutcomeUnknown("request lost"))
        return super().update(kind, name, value, version)


class GroupShareTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.state = StoreState()
        self.store = LossyStore(self.state, self.clock)
        self.wanted = 40
        self.put(GroupRecord({PROCESS: 40}))
        self.share = GroupShare(
            0,
            PROCESS,
            self.clock,
            random.Random(1),
            self.store,
            SETTINGS,
            lambda share, record: record.with_units(PROCESS, self.wanted),
            Reclaimer(PROCESS, SETTINGS),
        )
        self.sync()
        # This sync reads once more, so that the next call is a write.
        self.sync()
        self.assertEqual(self.share.buckets.units, 40)

    def put(self, record):
        self.state.put(Kind.BUDGET, "group-0", record.encode())

    def sync(self):
        self.share.sync(self.clock.monotonic(), is_forced=True)
        self.time.advance(timedelta(seconds=3))

    def test_gained_units_are_not_used_while_the_outcome_is_unknown(self):
        self.store.loses_writes = True
        self.wanted = 60
        self.sync()
        self.assertEqual(self.share.buckets.units, 40)
        self.store.loses_writes = False
        self.sync()
        self.assertEqual(self.share.buckets.units, 60)

    def test_released_units_are_not_used_while_the_outcome_is_unknown(self):
        self.wanted = 20
        self.store.lost_reply_rate = 1.0
        self.sync()
        self.assertEqual(self.share.buckets.units, 20)
        self.store.lost_reply_rate = 0.0
        self.wanted = 40
        self.sync()
        self.assertEqual(self.share.buckets.units, 40)

    def test_units_are_not_used_once_their_release_is_sent(self):
        self.wanted = 20
        self.share.sync(self.clock.monotonic(), is_forced=True)
        self.assertEqual(self.share.buckets.units, 20)

    def test_read_alone_changes_no_units(self):
        self.wanted = 60
        self.put(GroupRecord({PROCESS: 60}))
        self.store.reachable = False
        read = self.state.objects[Kind.BUDGET, "group-0"]
        self.share._handle_read(read)
        self.assertEqual(self.share.buckets.units, 40)

    def test_malformed_record_is_read_again_with_backoff(self):
        self.state.put(Kind.BUDGET, "group-0", b"[]")
        calls = self.store.calls
        self.wanted = 60
        for _ in range(100):
            self.share.sync(self.clock.monotonic())
            self.time.advance(timedelta(milliseconds=100))
        self.assertLess(self.store.calls - calls, 20)
        self.assertEqual(self.share.buckets.units, 40)


class GroupBucketsTest(unittest.TestCase):
    def test_grants_used_late_and_at_once_stay_within_the_burst(self):
        limits = Limits(100, 1000)
        buckets = GroupBuckets(120, timedelta(milliseconds=50))
        buckets.set_units(120, 0)
        late = buckets.get_bucket("team", limits, 100 * MICROS).level
        bucket = buckets.get_bucket("team", limits, 100 * MICROS)
        bucket.take(late, 100 * MICROS)
        bucket.refill(100 * MICROS + 50_000)
        self.assertLessEqual(late + bucket.level, 1000 * MICROS)

    def test_claimed_units_start_empty(self):
        buckets = GroupBuckets(120, timedelta(milliseconds=50))
        buckets.set_units(60, 0)
        limits = Limits(100, 1000)
        before = buckets.get_bucket("team", limits, 100 * MICROS).level
        buckets.set_units(120, 100 * MICROS)
        after = buckets.get_bucket("team", limits, 100 * MICROS).level
        self.assertEqual(after, before)
        fresh = buckets.get_bucket("other", limits, 100 * MICROS).level
        self.assertEqual(fresh, before)
