"""Mapping of teams to groups, and of groups to the entry VMs that hold their units."""

import heapq

import xxhash


def find_group(team, groups):
    """Return the index of a team's group, from 0 to ``groups - 1``."""
    return xxhash.xxh64_intdigest(team.encode()) % groups


def choose_holders(group, vms, count):
    """Choose up to ``count`` VMs to hold a group's units, by rendezvous hashing."""

    def compute_weight(vm):
        return xxhash.xxh64_intdigest(f"{group}/{vm}".encode()), vm

    return tuple(heapq.nlargest(count, vms, key=compute_weight))
