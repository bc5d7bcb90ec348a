"""Commands that query the fleet: status, wait and explain."""

from dataclasses import asdict, astuple

from balsamspoke_types.exceptions import StoreError
from balsamspoke_types.objects import Adapter, KeyRecord, Kind
from twisted.internet.defer import inlineCallbacks

from .catalogue import make_unavailable, read_catalogue, read_object
from .changes import decode_stored
from .exceptions import CtlError, NoSuchItem, ProcessUnreachable
from .exit_codes import ExitCode
from .object_commands import wait_until_in_force
from .output import format_table
from .presentation import describe_object, format_object
from .shares import parse_share

_STATUS_HEADINGS = (
    "vm",
    "role",
    "serves",
    "failure domain",
    "state",
    "ready",
    "revision",
    "running",
    "queued",
    "adapters",
)
_SHARE_HEADINGS = ("process", "tokens left", "tokens a second", "admitted")
_MAX_SHOWN_ADAPTERS = 4


@inlineCallbacks
def status(arguments, context):
    """Show the processes of the fleet, or what concerns a team or adapter."""
    if arguments.metrics and not arguments.team:
        raise CtlError("--metrics shows the shares of one team; it requires --team")
    if arguments.metrics:
        return (yield _show_shares(arguments.team, arguments.metrics, context))
    responses = yield context.fleet.fetch_all("/status")
    if arguments.team:
        return (yield _show_team(arguments.team, responses, context))
    if arguments.adapter:
        responses = [
            response
            for response in responses
            if _has_loaded(response, arguments.adapter)
        ]
        if not responses:
            raise NoSuchItem(f"no replica reports {arguments.adapter} as loaded")
    rows = [_make_row(response) for response in responses]
    context.output.show(
        {"processes": [_describe_process(response) for response in responses]},
        format_table(_STATUS_HEADINGS, rows),
    )
    has_unresponsive = any(response.document is None for response in responses)
    return ExitCode.UNAVAILABLE if has_unresponsive else ExitCode.OK


@inlineCallbacks
def wait(arguments, context):
    """Wait until a revision, by default the current one, is in force everywhere."""
    revision = arguments.revision
    if revision is None:
        revision = yield _read_revision(context.store)
    yield wait_until_in_force(context, revision)
    return ExitCode.OK


@inlineCallbacks
def explain(arguments, context):
    """Show what an entry process decided about a request."""
    responses = yield context.fleet.explain(arguments.request)
    reported = [response for response in responses if response.document is not None]
    if not reported:
        unresponsive = [response.vm.vm for response in responses if response.problem]
        suffix = (
            f"; these didn't answer: {', '.join(unresponsive)}" if unresponsive else ""
        )
        raise NoSuchItem(
            f"no entry process has a record of {arguments.request}{suffix}"
        )
    for response in reported:
        document = {"entry": response.vm.vm, **response.document}
        context.output.show(document, format_object(document))
    return ExitCode.OK


@inlineCallbacks
def _read_revision(store):
    try:
        page = yield store.list_page(Kind.TEAM)
    except StoreError as error:
        raise make_unavailable(error) from error
    return page.revision


@inlineCallbacks
def _show_team(name, responses, context):
    stored = yield read_object(context.store, Kind.TEAM, name)
    catalogue = yield read_catalogue(context.store, (Kind.ADAPTER, Kind.KEY))
    adapters = {
        value.name for value in catalogue.values.values() if _is_adapter_of(value, name)
    }
    keys = [
        value.name
        for value in catalogue.values.values()
        if isinstance(value, KeyRecord) and value.team == name
    ]
    loaded = {
        response.vm.vm: [
            adapter
            for adapter in _list_loaded(response)
            if _get_adapter_name(adapter) in adapters
        ]
        for response in responses
    }
    document = {
        **describe_object(Kind.TEAM, name, decode_stored(stored), stored),
        "adapters": len(adapters),
        "keys": keys,
        "loaded": {vm: reported for vm, reported in loaded.items() if reported},
    }
    context.output.show(document, format_object(document))
    return ExitCode.OK


@inlineCallbacks
def _show_shares(team, addresses, context):
    shares = []
    is_complete = True
    for address in addresses:
        try:
            text = yield context.metrics.read(address)
        except ProcessUnreachable as error:
            context.output.show_problem(str(error))
            is_complete = False
            continue
        share = parse_share(address, text, team)
        if share is not None:
            shares.append(share)
    if not shares and is_complete:
        raise NoSuchItem(f"no process has a limit for a team named {team}")
    context.output.show(
        {"team": team, "shares": [asdict(share) for share in shares]},
        format_table(_SHARE_HEADINGS, [astuple(share) for share in shares]),
    )
    return ExitCode.OK if is_complete else ExitCode.UNAVAILABLE


def _is_adapter_of(value, team):
    return isinstance(value, Adapter) and value.team == team


def _list_loaded(response):
    replica = (response.document or {}).get("replica") or {}
    return replica.get("adapters") or ()


def _get_adapter_name(adapter_and_version):
    return adapter_and_version.rpartition(":")[0]


def _describe_process(response):
    return {
        "vm": response.vm.vm,
        "state": response.vm.state.value,
        "problem": response.problem,
        "status": response.document,
    }


def _make_row(response):
    vm, document = response.vm, response.document
    row = [vm.vm, vm.role, vm.service or "-", vm.failure_domain, vm.state.value]
    if document is None:
        return [*row, "doesn't answer", "-", "-", "-", "-"]
    replica = document.get("replica") or {}
    running = replica.get("running", document.get("running_requests", "-"))
    adapters = _list_loaded(response)
    shown = ",".join(adapters[:_MAX_SHOWN_ADAPTERS])
    if len(adapters) > _MAX_SHOWN_ADAPTERS:
        shown += f" and {len(adapters) - _MAX_SHOWN_ADAPTERS} more"
    return [
        *row,
        "yes" if document.get("ready") else "no",
        document.get("catalogue_revision", "-"),
        running,
        replica.get("queued", "-"),
        shown or "-",
    ]


def _has_loaded(response, adapter):
    return any(
        adapter in (name, _get_adapter_name(name)) for name in _list_loaded(response)
    )
