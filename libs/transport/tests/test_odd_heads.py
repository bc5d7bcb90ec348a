"""Answers of servers in trouble, whose heads are none."""

import unittest

from balsamspoke_fakes.properties import examples
from hypothesis import given
from hypothesis import strategies as st

from .test_connections import ExchangeTests

STATUSES = (
    "000", "099", "20", "2", "1000", "0200", "+200", "-200", "2e2", "2_0", "2 00", "",
    "abc", "101", "600", "999",
)  # fmt: skip
VERSIONS = (b"HTTQ/1.1", b"HTTP/9.9", b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1", b"http/1.1")
NAMES = (
    b"X Odd", b"X\tOdd", b"X\x00Odd", b"X\x01Odd", b"X\x1fOdd", b"X\x7fOdd",
    b"X\xe9Odd", b"X(Odd)", b"X\rOdd", b"X-Odd ", b"X-Odd\t", b" X-Odd", b"\tX-Odd",
    b"", b" ",
)  # fmt: skip
FRAMES = ("Content-Length", "Transfer-Encoding")
HELLO = b"5\r\nhello\r\n0\r\n\r\n"


class OddHeadTests(ExchangeTests):
    def check(self, data):
        """Check that bytes are no answer, with a clean close after them or without."""
        for closes in (False, True):
            self.setUp()
            exchange = self.send_request()
            self.connection.dataReceived(data)
            if closes and not self.transport.is_aborted:
                self.close_cleanly()
            self.assertIsNone(self.read_status(exchange))
            self.assertEqual(self.idle, [])

    def test_a_status_that_is_none_is_no_answer(self):
        for status in STATUSES:
            for rest in (b" OK", b""):
                with self.subTest(status=status, rest=rest):
                    line = b"HTTP/1.1 %s%s" % (status.encode(), rest)
                    self.check(line + b"\r\nContent-Length: 5\r\n\r\nhello")

    def test_another_protocol_is_no_answer(self):
        for version in VERSIONS:
            with self.subTest(version=version):
                self.check(version + b" 200 OK\r\nContent-Length: 5\r\n\r\nhello")

    def test_a_head_with_a_name_that_is_none_is_no_answer(self):
        for name in NAMES:
            for first in (b"", b"Response-Stamp: s\r\n"):
                with self.subTest(name=name, first=first):
                    head = b"HTTP/1.1 200 OK\r\n" + first + name + b": 1\r\n"
                    self.check(head + b"Content-Length: 5\r\n\r\nhello")

    # The body came with the marks of its chunks, as a whole answer.
    def test_no_other_body_is_read_by_a_length_whose_name_is_none(self):
        for template in ("{} ", "{}\t", " {}", "\t{}", "{}\x01", "\x00{}", "X {}"):
            for frame, value in (("Content-Length", b"3"), (FRAMES[1], b"chunked")):
                name = template.format(frame).encode()
                with self.subTest(name=name):
                    head = b"HTTP/1.1 200 OK\r\nServer: s\r\n" + name + b": " + value
                    self.check(head + b"\r\n\r\n" + HELLO)

    @examples(200)
    @given(st.binary(max_size=8), st.integers(0, 255))
    def test_a_byte_that_no_name_holds_makes_a_head_no_answer(self, rest, number):
        byte = bytes((number,))
        if byte.isalnum() or byte in b"!#$%&'*+-.^_`|~:\r\n":
            return
        name = b"X" + byte + bytes(each for each in rest if each not in b":\r\n")
        head = b"HTTP/1.1 200 OK\r\n" + name + b": 1\r\nContent-Length: 5\r\n\r\n"
        self.check(head + b"hello")

    def test_a_trailer_with_a_name_that_is_none_breaks_the_answer(self):
        for name in NAMES[:-4]:
            with self.subTest(name=name):
                self.setUp()
                exchange = self.send_request()
                head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                body = b"5\r\nhello\r\n0\r\n" + name + b": 1\r\n\r\n"
                self.connection.dataReceived(head + body)
                self.assertEqual(self.read_all(exchange), (b"hello", "broken"))


if __name__ == "__main__":
    unittest.main()
