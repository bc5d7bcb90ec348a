import random
import unittest
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_routing import LedgerSettings, RecordSweeper
from balsamspoke_routing.records import IdempotencyRecord, RecordState
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.objects import Kind

PROCESS = ProcessId("entry", 1)
PAST_RETENTION = timedelta(hours=25)


class SweeperTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.state = StoreState()
        self.clock = VirtualClock(self.time)
        self.sweepers = [self.make_sweeper(seed) for seed in range(3)]

    def make_sweeper(self, seed):
        store = FakeStore(self.state, self.clock)
        settings = LedgerSettings(maximum_sweep_deletes=4)
        return RecordSweeper(self.clock, store, random.Random(seed), settings)

    def add_records(self, count):
        for number in range(count):
            record = IdempotencyRecord(
                "digest",
                AttemptId(PROCESS, number),
                PROCESS,
                RecordState.ANSWERED,
                f"operation {number}",
                self.clock.now(),
            )
            name = f"{self.state.revision}"
            self.state.put(Kind.IDEMPOTENCY, name, record.encode())

    def count_records(self):
        return len([name for kind, name in self.state.objects if name != ".sweep"])

    def test_only_expired_records_are_deleted(self):
        self.add_records(10)
        self.time.advance(PAST_RETENTION)
        self.add_records(5)
        for sweeper in self.sweepers:
            sweeper.start()
        self.time.advance(timedelta(hours=2))
        self.assertEqual(self.count_records(), 5)

    def test_sweep_is_limited_and_claimed_by_one_process(self):
        self.add_records(10)
        self.time.advance(PAST_RETENTION)
        for minutes, left in ((0, 6), (1, 6), (10, 2), (1, 2)):
            self.time.advance(timedelta(minutes=minutes))
            for sweeper in self.sweepers:
                sweeper.sweep()
            self.time.advance(timedelta(seconds=1))
            self.assertEqual(self.count_records(), left)

    def test_sweep_after_an_outage_deletes_expired_records(self):
        self.add_records(3)
        self.time.advance(PAST_RETENTION)
        self.state.available = False
        self.sweepers[0].sweep()
        self.time.advance(timedelta(seconds=10))
        self.state.available = True
        self.sweepers[0].sweep()
        self.time.advance(timedelta(seconds=10))
        self.assertEqual(self.count_records(), 0)
