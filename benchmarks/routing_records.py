"""Measure the cost of idempotency records: object API calls, stored bytes and time.

Each line is an answer size and a rate of lost object API replies. Every call claims its
idempotency key, is answered, and has its answer saved. Figures are medians over the
seeds, but the rate of refusals is the highest; the processor time, with its range,
includes the in-memory object API.
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
# Bytes of the answer, and share of object API calls whose reply is lost.
CASES = ((100, 0.0), (2_000, 0.0), (20_000, 0.0), (2_000, 0.05))


def run_calls(count, body_bytes, lost_rate, seed):
    """Return object API calls, bytes, microseconds and refusals per keyed call."""
    virtual_time = VirtualTime()
    clock = VirtualClock(virtual_time)
    state = StoreState()
    store = FakeStore(state, clock, random.Random(seed))
    store.lost_reply_rate = lost_rate
    ledger = IdempotencyLedger(ENTRY, clock, store, random.Random(seed))
    response = ServiceResponse(
        200, (("content-type", "text/plain"),), b"x" * body_bytes
    )

    refusals = []

    def save(claim):
        return ledger.save_answer(claim.stored_record, response)

    started = time.process_time()
    for number in range(count):
        call = ServiceRequest("POST", "/bookings", (), b"%d" % number)
        request = CallRequest(f"{number}", "team", "s", call, False, f"key {number}")
        claiming = ledger.claim(request, AttemptId(ENTRY, number), SIDE)
        claiming.addCallbacks(save, refusals.append)
        virtual_time.advance(timedelta(milliseconds=5))
    virtual_time.advance(SETTLE_TIME)
    duration = (time.process_time() - started) / count * 1e6
    stored = sum(len(stored_object.value) for stored_object in state.objects.values())
    return store.calls / count, stored / count, duration, len(refusals) / count


def main():
    """Print a table with a line for each case."""
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
        calls, stored, times, refusals = (sorted(column) for column in zip(*results))
        print(
            f"{body_bytes:12} {lost_rate:13} {statistics.median(calls):10.2f} "
            f"{statistics.median(stored):13.0f} {statistics.median(times):13.0f} "
            f"({times[0]:.0f}..{times[-1]:.0f})  refused {max(refusals):.4%}"
        )


if __name__ == "__main__":
    main()
