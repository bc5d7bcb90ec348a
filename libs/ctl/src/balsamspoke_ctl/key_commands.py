"""Commands on API keys: issue and withdraw."""

import secrets

from balsamspoke_catalogue import digest_key
from balsamspoke_types.keys import KEY_RANDOM_BYTES, format_key
from balsamspoke_types.objects import KeyRecord, Kind
from twisted.internet.defer import inlineCallbacks

from .catalogue import read_object
from .changes import Action, Change, decode_stored
from .exit_codes import ExitCode
from .object_commands import wait_until_in_force

NAME_RANDOM_BYTES = 4


@inlineCallbacks
def issue(arguments, context):
    """Issue a key: print it once, store only its digest."""
    team = arguments.team
    yield read_object(context.store, Kind.TEAM, team)
    name = arguments.name or f"{team}-{secrets.token_hex(NAME_RANDOM_BYTES)}"
    key = format_key(secrets.token_urlsafe(KEY_RANDOM_BYTES))
    record = KeyRecord(name, team, digest_key(key))
    change = Change(Action.CREATE, Kind.KEY, name, None, record)
    written = yield context.writer.write(change)
    # Printed only after the record is stored, and kept nowhere else.
    context.output.show(
        {"name": name, "team": team, "key": key, "revision": written.revision},
        f"name: {name}\nkey: {key}\nThe key is shown this once; keep it now.",
    )
    if arguments.wait:
        yield wait_until_in_force(context, written.revision)
    return ExitCode.OK


@inlineCallbacks
def withdraw(arguments, context):
    """Withdraw a key by the name of its record."""
    name = arguments.name
    # Nothing refers to a key, so the catalogue isn't validated: problems elsewhere
    # must not block a withdrawal.
    stored = yield read_object(context.store, Kind.KEY, name)
    before = decode_stored(stored)
    change = Change(Action.DELETE, Kind.KEY, name, before, None, stored)
    written = yield context.writer.write(change)
    context.output.show(
        {"withdrawn": name, "revision": written.revision},
        f"{name} is withdrawn (revision {written.revision})",
    )
    if arguments.wait:
        yield wait_until_in_force(context, written.revision)
    return ExitCode.OK
