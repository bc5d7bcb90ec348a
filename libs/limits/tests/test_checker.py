import random
import unittest
from datetime import timedelta

from balsamspoke_fakes.checkers import Admission, LimitChange, find_excess


def seconds(number):
    return timedelta(seconds=number)


def try_every_window(admissions, changes):
    """Return the worst excess of all windows by brute force, for constant limits."""
    rate, burst = changes[0].rate, changes[0].burst
    worst = 0.0
    for first in admissions:
        for last in admissions:
            if first.at <= last.at:
                inside = [a.used for a in admissions if first.at <= a.at <= last.at]
                span = (last.at - first.at).total_seconds()
                worst = max(worst, sum(inside) - rate * span - burst)
    return worst


class CheckerTest(unittest.TestCase):
    def test_full_use_of_the_bound_passes(self):
        changes = [LimitChange(seconds(0), 10, 100)]
        admissions = [Admission(seconds(0), 100), Admission(seconds(2), 20)]
        self.assertIsNone(find_excess(admissions, changes))

    def test_one_token_too_many_is_found(self):
        changes = [LimitChange(seconds(0), 10, 100)]
        admissions = [Admission(seconds(0), 100), Admission(seconds(2), 21)]
        self.assertAlmostEqual(find_excess(admissions, changes).tokens, 1)

    def test_old_and_new_limits_do_not_add_up(self):
        changes = [LimitChange(seconds(0), 10, 100), LimitChange(seconds(5), 1, 20)]
        admissions = [Admission(seconds(4), 100), Admission(seconds(6), 20)]
        # The window with both allows 10 x 1 + 1 x 1 + 100 = 111 of its 120 tokens.
        self.assertAlmostEqual(find_excess(admissions, changes).tokens, 9)
        admissions = [Admission(seconds(6), 21)]
        self.assertAlmostEqual(find_excess(admissions, changes).tokens, 1)

    def test_raised_limit_counts_from_its_change_on(self):
        changes = [LimitChange(seconds(0), 1, 20), LimitChange(seconds(5), 10, 100)]
        early = [Admission(seconds(4), 50)]
        self.assertAlmostEqual(find_excess(early, changes).tokens, 30)
        self.assertIsNone(find_excess([Admission(seconds(5), 100)], changes))

    def test_agrees_with_trying_every_window(self):
        draw = random.Random(1)
        changes = [LimitChange(seconds(0), 5, 30)]
        for _ in range(200):
            admissions = [
                Admission(seconds(draw.randrange(20)), draw.randrange(1, 25))
                for _ in range(draw.randrange(1, 12))
            ]
            found = find_excess(admissions, changes)
            expected = try_every_window(admissions, changes)
            self.assertAlmostEqual(found.tokens if found else 0.0, expected)
