import unittest

from balsamspoke_types.outcomes import Cause, Ran, Refusal
from balsamspoke_types.ports import ServiceResponse

from tests.checkers import (
    HandOver,
    Trace,
    Violation,
    check_at_most_once,
    check_complete_answers,
    check_not_run,
    check_one_end,
    check_saved_answers,
)

NOT_RUN = Refusal(Cause.OVERLOADED, Ran.NOT_RUN, "busy")


class CheckersTest(unittest.TestCase):
    def assert_violated(self, check, *arguments):
        with self.assertRaises(Violation):
            check(*arguments)

    def test_run_of_a_request_refused_as_not_run_is_a_violation(self):
        trace = Trace("r")
        trace.refuse(NOT_RUN)
        self.assert_violated(check_not_run, [trace], [HandOver("r", 1)])
        check_not_run([trace], [HandOver("other", 1)])

    def test_second_run_is_a_violation(self):
        keyed = [HandOver(name, 1, "k", False) for name in "ab"]
        self.assert_violated(check_at_most_once, keyed)
        unkeyed = [HandOver("a", number, "", False) for number in range(2)]
        self.assert_violated(check_at_most_once, unkeyed)
        check_at_most_once([HandOver("a", number) for number in range(2)])

    def test_short_repeated_and_wrong_answers_are_violations(self):
        for texts in (["ab"], ["ab", "ab", "c"], ["ab", "x"], ["b", "c"]):
            trace = Trace("r", expected_text="abc", expected_tokens=3)
            for text in texts:
                trace.add_tokens(text, len(text))
            trace.finish("stop", 3)
            self.assert_violated(check_complete_answers, [trace])

    def test_not_run_refusal_after_tokens_is_a_violation(self):
        trace = Trace("r", expected_text="abc", expected_tokens=3)
        trace.add_tokens("a", 1)
        trace.refuse(NOT_RUN)
        self.assert_violated(check_complete_answers, [trace])

    def test_missing_end_second_end_and_late_tokens_are_violations(self):
        self.assert_violated(check_one_end, [Trace("r")])
        trace = Trace("r")
        trace.refuse(NOT_RUN)
        check_one_end([trace])
        trace.finish("stop", 0)
        self.assert_violated(check_one_end, [trace])
        late = Trace("r")
        late.finish("stop", 0)
        late.add_tokens("a", 1)
        self.assert_violated(check_one_end, [late])

    def test_answer_of_another_run_is_a_violation(self):
        trace = Trace("r", key="k")
        trace.answer(ServiceResponse(200, (), b"2"))
        run = HandOver("r", 1, "k", False, b"1")
        self.assert_violated(check_saved_answers, [trace], [run])
