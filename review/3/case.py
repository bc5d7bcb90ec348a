"""A stream whose events have long ids is taken up again; see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from engine import MODEL, EngineDeployment
from harness import HAS_TROUBLE, Caller, run_case

# Microseconds since the Unix epoch, as the ids of events.
FIRST_ID = 1_765_000_000_000_000
EVENTS = 30
EVENT_INTERVAL_S = 0.1
STREAMS = 12
KILL_AFTER_S = 1.5


async def play(record, scratch):
    """Return whether the rule was broken."""
    deployment = EngineDeployment(record, scratch, entries=2)
    replica = deployment.replica
    replica.first_id = FIRST_ID
    replica.events, replica.event_interval_s = EVENTS, EVENT_INTERVAL_S
    try:
        await deployment.start()
        streams = [
            asyncio.create_task(read_stream(record, deployment, number))
            for number in range(STREAMS)
        ]
        await asyncio.sleep(KILL_AFTER_S)
        if HAS_TROUBLE:
            record.write("entry-1 is killed")
            await deployment.entries[0].kill()
        return judge(record, await asyncio.gather(*streams))
    finally:
        await deployment.stop()


async def read_stream(record, deployment, number):
    """Read a stream; take it up at the other process if its connection breaks."""
    headers = {
        "Deadline-Ms": "5000",
        "Model": MODEL,
        "Token-Count": "100,30",
        "Prompt-Prefix": f"5c1e:60,{number:x}:40",
    }
    body = f"prompt {number}".encode()
    first, second = (entry.ip for entry in deployment.entries)
    request_id = f"s{number}"
    outcome = await Caller(record, first).call(
        request_id, "talk", "POST", headers, body, 5.0
    )
    ids = list_ids(outcome.body)
    if outcome.is_complete or not ids:
        return ids, outcome
    more = {"Last-Event-Id": str(ids[-1]), "Resumes": request_id}
    record.write(f"caller takes up {request_id} after event {ids[-1]}")
    outcome = await Caller(record, second).call(
        f"{request_id}b", "talk", "POST", {**headers, **more}, body, 5.0
    )
    return ids + list_ids(outcome.body), outcome


def list_ids(body):
    """Return the ids of the whole events of a stream."""
    *events, _ = body.split(b"\n\n")
    return [int(each.split(b"\n")[0].removeprefix(b"id: ")) for each in events]


def judge(record, streams):
    """Return whether a stream holds an event twice, or lacks one."""
    expected = list(range(FIRST_ID, FIRST_ID + EVENTS))
    complete = [
        ids for ids, outcome in streams if outcome.status == 200 and outcome.is_complete
    ]
    broken = [ids for ids in complete if ids != expected]
    for ids in broken:
        twice = len(ids) - len(set(ids))
        record.write(f"a stream that ended as complete: {twice} events came twice")
    text = (
        f"{len(streams)} streams, {len(complete)} of them ended as complete; with "
        f"events twice or missing: {len(broken)}"
    )
    record.write(text)
    print(text)
    return bool(broken)


run_case(play, Path(__file__).parent)
