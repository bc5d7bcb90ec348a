"""Invariants, checked over the history of a Fleet.

Each check returns a list of descriptions of violations, empty if there are none.
"""

import re
from collections import Counter

from .fleet import get_expected_text

_REQUEST = re.compile(rb"request-(\d+)\.")
_BOOKING = re.compile(rb"booking-(\d+)\.")
_KEY = re.compile(rb"bsk_")


def find_double_bookings(fleet):
    """Return the bookings that backend servers ran more than once."""
    runs = Counter(
        call.body
        for service in fleet.services
        for call in service.calls
        if call.method == "POST"
    )
    return [f"{body} ran {count} times" for body, count in runs.items() if count > 1]


def find_false_refusals(fleet):
    """Return the requests that ran though their refusal reports ``not-run``."""
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
            wrong.append(f"request {sent.number} was reported not-run, but ran")
        # A refusal of a repeat with the same idempotency key is about that repeat only.
        has_no_repeats = not sent.idempotency_key
        if sent.is_booking and has_no_repeats and sent.request.body in booked:
            wrong.append(f"booking {sent.number} was reported not-run, but ran")
    return wrong


def find_wrong_answers(fleet):
    """Return the answers that are wrong, look complete but are not, or end twice."""
    wrong = []
    for sent in fleet.sent:
        responder = sent.responder
        if responder.ends > 1:
            wrong.append(f"request {sent.number} was ended {responder.ends} times")
        if sent.is_booking or responder.status != 200:
            continue
        expected = get_expected_texts(sent)
        is_prefix = any(text.startswith(responder.text) for text in expected)
        if responder.is_whole and responder.text not in expected:
            wrong.append(
                f"request {sent.number} got {responder.text!r} as a complete answer"
            )
        elif not is_prefix:
            wrong.append(f"request {sent.number} got {responder.text!r}")
    return wrong


def get_expected_texts(sent):
    """Return the correct texts for a request: of each version if it names none."""
    name, _, version = sent.adapter.partition(":")
    versions = [int(version)] if version else [1, 2]
    return [get_expected_text(name, one, sent.tokens, sent.prompt) for one in versions]


def find_unanswered(fleet):
    """Return the requests without a final answer whose entry process still runs."""
    return [
        f"request {sent.number} at {sent.entry} has no answer"
        for sent in fleet.sent
        if sent.responder.is_open and is_same_run(fleet, sent)
    ]


def is_same_run(fleet, sent):
    """Return whether the entry process that admitted a request is still running."""
    machine = fleet.machines.get(sent.entry)
    return (
        machine is not None
        and machine.is_running
        and hasattr(sent.responder, "exchange")
        and machine.boots == sent.boot
    )


def find_foreign_runs(fleet):
    """Return the runs on another adapter or version, or with another team's key."""
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
    """Return the adapters that were unloaded while requests ran on them."""
    return [
        f"{adapter} was evicted in use"
        for engine in fleet.engines
        for adapter in engine.evicted_in_use
    ]


def find_key_leaks(fleet):
    """Return the engine orders, calls, messages, objects and answers with a key."""
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
    """Return the requests answered more than ``bound`` after their key's withdrawal."""
    return [
        f"request {sent.number} was sent {sent.at - withdrawn_at} after the withdrawal"
        for sent in fleet.sent
        if sent.key == key
        and sent.at > withdrawn_at + bound
        and sent.responder.status == 200
    ]


def find_reverts(fleet):
    """Return the processes whose catalogue reverted an object to a lower version."""
    wrong = []
    for process, changes in fleet.changes.items():
        highest = {}
        for change in changes:
            object_id = (change.kind, change.name)
            if change.version < highest.get(object_id, 0):
                wrong.append(f"{process}: {object_id} went back to {change.version}")
            highest[object_id] = max(change.version, highest.get(object_id, 0))
    return wrong


def find_stale_views(fleet):
    """Return the running processes whose catalogue differs from the store."""
    wrong = []
    for vm, machine in fleet.machines.items():
        if not machine.is_running or machine.clock.is_paused:
            continue
        view = machine.node.catalogue.view
        for kind, name in fleet.written:
            if kind not in machine.kinds:
                continue
            stored = fleet.store.objects.get((kind, name))
            find_object = getattr(view, kind.value[:-1], None)
            if (
                stored is not None
                and view.get_current_version(kind, name) != stored.version
            ):
                wrong.append(f"{vm}: {kind.value}/{name} is not in force")
            if (
                stored is None
                and find_object is not None
                and find_object(name) is not None
            ):
                wrong.append(f"{vm}: {kind.value}/{name} was not deleted")
    return wrong


def find_starts_after_leaving(engine, leaving_at, bound):
    """Return the work started more than ``bound`` after a backend began to leave."""
    return [
        f"{order.body} was started {at - leaving_at} after the backend began to leave"
        for at, order in engine.starts
        if at > leaving_at + bound
    ]


INVARIANTS = {
    "at most once": find_double_bookings,
    "no false refusals": find_false_refusals,
    "whole answers": find_wrong_answers,
    "no foreign runs": find_foreign_runs,
    "no eviction in use": find_evictions_in_use,
    "no key leaks": find_key_leaks,
    "no reverts": find_reverts,
}


def check_invariants(fleet):
    """Return the violations of the invariants that hold at any time."""
    return [
        f"{name}: {violation}"
        for name, find in INVARIANTS.items()
        for violation in find(fleet)
    ]
