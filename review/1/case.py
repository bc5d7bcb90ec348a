"""One replica sends a body in small chunks without end; see claim.txt."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "common"))

from harness import HAS_TROUBLE, PlainReplica, run_case
from plain import ROUTE_TIMEOUT_S, PlainDeployment

# What the sick replica sends, again and again until the caller closes: a chunk of one
# byte, at 8 Mbit/s a connection, of its machine's 2,000 Mbit/s.
CHUNK = b"1\r\n \r\n"
BYTES_PER_SECOND = 1_000_000
PIECES_PER_SECOND = 50
TRAFFIC_S = 12.0
REQUESTS_PER_SECOND = 24
TROUBLE_AT_S = 3.0
# A request that is unanswered at its route's timeout is to be answered within this.
SLACK_S = 0.5


class EndlessReplica(PlainReplica):
    """A replica that at some moment begins to answer without end."""

    is_sick = False

    async def run(self, request, request_id, writer):
        """Answer, or send chunks until the caller closes the connection."""
        if not self.is_sick:
            await super().run(request, request_id, writer)
            return
        headers = self.make_headers(request_id)
        fields = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
        head = f"HTTP/1.1 200 OK\r\n{fields}Transfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        chunks = BYTES_PER_SECOND // PIECES_PER_SECOND // len(CHUNK)
        while True:
            writer.write(CHUNK * chunks)
            await writer.drain()
            await asyncio.sleep(1 / PIECES_PER_SECOND)


async def play(record, scratch):
    """Return whether the rule was broken."""
    deployment = PlainDeployment(record, scratch, EndlessReplica)
    try:
        await deployment.start()
        loop = asyncio.get_running_loop()
        if HAS_TROUBLE:
            loop.call_later(TROUBLE_AT_S, turn_sick, deployment.replicas[0])
        await deployment.send_traffic(TRAFFIC_S, REQUESTS_PER_SECOND)
        return judge(record, deployment)
    finally:
        await deployment.stop()


def turn_sick(replica):
    """Let a replica answer without end from now on."""
    replica.record.write(f"{replica.id} sends bodies without end from now on")
    replica.is_sick = True


def judge(record, deployment):
    """Return whether more than half were without an answer for too long."""
    durations = [each.ended_at - each.sent_at for each in deployment.outcomes]
    at_timeout = sum(each >= ROUTE_TIMEOUT_S for each in durations)
    later = sum(each >= ROUTE_TIMEOUT_S + SLACK_S for each in durations)
    text = (
        f"{len(durations)} requests ({deployment.count_statuses()}); unanswered at the "
        f"route's timeout: {at_timeout}, of these half a second later: {later}"
    )
    record.write(text)
    print(text)
    return later > at_timeout / 2


run_case(play, Path(__file__).parent)
