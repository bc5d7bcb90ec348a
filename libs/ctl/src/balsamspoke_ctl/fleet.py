"""Ask the processes of the fleet what they do."""

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

ASK_TIMEOUT = timedelta(seconds=2)
POLL_INTERVAL = timedelta(milliseconds=500)
PARALLEL_QUESTIONS = 32
_OK = 200
_NOT_FOUND = 404


class StatusClient(ABC):
    """Asks the operators' port of our processes."""

    @abstractmethod
    def ask(self, vm, path):
        """Return a Deferred of the JSON document at a path of a VmRecord's process.

        It is None if the process knows of no such thing. Fails with
        ProcessUnreachable.
        """


class HttpStatusClient(StatusClient):
    """Ask over HTTP.

    Parameters
    ----------
    make_caller : callable
        Takes a base address, returns an HttpCaller.
    port : int
        The operators' port, the same on all VMs.
    """

    def __init__(self, make_caller, port):
        self._make_caller = make_caller
        self._port = port

    @inlineCallbacks
    def ask(self, vm, path):
        """Return a Deferred of a JSON document or None."""
        host = vm.address.rpartition(":")[0]
        caller = self._make_caller(f"http://{host}:{self._port}")
        try:
            reply = yield caller.call("GET", path, ASK_TIMEOUT)
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
class ProcessAnswer:
    """What one process answered; ``document`` is None if it said nothing.

    Attributes
    ----------
    vm : VmRecord
        Where the process runs.
    document : dict or None
        Its answer.
    problem : str
        Why there is none; empty if the process knows of no such thing.
    """

    vm: object
    document: dict | None
    problem: str = ""


class Fleet:
    """All processes of the VM list.

    Parameters
    ----------
    vm_list : VmList
        Which there are.
    status_client : StatusClient
        Asks them.
    clock : Clock
        Time.
    """

    def __init__(self, vm_list, status_client, clock):
        self._vm_list = vm_list
        self._status_client = status_client
        self._clock = clock

    @inlineCallbacks
    def ask_all(self, path, role=None):
        """Return a Deferred of a list of ProcessAnswer, by VM id.

        It fails with PlatformUnavailable if the VM list doesn't answer.
        """
        try:
            vms = yield self._vm_list.fetch()
        except VmListUnavailable as error:
            raise PlatformUnavailable(f"the VM list is unavailable: {error}") from error
        asked = [vm for vm in vms if role in (None, vm.role)]
        places = DeferredSemaphore(PARALLEL_QUESTIONS)
        answers = yield DeferredList(
            [places.run(self._ask, vm, path) for vm in sorted(asked, key=_get_id)]
        )
        return [answer for _, answer in answers]

    @inlineCallbacks
    def explain(self, request):
        """Return a Deferred of the answers about a request, by VM id."""
        answers = yield self.ask_all(f"/explain/{quote(request, safe='')}", "entry")
        return answers

    @inlineCallbacks
    def wait(self, revision, timeout):
        """Wait until every live process has a revision of the catalogue.

        Returns
        -------
        Deferred of list of ProcessAnswer
            Fails with NotInForce after the timeout.
        """
        deadline = self._clock.monotonic() + timeout
        while True:
            answers = yield self.ask_all("/status")
            behind = [
                answer
                for answer in answers
                if answer.vm.state is VmState.LIVE
                and not has_revision(answer, revision)
            ]
            if answers and not behind:
                return answers
            if self._clock.monotonic() >= deadline:
                raise NotInForce(_describe_behind(revision, behind))
            yield sleep(self._clock, POLL_INTERVAL)

    @inlineCallbacks
    def _ask(self, vm, path):
        try:
            document = yield self._status_client.ask(vm, path)
        except ProcessUnreachable as error:
            return ProcessAnswer(vm, None, str(error))
        return ProcessAnswer(vm, document)


def has_revision(answer, revision):
    """Whether a process's catalogue is complete up to a revision."""
    document = answer.document or {}
    is_complete = document.get("catalogue_complete", False)
    return is_complete and document.get("catalogue_revision", -1) >= revision


def _describe_behind(revision, behind):
    if not behind:
        return "the VM list names no process"
    named = [f"{answer.vm.vm} ({_describe_one(answer)})" for answer in behind]
    return f"revision {revision} isn't in force on: {', '.join(named)}"


def _describe_one(answer):
    if answer.problem:
        return "doesn't answer"
    return f"at {(answer.document or {}).get('catalogue_revision')}"


def _get_id(vm):
    return vm.vm
