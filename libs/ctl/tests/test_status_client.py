import unittest

from balsamspoke_ctl.exceptions import ProcessUnreachable
from balsamspoke_ctl.fleet import HttpStatusClient
from balsamspoke_platform import HttpReply, NotSent, ReplyLost
from balsamspoke_types.ports import VmRecord
from twisted.internet.defer import fail, succeed

VM = VmRecord("entry-1", "10.0.0.7:7400", "north", "shari", "entry")


class HttpStatusClientTests(unittest.TestCase):
    def fetch_with(self, response):
        """Return the client's result for a response, after checking its request."""
        requests, outcomes = [], []

        class Client:
            def __init__(self, base_url):
                self.base_url = base_url

            def call(self, method, path, timeout):
                requests.append((method, self.base_url + path))
                return response

        HttpStatusClient(Client, 7401).fetch_document(VM, "/status").addBoth(
            outcomes.append
        )
        self.assertEqual(requests, [("GET", "http://10.0.0.7:7401/status")])
        return outcomes[0]

    def test_returns_the_document_or_none_if_not_found(self):
        self.assertEqual(
            self.fetch_with(succeed(HttpReply(200, (), b'{"a": 1}'))), {"a": 1}
        )
        self.assertIsNone(self.fetch_with(succeed(HttpReply(404, (), b"<html>"))))

    def test_missing_or_invalid_response_counts_as_unreachable(self):
        responses = (
            succeed(HttpReply(500, (), b"")),
            succeed(HttpReply(200, (), b"<html>")),
            fail(NotSent("refused")),
            fail(ReplyLost("cut")),
        )
        for response in responses:
            error = self.fetch_with(response).value
            self.assertIsInstance(error, ProcessUnreachable)
            self.assertIn("entry-1", str(error))
