"""Status queries to the entry and side processes."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import quote

import orjson
from balsamspoke_platform import HttpFailure
from balsamspoke_types.exceptions import VmListUnavailable
from balsamspoke_types.ports import VmState
from balsamspoke_types.timing import sleep
from twisted.internet.defer import DeferredList, DeferredSemaphore, inlineCallbacks

from .exceptions import NotInForce, PlatformUnavailable, ProcessUnreachable

REQUEST_TIMEOUT = timedelta(seconds=2)
POLL_INTERVAL = timedelta(milliseconds=500)
MAX_PARALLEL_REQUESTS = 32
_OK = 200
_NOT_FOUND = 404


class StatusClient(ABC):
    """Client of the status ports of processes."""

    @abstractmethod
    def fetch_document(self, vm, path):
        """Return a Deferred of the JSON document at a path.

        Parameters
        ----------
        vm : VmRecord
            VM of the process.
        path : str
            Path on the process's status port.

        Returns
        -------
        Deferred of dict or None
            None if the process has no such document.

        Raises
        ------
        ProcessUnreachable
            If the process doesn't return a valid response.
        """


class HttpStatusClient(StatusClient):
    """Client of the status ports over HTTP.

    Parameters
    ----------
    make_client : callable
        Called with a base URL; returns an HttpClient.
    port : int
        Status port, the same on all VMs.
    """

    def __init__(self, make_client, port):
        self._make_client = make_client
        self._port = port

    @inlineCallbacks
    def fetch_document(self, vm, path):
        """Return a Deferred of the JSON document at a path, or of None."""
        host = vm.address.rpartition(":")[0]
        client = self._make_client(f"http://{host}:{self._port}")
        try:
            reply = yield client.call("GET", path, REQUEST_TIMEOUT)
        except HttpFailure as error:
            raise ProcessUnreachable(f"{vm.vm}: {error}") from error
        if reply.status == _NOT_FOUND:
            return None
        if reply.status != _OK:
            raise ProcessUnreachable(f"{vm.vm}: answered {reply.status}")
        try:
            return orjson.loads(reply.body)
        except ValueError as error:
            raise ProcessUnreachable(f"{vm.vm}: not JSON") from error


@dataclass(frozen=True, slots=True)
class ProcessResponse:
    """Result of a query to one process.

    Attributes
    ----------
    vm : VmRecord
        VM of the process.
    document : dict or None
        JSON document; None if the process has no such document or didn't answer.
    problem : str
        Why the process didn't answer; empty if it did.
    """

    vm: object
    document: dict | None
    problem: str = ""


class Fleet:
    """Queries to all processes in the VM list.

    Parameters
    ----------
    vm_list : VmList
        Source of the VMs to query.
    status_client : StatusClient
        Client of their status ports.
    clock : Clock
        Clock of the polls and of the timeout in ``wait``.
    """

    def __init__(self, vm_list, status_client, clock):
        self._vm_list = vm_list
        self._status_client = status_client
        self._clock = clock

    @inlineCallbacks
    def fetch_all(self, path, role=None):
        """Fetch the document at a path from all processes.

        Parameters
        ----------
        path : str
            Path on the status ports.
        role : str or None
            Role of the processes to query; None for all.

        Returns
        -------
        Deferred of list of ProcessResponse
            Sorted by VM id.

        Raises
        ------
        PlatformUnavailable
            If the VM list doesn't answer.
        """
        try:
            vms = yield self._vm_list.fetch()
        except VmListUnavailable as error:
            raise PlatformUnavailable(f"the VM list is unavailable: {error}") from error
        selected = [vm for vm in vms if role in (None, vm.role)]
        semaphore = DeferredSemaphore(MAX_PARALLEL_REQUESTS)
        responses = yield DeferredList(
            [
                semaphore.run(self._fetch, vm, path)
                for vm in sorted(selected, key=_get_vm_id)
            ]
        )
        return [response for _, response in responses]

    @inlineCallbacks
    def explain(self, request):
        """Return a Deferred of each entry process's ProcessResponse about a request."""
        responses = yield self.fetch_all(f"/explain/{quote(request, safe='')}", "entry")
        return responses

    @inlineCallbacks
    def wait(self, revision, timeout):
        """Poll until the catalogue of every live process has reached a revision.

        Parameters
        ----------
        revision : int
            Revision to wait for.
        timeout : timedelta
            How long to wait.

        Returns
        -------
        Deferred of list of ProcessResponse
            The responses of the last poll.

        Raises
        ------
        NotInForce
            If a live process lags behind after the timeout, or the VM list is empty.
        PlatformUnavailable
            If the VM list doesn't answer.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            responses = yield self.fetch_all("/status")
            lagging = [
                response
                for response in responses
                if response.vm.state is VmState.LIVE
                and not has_revision(response, revision)
            ]
            if responses and not lagging:
                return responses
            if self._clock.monotonic() >= deadline:
                raise NotInForce(_describe_lagging(revision, lagging))
            yield sleep(self._clock, POLL_INTERVAL)

    @inlineCallbacks
    def _fetch(self, vm, path):
        try:
            document = yield self._status_client.fetch_document(vm, path)
        except ProcessUnreachable as error:
            return ProcessResponse(vm, None, str(error))
        return ProcessResponse(vm, document)


def has_revision(response, revision):
    """Return whether a process's catalogue is complete and has a revision."""
    document = response.document or {}
    is_complete = document.get("catalogue_complete", False)
    return is_complete and document.get("catalogue_revision", -1) >= revision


def _describe_lagging(revision, lagging):
    if not lagging:
        return "the VM list names no process"
    named = [
        f"{response.vm.vm} ({_describe_response(response)})" for response in lagging
    ]
    return f"revision {revision} isn't in force on: {', '.join(named)}"


def _describe_response(response):
    if response.problem:
        return "doesn't answer"
    return f"at {(response.document or {}).get('catalogue_revision')}"


def _get_vm_id(vm):
    return vm.vm
