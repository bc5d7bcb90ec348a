import unittest

from balsamspoke_ctl.exceptions import ProcessUnreachable
from balsamspoke_ctl.fleet import HttpStatusClient
from balsamspoke_platform import HttpReply, NotSent, ReplyLost
from balsamspoke_types.ports import VmRecord
from twisted.internet.defer import fail, succeed

VM = VmRecord("entry-1", "10.0.0.7:7400", "north", "shari", "entry")


class HttpStatusClientTests(unittest.TestCase):
    def ask(self, answer):
        """Return what the client makes of a Deferred, and what it asked."""
        asked, found = [], []

        class Caller:
            def __init__(self, base_url):
                self.base_url = base_url

            def call(self, method, path, timeout):
                asked.append((method, self.base_url + path))
                return answer

        HttpStatusClient(Caller, 7401).ask(VM, "/status").addBoth(found.append)
        self.assertEqual(asked, [("GET", "http://10.0.0.7:7401/status")])
        return found[0]

    def test_document_and_nothing_known(self):
        self.assertEqual(self.ask(succeed(HttpReply(200, (), b'{"a": 1}'))), {"a": 1})
        self.assertIsNone(self.ask(succeed(HttpReply(404, (), b"<html>"))))

    def test_no_answer_or_a_bad_one(self):
        answers = (
            succeed(HttpReply(500, (), b"")),
            succeed(HttpReply(200, (), b"<html>")),
            fail(NotSent("refused")),
            fail(ReplyLost("cut")),
        )
        for answer in answers:
            error = self.ask(answer).value
            self.assertIsInstance(error, ProcessUnreachable)
            self.assertIn("entry-1", str(error))
