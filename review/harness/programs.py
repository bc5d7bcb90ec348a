"""The project's programs as separate processes, started as the deploy file does."""

import os
import signal
import subprocess
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]

_SETTINGS = """\
node_name = "{name}"
role = "{role}"
machine_class = "{machine_class}"
serves = ["{machine_class}"]
ip = "{ip}"
zone = "{zone}"
region = "north"
port_range = [7600, 7615]
bootstrap = {bootstrap}
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
{app}
[listen]
{listen}
[limits]
cpu_share = 0.817
cpus = 1
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stable_window_ms = 3000
ack_ms = 4000
sync_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_extra = 52
quota_window_s = 8
quota_over = 0.1
quota_slack = 110000
recover_s = 12
pass_ms = 120
version_ms = 5000
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
retention_s = 20
value_bytes = 1048576
"""


class Program:
    """One entry or side process.

    Parameters
    ----------
    folder : Path
        Folder for its settings file and its log.
    name : str
        Name of its machine.
    role : str
        ``entry`` or ``side``.
    ip : str
        Address of its machine.
    store : str
        Address of the store, as IP:PORT.
    app, service : str
        Address and service of the replica beside a side process.
    """

    def __init__(self, folder, name, role, ip, store, app="", service=""):
        self.ip = ip
        self.name = name
        self._role = role
        self._settings = Path(folder, f"{name}.toml")
        self.log = Path(folder, f"{name}.log")
        listen = f'front = "{ip}:8221"\nready = "{ip}:8224"' if role == "entry" else ""
        beside = f'app = "{app}"\nservice = "{service}"' if app else ""
        self._fields = {
            "name": name,
            "role": role,
            "machine_class": "front" if role == "entry" else "side",
            "ip": ip,
            "zone": "a",
            "listen": listen,
            "app": beside,
            "store": store,
        }
        self._starts = 0
        self.process = None

    def start(self):
        """Start the process; its output is appended to its log."""
        bootstrap = "false" if self._starts else "true"
        self._starts += 1
        self._settings.write_text(_SETTINGS.format(bootstrap=bootstrap, **self._fields))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = "target/deps"
        environment["BALSAMSPOKE_SETTINGS"] = str(self._settings)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "balsamspoke_adapter", self._role],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def send(self, number):
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        """Kill the process, and wait for its end."""
        if self.process is not None:
            self.send(signal.SIGCONT)
            self.send(signal.SIGKILL)
            self.process.wait()
