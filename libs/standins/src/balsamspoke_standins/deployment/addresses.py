"""Loopback addresses: each VM of a deployment has an IP number of its own."""

import random

PEER_PORT = 7400
STATUS_PORT = 7401
CALLER_PORT = 7480
BACKEND_PORT = 7500
OBJECT_API_PORT = 7600
VM_LIST_PORT = 7601


class Addresses:
    """Give out IP numbers of a range that other deployments hardly use.

    Parameters
    ----------
    random_source : random.Random
        Draws the range below 127.0.0.0/8.
    """

    def __init__(self, random_source=None):
        source = random_source or random.SystemRandom()
        self._prefix = f"127.{source.randrange(16, 250)}.{source.randrange(250)}"
        self._last = 0

    def take(self):
        """Return the next IP number."""
        self._last += 1
        return f"{self._prefix}.{self._last}"
