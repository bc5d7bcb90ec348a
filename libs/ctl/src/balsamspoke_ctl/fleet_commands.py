"""Commands on the fleet: status, wait, explain."""

from balsamspoke_types.exceptions import StoreError
from balsamspoke_types.objects import Kind
from twisted.internet.defer import inlineCallbacks

from .catalogue import make_unavailable
from .exceptions import NoSuchItem
from .exit_codes import ExitCode
from .object_commands import report_wait
from .output import format_table
from .presentation import format_object

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
_LONGEST_LIST_OF_ADAPTERS = 4


@inlineCallbacks
def status(arguments, context):
    """Show the processes of the fleet, or where one adapter is loaded."""
    answers = yield context.fleet.ask_all("/status")
    if arguments.adapter:
        answers = [
            answer for answer in answers if _holds(answer.document, arguments.adapter)
        ]
        if not answers:
            raise NoSuchItem(f"no replica reports {arguments.adapter} as loaded")
    rows = [_make_row(answer) for answer in answers]
    context.output.show(
        {"processes": [_describe(answer) for answer in answers]},
        format_table(_STATUS_HEADINGS, rows),
    )
    silent = any(answer.document is None for answer in answers)
    return ExitCode.UNAVAILABLE if silent else ExitCode.OK


@inlineCallbacks
def wait(arguments, context):
    """Wait until the catalogue of now, or a revision, is in force everywhere."""
    revision = arguments.revision
    if revision is None:
        revision = yield _read_revision(context.store)
    yield report_wait(context, revision)
    return ExitCode.OK


@inlineCallbacks
def explain(arguments, context):
    """Show what an entry process decided about a request."""
    answers = yield context.fleet.explain(arguments.request)
    found = [answer for answer in answers if answer.document is not None]
    if not found:
        silent = [answer.vm.vm for answer in answers if answer.problem]
        note = f"; these didn't answer: {', '.join(silent)}" if silent else ""
        raise NoSuchItem(f"no entry process knows of {arguments.request}{note}")
    for answer in found:
        document = {"entry": answer.vm.vm, **answer.document}
        context.output.show(document, format_object(document))
    return ExitCode.OK


@inlineCallbacks
def _read_revision(store):
    try:
        page = yield store.list_page(Kind.TEAM)
    except StoreError as error:
        raise make_unavailable(error) from error
    return page.revision


def _describe(answer):
    return {
        "vm": answer.vm.vm,
        "state": answer.vm.state.value,
        "problem": answer.problem,
        "status": answer.document,
    }


def _make_row(answer):
    vm, document = answer.vm, answer.document
    row = [vm.vm, vm.role, vm.service or "-", vm.failure_domain, vm.state.value]
    if document is None:
        return [*row, "doesn't answer", "-", "-", "-", "-"]
    replica = document.get("replica") or {}
    running = replica.get("running", document.get("running_requests", "-"))
    adapters = replica.get("adapters") or []
    shown = ",".join(adapters[:_LONGEST_LIST_OF_ADAPTERS])
    if len(adapters) > _LONGEST_LIST_OF_ADAPTERS:
        shown += f" and {len(adapters) - _LONGEST_LIST_OF_ADAPTERS} more"
    return [
        *row,
        "yes" if document.get("ready") else "no",
        document.get("catalogue_revision", "-"),
        running,
        replica.get("queued", "-"),
        shown or "-",
    ]


def _holds(document, adapter):
    loaded = ((document or {}).get("replica") or {}).get("adapters") or ()
    return any(adapter in (name, name.rpartition(":")[0]) for name in loaded)
