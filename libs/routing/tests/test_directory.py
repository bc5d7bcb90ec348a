import random
import unittest
from collections import Counter
from datetime import timedelta

from balsamspoke_fakes import VirtualClock, VirtualTime
from balsamspoke_routing import LeastLoaded, ReplicaDirectory
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from balsamspoke_types.messages import ReplicaReport

ADAPTER = AdapterRef("a", 1)


class DirectoryTest(unittest.TestCase):
    def setUp(self):
        self.time = VirtualTime()
        self.directory = self.make_directory(5)

    def make_directory(self, count, **options):
        clock = VirtualClock(self.time)
        directory = ReplicaDirectory(clock, random.Random(1), **options)
        self.peers = [ProcessId(f"vm-{number}", 1) for number in range(count)]
        for peer in self.peers:
            directory.update_member(peer, "m", "shari", True, False)
            directory.set_connected(peer, True)
        return directory

    def report(self, peer, sequence=1, running=0, accepting=True, adapters=()):
        report = ReplicaReport("m", sequence, running, 0, 0, 8, accepting, adapters)
        self.directory.store_report(peer, report)

    def choose(self, adapter=ADAPTER, excluded=()):
        return self.directory.choose("m", adapter, frozenset(excluded))

    def test_same_adapter_same_replica_until_it_is_popular(self):
        self.assertEqual(len({self.choose() for _ in range(20)}), 1)
        self.assertGreater(len({self.choose() for _ in range(200)}), 1)

    def test_adapters_are_spread(self):
        chosen = Counter(self.choose(AdapterRef(f"{n}", 1)) for n in range(2000))
        self.assertEqual(len(chosen), 5)
        self.assertLess(max(chosen.values()), 1.5 * min(chosen.values()))

    def test_loss_of_a_replica_moves_only_its_adapters(self):
        adapters = [AdapterRef(f"{number}", 1) for number in range(300)]
        before = {adapter: self.choose(adapter) for adapter in adapters}
        self.directory.remove_member(self.peers[0])
        for adapter, peer in before.items():
            if peer != self.peers[0]:
                self.assertEqual(self.choose(adapter), peer)

    def test_restarted_side_process_keeps_its_adapters(self):
        before = self.choose()
        after = ProcessId(before.vm, 2)
        self.directory.remove_member(before)
        self.directory.update_member(after, "m", "shari", True, False)
        self.directory.set_connected(after, True)
        self.assertEqual(self.choose(), after)

    def test_unusable_replicas_are_left_out(self):
        first = self.choose()
        self.report(first, accepting=False)
        second = self.choose()
        self.assertNotEqual(second, first)
        self.directory.update_member(second, "m", "shari", True, True)
        third = self.choose()
        self.assertNotIn(third, (first, second))
        self.directory.set_connected(third, False)
        fourth = self.choose()
        self.assertNotIn(fourth, (first, second, third))
        last = self.choose(excluded=[fourth])
        self.assertIsNone(self.choose(excluded=[fourth, last]))
        self.assertIsNone(self.directory.choose("other"))

    def test_older_report_is_dropped(self):
        first = self.choose()
        self.report(first, sequence=2)
        self.report(first, sequence=1, accepting=False)
        self.assertEqual(self.choose(), first)

    def test_busy_replica_spills_over_until_its_report_decays(self):
        first = self.choose()
        self.report(first, running=30)
        self.assertNotEqual(self.choose(), first)
        self.time.advance(timedelta(seconds=30))
        self.assertEqual(self.choose(), first)

    def test_all_equally_busy_keeps_affinity(self):
        first = self.choose()
        for peer in self.peers:
            self.report(peer, running=30)
        self.assertEqual(self.choose(), first)

    def test_replica_with_the_adapter_is_preferred_until_its_batch_is_full(self):
        first = self.choose()
        self.report(first, running=3)
        second = self.choose()
        self.report(second, running=6, adapters=(ADAPTER,))
        self.assertEqual(self.choose(), second)
        self.report(second, sequence=2, running=8, adapters=(ADAPTER,))
        self.assertEqual(self.choose(), first)

    def test_spillover_needs_a_backlog_of_several_batches(self):
        first = self.choose()
        self.report(first, running=16)
        second = self.choose()
        self.report(second, running=16)
        self.assertIn(self.choose(), (first, second))
        self.report(first, sequence=2, running=40)
        self.report(second, sequence=2, running=40)
        self.assertNotIn(self.choose(), (first, second))

    def test_outstanding_attempts_count_before_the_next_report(self):
        first = self.choose()
        for _ in range(12):
            self.directory.count_sent_attempt(first)
        self.assertNotEqual(self.choose(), first)
        for _ in range(12):
            self.directory.count_ended_attempt(first)
        self.assertEqual(self.choose(), first)

    def test_least_loaded_avoids_the_busiest(self):
        policy = LeastLoaded(random.Random(2))
        self.directory = self.make_directory(5, policy=policy)
        self.report(self.peers[0], running=50)
        chosen = Counter(self.choose(None) for _ in range(200))
        self.assertEqual(chosen[self.peers[0]], 0)
        self.assertEqual(len(chosen), 4)
