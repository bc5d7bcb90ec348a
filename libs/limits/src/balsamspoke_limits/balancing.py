"""How many units of a group a process holds."""

from dataclasses import dataclass

_HYSTERESIS_DIVISOR = 8


@dataclass(frozen=True, slots=True)
class Standing:
    """A process's place in a group.

    Attributes
    ----------
    process : ProcessId
        Who.
    holders : tuple of str
        VMs that share the group's units; may lack the process's own.
    total : int
        Units of the group.
    claims : bool
        Whether it may take units that it doesn't hold yet.
    leaving : bool
        Whether it gives everything up.
    """

    process: object
    holders: tuple[str, ...]
    total: int
    claims: bool
    leaving: bool


def plan_units(record, standing):
    """Return the record with the units of the process as they should be.

    Units of an earlier run on the same VM are taken over: a run holds the
    VM's listening port, so the earlier one has ended.
    """
    process = standing.process
    if standing.leaving:
        return record.with_units(process, 0)
    held = record.held_by(process)
    for other in sorted(record.units):
        if other.vm == process.vm and other != process:
            held += record.held_by(other)
            record = record.with_units(other, 0)
    if standing.claims:
        held += _find_change(record, standing, held)
    return record.with_units(process, held)


def _find_change(record, standing, held):
    fair = _find_fair_part(standing)
    free = max(0, record.free(standing.total) - _find_unwritten(record, standing, held))
    if held < fair:
        return min(free, fair - held)
    if held == fair:
        return 0
    return -min(held - fair, max(0, _find_lack(record, standing, fair) - free))


def _find_unwritten(record, standing, held):
    return held - record.held_by(standing.process)


def _find_fair_part(standing):
    if standing.process.vm not in standing.holders:
        return 0
    return -(-standing.total // len(standing.holders))


def _find_lack(record, standing, fair):
    held_on = {process.vm: count for process, count in record.units.items()}
    others = [vm for vm in standing.holders if vm != standing.process.vm]
    if not fair and others:
        fair = -(-standing.total // len(others))
    # Hysteresis: a holder that lacks little is left as it is.
    slack = fair // _HYSTERESIS_DIVISOR
    lacks = [fair - held_on.get(vm, 0) for vm in others]
    return sum(lack for lack in lacks if lack > slack)
