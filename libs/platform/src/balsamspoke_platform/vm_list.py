"""HTTP client of the VM list."""

from datetime import timedelta

import orjson
from balsamspoke_types.exceptions import VmListUnavailable
from balsamspoke_types.ports import VmList, VmRecord, VmState
from twisted.internet.defer import inlineCallbacks

from .exceptions import HttpFailure
from .lists import check_types, read_items

TIMEOUT = timedelta(seconds=2)
_OK = 200


class HttpVmList(VmList):
    """Client of the VM list.

    Parameters
    ----------
    client : HttpClient
        Sends requests to the VM list.
    timeout : timedelta
        Time limit for each fetch.
    """

    def __init__(self, client, timeout=TIMEOUT):
        self._client = client
        self._timeout = timeout

    @inlineCallbacks
    def fetch(self):
        """Fetch the VM list.

        Returns
        -------
        Deferred of tuple of VmRecord
            The VMs, without those whose record can't be read. Fails with
            VmListUnavailable if there is no valid reply.
        """
        try:
            reply = yield self._client.call("GET", "/vms", self._timeout)
        except HttpFailure as error:
            raise VmListUnavailable(str(error)) from error
        if reply.status != _OK:
            raise VmListUnavailable(f"the VM list answered {reply.status}")
        try:
            return read_items(orjson.loads(reply.body), _read_record, "VMs")
        except (ValueError, TypeError) as error:
            raise VmListUnavailable(
                f"the reply is not a valid VM list: {error!r}"
            ) from error


def _read_record(item):
    names = ("vm", "address", "region", "failure_domain", "role")
    fields = {name: item[name] for name in names}
    fields["service"] = item.get("service", "")
    check_types(fields, str)
    return VmRecord(**fields, state=VmState(item.get("state", VmState.LIVE.value)))
