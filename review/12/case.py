"""Forms that callers upload, within the limits, while others use kept connections."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))

from deployment import Caller, Deployment, keep, make_configuration, run_case

MEMORY_MEGABYTES = 300
MAX_BODY_BYTES = 4_194_304
FORM_TYPE = "application/x-www-form-urlencoded"
OTHER_TYPE = "application/octet-stream"
UPLOADS = 4
KEPT_CALLERS = 32
RUN_SECONDS = 2.0
CALM_SECONDS = 7.0
# LOST allows this many.
ALLOWED_CLOSES = 3


def make_form():
    """Return the form of a long list of seats, just within the limit."""
    pairs = []
    size = 0
    while size < MAX_BODY_BYTES - 20:
        pair = b"s%d=1" % len(pairs)
        pairs.append(pair)
        size += len(pair) + 1
    return b"&".join(pairs)


async def call_again_and_again(caller, deployment, closed, ends_at):
    """Send requests on one connection until it is closed or the case ends."""
    count = 0
    while time.monotonic() < ends_at:
        request, head = caller.make_head("GET", "/safe/x", 4000, 0)
        caller.write(head)
        status = await caller.read_answer(8.0)
        if status is None:
            deployment.record.add(f"{request}: connection closed without an answer")
            if count:
                closed.append(request)
            return
        count += 1


async def upload(deployment, name, body, content_type):
    """Send a body, and record the answer."""
    caller = Caller(deployment.record, deployment.entries[0].ip, name)
    await caller.connect()
    headers = {"Content-Type": content_type}
    request, head = caller.make_head("POST", "/unsafe/x", 4000, len(body), headers)
    deployment.record.add(f"{request}: {len(body)} bytes of {content_type}")
    caller.write(head + body)
    status = await caller.read_answer(20.0)
    deployment.record.add(f"{request}: answered {status}")
    caller.close()


async def play(folder, scratch, has_trouble):
    """Upload the bodies, as forms or as another type, beside kept connections."""
    deployment = Deployment(folder, scratch, 1, 3, RUN_SECONDS)
    entry = deployment.entries[0]
    closed = []
    try:
        await deployment.start(make_configuration(1, MAX_BODY_BYTES))
        watching = keep(entry.watch_memory(MEMORY_MEGABYTES))
        ends_at = time.monotonic() + CALM_SECONDS + 6.0
        kept = []
        for number in range(KEPT_CALLERS):
            caller = Caller(deployment.record, entry.ip, f"kept-{number}")
            await caller.connect()
            call = call_again_and_again(caller, deployment, closed, ends_at)
            kept.append(keep(call))
            # So that some request begins and some ends at any moment.
            await asyncio.sleep(RUN_SECONDS / KEPT_CALLERS)
        await asyncio.sleep(CALM_SECONDS - RUN_SECONDS)
        body = make_form()
        content_type = FORM_TYPE if has_trouble else OTHER_TYPE
        uploads = [
            upload(deployment, f"upload-{number}", body, content_type)
            for number in range(UPLOADS)
        ]
        await asyncio.gather(*uploads, return_exceptions=True)
        await asyncio.gather(*kept, return_exceptions=True)
        watching.cancel()
    finally:
        await deployment.stop()
    return judge(deployment, closed)


def judge(deployment, closed):
    """Return whether at most three kept connections were closed without an answer.

    Only requests that a replica got count.
    """
    runs = {
        request for replica in deployment.replicas for request, _, _ in replica.runs
    }
    lost = [request for request in closed if request in runs]
    for request in lost:
        deployment.record.add(f"LOST {request}: passed on, and never answered")
    peak = deployment.entries[0].peak_megabytes
    deployment.record.add(
        f"{len(lost)} requests passed on and lost, {peak:.0f} MB in memory at the peak"
    )
    return len(lost) <= ALLOWED_CLOSES


if __name__ == "__main__":
    run_case(play)
