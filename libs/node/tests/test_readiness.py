import unittest

from .fleet import Fleet


class ReadinessTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet(engines=1, services=1, entries=2)
        self.fleet.settle()
        self.restarted, self.other = self.fleet.entries()

    def is_ready(self):
        return self.fleet.node(self.restarted).is_ready

    def test_a_restarted_entry_is_ready_once_connected_to_the_other_entry(self):
        self.fleet.kill(self.restarted)
        self.fleet.network.cut_between([self.restarted], [self.other])
        self.fleet.start(self.restarted)
        self.fleet.advance(3)
        self.assertFalse(self.is_ready())
        self.fleet.network.heal()
        self.fleet.advance(1)
        self.assertTrue(self.is_ready())

    def test_a_restarted_entry_is_ready_after_its_timeout_without_the_other(self):
        self.fleet.kill(self.other)
        self.fleet.restart(self.restarted)
        self.fleet.advance(3)
        self.assertFalse(self.is_ready())
        self.fleet.advance(3)
        self.assertTrue(self.is_ready())
