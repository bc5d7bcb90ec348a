"""Start and planned stop of the daemon process."""

import asyncio
import random
import secrets
import signal

from balsamspoke_gateway.observing import Observers
from balsamspoke_node import (
    EntryNode,
    EntrySettings,
    NodeIdentity,
    NodePorts,
    SideNode,
)
from balsamspoke_platform import (
    HttpClient,
    HttpEngine,
    HttpObjectStore,
    HttpPlainService,
    HttpVmList,
    ReactorClock,
    build_agent,
)
from balsamspoke_transport.lateness import TimerProbe
from balsamspoke_transport.meters import read_metrics
from balsamspoke_types.identifiers import ProcessId
from loguru import logger

from .callers import CallerFactory
from .credentials import MutualTlsCredentials, PlainCredentials
from .definitions import ENTRY
from .endpoints import ReloadingCertificate, listen_http
from .logs import LogObserver, set_up_logs
from .metrics import MetricsObserver
from .peers import GrpcTransport
from .status import describe_entry, describe_side, make_status_site

BOOT_BITS = 62
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class DaemonProcess:
    """One run of an entry process or a side process.

    Must be created while the asyncio loop is running.

    Parameters
    ----------
    settings : Settings
        Validated settings; ``role`` decides which node is run.
    reactor : IReactorCore
        A reactor on the asyncio loop.

    Attributes
    ----------
    process : ProcessId
        Identity of this run: the VM and a random boot number.
    """

    def __init__(self, settings, reactor):
        self._settings = settings
        self._reactor = reactor
        self._loop = asyncio.get_running_loop()
        self._random = random.Random(secrets.randbits(64))
        self.process = ProcessId(settings.vm, secrets.randbits(BOOT_BITS))
        self._clock = ReactorClock(reactor)
        self._agent = build_agent(reactor)
        self._transport = GrpcTransport(
            self.process, self._loop, self._random, _choose_credentials(settings)
        )
        self._is_stopping = False
        self._ports = []
        set_up_logs(settings, self.process)
        metrics = MetricsObserver()
        self._observer = Observers(LogObserver(self._clock), metrics)
        self._timer_probe = TimerProbe(
            self._clock, metrics.record_lateness, self._observer
        )
        self._node = self._make_node()

    async def start(self):
        """Open the ports, start the node and install the signal handlers.

        Raises
        ------
        RuntimeError
            If the address for peers is in use.
        CannotListenError
            If another address is in use.
        """
        settings = self._settings
        await self._transport.listen(str(settings.peer_listen))
        if settings.role == ENTRY:
            self._open_entry_ports()
        else:
            self._open_status(describe_side)
        self._node.start()
        self._timer_probe.start()
        for signal_number in STOP_SIGNALS:
            self._loop.add_signal_handler(signal_number, self._begin_stop)
        logger.info("started")

    def _make_node(self):
        settings = self._settings
        identity = NodeIdentity(
            settings.vm,
            settings.region,
            settings.failure_domain,
            settings.service or "",
        )
        ports = NodePorts(
            self.process,
            identity,
            self._clock,
            self._random,
            HttpObjectStore(self._make_client(settings.object_api)),
            HttpVmList(self._make_client(settings.vm_list)),
            self._transport,
        )
        if settings.role == ENTRY:
            return EntryNode(
                ports,
                settings=EntrySettings(
                    first_token_timeout=settings.first_token_timeout,
                    maximum_body_bytes=settings.maximum_body_bytes,
                    readiness_grace=settings.readiness_grace,
                    stop_timeout=settings.stop_timeout,
                ),
                observer=self._observer,
            )
        backend = self._make_client(settings.backend)
        is_engine = settings.backend_kind == "engine"
        return SideNode(
            ports,
            engine=HttpEngine(backend, settings.service) if is_engine else None,
            service=None if is_engine else HttpPlainService(backend),
            fencing=int(self._clock.now().timestamp() * 1000),
            observer=self._observer,
        )

    def _make_client(self, base_url):
        return HttpClient(self._agent, self._reactor, base_url)

    def _open_entry_ports(self):
        settings = self._settings
        certificate = None
        if settings.tls_certificate is not None:
            certificate = ReloadingCertificate(
                settings.tls_certificate, settings.tls_key
            )
        factory = CallerFactory(self._node, settings, self._reactor)
        port = listen_http(self._reactor, settings.http_listen, factory, certificate)
        self._ports.append(port)
        self._open_status(describe_entry, self._node.explanations.find)

    def _open_status(self, describe, explain=None):
        site = make_status_site(
            lambda: describe(self._node, self._transport),
            read_metrics,
            lambda: self._node.is_ready,
            explain,
        )
        port = listen_http(self._reactor, self._settings.status_listen, site)
        self._ports.append(port)

    def _begin_stop(self):
        if self._is_stopping:
            logger.warning(
                "second stop signal received; stopping without waiting for requests"
            )
            self._finish_stop()
            return
        self._is_stopping = True
        logger.info("stopping")
        self._node.drain().addBoth(lambda _: self._finish_stop())

    def _finish_stop(self):
        self._node.stop()
        for port in self._ports:
            port.stopListening()
        closing = self._loop.create_task(self._transport.close())
        closing.add_done_callback(lambda _: self._reactor.stop())


def _choose_credentials(settings):
    if settings.peer_tls_certificate is None:
        return PlainCredentials()
    return MutualTlsCredentials(
        settings.peer_tls_certificate, settings.peer_tls_key, settings.peer_tls_ca
    )
