"""Measure what idempotency records cost: calls of the object API, bytes, time.

One line for each size of answer and share of lost replies; every call claims its
key, is answered and saved. Processor time is the median over the seeds, with the
spread; it includes the in-memory object API.
"""

import argparse
import random
import statistics
import time
from datetime import timedelta

from balsamspoke_fakes import FakeStore, StoreState, VirtualClock, VirtualTime
from balsamspoke_routing import CallRequest, IdempotencyLedger
from balsamspoke_types.identifiers import AttemptId, ProcessId
from balsamspoke_types.ports import ServiceRequest, ServiceResponse

SIDE = ProcessId("service-vm-12345", 2**63)
ENTRY = ProcessId("entry-vm-12345", 2**63)
SETTLE_TIME = timedelta(seconds=60)
CASES = ((100, 0.0), (2_000, 0.0), (20_000, 0.0), (2_000, 0.05))


def run_calls(count, body_bytes, lost_rate, seed):
    """Return API calls, bytes, microseconds and refusals, each for one keyed call."""
    elapsed = VirtualTime()
    clock = VirtualClock(elapsed)
    state = StoreState()
    store = FakeStore(state, clock, random.Random(seed))
    store.lost_reply_rate = lost_rate
    ledger = IdempotencyLedger(ENTRY, clock, store, random.Random(seed))
    response = ServiceResponse(
        200, (("content-type", "text/plain"),), b"x" * body_bytes
    )

    refused = []

    def save(claim):
        return ledger.save_answer(claim.stored_record, response)

    begin = time.process_time()
    for number in range(count):
        call = ServiceRequest("POST", "/bookings", (), b"%d" % number)
        request = CallRequest(f"{number}", "team", "s", call, False, f"key {number}")
        claimed = ledger.claim(request, AttemptId(ENTRY, number), SIDE)
        claimed.addCallbacks(save, refused.append)
        elapsed.advance(timedelta(milliseconds=5))
    elapsed.advance(SETTLE_TIME)
    spent = (time.process_time() - begin) / count * 1e6
    stored = sum(len(found.value) for found in state.objects.values())
    return store.calls / count, stored / count, spent, len(refused) / count


def main():
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--calls", type=int, default=2_000)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    print(
        "answer bytes  lost replies  API calls  stored bytes  microseconds (min..max)"
    )
    for body_bytes, lost_rate in CASES:
        results = [
            run_calls(options.calls, body_bytes, lost_rate, seed)
            for seed in range(options.seeds)
        ]
        calls, stored, spent, refused = (sorted(column) for column in zip(*results))
        print(
            f"{body_bytes:12} {lost_rate:13} {statistics.median(calls):10.2f} "
            f"{statistics.median(stored):13.0f} {statistics.median(spent):13.0f} "
            f"({spent[0]:.0f}..{spent[-1]:.0f})  refused {max(refused):.4%}"
        )


if __name__ == "__main__":
    main()
