import random
import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_limits import BudgetSettings, Limits
from balsamspoke_limits.ledger import Ledger
from balsamspoke_limits.reclaiming import Reclaimer
from balsamspoke_limits.records import GroupRecord
from balsamspoke_limits.shares import GroupShare
from balsamspoke_types.exceptions import WriteOutcomeUnknown
from balsamspoke_types.identifiers import ProcessId
from balsamspoke_types.objects import Kind
from twisted.internet.defer import fail

HERE = ProcessId("vm-0", 1)
SETTINGS = BudgetSettings()
MICROS = 1_000_000


class ForgetfulStore(FakeStore):
    """Loses writes before they take effect, without saying so."""

    loses_writes = False

    def update(self, kind, name, value, version):
        if self.loses_writes:
            return fail(WriteOutcomeUnknown("lost on the way"))
        return super().update(kind, name, value, version)


class GroupShareTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.clock = VirtualClock(self.time)
        self.state = StoreState()
        self.store = ForgetfulStore(self.state, self.clock)
        self.wanted = 40
        self.put(GroupRecord({HERE: 40}))
        self.share = GroupShare(
            0,
            HERE,
            self.clock,
            random.Random(1),
            self.store,
            SETTINGS,
            lambda share, record: record.with_units(HERE, self.wanted),
            Reclaimer(HERE, SETTINGS),
        )
        self.pulse()
        # One more read, so that the next call is a write.
        self.pulse()
        self.assertEqual(self.share.ledger.units, 40)

    def put(self, record):
        self.state.put(Kind.BUDGET, "group-0", record.encode())

    def pulse(self):
        self.share.pulse(self.clock.monotonic(), hurry=True)
        self.time.advance(timedelta(seconds=3))

    def test_gain_is_not_used_while_unknown(self):
        self.store.loses_writes = True
        self.wanted = 60
        self.pulse()
        self.assertEqual(self.share.ledger.units, 40)
        self.store.loses_writes = False
        self.pulse()
        self.assertEqual(self.share.ledger.units, 60)

    def test_loss_is_not_undone_while_unknown(self):
        self.wanted = 20
        self.store.lost_reply_rate = 1.0
        self.pulse()
        self.assertEqual(self.share.ledger.units, 20)
        self.store.lost_reply_rate = 0.0
        self.wanted = 40
        self.pulse()
        self.assertEqual(self.share.ledger.units, 40)

    def test_units_are_not_used_before_they_are_given_up(self):
        self.wanted = 20
        self.share.pulse(self.clock.monotonic(), hurry=True)
        self.assertEqual(self.share.ledger.units, 20)

    def test_read_alone_changes_no_units(self):
        self.wanted = 60
        self.put(GroupRecord({HERE: 60}))
        self.store.reachable = False
        read = self.state.objects[Kind.BUDGET, "group-0"]
        self.share._take_read(read)
        self.assertEqual(self.share.ledger.units, 40)

    def test_broken_record_is_read_again_at_a_slow_pace(self):
        self.state.put(Kind.BUDGET, "group-0", b"[]")
        calls = self.store.calls
        self.wanted = 60
        for _ in range(100):
            self.share.pulse(self.clock.monotonic())
            self.time.advance(timedelta(milliseconds=100))
        self.assertLess(self.store.calls - calls, 20)
        self.assertEqual(self.share.ledger.units, 40)


class LedgerTest(unittest.TestCase):
    def test_grants_used_late_fit_with_those_used_at_once(self):
        limits = Limits(100, 1000)
        ledger = Ledger(120, timedelta(milliseconds=50))
        ledger.set_units(120, 0)
        late = ledger.find_bucket("team", limits, 100 * MICROS).level
        bucket = ledger.find_bucket("team", limits, 100 * MICROS)
        bucket.take(late, 100 * MICROS)
        bucket.refill(100 * MICROS + 50_000)
        self.assertLessEqual(late + bucket.level, 1000 * MICROS)

    def test_claimed_units_start_empty(self):
        ledger = Ledger(120, timedelta(milliseconds=50))
        ledger.set_units(60, 0)
        limits = Limits(100, 1000)
        before = ledger.find_bucket("team", limits, 100 * MICROS).level
        ledger.set_units(120, 100 * MICROS)
        after = ledger.find_bucket("team", limits, 100 * MICROS).level
        self.assertEqual(after, before)
        fresh = ledger.find_bucket("other", limits, 100 * MICROS).level
        self.assertEqual(fresh, before)
