"""Protection of the connections between processes, renewed without a restart."""

from abc import ABC, abstractmethod

import grpc


class PeerCredentials(ABC):
    """How connections between processes are protected."""

    @abstractmethod
    def add_port(self, server, address):
        """Let a grpc.aio.Server listen on an address; return the port."""

    @abstractmethod
    def open_channel(self, address, options):
        """Return a grpc.aio.Channel to an address."""


class PlainCredentials(PeerCredentials):
    """No protection, for loopback and trusted networks."""

    def add_port(self, server, address):
        """Listen without TLS."""
        return server.add_insecure_port(address)

    def open_channel(self, address, options):
        """Connect without TLS."""
        return grpc.aio.insecure_channel(address, options=options)


class MutualTlsCredentials(PeerCredentials):
    """TLS with certificates on both ends.

    The files are read again at each new connection, so that a renewed
    certificate needs no restart.

    Parameters
    ----------
    certificate, key, authority : Path
        PEM files.
    server_name : str
        Name that every process's certificate carries.
    """

    def __init__(self, certificate, key, authority, server_name="balsamspoke-peer"):
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._server_name = server_name

    def add_port(self, server, address):
        """Listen with TLS; the peer must show a certificate."""
        credentials = grpc.dynamic_ssl_server_credentials(
            self._read_server_configuration(),
            self._read_server_configuration,
            require_client_authentication=True,
        )
        return server.add_secure_port(address, credentials)

    def open_channel(self, address, options):
        """Connect with TLS and show the certificate."""
        credentials = grpc.ssl_channel_credentials(
            self._authority.read_bytes(),
            self._key.read_bytes(),
            self._certificate.read_bytes(),
        )
        name = ("grpc.ssl_target_name_override", self._server_name)
        return grpc.aio.secure_channel(address, credentials, options=(*options, name))

    def _read_server_configuration(self):
        pair = (self._key.read_bytes(), self._certificate.read_bytes())
        return grpc.ssl_server_certificate_configuration(
            [pair], self._authority.read_bytes()
        )
