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
        self._scratch = scratch
        self._limits = limits
        self._sides = []
        self.engines = []
        for _ in range(engines):
            self._add_engine("1")

    def _add_engine(self, software_version):
        number = len(self.engines) + 1
        engine = Engine(
            self.record,
            self.store,
            f"e-{number}",
            SERVICE,
            f"{self.network}.{50 + number}",
            f"zone-{number}",
            self._limits,
        )
        engine.software_version = software_version
        self.engines.append(engine)
        side = Side(self._scratch, engine, SERVICE, "zone-1", self.store_ip)
        self._sides.append(side)
        return engine, side

    async def release_engine(self, software_version):
        """Start an engine with a software version beside the others."""
        engine, side = self._add_engine(software_version)
        await engine.start()
        await side.start()
        self.record.add(f"{engine.id} has started, with version {software_version}")

    async def start_all(self):
        """Start all; return when adapters can be loaded."""
        for engine in self.engines:
            await engine.start()
        await self.start(make_engine_configuration(self._limits))
        for side in list(self._sides):
            await side.start()
        await asyncio.sleep(2.0)

    async def stop(self):
        """Kill the side and entry processes."""
        for side in self._sides:
            await side.stop()
        await super().stop()


async def call_stream(deployment, entry, number, adapter, resumed=None):
    """Call for a stream.

    Parameters
    ----------
    deployment : EngineDeployment
        Its record gets what is sent and answered.
    entry : Entry
        The process to call.
    number : int
        Number of the stream, by which the content of its request differs.
    adapter : int
        Number of the adapter.
    resumed : tuple of str and int or None
        Id of the request that brought the first event of the stream that is resumed,
        and the last event that came.

    Returns
    -------
    tuple
        The request's id, the bytes of the answer, and whether its end is complete.
    """
    name = f"call-{number}" if resumed is None else f"resume-{number}"
    caller = Caller(deployment.record, entry.ip, name)
    await caller.connect()
    headers = {
        "Model": f"{MODEL}/a{adapter}",
        "Token-Count": "100,70",
        "Prompt-Prefix": f"{adapter:x}:40,{number + 4096:x}:60",
    }
    if resumed is not None:
        headers["Resumes"], headers["Last-Event-Id"] = resumed[0], str(resumed[1])
    body = b'{"number": %d}' % number
    target = "/generate/x"
    request, head = caller.make_head("POST", target, 5000, len(body), headers)
    caller.write(head + body)
    answer = await caller.read_until_end(8.0)
    is_complete = answer.endswith(b"0\r\n\r\n")
    status = answer[9:12].decode() or "nothing"
    ids = list_event_ids(answer)
    deployment.record.add(
        f"{request} for a{adapter} at {entry.name}: answered {status}, events {ids}, "
        f"{'complete' if is_complete else 'not complete'}"
    )
    caller.close()
    return request, answer, is_complete


def list_event_ids(answer):
    """Return the ids of the events in an answer, in order."""
    return [int(each) for each in re.findall(rb"\nid: (\d+)\n", answer)]
