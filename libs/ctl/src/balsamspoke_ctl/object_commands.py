"""Commands on catalogue objects: apply, diff, validate, get, list and delete."""

from twisted.internet.defer import inlineCallbacks, succeed

from .catalogue import Catalogue, read_catalogue, read_object
from .changes import Action, decode_stored, plan_apply, plan_deletion
from .exceptions import NoSuchItem
from .exit_codes import ExitCode
from .files import find_kind, read_files
from .output import format_table
from .presentation import (
    describe_change,
    describe_object,
    format_change,
    format_object,
)

_COLUMNS = {
    "teams": ("rate", "burst", "weight"),
    "models": ("adapter_slots", "batch_size", "max_tokens"),
    "adapters": ("team", "model", "default_version", "versions", "priority"),
    "services": ("teams", "open_to_all", "tokens_per_call"),
    "keys": ("team",),
}


@inlineCallbacks
def apply(arguments, context):
    """Write the objects in files to the catalogue."""
    desired = read_files(arguments.files)
    catalogue = yield read_catalogue(context.store)
    changes = plan_apply(catalogue, desired)
    revision = yield _write_changes(changes, context)
    unchanged = sum(change.action is Action.UNCHANGED for change in changes)
    context.output.show(
        {"unchanged": unchanged, "revision": revision},
        f"{len(changes) - unchanged} written, {unchanged} unchanged",
    )
    if arguments.wait and revision:
        yield wait_until_in_force(context, revision)
    return ExitCode.OK


@inlineCallbacks
def diff(arguments, context):
    """Show what apply would change."""
    desired = read_files(arguments.files)
    catalogue = yield read_catalogue(context.store)
    changes = [
        change
        for change in plan_apply(catalogue, desired)
        if change.action is not Action.UNCHANGED
    ]
    context.output.show(
        {"changes": [describe_change(change) for change in changes]},
        "\n".join(format_change(change) for change in changes) or "no differences",
    )
    return ExitCode.DIFFERENT if changes else ExitCode.OK


def validate(arguments, context):
    """Check files by themselves, without the object API."""
    desired = read_files(arguments.files)
    if arguments.complete:
        plan_apply(Catalogue(), desired)
    context.output.show(
        {"objects": len(desired)}, f"{len(desired)} objects, all of them valid"
    )
    return succeed(ExitCode.OK)


@inlineCallbacks
def get(arguments, context):
    """Show one object."""
    kind = find_kind(arguments.kind)
    stored = yield read_object(context.store, kind, arguments.name)
    value = decode_stored(stored)
    document = describe_object(kind, arguments.name, value, stored)
    context.output.show(document, format_object(document))
    return ExitCode.OK


@inlineCallbacks
def show_list(arguments, context):
    """List the objects of a kind."""
    kind = find_kind(arguments.kind)
    catalogue = yield read_catalogue(context.store, (kind,))
    documents = [
        describe_object(*key, catalogue.values.get(key), stored)
        for key, stored in sorted(catalogue.stored.items(), key=_get_object_name)
    ]
    if arguments.team:
        documents = [
            document
            for document in documents
            if _belongs_to_team(document, arguments.team)
        ]
    columns = _COLUMNS[kind.value]
    rows = [
        [document["name"], *(_format_cell(document.get(name)) for name in columns)]
        for document in documents
    ]
    context.output.show({"objects": documents}, format_table(["name", *columns], rows))
    return ExitCode.OK


@inlineCallbacks
def delete(arguments, context):
    """Delete objects that no other object refers to."""
    kind = find_kind(arguments.kind)
    catalogue = yield read_catalogue(context.store)
    keys = [(kind, name) for name in arguments.names]
    for key in keys:
        if key not in catalogue.stored:
            raise NoSuchItem(f"{kind.value}/{key[1]} doesn't exist")
    revision = yield _write_changes(plan_deletion(catalogue, keys), context)
    if arguments.wait:
        yield wait_until_in_force(context, revision)
    return ExitCode.OK


@inlineCallbacks
def wait_until_in_force(context, revision):
    """Wait until a revision is in force on all processes, then print a confirmation."""
    responses = yield context.fleet.wait(revision, context.timeout)
    context.output.show(
        {"in_force": True, "revision": revision, "processes": len(responses)},
        f"in force on all {len(responses)} processes (revision {revision})",
    )


def _write_changes(changes, context):
    def show(written):
        document = describe_change(written.change, written.revision)
        document["by_somebody_else"] = not written.is_ours
        note = "" if written.is_ours else " (somebody else made the same change)"
        text = format_change(written.change, False) + note
        context.output.show(document, text)

    return context.writer.write_all(changes, show)


def _belongs_to_team(document, team):
    return document.get("team") == team or team in (document.get("teams") or ())


def _get_object_name(item):
    return item[0][1]


def _format_cell(value):
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return "-" if value is None else str(value)
