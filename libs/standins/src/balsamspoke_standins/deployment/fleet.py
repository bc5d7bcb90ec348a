"""The processes of a small deployment: started, made ready and stopped."""

import time
import urllib.request
from dataclasses import dataclass
from datetime import timedelta
from pathlib import Path

import orjson
from balsamspoke_catalogue import encode_object
from balsamspoke_types.objects import (
    Adapter,
    KeyRecord,
    Kind,
    Model,
    PlainService,
    Team,
)

from .addresses import (
    BACKEND_PORT,
    CALLER_PORT,
    OBJECT_API_PORT,
    PEER_PORT,
    STATUS_PORT,
    VM_LIST_PORT,
    Addresses,
)
from .catalogue import MODEL, SERVICE
from .programs import Program, ProgramFailed

READY_TIMEOUT = timedelta(seconds=30)
STOP_TIMEOUT = timedelta(seconds=30)
REQUEST_SECONDS = 10.0
_KINDS = {
    Team: Kind.TEAM,
    Model: Kind.MODEL,
    Adapter: Kind.ADAPTER,
    PlainService: Kind.SERVICE,
    KeyRecord: Kind.KEY,
}


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """How large a deployment is.

    Attributes
    ----------
    domains : tuple of str
        Failure domains; VMs are spread over them in turn.
    entries, engines, services : int
        VMs of each kind.
    slots, batch : int
        Adapter slots and batch size of each engine.
    token_ms, load_ms : int
        Cost of a token and of an adapter load.
    readiness_grace : float
        Seconds between readiness going off and the first refusal at a stop.
    """

    domains: tuple[str, ...] = ("tamandare-centro", "carneiros", "rio-formoso")
    entries: int = 3
    engines: int = 5
    services: int = 3
    slots: int = 8
    batch: int = 16
    token_ms: int = 40
    load_ms: int = 250
    readiness_grace: float = 1.0


class Deployment:
    """A running deployment.

    Parameters
    ----------
    plan : DeploymentPlan
        How large it is.
    directory : Path
        Where logs go.
    """

    def __init__(self, plan, directory):
        self._plan = plan
        self._directory = Path(directory)
        self._addresses = Addresses()
        self._platform = []
        self._backends = []
        self.sides = []
        self.entries = []
        self._vms = []
        self._commands = {}
        self._health_urls = {}
        self.entry_urls = []
        self.status_urls = {}
        self.backend_urls = {}
        self.object_api = ""
        self.vm_list = ""

    def start(self, objects):
        """Start everything, put the catalogue in, and wait until it is ready.

        Raises
        ------
        ProgramFailed
            If anything doesn't get ready.
        """
        self._start_platform()
        for item in objects:
            self.put(item)
        self._start_backends(MODEL, "engine", self._plan.engines)
        self._start_backends(SERVICE, "plain", self._plan.services)
        for number in range(self._plan.entries):
            self._start_entry(number)
        self._put_vms()
        for program in (*self.sides, *self.entries):
            program.wait_for(self._health_urls[program.name], READY_TIMEOUT)

    def put(self, item):
        """Create a catalogue object in the object API."""
        path = f"{_KINDS[type(item)].value}/{item.name}"
        _put(
            f"{self.object_api}/objects/{path}",
            encode_object(item),
            {"If-None-Match": "*"},
        )

    def find_program(self, name):
        """Return the Program of a name.

        Raises
        ------
        ProgramFailed
            If there is none.
        """
        groups = (self.entries, self.sides, self._backends, self._platform)
        for group in groups:
            for program in group:
                if program.name == name:
                    return program
        raise ProgramFailed(f"there is no program {name}")

    def stop(self):
        """Stop everything as planned, callers' side first.

        Returns
        -------
        list of str
            What did not end well.
        """
        troubles = []
        for group in (self.entries, self.sides, self._backends, self._platform):
            for program in group:
                program.terminate()
            for program in group:
                status = program.wait(STOP_TIMEOUT)
                if status != 0:
                    troubles.append(f"{program.name} ended with status {status}")
        return troubles

    def restart(self, name):
        """Stop an entry or side process as planned and start it again.

        Returns
        -------
        timedelta
            How long the process took to end.

        Raises
        ------
        ProgramFailed
            If it didn't end well, or isn't ready in time again.
        """
        group = self.entries if name.startswith("entry") else self.sides
        old = self.find_program(name)
        began = time.monotonic()
        old.terminate()
        status = old.wait(STOP_TIMEOUT)
        took = timedelta(seconds=time.monotonic() - began)
        if status != 0:
            raise ProgramFailed(f"{name} ended with status {status}")
        new = self._run_daemon(*self._commands[name])
        group[group.index(old)] = new
        new.wait_for(self._health_urls[name], READY_TIMEOUT)
        return took

    def _start_platform(self):
        host = self._addresses.take()
        self.object_api = f"http://{host}:{OBJECT_API_PORT}"
        self.vm_list = f"http://{host}:{VM_LIST_PORT}"
        for name, address, path in (
            ("object_api", self.object_api, "/control"),
            ("vm_list", self.vm_list, "/vms"),
        ):
            program = self._run_standin(name, name, address)
            self._platform.append(program)
            program.wait_for(address + path, READY_TIMEOUT)

    def _start_backends(self, service, kind, count):
        plan = self._plan
        for number in range(count):
            host = self._addresses.take()
            url = f"http://{host}:{BACKEND_PORT}"
            name = f"{service}-{number + 1}"
            options = []
            if kind == "engine":
                options = [f"--model={service}", f"--slots={plan.slots}"]
                options += [f"--batch={plan.batch}", f"--token-ms={plan.token_ms}"]
                options += [f"--load-ms={plan.load_ms}"]
            standin = "engine" if kind == "engine" else "service"
            program = self._run_standin(f"{name}-backend", standin, url, *options)
            self._backends.append(program)
            self.backend_urls[name] = url
            self._start_side(name, host, number, service, kind, url)

    def _start_side(self, name, host, number, service, kind, url):
        record = self._add_vm(name, host, number, "side", service)
        flags = [f"--backend={url}", f"--backend-kind={kind}", f"--service={service}"]
        self.sides.append(self._run_daemon("side", record, host, flags))

    def _start_entry(self, number):
        host = self._addresses.take()
        record = self._add_vm(f"entry-{number + 1}", host, number, "entry", "")
        flags = [
            f"--http-listen={host}:{CALLER_PORT}",
            f"--readiness-grace={self._plan.readiness_grace}",
        ]
        self.entries.append(self._run_daemon("entry", record, host, flags))
        self.entry_urls.append(f"http://{host}:{CALLER_PORT}")

    def _add_vm(self, name, host, number, role, service):
        record = {
            "vm": name,
            "address": f"{host}:{PEER_PORT}",
            "region": "tamandare",
            "failure_domain": self._plan.domains[number % len(self._plan.domains)],
            "role": role,
            "service": service,
            "state": "live",
        }
        self._vms.append(record)
        self.status_urls[name] = f"http://{host}:{STATUS_PORT}"
        return record

    def _put_vms(self):
        _put(f"{self.vm_list}/vms", orjson.dumps(self._vms), {})

    def _run_daemon(self, role, record, host, flags):
        name = record["vm"]
        self._commands[name] = (role, record, host, flags)
        self._health_urls[name] = f"http://{host}:{STATUS_PORT}/health/ready"
        arguments = [
            role,
            f"--vm={record['vm']}",
            f"--region={record['region']}",
            f"--failure-domain={record['failure_domain']}",
            f"--object-api={self.object_api}",
            f"--vm-list={self.vm_list}",
            f"--peer-listen={host}:{PEER_PORT}",
            f"--status-listen={host}:{STATUS_PORT}",
            *flags,
        ]
        module = "balsamspoke_daemon"
        return Program.start(record["vm"], module, arguments, self._directory)

    def _run_standin(self, name, module, url, *options):
        listen = f"--listen={url.removeprefix('http://')}"
        module = f"balsamspoke_standins.{module}"
        return Program.start(name, module, [listen, *options], self._directory)


def _put(url, body, headers):
    request = urllib.request.Request(url, body, headers, method="PUT")
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_SECONDS):
            pass
    except OSError as error:
        raise ProgramFailed(f"PUT {url}: {error}") from error
