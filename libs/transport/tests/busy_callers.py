"""Callers that send one request after another: busy_callers.py IP PORT COUNT."""

import selectors
import socket
import sys

REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


def main(ip, port, count):
    """Keep COUNT connections busy; those that are closed are opened again."""
    selector = selectors.DefaultSelector()
    for _ in range(count):
        _connect(selector, (ip, port))
    while selector.get_map():
        for key, _ in selector.select():
            if not _send_next(key.fileobj):
                selector.unregister(key.fileobj)
                key.fileobj.close()
                _connect(selector, (ip, port))


def _connect(selector, address):
    caller = socket.socket()
    try:
        caller.connect(address)
        caller.sendall(REQUEST)
    except OSError:
        caller.close()
        return
    selector.register(caller, selectors.EVENT_READ)


def _send_next(caller):
    """Read an answer and send the next request; return whether both worked."""
    try:
        if not caller.recv(65_536):
            return False
        caller.sendall(REQUEST)
    except OSError:
        return False
    return True


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]), int(sys.argv[3]))
