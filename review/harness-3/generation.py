"""A deployment with engines, a side process beside each, and callers of streams."""

import asyncio
import re

from deployment import Caller, Deployment, make_configuration
from engines import MODEL, Engine, Side

SERVICE = "engines"


def make_engine_configuration(limits, version=1):
    """Return a configuration with a route of resumable streams to the engines."""
    configuration = make_configuration(version)
    configuration["services"].append(limits.make_service(SERVICE))
    route = {
        **configuration["routes"][0],
        "name": "generate",
        "path_prefix": "/generate/",
        "kind": "streaming",
        "timeout_ms": 5000,
        "goal_ms": 600,
        "service": SERVICE,
        "max_attempts": 2,
        "resumable": True,
        "gap_target_ms": 400,
        "sticky": True,
    }
    configuration["routes"].append(route)
    return configuration


class EngineDeployment(Deployment):
    """A deployment with engines beside its plain replicas.

    Attributes
    ----------
    engines : list of Engine
        The engines.
    """

    def __init__(self, folder, scratch, entries, engines, limits):
        super().__init__(folder, scratch, entries, 1, 0.02)
        self._limits = limits
        self.engines = [
            Engine(
                self.record,
                self.store,
                f"e-{n}",
                SERVICE,
                f"{self.network}.{50 + n}",
                f"zone-{n}",
                limits,
            )
            for n in range(1, engines + 1)
        ]
        self._sides = [
            Side(scratch, each, SERVICE, "zone-1", self.store_ip)
            for each in self.engines
        ]

    async def start_all(self):
        """Start all; return when adapters can be loaded."""
        for engine in self.engines:
            await engine.start()
        await self.start(make_engine_configuration(self._limits))
        for side in self._sides:
            await side.start()
        await asyncio.sleep(2.0)

    async def stop(self):
        """Kill the side and entry processes."""
        for side in self._sides:
            await side.stop()
        await super().stop()


async def call_stream(deployment, entry, number, adapter):
    """Call for a stream.

    Returns
    -------
    tuple
        The request's id, the bytes of the answer, and whether its end is complete.
    """
    caller = Caller(deployment.record, entry.ip, f"call-{number}")
    await caller.connect()
    headers = {
        "Model": f"{MODEL}/a{adapter}",
        "Token-Count": "100,70",
        "Prompt-Prefix": f"{adapter:x}:40,{number + 4096:x}:60",
    }
    body = b'{"number": %d}' % number
    target = "/generate/x"
    request, head = caller.make_head("POST", target, 5000, len(body), headers)
    caller.write(head + body)
    answer = await caller.read_until_end(8.0)
    is_complete = answer.endswith(b"0\r\n\r\n")
    status = answer[9:12].decode() or "nothing"
    ids = list_event_ids(answer)
    deployment.record.add(
        f"{request} for a{adapter}: answered {status}, events {ids}, "
        f"{'complete' if is_complete else 'not complete'}"
    )
    caller.close()
    return request, answer, is_complete


def list_event_ids(answer):
    """Return the ids of the events in an answer, in order."""
    return [int(each) for each in re.findall(rb"\nid: (\d+)\n", answer)]
