import unittest
from unittest import mock

from balsamspoke_gateway.peers.activity import PEER_EXPIRY
from balsamspoke_types.exceptions import StoreUnavailable
from twisted.internet.defer import fail

from .entry_world import EntryWorld, FakeRegistry

EXPIRED = PEER_EXPIRY.total_seconds() + 5


class RegistrationTests(unittest.TestCase):
    def setUp(self):
        self.world = EntryWorld()
        self.world.configure(1)
        for number, name in enumerate(("odd", "b"), 1):
            self.world.store.write("entries", name, f"10.9.9.{number}")
        self.world.core.start()

    def list_names(self):
        return sorted(self.world.store.records["entries"])

    def pass_expiry(self, error):
        """Let the entries expire, of which one can't be removed."""
        remove = FakeRegistry.remove

        def remove_others(registry, name):
            return fail(error) if name == "odd" else remove(registry, name)

        with mock.patch.object(FakeRegistry, "remove", remove_others):
            self.world.pass_time(EXPIRED)

    # One entry that the store kept kept those of all others that had ended.
    def test_an_entry_that_is_not_removed_does_not_keep_the_others(self):
        own = self.world.context.settings.ip
        self.pass_expiry(StoreUnavailable("unexpected HTTP status 400"))
        self.assertEqual(self.list_names(), [own, "odd"])

    # The process was never listed again once its entry was lost.
    def test_goes_on_registering_after_an_unexpected_error(self):
        own = self.world.context.settings.ip
        self.pass_expiry(ValueError("a bug"))
        self.assertEqual(self.list_names(), [own, "odd"])
        self.world.store.write("entries", own, None)
        self.world.pass_time(5)
        self.assertIn(own, self.list_names())


if __name__ == "__main__":
    unittest.main()
