"""Answers to clients that read slowly are cut off after a second and a half.

Clients book on kept connections, read the first part of the answer, do something else
for two seconds, and read on. Meanwhile their machine gets SIGTERM, as planned work.
"""

import asyncio
import signal
import socket

from harness.callers import format_request
from harness.cases import has_trouble, run_case
from harness.deployment import make_configuration, make_route
from harness.replicas import PlainReplica

CLIENTS = 12
WARM_UP_SECONDS = 5.0
# Largest answer of the sheets' bookings.
BODY_BYTES = 4800
# Small windows, so that a client that does not read blocks the writer.
RECEIVE_BUFFER_BYTES = 2048
FIRST_READ_BYTES = 512
PAUSE_SECONDS = 2.0
STOP_AFTER_SECONDS = 0.5
DEADLINE_MS = 4000


async def play(deployment, record):
    """Play the case; return whether LOST held."""
    store = deployment.store
    routes = [make_route("book", "unsafe", "plain", DEADLINE_MS)]
    services = [{"name": "plain", "max_conns": 96}]
    store.put("config", "main", make_configuration(1, routes, services))
    replicas = []
    for number in range(1, 4):
        ip = f"{deployment.network}.3.{number}"
        replica = PlainReplica(f"p-{number}", ip, record, BODY_BYTES)
        await replica.start()
        store.put("servers", replica.id, replica.describe("plain"))
        replicas.append(replica)
    await deployment.start()
    await asyncio.sleep(WARM_UP_SECONDS)
    entry = deployment.entries[0]
    pause = PAUSE_SECONDS if has_trouble() else 0.0
    clients = [
        asyncio.create_task(run_client(entry.ip, number, pause, record))
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(STOP_AFTER_SECONDS)
    entry.send(signal.SIGTERM)
    record.write(f"SIGTERM to {entry.name}")
    ends = dict(await asyncio.gather(*clients))
    ran = {request_id for replica in replicas for request_id, _ in replica.runs}
    lost = [each for each, end in ends.items() if end != "whole" and each in ran]
    text = (
        f"{len(lost)} of {CLIENTS} bookings were run, and their connections ended "
        "without a complete answer"
    )
    record.write(text)
    print(text)
    return not lost


async def run_client(ip, number, pause, record):
    """Book twice on one connection, the second time reading slowly.

    Return the id of the second request, and ``whole`` if its answer was complete.
    """
    loop = asyncio.get_running_loop()
    handle = socket.socket()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    handle.setblocking(False)
    request_id = f"b{number}"
    try:
        await loop.sock_connect(handle, (ip, 8221))
        await exchange(handle, f"a{number}", 0.0, record)
        end = await exchange(handle, request_id, pause, record)
    except OSError as error:
        end = f"cut: {error.strerror}"
        record.write(f"answered {request_id} {end}")
    finally:
        handle.close()
    return request_id, end


async def exchange(handle, request_id, pause, record):
    """Send a booking, and read its answer with a pause; return how it ended."""
    loop = asyncio.get_running_loop()
    record.write(f"sent {request_id}")
    request = format_request("POST", "/book/1", request_id, DEADLINE_MS)
    await loop.sock_sendall(handle, request)
    answer = await loop.sock_recv(handle, FIRST_READ_BYTES)
    await asyncio.sleep(pause)
    while not is_whole(answer):
        piece = await loop.sock_recv(handle, 65536)
        if not piece:
            break
        answer += piece
    end = "whole" if is_whole(answer) else f"cut after {len(answer)} bytes"
    record.write(f"answered {request_id} {end}")
    return end


def is_whole(answer):
    """Return whether bytes are a complete successful answer."""
    head, _, body = answer.partition(b"\r\n\r\n")
    return head.startswith(b"HTTP/1.1 200") and len(body) == BODY_BYTES


if __name__ == "__main__":
    run_case(__file__, play, entries=2)
