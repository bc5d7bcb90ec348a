"""Turn changes, objects and conflicts into documents and text."""

import orjson

from .changes import Action, describe_members, list_differences

_SIGNS = {
    Action.CREATE: "+",
    Action.UPDATE: "~",
    Action.DELETE: "-",
    Action.UNCHANGED: "=",
}


def describe_change(change, revision=None):
    """Return a Change as a JSON document."""
    return {
        "action": change.action.value,
        "kind": change.kind.value,
        "name": change.name,
        "differences": [
            {"field": name, "before": before, "after": after}
            for name, before, after in list_differences(change)
        ],
        "revision": revision,
    }


def format_change(change, with_fields=True):
    """Return a Change as lines of text."""
    head = f"{_SIGNS[change.action]} {change.kind.value}/{change.name}"
    if change.action is not Action.UPDATE or not with_fields:
        return head
    lines = [
        f"    {name}: {_show(before)} -> {_show(after)}"
        for name, before, after in list_differences(change)
    ]
    return "\n".join([head, *lines])


def format_conflict(conflict):
    """Return both sides of a WriteConflict as lines of text."""
    ours, theirs = conflict.ours, conflict.theirs
    names = sorted({*(ours or ()), *(theirs or ())})
    lines = [str(conflict), f"    {'field':<16} yours / theirs"]
    for name in names:
        mine, other = (ours or {}).get(name), (theirs or {}).get(name)
        if mine != other:
            lines.append(f"    {name:<16} {_show(mine)} / {_show(other)}")
    if ours is None:
        lines.append("    you wanted to delete it")
    if theirs is None:
        lines.append("    it is gone")
    lines.append("    nothing of yours was written to it; run diff, then decide")
    return "\n".join(lines)


def describe_object(kind, name, value, stored):
    """Return a catalogue object as a JSON document."""
    members = describe_members(value) or {}
    return {"kind": kind.value, "name": name, **members, "version": stored.version}


def format_object(document):
    """Return an object's document as lines of text."""
    return "\n".join(f"{name}: {_show(value)}" for name, value in document.items())


def _show(value):
    return value if isinstance(value, str) else orjson.dumps(value).decode()
