"""Commands on keys: issue and withdraw."""

import secrets

from balsamspoke_catalogue import digest_key
from balsamspoke_types.keys import KEY_RANDOM_BYTES, format_key
from balsamspoke_types.objects import KeyRecord, Kind
from twisted.internet.defer import inlineCallbacks

from .catalogue import read_catalogue
from .changes import Action, Change
from .exceptions import NoSuchItem
from .exit_codes import ExitCode
from .object_commands import delete_objects, report_wait

NAME_RANDOM_BYTES = 4


@inlineCallbacks
def issue(arguments, context):
    """Issue a key: print it once, store only its digest."""
    team = arguments.team
    catalogue = yield read_catalogue(context.store, (Kind.TEAM,))
    if (Kind.TEAM, team) not in catalogue.stored:
        raise NoSuchItem(f"teams/{team} doesn't exist")
    name = arguments.name or f"{team}-{secrets.token_hex(NAME_RANDOM_BYTES)}"
    key = format_key(secrets.token_urlsafe(KEY_RANDOM_BYTES))
    record = KeyRecord(name, team, digest_key(key))
    change = Change(Action.CREATE, Kind.KEY, name, None, record)
    written = yield context.writer.write(change)
    # Shown only once it certainly works; nothing else ever sees it.
    context.output.show(
        {"name": name, "team": team, "key": key, "revision": written.revision},
        f"name: {name}\nkey: {key}\nThe key is shown this once; keep it now.",
    )
    if arguments.wait:
        yield report_wait(context, written.revision)
    return ExitCode.OK


@inlineCallbacks
def withdraw(arguments, context):
    """Withdraw a key by the name of its record."""
    revision = yield delete_objects(Kind.KEY, [arguments.name], context)
    context.output.show(
        {"withdrawn": arguments.name, "revision": revision},
        f"{arguments.name} is withdrawn (revision {revision})",
    )
    if arguments.wait:
        yield report_wait(context, revision)
    return ExitCode.OK
