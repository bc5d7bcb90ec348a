"""A process that can't hear the store is killed while a new version is released."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "harness-3"))

from deployment import keep, run_case
from engines import EngineLimits
from generation import EngineDeployment, call_stream, list_event_ids

LIMITS = EngineLimits(
    weights_mb=66_600, model_mb=65_100, adapter_mb=12, adapter_slots=16
)
ENTRIES = 3
ENGINES = 4
ADAPTERS = 4
SECONDS = 14
# New streams at each process.
STREAMS_PER_SECOND = 40
CUT_AT = 5
RELEASE_AT = 6
KILL_AT = 9
# The platform starts a killed process again after a short delay.
RESTART_AT = 10
# LOST counts from this number of streams.
MIN_RESUMED = 12


class Streams:
    """The streams of the callers, and how they went on."""

    def __init__(self, deployment):
        self._deployment = deployment
        self.begun = []
        self.resumed = []

    async def call(self, number):
        """Call for a stream; resume it at another process if it breaks off."""
        deployment = self._deployment
        first = number % ENTRIES
        entry = deployment.entries[first]
        adapter = number % ADAPTERS
        try:
            request, answer, is_complete = await call_stream(
                deployment, entry, number, adapter
            )
        except OSError:
            # The process was gone before the stream began.
            return
        ids = list_event_ids(answer)
        if first:
            self.begun.append(bool(ids))
        if is_complete or not ids:
            return
        other = deployment.entries[1 + number // ENTRIES % (ENTRIES - 1)]
        _, answer, _ = await call_stream(
            deployment, other, number, adapter, (request, ids[-1])
        )
        self.resumed.append(list_event_ids(answer)[:1] == [ids[-1] + 1])


async def play(folder, scratch, has_trouble):
    """Cut one process off from the store, release a version, and kill that process."""
    deployment = EngineDeployment(folder, scratch, ENTRIES, ENGINES, LIMITS)
    streams = Streams(deployment)
    calls = []
    try:
        await deployment.start_all()
        for number in range(SECONDS * STREAMS_PER_SECOND * ENTRIES):
            second, rest = divmod(number, STREAMS_PER_SECOND * ENTRIES)
            if not rest:
                await act(deployment, second, has_trouble)
            calls.append(keep(streams.call(number)))
            await asyncio.sleep(1 / STREAMS_PER_SECOND / ENTRIES)
        await asyncio.gather(*calls)
    finally:
        await deployment.stop()
    return judge(deployment, streams)


async def act(deployment, second, has_trouble):
    """Do what is due at a second of the traffic."""
    entry = deployment.entries[0]
    if second == RELEASE_AT:
        await deployment.release_engine("2")
    if not has_trouble:
        return
    if second == CUT_AT:
        deployment.record.add(f"{entry.name} is cut off from the store")
        deployment.store.cut_off.add(entry.store_ip)
    if second == KILL_AT:
        deployment.record.add(f"{entry.name} is killed")
        await entry.stop()
        deployment.store.cut_off.discard(entry.store_ip)
    if second == RESTART_AT:
        await entry.start()


def judge(deployment, streams):
    """Return whether resumed streams go on at least half as often as new ones begin."""
    begun = sum(streams.begun) / len(streams.begun)
    count = len(streams.resumed)
    going_on = sum(streams.resumed)
    deployment.record.add(
        f"{going_on} of {count} resumed streams went on; "
        f"{sum(streams.begun)} of {len(streams.begun)} new ones began"
    )
    if count < MIN_RESUMED:
        return True
    return going_on / count >= begun / 2


if __name__ == "__main__":
    run_case(play)
