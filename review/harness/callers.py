"""Clients of the system."""

import asyncio
import time

from .deployment import HOST, KEY
from .http import read_head


def format_request(method, path, request_id, deadline_ms=3000):
    """Return the bytes of a request without a body."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Request-Id: {request_id}",
        f"Authorization: Bearer {KEY}",
        f"Deadline-Ms: {deadline_ms}",
        "Content-Length: 0",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


async def send_request(ip, method, path, request_id):
    """Send a request on a new connection; return the status, or a text."""
    try:
        reader, writer = await asyncio.open_connection(ip, 8221)
    except OSError:
        return "no connection"
    try:
        writer.write(format_request(method, path, request_id))
        head = await read_head(reader)
        if head is None:
            return "closed"
        await reader.readexactly(int(head[1].get("content-length", 0)))
        return head[0].split()[1]
    except (asyncio.IncompleteReadError, ConnectionError):
        return "cut"
    finally:
        writer.close()


class Traffic:
    """Send requests at a steady rate, to each entry process in turn.

    Parameters
    ----------
    ips : list of str
        Addresses of the entry processes.
    record : Record
        Receives each request and its answer.
    interval : float
        Seconds between two requests.

    Attributes
    ----------
    sent_at : dict
        Monotonic time by request id.
    answers : dict
        Status or text by request id.
    """

    def __init__(self, ips, record, interval=0.025):
        self._ips = ips
        self._record = record
        self._interval = interval
        self._tasks = set()
        self._sending = None
        self.sent_at = {}
        self.answers = {}

    def start(self):
        """Begin to send."""
        self._sending = asyncio.create_task(self._send_all())

    async def stop(self):
        """Send no more, and wait for all answers."""
        self._sending.cancel()
        await asyncio.gather(*self._tasks)

    async def _send_all(self):
        number = 0
        while True:
            number += 1
            task = asyncio.create_task(self._send(number))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval)

    async def _send(self, number):
        ip = self._ips[number % len(self._ips)]
        request_id = f"r{number}"
        method, path = ("GET", "/look/1") if number % 2 else ("POST", "/book/1")
        self.sent_at[request_id] = time.monotonic()
        self._record.write(f"sent {request_id} {method} {path} to {ip}")
        answer = await send_request(ip, method, path, request_id)
        self.answers[request_id] = answer
        self._record.write(f"answered {request_id} {answer}")


async def read_stream(ip, path, request_id, headers, deadline_ms):
    """Send a request for a stream; return what became of it.

    That is the status, with the number of events if it is a success, or a text.
    """
    try:
        reader, writer = await asyncio.open_connection(ip, 8221)
    except OSError:
        return "no connection"
    try:
        text = format_request("POST", path, request_id, deadline_ms).decode()
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers)
        writer.write((text[:-2] + fields + "\r\n").encode())
        async with asyncio.timeout(deadline_ms / 1000):
            head = await read_head(reader)
            if head is None:
                return "closed"
            status = head[0].split()[1]
            if status != "200":
                return status
            body = await reader.readuntil(b"0\r\n\r\n")
            return f"200 with {body.count(b'data:')} events"
    except (asyncio.IncompleteReadError, ConnectionError):
        return "cut"
    except TimeoutError:
        return "given up"
    finally:
        writer.close()
