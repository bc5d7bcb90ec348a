"""Start, restart and stop of the processes of a small deployment."""

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
    HTTP_PORT,
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
REQUEST_TIMEOUT_SECONDS = 10.0
_KINDS = {
    Team: Kind.TEAM,
    Model: Kind.MODEL,
    Adapter: Kind.ADAPTER,
    PlainService: Kind.SERVICE,
    KeyRecord: Kind.KEY,
}


@dataclass(frozen=True, slots=True)
class DeploymentPlan:
    """Size and timing of a deployment.

    Attributes
    ----------
    domains : tuple of str
        Failure domains; VMs are assigned to them in turn.
    entries : int
        Number of entry processes.
    engines : int
        Number of engines, each with a side process.
    services : int
        Number of booking services, each with a side process.
    slots : int
        Adapter slots of each engine.
    batch : int
        Batch size of each engine.
    token_ms : int
        Milliseconds between two tokens of a stream.
    load_ms : int
        Milliseconds that an adapter load takes.
    readiness_grace : float
        Seconds for which a stopping entry process reports that it isn't ready before
        it refuses requests.
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
    """Processes of a deployment: platform, backend servers, side and entry processes.

    Parameters
    ----------
    plan : DeploymentPlan
        Size and timing.
    directory : Path
        Directory of the log files.

    Attributes
    ----------
    sides : list of Program
        Side processes.
    entries : list of Program
        Entry processes.
    entry_urls : list of str
        Base URLs of the entry processes for callers.
    status_urls : dict
        Base URL of the status port, by VM name.
    backend_urls : dict
        Base URL of the backend server, by VM name.
    object_api : str
        Base URL of the object API.
    vm_list : str
        Base URL of the VM list.
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
        self._daemon_commands = {}
        self._health_urls = {}
        self.entry_urls = []
        self.status_urls = {}
        self.backend_urls = {}
        self.object_api = ""
        self.vm_list = ""

    def start(self, objects):
        """Start all processes, create the catalogue and wait for readiness.

        Parameters
        ----------
        objects : iterable
            Catalogue objects.

        Raises
        ------
        ProgramFailed
            If a process doesn't become ready or an object can't be created.
        """
        self._start_platform()
        for item in objects:
            self.create_object(item)
        self._start_backends(MODEL, "engine", self._plan.engines)
        self._start_backends(SERVICE, "plain", self._plan.services)
        for number in range(self._plan.entries):
            self._start_entry(number)
        self._put_vms()
        for program in (*self.sides, *self.entries):
            program.wait_for(self._health_urls[program.name], READY_TIMEOUT)

    def create_object(self, item):
        """Create a catalogue object in the object API."""
        path = f"{_KINDS[type(item)].value}/{item.name}"
        _put(
            f"{self.object_api}/objects/{path}",
            encode_object(item),
            {"If-None-Match": "*"},
        )

    def find_program(self, name):
        """Return the Program with a name.

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
        """Stop all processes with SIGTERM, those that depend on others first.

        Returns
        -------
        list of str
            A message for each program with a non-zero exit status.
        """
        problems = []
        for group in (self.entries, self.sides, self._backends, self._platform):
            for program in group:
                program.terminate()
            for program in group:
                status = program.wait(STOP_TIMEOUT)
                if status != 0:
                    problems.append(f"{program.name} exited with status {status}")
        return problems

    def restart(self, name):
        """Stop an entry or side process with SIGTERM and start it again.

        Returns
        -------
        timedelta
            Time from SIGTERM to the end of the process.

        Raises
        ------
        ProgramFailed
            If the exit status isn't zero, or the new process isn't ready in time.
        """
        group = self.entries if name.startswith("entry") else self.sides
        old = self.find_program(name)
        stop_started_at = time.monotonic()
        old.terminate()
        status = old.wait(STOP_TIMEOUT)
        stop_duration = timedelta(seconds=time.monotonic() - stop_started_at)
        if status != 0:
            raise ProgramFailed(f"{name} exited with status {status}")
        new = self._run_daemon(*self._daemon_commands[name])
        group[group.index(old)] = new
        new.wait_for(self._health_urls[name], READY_TIMEOUT)
        return stop_duration

    def _start_platform(self):
        host = self._addresses.allocate()
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
            host = self._addresses.allocate()
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
        host = self._addresses.allocate()
        record = self._add_vm(f"entry-{number + 1}", host, number, "entry", "")
        flags = [
            f"--http-listen={host}:{HTTP_PORT}",
            f"--readiness-grace={self._plan.readiness_grace}",
        ]
        self.entries.append(self._run_daemon("entry", record, host, flags))
        self.entry_urls.append(f"http://{host}:{HTTP_PORT}")

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
        self._daemon_commands[name] = (role, record, host, flags)
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
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_SECONDS):
            pass
    except OSError as error:
        raise ProgramFailed(f"PUT {url}: {error}") from error
