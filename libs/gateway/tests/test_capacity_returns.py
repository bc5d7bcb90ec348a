import heapq
import random
import unittest

from balsamspoke_gateway.scheduling.capacity_returns import CapacityReturns

from .world import seconds

CAPACITY = 10
DEADLINE = 15.0


def replay(choose_return, seed, peak=10.0):
    """Return the callers refused for good, and the longest time told.

    Callers of a service of ``CAPACITY`` requests a second come at 1.6 times that rate
    for some seconds, then at half of it. Each comes back once.

    Parameters
    ----------
    choose_return : callable
        Returns the seconds that a caller is told, at a time in seconds.
    seed : int
        Seed of the arrivals.
    peak : float
        Seconds of the peak.
    """
    rng = random.Random(seed)
    arrivals, now = [], 0.0
    while now < peak + 10:
        rate = CAPACITY * (1.6 if now < peak else 0.5)
        now += rng.expovariate(rate)
        arrivals.append((now, rng.random(), False))
    heapq.heapify(arrivals)
    room, last, refused, longest = CAPACITY / 2, 0.0, 0, 0.0
    while arrivals:
        now, _, is_return = heapq.heappop(arrivals)
        room = min(CAPACITY / 2, room + (now - last) * CAPACITY)
        last = now
        if room >= 1:
            room -= 1
        elif is_return:
            refused += 1
        else:
            delay = choose_return(now)
            longest = max(longest, delay)
            heapq.heappush(arrivals, (now + delay, rng.random(), True))
    return refused, longest


class CapacityReturnTests(unittest.TestCase):
    def make_policy(self, seed):
        returns = CapacityReturns(random.Random(seed).random)

        def choose(now):
            delay = returns.choose(
                "engines", seconds(0.3), seconds(DEADLINE), seconds(now)
            )
            return delay.total_seconds()

        return choose

    def test_fewer_callers_are_refused_for_good_than_if_they_come_back_soon(self):
        for seed in range(5):
            soon, _ = replay(lambda now: 0.3, seed)
            spread, _ = replay(self.make_policy(seed), seed)
            self.assertLess(spread, 0.8 * soon, seed)

    def test_callers_come_back_soon_after_a_short_peak(self):
        for seed in range(5):
            _, longest = replay(self.make_policy(seed), seed, peak=1.0)
            self.assertLess(longest, 2.5)

    def test_nobody_is_told_more_than_callers_wait_for(self):
        _, longest = replay(self.make_policy(1), 1, peak=60.0)
        self.assertLessEqual(longest, DEADLINE / 3)

    def test_a_shortage_ends_where_nobody_is_refused_for_a_while(self):
        returns = CapacityReturns(lambda: 0.9)
        for now in range(8):
            returns.choose("engines", seconds(0.3), seconds(15), seconds(now))
        late = returns.choose("engines", seconds(0.3), seconds(15), seconds(8))
        self.assertGreater(late, seconds(4))
        other = returns.choose("others", seconds(0.3), seconds(15), seconds(8))
        self.assertEqual(other, seconds(0.3))
        anew = returns.choose("engines", seconds(0.3), seconds(15), seconds(11))
        self.assertEqual(anew, seconds(0.3))

    def test_the_earliest_time_is_kept_for_callers_with_little_time(self):
        returns = CapacityReturns(lambda: 0.9)
        for now in range(10):
            delay = returns.choose("engines", seconds(2), seconds(1), seconds(now))
            self.assertEqual(delay, seconds(2))


if __name__ == "__main__":
    unittest.main()
