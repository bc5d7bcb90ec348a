"""Checks of what must always hold, over the history of a Fleet.

Each returns a list of violations in words; an empty list is a pass.
"""

import re
from collections import Counter

from .fleet import expect_text

_REQUEST = re.compile(rb"request-(\d+)\.")
_BOOKING = re.compile(rb"booking-(\d+)\.")
_KEY = re.compile(rb"bsk_")


def find_double_bookings(fleet):
    """Give the bookings that backend servers ran more than once."""
    runs = Counter(
        call.body
        for service in fleet.services
        for call in service.calls
        if call.method == "POST"
    )
    return [f"{body} ran {count} times" for body, count in runs.items() if count > 1]


def find_false_refusals(fleet):
    """Give the refusals that say not run of a request that ran."""
    generated = {
        int(_REQUEST.search(order.body)[1])
        for engine in fleet.engines
        for order in engine.started
    }
    booked = {call.body for service in fleet.services for call in service.calls}
    wrong = []
    for sent in fleet.sent:
        if sent.responder.outcome != "not-run":
            continue
        if not sent.is_booking and sent.number in generated:
            wrong.append(f"request {sent.number} is said not to have run, but ran")
        # A repeat under the same idempotency key speaks of itself only.
        is_alone = not sent.idempotency_key
        if sent.is_booking and is_alone and sent.request.body in booked:
            wrong.append(f"booking {sent.number} is said not to have run, but ran")
    return wrong


def find_bad_answers(fleet):
    """Give the answers that look whole and are not, or that end twice."""
    wrong = []
    for sent in fleet.sent:
        responder = sent.responder
        if responder.ends > 1:
            wrong.append(f"request {sent.number} was ended {responder.ends} times")
        if sent.is_booking or responder.status != 200:
            continue
        expected = expect_answers(sent)
        is_part = any(text.startswith(responder.text) for text in expected)
        if responder.is_whole and responder.text not in expected:
            wrong.append(f"request {sent.number} got {responder.text!r} for a whole")
        elif not is_part:
            wrong.append(f"request {sent.number} got {responder.text!r}")
    return wrong


def expect_answers(sent):
    """Return the right answers to a request; without a version, of any version."""
    name, _, version = sent.adapter.partition(":")
    versions = [int(version)] if version else [1, 2]
    return [expect_text(name, one, sent.tokens, sent.prompt) for one in versions]


def find_unanswered(fleet):
    """Give the requests at running entries without a final answer."""
    return [
        f"request {sent.number} at {sent.entry} has no answer"
        for sent in fleet.sent
        if sent.responder.is_open and is_first_run(fleet, sent)
    ]


def is_first_run(fleet, sent):
    """Tell whether the entry process that took a request is still running."""
    machine = fleet.machines.get(sent.entry)
    return (
        machine is not None
        and machine.is_running
        and hasattr(sent.responder, "exchange")
        and machine.boots == sent.boot
    )


def find_foreign_runs(fleet):
    """Give the runs for a team whose key didn't come with the request."""
    wrong = []
    for engine in fleet.engines:
        for order in engine.started:
            sent = fleet.sent[int(_REQUEST.search(order.body)[1])]
            asked, _, version = sent.adapter.partition(":")
            if order.adapter.adapter != asked:
                wrong.append(f"request {sent.number} ran on {order.adapter}")
            if version and order.adapter.version != int(version):
                wrong.append(f"request {sent.number} ran on {order.adapter}")
            if fleet.find_owner(asked) != sent.key.removesuffix("-key"):
                wrong.append(f"request {sent.number} ran with key {sent.key}")
    return wrong


def find_evictions_in_use(fleet):
    """Give the adapters that were unloaded while requests ran on them."""
    return [
        f"{adapter} was evicted in use"
        for engine in fleet.engines
        for adapter in engine.evicted_in_use
    ]


def find_leaked_keys(fleet):
    """Give the places outside the entry's front door that have a key."""
    leaks = []
    for engine in fleet.engines:
        leaks += [f"engine: {order}" for order in engine.started if _has_key(order)]
    for service in fleet.services:
        leaks += [f"service: {call}" for call in service.calls if _has_key(call)]
    leaks += [f"message: {m}" for _, _, m in fleet.network.log if _has_key(m)]
    leaks += [f"store: {o.name}" for o in fleet.store.history if _has_key(o)]
    leaks += [
        f"answer to request {sent.number}"
        for sent in fleet.sent
        if _KEY.search(sent.responder.body)
    ]
    return leaks


def _has_key(thing):
    return "bsk_" in repr(thing)


def find_late_key_uses(fleet, key, withdrawn_at, bound):
    """Give the requests that ran though their key was long withdrawn."""
    return [
        f"request {sent.number} was taken {sent.at - withdrawn_at} after"
        for sent in fleet.sent
        if sent.key == key
        and sent.at > withdrawn_at + bound
        and sent.responder.status == 200
    ]


def find_reverts(fleet):
    """Give the processes in which a lower version came after a higher one."""
    wrong = []
    for process, changes in fleet.changes.items():
        highest = {}
        for change in changes:
            place = (change.kind, change.name)
            if change.version < highest.get(place, 0):
                wrong.append(f"{process}: {place} went back to {change.version}")
            highest[place] = max(change.version, highest.get(place, 0))
    return wrong


def find_stale_views(fleet):
    """Give the running processes whose catalogue isn't what the store holds."""
    wrong = []
    for vm, machine in fleet.machines.items():
        if not machine.is_running or machine.clock.is_paused:
            continue
        view = machine.node.catalogue.view
        for kind, name in fleet.written:
            if kind not in machine.kinds:
                continue
            held = fleet.store.objects.get((kind, name))
            seen = getattr(view, kind.value[:-1], None)
            if (
                held is not None
                and view.get_current_version(kind, name) != held.version
            ):
                wrong.append(f"{vm}: {kind.value}/{name} is not in force")
            if held is None and seen is not None and seen(name) is not None:
                wrong.append(f"{vm}: {kind.value}/{name} was not deleted")
    return wrong


def find_late_starts(engine, leaving_at, bound):
    """Give the work an engine got though it was leaving for long."""
    return [
        f"{order.body} was started {at - leaving_at} after"
        for at, order in engine.starts
        if at > leaving_at + bound
    ]


ALWAYS = {
    "at most once": find_double_bookings,
    "not run is true": find_false_refusals,
    "whole answers": find_bad_answers,
    "the key's team": find_foreign_runs,
    "no eviction in use": find_evictions_in_use,
    "no key leaks": find_leaked_keys,
    "no reverts": find_reverts,
}


def check_always(fleet):
    """Return the violations of all that needs no more than the history."""
    return [
        f"{name}: {violation}"
        for name, find in ALWAYS.items()
        for violation in find(fleet)
    ]
