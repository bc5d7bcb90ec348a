"""JSON documents and text for changes, objects and conflicts."""

import orjson

from .changes import Action, get_members, list_differences

_SIGNS = {
    Action.CREATE: "+",
    Action.UPDATE: "~",
    Action.DELETE: "-",
    Action.UNCHANGED: "=",
}


def describe_change(change, revision=None):
    """Return a Change as a dict for JSON."""
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
    """Return a Change as text; ``with_fields`` lists the fields of an update."""
    head = f"{_SIGNS[change.action]} {change.kind.value}/{change.name}"
    if change.action is not Action.UPDATE or not with_fields:
        return head
    lines = [
        f"    {name}: {_format_value(before)} -> {_format_value(after)}"
        for name, before, after in list_differences(change)
    ]
    return "\n".join([head, *lines])


def format_conflict(conflict):
    """Return a WriteConflict as text, with the fields that differ."""
    ours, theirs = conflict.ours, conflict.theirs
    names = sorted({*(ours or ()), *(theirs or ())})
    lines = [str(conflict), f"    {'field':<16} yours / theirs"]
    for name in names:
        mine, other = (ours or {}).get(name), (theirs or {}).get(name)
        if mine != other:
            lines.append(
                f"    {name:<16} {_format_value(mine)} / {_format_value(other)}"
            )
    if ours is None:
        lines.append("    your change deletes the object")
    if theirs is None:
        lines.append("    the object doesn't exist any more")
    lines.append("    your change wasn't written; run diff, then decide")
    return "\n".join(lines)


def describe_object(kind, name, value, stored):
    """Return a catalogue object and its version as a dict for JSON."""
    members = get_members(value) or {}
    return {"kind": kind.value, "name": name, **members, "version": stored.version}


def format_object(document):
    """Return a document as text, one line per member."""
    return "\n".join(
        f"{name}: {_format_value(value)}" for name, value in document.items()
    )


def _format_value(value):
    return value if isinstance(value, str) else orjson.dumps(value).decode()
