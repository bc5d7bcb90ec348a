"""Fleets under prompt parts that crash each engine (docs/incidents, issue 24)."""

import itertools
import random
import unittest

from .crashing_fleet import CRASHING_PART, CrashingFleet

# Bounds of the users: seconds after the fifth crash from which at most this many
# requests with the part may reach engines.
STABLE_WINDOW = 3.0
MAX_LATER_ARRIVALS = 3


class Traffic:
    """Sound requests and requests with the crashing part, at any entry process.

    Parameters
    ----------
    fleet : CrashingFleet
        Receives the requests.
    seed : int
        Seed of the choices.

    Attributes
    ----------
    sound : list of tuple
        Time and RecordedSink of each sound request.
    bad : list of RecordedSink
        Answers to the requests with the crashing part.
    """

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.sound = []
        self.bad = []
        self._rng = random.Random(seed)
        self._numbers = itertools.count()

    def run(self, duration, sound_rate=40, bad_rate=4):
        """Send requests at rates per second for a number of seconds."""
        step = 1 / (sound_rate + bad_rate)
        for _ in range(int(duration / step)):
            if self._rng.random() < bad_rate * step:
                self.bad.append(self._send(CRASHING_PART))
            else:
                subject = f"subject-{self._rng.randrange(60)}"
                self.sound.append((self.fleet.seconds, self._send(subject)))
            self.fleet.pass_time(step)

    def count_served(self, since):
        """Return the numbers of sound requests since a time, and of those answered."""
        sinks = [sink for time, sink in self.sound if time > since]
        served = [sink for sink in sinks if sink.status == 200 and sink.is_finished]
        return len(sinks), len(served)

    def _send(self, part):
        entry = self._rng.choice(list(self.fleet.entries.values()))
        parts = ["system", part, f"own-{next(self._numbers)}"]
        sink, _ = entry.send("resumable", parts=parts)
        return sink


class CrashingPromptTests(unittest.TestCase):
    def test_a_prompt_part_that_crashes_engines_is_not_sent_to_one_after_the_other(
        self,
    ):
        for seed in range(3):
            with self.subTest(seed=seed):
                fleet = CrashingFleet()
                traffic = Traffic(fleet, seed)
                traffic.run(3, bad_rate=0)
                began = fleet.seconds
                traffic.run(30)
                fleet.pass_time(6)
                crashes = [time for time in fleet.crashes if time > began]
                last = crashes[:5][-1]
                later = fleet.find_arrivals(CRASHING_PART, last + STABLE_WINDOW)
                self.assertLessEqual(len(later), MAX_LATER_ARRIVALS)
                sent, served = traffic.count_served(last + 2 * STABLE_WINDOW)
                self.assertGreater(sent, 20)
                self.assertGreater(served, 0.9 * sent)

    def test_processes_that_have_just_started_go_on_serving_sound_prompts(self):
        # No part was answered yet when the first engines crash.
        for seed in range(4):
            with self.subTest(seed=seed):
                fleet = CrashingFleet(engines=4)
                traffic = Traffic(fleet, seed)
                traffic.run(20, sound_rate=30, bad_rate=6)
                fleet.pass_time(6)
                later = fleet.find_arrivals(CRASHING_PART, 10)
                self.assertLessEqual(len(later), MAX_LATER_ARRIVALS)
                sent, served = traffic.count_served(10)
                self.assertGreater(served, 0.9 * sent)


if __name__ == "__main__":
    unittest.main()
