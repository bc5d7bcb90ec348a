import unittest

from .fleet import Fleet, get_expected_text


class WholePathTest(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        self.fleet.settle()
        self.entry = self.fleet.entries()[0]

    def test_a_streamed_answer_is_whole(self):
        answer = self.fleet.complete(self.entry, "adapter-0", tokens=5)
        self.fleet.advance(5)
        self.assertTrue(answer.is_whole, answer.body)
        self.assertEqual(
            answer.text, get_expected_text("adapter-0", 1, 5, "request-0.")
        )

    def test_a_request_can_name_an_adapter_version(self):
        answer = self.fleet.complete(self.entry, "adapter-0:2", stream=False)
        self.fleet.advance(5)
        self.assertEqual(
            answer.text, get_expected_text("adapter-0", 2, 5, "request-0.")
        )

    def test_a_booking_runs_once(self):
        answer = self.fleet.book(self.entry)
        self.fleet.advance(5)
        self.assertEqual((answer.status, answer.body), (200, b"call 1"))

    def test_every_entry_is_ready(self):
        for entry in self.fleet.entries():
            self.assertTrue(self.fleet.node(entry).is_ready)

    def test_rejected_requests_are_reported_not_run(self):
        for expected, answer in [
            ("key_missing", self.fleet.complete(self.entry, key="")),
            ("key_rejected", self.fleet.complete(self.entry, key="nobody")),
            ("unknown_model", self.fleet.complete(self.entry, "adapter-1")),
            ("unknown_model", self.fleet.complete(self.entry, "adapter-0:3")),
            ("unknown_model", self.fleet.complete(self.entry, "nothing")),
        ]:
            self.assertEqual((answer.code, answer.outcome), (expected, "not-run"))
