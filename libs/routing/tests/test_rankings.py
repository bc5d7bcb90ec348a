import unittest

from balsamspoke_fakes.properties import examples
from balsamspoke_routing.rankings import RendezvousRankings
from balsamspoke_routing.replicas import Replica
from balsamspoke_types.identifiers import AdapterRef, ProcessId
from hypothesis import given
from hypothesis import strategies as st

ADAPTERS = [AdapterRef(f"{number}", 1) for number in range(4)]


class RankingsTest(unittest.TestCase):
    @examples(200)
    @given(st.lists(st.tuples(st.integers(0, 11), st.booleans()), max_size=100))
    def test_changes_give_the_same_order_as_ranking_anew(self, changes):
        replicas = [Replica(ProcessId(f"vm-{n}", 1), "m") for n in range(12)]
        rankings = RendezvousRankings(8, 6)
        present = {}
        for number, used in changes:
            replica = replicas[number]
            if present.pop(number, None):
                rankings.remove(replica.peer)
            else:
                present[number] = replica
                rankings.add(replica)
            if used:
                self.check(rankings, present)
        self.check(rankings, present)

    def check(self, rankings, present):
        expected_rankings = RendezvousRankings(8, 6)
        for replica in present.values():
            expected_rankings.add(replica)
        for adapter in ADAPTERS:
            actual = rankings.get(adapter)
            expected = expected_rankings.get(adapter)
            self.assertEqual(actual, expected[: len(actual)])
            self.assertGreaterEqual(len(actual), min(len(expected), 3))
