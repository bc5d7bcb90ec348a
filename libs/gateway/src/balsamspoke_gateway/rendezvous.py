"""Rendezvous hashing, by which all processes choose alike without messages."""

import xxhash


def compute_weight(key, name):
    """Return the weight (int) of a named choice for a key."""
    return xxhash.xxh32_intdigest(f"{key}/{name}".encode())


def rank_names(key, names):
    """Return names in descending order of their weights for a key.

    Whether a name is added or removed doesn't change the order of the others.
    """
    return sorted(names, key=lambda name: compute_weight(key, name), reverse=True)
