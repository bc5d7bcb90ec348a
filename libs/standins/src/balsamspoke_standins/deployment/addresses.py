"""Loopback addresses for the VMs of a deployment, one IP address each."""

import random

PEER_PORT = 7400
STATUS_PORT = 7401
HTTP_PORT = 7480
BACKEND_PORT = 7500
OBJECT_API_PORT = 7600
VM_LIST_PORT = 7601


class Addresses:
    """Allocator of IP addresses from a random /24 of 127.0.0.0/8.

    The range is random so that deployments on the same machine rarely collide.

    Parameters
    ----------
    random_source : random.Random
        Source of the range; the operating system's by default.
    """

    def __init__(self, random_source=None):
        source = random_source or random.SystemRandom()
        self._prefix = f"127.{source.randrange(16, 250)}.{source.randrange(250)}"
        self._last_host = 0

    def allocate(self):
        """Return the next IP address."""
        self._last_host += 1
        return f"{self._prefix}.{self._last_host}"
