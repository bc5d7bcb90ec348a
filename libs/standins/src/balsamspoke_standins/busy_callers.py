"""Callers that send one short request after another, each on a connection it keeps.

Run by ``python -m balsamspoke_standins.busy_callers IP PORT CALLERS``. On SIGTERM it
prints the number of answers.
"""

import argparse
import selectors
import signal
import socket
import sys

MAX_ANSWER_BYTES = 65_536


class BusyCallers:
    """Callers of one server, who come back at once when a connection is closed.

    Parameters
    ----------
    address : tuple of str and int
        IP address and port of the server.
    request : bytes
        What each of them sends, again and again.

    Attributes
    ----------
    answers : int
        Answers so far.
    """

    def __init__(self, address, request):
        self._address = address
        self._request = request
        self._selector = selectors.DefaultSelector()
        self.answers = 0

    def run(self, count):
        """Keep callers busy, for as long as the server takes connections."""
        for _ in range(count):
            self._connect()
        while self._selector.get_map():
            for key, _ in self._selector.select():
                self._handle(key.fileobj)

    def _handle(self, caller):
        if self._read_answer(caller) and self._send(caller):
            return
        self._selector.unregister(caller)
        caller.close()
        self._connect()

    def _connect(self):
        caller = socket.socket()
        try:
            caller.connect(self._address)
        except OSError:
            caller.close()
            return
        if self._send(caller):
            self._selector.register(caller, selectors.EVENT_READ)
        else:
            caller.close()

    def _read_answer(self, caller):
        """Return whether there was an answer; short ones come in one piece."""
        try:
            has_answer = bool(caller.recv(MAX_ANSWER_BYTES))
        except OSError:
            return False
        self.answers += has_answer
        return has_answer

    def _send(self, caller):
        try:
            caller.sendall(self._request)
        except OSError:
            return False
        return True


def main():
    """Run the callers that the command line asks for until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("ip")
    parser.add_argument("port", type=int)
    parser.add_argument("callers", type=int)
    parser.add_argument("--path", default="/")
    parser.add_argument("--host", default="a")
    parser.add_argument("--key", default="wrong")
    arguments = parser.parse_args()
    lines = (
        f"GET {arguments.path} HTTP/1.1",
        f"Host: {arguments.host}",
        f"Authorization: Bearer {arguments.key}",
        "Request-Id: busy",
        "\r\n",
    )
    callers = BusyCallers(
        (arguments.ip, arguments.port), "\r\n".join(lines).encode("latin-1")
    )

    def stop(*_):
        print(callers.answers, flush=True)
        sys.exit(0)

    signal.signal(signal.SIGTERM, stop)
    callers.run(arguments.callers)


if __name__ == "__main__":
    main()
