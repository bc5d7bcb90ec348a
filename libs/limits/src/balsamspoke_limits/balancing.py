"""Computation of the units of a group that a process should hold."""

from dataclasses import dataclass

_HYSTERESIS_DIVISOR = 8


@dataclass(frozen=True, slots=True)
class PlanningContext:
    """Inputs, besides the record, of the plan of one process for one group.

    Attributes
    ----------
    process : ProcessId
        The process that plans.
    holders : tuple of str
        VMs that share the group's units; may lack the VM of the process.
    total : int
        Number of units in the group.
    can_rebalance : bool
        Whether the process may claim free units or release surplus ones. Units of
        earlier runs are taken over either way.
    is_leaving : bool
        Whether the process releases all its units.
    """

    process: object
    holders: tuple[str, ...]
    total: int
    can_rebalance: bool
    is_leaving: bool


def plan_units(record, context):
    """Return the record with the units that the process should hold.

    Units of an earlier run on the same VM are taken over: a run holds the VM's
    listening port, so the earlier one has ended.

    Parameters
    ----------
    record : GroupRecord
        The group's record as last known.
    context : PlanningContext
        The process and the group's holders.
    """
    process = context.process
    if context.is_leaving:
        return record.with_units(process, 0)
    held = record.get_units(process)
    for other in sorted(record.units):
        if other.vm == process.vm and other != process:
            held += record.get_units(other)
            record = record.with_units(other, 0)
    if context.can_rebalance:
        held += _compute_change(record, context, held)
    return record.with_units(process, held)


def _compute_change(record, context, held):
    fair = _compute_fair_units(context)
    free = max(
        0, record.count_free(context.total) - _count_taken_over(record, context, held)
    )
    if held < fair:
        return min(free, fair - held)
    if held == fair:
        return 0
    return -min(held - fair, max(0, _compute_shortfall(record, context, fair) - free))


def _count_taken_over(record, context, held):
    return held - record.get_units(context.process)


def _compute_fair_units(context):
    if context.process.vm not in context.holders:
        return 0
    return -(-context.total // len(context.holders))


def _compute_shortfall(record, context, fair):
    held_on = {process.vm: count for process, count in record.units.items()}
    others = [vm for vm in context.holders if vm != context.process.vm]
    if not fair and others:
        fair = -(-context.total // len(others))
    # A small shortfall is ignored, so that units don't move back and forth.
    slack = fair // _HYSTERESIS_DIVISOR
    shortfalls = [fair - held_on.get(vm, 0) for vm in others]
    return sum(shortfall for shortfall in shortfalls if shortfall > slack)
