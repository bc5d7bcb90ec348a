import math
import unittest
from datetime import timedelta

from balsamspoke_fakes.properties import examples
from balsamspoke_gateway.quarantine import (
    QUARANTINE_TIME,
    UNCERTAIN_TIME,
    CrashReport,
    CrashSuspect,
    PromptQuarantine,
    QuarantineEntry,
)
from balsamspoke_gateway.quarantine.answered import TRUST_TIME
from hypothesis import given
from hypothesis import strategies as st

from .world import seconds

NOW = timedelta(seconds=1000)


class DecisionTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = PromptQuarantine()
        for number in range(40):
            self.quarantine.record_prompt([f"sound-{number}"])
        self.crashes = 0

    def crash(self, *prompts, now=NOW):
        """Record a crash with the given prompts in flight, each of another request."""
        self.crashes += 1
        suspects = tuple(
            CrashSuspect(f"{self.crashes}-{number}", tuple(parts))
            for number, parts in enumerate(prompts)
        )
        report = CrashReport(f"replica-{self.crashes}", 1, suspects)
        return self.quarantine.record_crashes([report], now)

    def is_refused(self, *parts, now=NOW):
        return self.quarantine.find_time_left(parts, now) is not None

    def is_certain(self, *parts):
        entries = self.quarantine.list_entries(NOW)
        return any(each.is_certain and each.parts <= set(parts) for each in entries)

    def test_two_crashes_with_different_requests_are_needed(self):
        self.crash(["bad"])
        self.assertFalse(self.is_refused("bad"))
        self.crash(["bad"])
        self.assertTrue(self.is_refused("bad"))
        self.assertTrue(self.is_refused("other", "bad"))
        self.assertFalse(self.is_refused("other"))

    def test_three_crashes_make_it_certain(self):
        self.crash(["bad"])
        self.crash(["bad"])
        self.assertFalse(self.is_certain("bad"))
        self.crash(["bad"])
        self.assertTrue(self.is_certain("bad"))

    def test_a_part_that_many_prompts_have_is_no_cause(self):
        # A process that has just started: no part was answered yet.
        for number in range(20):
            self.quarantine.record_prompt(["system", f"sound-{number}"])
        for number in range(6):
            self.crash(["system", "bad"], ["system", f"other-{number}"])
        self.assertTrue(self.is_refused("system", "bad"))
        self.assertFalse(self.is_refused("system", "good"))

    def test_a_part_that_a_third_of_prompts_have_is_refused_after_five_crashes(self):
        quarantine = PromptQuarantine()
        for number in range(60):
            part = "bad" if number % 3 == 0 else f"sound-{number}"
            quarantine.record_prompt(["system", part])
        for number in range(5):
            self.assertIsNone(quarantine.find_time_left(["system", "bad"], NOW))
            suspects = (
                CrashSuspect(f"bad-{number}", ("system", "bad")),
                CrashSuspect(f"good-{number}", ("system", f"good-{number}")),
            )
            report = CrashReport(f"r{number}", 1, suspects)
            quarantine.record_crashes([report], NOW)
        self.assertIsNotNone(quarantine.find_time_left(["system", "bad"], NOW))
        self.assertIsNone(quarantine.find_time_left(["system", "good"], NOW))

    def test_a_rare_set_at_each_crash_does_not_clear_a_part_that_many_prompts_have(
        self,
    ):
        for number in range(20):
            self.quarantine.record_prompt(["system", "bad", f"sound-{number}"])
        for _ in range(4):
            self.crash(["system", "bad"], ["system", "rare"])
        self.assertTrue(self.is_refused("system", "rare"))
        self.assertFalse(self.is_certain("system", "rare"))
        self.crash(["system", "bad"])
        self.assertTrue(self.is_certain("system", "bad"))

    def test_without_an_answered_part_the_rest_of_a_set_is_judged_again(self):
        for _ in range(3):
            self.crash(["system", "bad"])
        self.quarantine.record_answered(["system", "good"], NOW)
        self.assertFalse(self.is_refused("system", "bad"))
        self.quarantine.reconsider(NOW)
        self.assertTrue(self.is_certain("another", "bad"))
        self.assertFalse(self.is_refused("system", "good"))

    def test_a_part_that_nearly_all_prompts_have_is_never_refused(self):
        for number in range(60):
            self.quarantine.record_prompt(["system", f"sound-{number}"])
        for number in range(10):
            self.crash(["system", f"rare-{number}"])
        self.assertFalse(self.is_refused("system"))

    def test_a_small_sample_makes_no_part_the_cause_that_a_third_of_prompts_have(self):
        quarantine = PromptQuarantine()
        for number in range(15):
            system = "system" if number < 3 else f"system-{number % 2}"
            quarantine.record_prompt([system, f"sound-{number}"])
        for number in range(3):
            suspect = CrashSuspect(str(number), ("system", f"other-{number}"))
            quarantine.record_crashes([CrashReport(str(number), 1, (suspect,))], NOW)
        self.assertIsNone(quarantine.find_time_left(["system"], NOW))

    def test_a_process_that_has_seen_no_prompt_suspects_none(self):
        quarantine = PromptQuarantine()
        for replica in "abc":
            suspect = CrashSuspect(replica, ("part",))
            quarantine.record_crashes([CrashReport(replica, 1, (suspect,))], NOW)
        self.assertIsNone(quarantine.find_time_left(["part"], NOW))

    def test_of_sets_that_explain_the_same_the_largest_is_refused(self):
        self.crash(["system", "bad"])
        self.crash(["system", "good"], ["system", "bad"])
        self.assertTrue(self.is_refused("system", "bad"))
        self.assertFalse(self.is_refused("system", "good"))

    def test_one_request_that_crashed_two_replicas_is_not_enough(self):
        for replica in ("a", "b"):
            suspect = CrashSuspect("1", ("shared",))
            self.quarantine.record_crashes([CrashReport(replica, 1, (suspect,))], NOW)
        self.assertFalse(self.is_refused("shared"))

    def test_one_crash_told_by_two_processes_is_one(self):
        for request in ("1", "2"):
            suspect = CrashSuspect(request, ("shared",))
            self.quarantine.record_crashes([CrashReport("a", 1, (suspect,))], NOW)
        self.assertFalse(self.is_refused("shared"))

    def test_parts_answered_lately_are_not_suspected(self):
        self.quarantine.record_answered(["system"], NOW)
        for _ in range(5):
            self.crash(["system", "bad"], ["system", "good"])
            self.quarantine.record_answered(["good"], NOW)
        self.assertFalse(self.is_refused("system", "good"))
        self.assertTrue(self.is_refused("system", "bad"))

    def test_a_part_that_turns_bad_is_found_once_its_last_answer_is_old(self):
        self.quarantine.record_answered(["part"], NOW)
        later = NOW + TRUST_TIME + seconds(1)
        self.crash(["part"], now=later)
        self.crash(["part"], now=later)
        self.assertTrue(self.is_refused("part", now=later))

    def test_parts_that_always_come_together_are_refused_only_together(self):
        self.crash(["rare", "bad"])
        self.crash(["rare", "bad"])
        self.assertTrue(self.is_refused("rare", "bad"))
        self.assertFalse(self.is_refused("rare", "good"))
        # The part alone explains more.
        self.crash(["other", "bad"])
        self.assertTrue(self.is_refused("anything", "bad"))
        self.assertFalse(self.is_refused("rare"))

    def test_a_bystander_is_not_refused_once_the_cause_is_known(self):
        self.crash(["bad"])
        self.crash(["bad"])
        self.crash(["bad"], ["bystander"])
        self.crash(["bad"], ["bystander"])
        self.assertFalse(self.is_refused("bystander"))

    def test_several_explanations_are_tried_again_soon(self):
        self.crash(["bad"], ["bystander"])
        self.crash(["bad"], ["bystander"])
        self.assertTrue(self.is_refused("bystander"))
        later = NOW + UNCERTAIN_TIME
        self.assertFalse(self.is_refused("bystander", now=later))
        self.crash(["bad"], now=later)
        self.assertFalse(self.is_refused("bystander", now=later))
        self.assertTrue(self.is_refused("bad", now=later + UNCERTAIN_TIME))

    def test_an_answer_ends_the_quarantine(self):
        self.crash(["part"])
        self.crash(["part"])
        self.assertTrue(self.quarantine.record_answered(["part"], NOW))
        self.assertFalse(self.is_refused("part"))
        self.crash(["part"])
        self.assertFalse(self.is_refused("part"))

    def test_the_quarantine_ends_by_itself(self):
        for _ in range(3):
            self.crash(["bad"])
        self.assertTrue(self.is_refused("bad", now=NOW + QUARANTINE_TIME / 2))
        self.assertFalse(self.is_refused("bad", now=NOW + QUARANTINE_TIME))

    def test_entries_of_peers_are_bounded_and_never_refuse_everything(self):
        entries = (
            QuarantineEntry((), 60.0),
            QuarantineEntry(("nan",), math.nan),
            QuarantineEntry(("past",), -math.inf),
            QuarantineEntry(("forever",), math.inf),
        )
        self.quarantine.adopt(entries, NOW)
        self.assertFalse(self.is_refused())
        self.assertFalse(self.is_refused("nan"))
        self.assertFalse(self.is_refused("past"))
        self.assertTrue(self.is_refused("forever"))
        self.assertFalse(self.is_refused("forever", now=NOW + QUARANTINE_TIME))

    @examples(100)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["s1", "s2", "s3"]),
                st.lists(
                    st.tuples(
                        st.sampled_from(["s1", "s2", "s3"]),
                        st.sampled_from([f"p{number}" for number in range(8)]),
                    ),
                    max_size=4,
                ),
            ),
            min_size=3,
            max_size=12,
        )
    )
    def test_the_cause_is_found_by_the_third_crash_whatever_runs_beside_it(
        self, schedule
    ):
        self.setUp()
        quarantine = self.quarantine
        crashes = 0
        for number, (system, bystanders) in enumerate(schedule):
            prompts = [(system, "bad"), *bystanders]
            if quarantine.find_time_left(prompts[0], NOW) is not None:
                continue
            crashes += 1
            suspects = tuple(
                CrashSuspect(f"{number}-{index}", parts)
                for index, parts in enumerate(prompts)
            )
            quarantine.record_crashes([CrashReport(f"r{number}", 1, suspects)], NOW)
            # Sound requests are answered elsewhere in the meantime.
            for parts in bystanders:
                quarantine.record_answered(parts, NOW)
                self.assertIsNone(quarantine.find_time_left(parts, NOW))
        self.assertLessEqual(crashes, 3)
