"""Failure schedules that hypothesis generates and a Fleet runs."""

from datetime import timedelta

from balsamspoke_limits import Limits
from hypothesis import strategies as st

ACTIONS = (
    "calls",
    "restart",
    "replace",
    "pause",
    "isolate",
    "hide",
    "cut",
    "cut one way",
    "bad network",
    "outage",
    "lost replies",
    "stale reads",
    "lag",
    "limits",
    "stop",
    "heal",
)

STEPS = st.lists(
    st.tuples(st.sampled_from(ACTIONS), st.integers(0, 3), st.integers(1, 40)),
    min_size=2,
    max_size=8,
)


def run_schedule(fleet, steps):
    """Run each step, then end all failures and let the fleet recover.

    Parameters
    ----------
    fleet : Fleet
        Entry processes to run the steps on.
    steps : list of tuple
        Action, number that selects the affected entry process or the new limits, and
        seconds until the next action.
    """
    for action, choice, duration in steps:
        _begin(fleet, action, choice)
        fleet.run(timedelta(seconds=duration))
    heal(fleet)
    fleet.run(fleet.settings.reclaim_wait + timedelta(seconds=20))


def heal(fleet):
    """End all failures that are still in effect."""
    fleet.network.heal()
    fleet.network.loss_rate = fleet.network.duplicate_rate = 0.0
    fleet.network.jitter = timedelta(0)
    fleet.objects.available = True
    fleet.vms.lag = timedelta(0)
    fleet.hidden_vms.clear()
    for entry in list(fleet.entries.values()):
        entry.store.reachable = entry.vm_list.reachable = True
        entry.store.lost_reply_rate = 0.0
        entry.store.stale_reads = 0
        if entry.clock.is_paused:
            entry.clock.resume()
    fleet.show_vms()
    fleet.call_greedily()


def _begin(fleet, action, choice):
    entry = fleet.find_entry(choice)
    vm = entry.process.vm
    others = [other for other in fleet.entries if other != vm]
    if action == "restart":
        fleet.restart(choice)
    elif action == "replace":
        fleet.replace(choice)
    elif action == "pause":
        entry.clock.pause()
    elif action == "isolate":
        fleet.isolate(choice)
    elif action == "hide":
        fleet.hide(vm)
    elif action == "cut":
        fleet.network.cut_between([vm], others)
    elif action == "cut one way":
        fleet.network.cut |= {(vm, other) for other in others}
    elif action == "stop":
        _stop(fleet, entry)
    elif action == "limits":
        rate, burst = [(40, 200), (5, 60), (160, 800), (80, 60)][choice]
        fleet.change_limits("small", Limits(rate, burst))
    elif action == "heal":
        heal(fleet)
    else:
        _impair(fleet, action, entry)


def _impair(fleet, action, entry):
    if action == "bad network":
        fleet.network.loss_rate = fleet.network.duplicate_rate = 0.2
        fleet.network.jitter = timedelta(milliseconds=40)
    elif action == "outage":
        fleet.objects.available = False
    elif action == "lost replies":
        entry.store.lost_reply_rate = 0.7
    elif action == "stale reads":
        entry.store.stale_reads = 5
    elif action == "lag":
        fleet.vms.lag = fleet.settings.vm_list_staleness


def _stop(fleet, entry):
    """Stop a process as planned and start a new one on the same VM."""
    entry.budgets.release_units()
    fleet.run(fleet.settings.release_timeout)
    if fleet.entries.get(entry.process.vm) is entry:
        entry.clock.kill()
        fleet.start_entry(entry.process.vm)
