"""Which group a team belongs to, and which entry VMs hold a group's units."""

import heapq

import xxhash


def find_group(team, groups):
    """Return the group of a team, from zero on."""
    return xxhash.xxh64_intdigest(team.encode()) % groups


def choose_holders(group, vms, count):
    """Choose the VMs that hold a group's units, by rendezvous hashing."""

    def weigh(vm):
        return xxhash.xxh64_intdigest(f"{group}/{vm}".encode()), vm

    return tuple(heapq.nlargest(count, vms, key=weigh))
