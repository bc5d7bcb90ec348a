import unittest

from balsamspoke_catalogue import decode_object, digest_key
from balsamspoke_ctl import ExitCode
from balsamspoke_types.keys import KEY_PATTERN
from balsamspoke_types.objects import Kind

from .harness import CATALOGUE, CtlHarness


class KeyCommandTests(unittest.TestCase):
    def setUp(self):
        self.harness = CtlHarness(self)
        self.harness.run("apply", self.harness.write(CATALOGUE))

    def test_issued_key_is_shown_once_and_only_its_digest_is_stored(self):
        code, (document,) = self.harness.run_json("key", "issue", "hotel")
        self.assertEqual(code, ExitCode.OK)
        self.assertTrue(KEY_PATTERN.fullmatch(document["key"]))
        stored = self.harness.state.objects[Kind.KEY, document["name"]]
        record = decode_object(Kind.KEY, stored.name, stored.value)
        self.assertEqual(record.team, "hotel")
        self.assertEqual(record.digest, digest_key(document["key"]))
        for written in self.harness.state.history:
            self.assertNotIn(document["key"].encode(), written.value)
        for command in (("list", "keys"), ("get", "keys", document["name"])):
            self.assertNotIn(document["key"], self.harness.run(*command)[1])

    def test_issue_refuses_an_unknown_team_and_a_name_in_use(self):
        self.assertEqual(self.harness.run("key", "issue", "x")[0], ExitCode.NOT_FOUND)
        first = self.harness.run("key", "issue", "hotel", "--name", "k")
        second = self.harness.run("key", "issue", "hotel", "--name", "k")
        self.assertEqual((first[0], second[0]), (ExitCode.OK, ExitCode.CONFLICT))
        self.assertIsNone(KEY_PATTERN.search(second[1] + second[2]))

    def test_withdrawn_key_is_deleted(self):
        self.harness.run("key", "issue", "hotel", "--name", "k")
        self.assertEqual(self.harness.run("key", "withdraw", "k")[0], ExitCode.OK)
        self.assertNotIn((Kind.KEY, "k"), self.harness.state.objects)
        self.assertEqual(
            self.harness.run("key", "withdraw", "k")[0], ExitCode.NOT_FOUND
        )
