"""A stand-in for the platform's VM list, in memory."""

from pathlib import Path

import orjson
from balsamspoke_types.ports import VmRecord, VmState

from .serving import (
    HttpError,
    StandInResource,
    change_settings,
    get_reactor,
    make_json_response,
    make_parser,
    read_json,
    serve,
)

_BAD_REQUEST = 400
_NOT_FOUND = 404
_UNAVAILABLE = 503
_TEXT_FIELDS = ("vm", "address", "region", "failure_domain", "role")


class VmListSettings:
    """Settings of the VM list, which ``POST /control`` can change.

    Attributes
    ----------
    available : bool
        Whether fetches succeed; if False, they fail with status 503.
    lag_ms : int
        Age in milliseconds of the list that fetches return.
    """

    def __init__(self):
        self.available = True
        self.lag_ms = 0


class VmListResource(StandInResource):
    """HTTP resource of the VM list.

    Parameters
    ----------
    reactor : IReactorTime
        Clock of the changes.
    vms : iterable of dict
        Initial VMs.

    Attributes
    ----------
    settings : VmListSettings
        Availability and lag.
    calls : int
        Number of fetches, including those that failed.
    """

    def __init__(self, reactor, vms=()):
        super().__init__()
        self.settings = VmListSettings()
        self.calls = 0
        self._reactor = reactor
        self._snapshots = [(float("-inf"), _index_by_id(vms))]
        self.routes = {
            ("GET", "vms"): self._get,
            ("PUT", "vms"): self._put,
            ("DELETE", "vms"): self._delete,
            ("GET", "control"): self._show_control,
            ("POST", "control"): self._change_control,
        }

    def _get(self, request):
        self.calls += 1
        if not self.settings.available:
            raise HttpError(_UNAVAILABLE, "the VM list is down")
        return make_json_response(list(self._get_visible().values()))

    def _put(self, request, vm=None):
        body = request.content.read()
        try:
            document = orjson.loads(body)
        except ValueError as error:
            raise HttpError(_BAD_REQUEST, f"not JSON: {error}") from error
        if vm is None:
            self._add_snapshot(_index_by_id(document))
        else:
            changed = _index_by_id([dict(document, vm=vm)])
            self._add_snapshot({**self._snapshots[-1][1], **changed})
        return make_json_response({})

    def _delete(self, request, vm):
        kept = dict(self._snapshots[-1][1])
        if kept.pop(vm, None) is None:
            raise HttpError(_NOT_FOUND, "no such VM")
        self._add_snapshot(kept)
        return make_json_response({})

    def _get_visible(self):
        visible_until = self._reactor.seconds() - self.settings.lag_ms / 1000
        while len(self._snapshots) > 1 and self._snapshots[1][0] <= visible_until:
            del self._snapshots[0]
        return self._snapshots[0][1]

    def _add_snapshot(self, vms):
        self._snapshots.append((self._reactor.seconds(), vms))

    def _show_control(self, request):
        return make_json_response(dict(vars(self.settings), calls=self.calls))

    def _change_control(self, request):
        change_settings(self.settings, read_json(request))
        return self._show_control(request)


def _index_by_id(vms):
    return {record["vm"]: record for record in map(_validate_record, vms)}


def _validate_record(document):
    try:
        texts = {name: str(document[name]) for name in _TEXT_FIELDS}
        state = VmState(document.get("state", VmState.LIVE.value))
        record = VmRecord(**texts, service=document.get("service", ""), state=state)
    except (KeyError, ValueError, TypeError, AttributeError) as error:
        raise HttpError(_BAD_REQUEST, f"not a VM: {error!r}") from error
    return {**texts, "service": record.service, "state": record.state.value}


def main():
    """Run the VM list until SIGTERM."""
    parser = make_parser(__doc__)
    parser.add_argument("--vms", metavar="FILE", help="JSON list of the initial VMs")
    arguments = parser.parse_args()
    vms = orjson.loads(Path(arguments.vms).read_bytes()) if arguments.vms else ()
    serve("vm_list", arguments.listen, VmListResource(get_reactor(), vms))


if __name__ == "__main__":
    main()
