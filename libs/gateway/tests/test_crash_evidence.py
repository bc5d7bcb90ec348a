import random
import unittest
from datetime import timedelta
from unittest import mock

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.quarantine.comparison import CrashComparison
from balsamspoke_gateway.quarantine.evidence import CrashEvidence
from balsamspoke_gateway.quarantine.messages import CrashReport, CrashSuspect
from balsamspoke_gateway.quarantine.part_sets import SetCollection, list_largest
from balsamspoke_gateway.quarantine.shares import PromptShares
from hypothesis import given
from hypothesis import strategies as st

from .plain_evidence import find_causes

NOW = timedelta(0)
part_sets = st.frozensets(st.sampled_from("abcdefgh"), min_size=1, max_size=6)


class CrashEvidenceTests(unittest.TestCase):
    @given(
        st.lists(st.lists(part_sets, max_size=6), max_size=7),
        st.lists(part_sets, max_size=3),
        st.lists(part_sets, max_size=12),
    )
    @examples(400)
    def test_finds_the_same_causes_as_the_plain_way(self, crashes, known, prompts):
        evidence, shares = CrashEvidence(), PromptShares()
        suspects = []
        for number, sets in enumerate(crashes):
            # A request may run at several crashes.
            named = [
                (f"request:{index % 5}", parts) for index, parts in enumerate(sets)
            ]
            named = list(dict(named).items())
            report = [CrashSuspect(name, tuple(parts)) for name, parts in named]
            evidence.add(CrashReport(f"r{number}", 1, tuple(report)), NOW)
            suspects += [((f"r{number}", 1), name, parts) for name, parts in named]
        for prompt in prompts:
            shares.record(prompt)
        found = evidence.find_causes(known, shares)
        self.assertEqual(
            {(each.parts, each.is_certain) for each in found},
            find_causes(suspects, known, prompts),
        )

    @given(st.lists(st.integers(1, 255), max_size=40))
    @examples(200)
    def test_the_largest_sets_are_no_part_of_another(self, sets):
        expected = {
            each
            for each in sets
            if not any(each & other == each and each != other for other in sets)
        }
        self.assertEqual(set(list_largest(set(sets))), expected)

    # Each set was compared with each other one: 11.8 s at 200 suspects, 16 parts of 40.
    def test_a_set_is_compared_with_all_others_at_once(self):
        draw = random.Random(1)
        evidence = CrashEvidence()
        for number in range(3):
            suspects = tuple(
                CrashSuspect(f"request:{number}-{index}", draw_parts(draw, 16, 40))
                for index in range(40)
            )
            evidence.add(CrashReport(f"r{number}", 1, suspects), NOW)
        sets = CrashComparison(evidence._suspicions).group_by_count()
        count = sum(mask.bit_count() for mask in sets)
        searches = []
        with (
            self.count_calls("find_subsets", searches),
            self.count_calls("find_supersets", searches),
        ):
            evidence.find_causes([], PromptShares())
        self.assertGreater(count, 1000)
        self.assertLess(len(searches), 120 + 4 * count)

    def count_calls(self, name, calls):
        """Return a context in which calls of a method of collections are recorded."""
        original = getattr(SetCollection, name)

        def record(collection, parts):
            calls.append(parts)
            return original(collection, parts)

        return mock.patch.object(SetCollection, name, record)


def draw_parts(draw, count, text):
    return tuple(f"p{number}" for number in draw.sample(range(text), count))


if __name__ == "__main__":
    unittest.main()
