"""Credentials of the gRPC connections between processes."""

from abc import ABC, abstractmethod

import grpc


class PeerCredentials(ABC):
    """Transport security of the connections between processes."""

    @abstractmethod
    def add_port(self, server, address):
        """Make a grpc.aio.Server listen on an ``ip:port``; return the bound port."""

    @abstractmethod
    def open_channel(self, address, options):
        """Return a grpc.aio.Channel to an ``ip:port``.

        Parameters
        ----------
        address : str
            Address of the other process.
        options : tuple of tuple
            gRPC channel options, as pairs of name and value.
        """


class PlainCredentials(PeerCredentials):
    """Connections without encryption, for loopback and trusted networks."""

    def add_port(self, server, address):
        """Listen without TLS."""
        return server.add_insecure_port(address)

    def open_channel(self, address, options):
        """Connect without TLS."""
        return grpc.aio.insecure_channel(address, options=options)


class MutualTlsCredentials(PeerCredentials):
    """Connections with mutual TLS.

    The files are read again for each new connection, so that a renewed
    certificate needs no restart.

    Parameters
    ----------
    certificate : Path
        PEM file of the certificate of this process.
    key : Path
        PEM file of the private key of the certificate.
    authority : Path
        PEM file of the certificate authority that signs the peers' certificates.
    server_name : str
        Subject alternative name that the certificate of every process contains;
        checked instead of the host name.
    """

    def __init__(self, certificate, key, authority, server_name="balsamspoke-peer"):
        self._certificate = certificate
        self._key = key
        self._authority = authority
        self._server_name = server_name

    def add_port(self, server, address):
        """Listen with TLS; require a certificate of the client."""
        credentials = grpc.dynamic_ssl_server_credentials(
            self._read_server_configuration(),
            self._read_server_configuration,
            require_client_authentication=True,
        )
        return server.add_secure_port(address, credentials)

    def open_channel(self, address, options):
        """Connect with TLS and present the certificate of this process."""
        credentials = grpc.ssl_channel_credentials(
            self._authority.read_bytes(),
            self._key.read_bytes(),
            self._certificate.read_bytes(),
        )
        name_override = ("grpc.ssl_target_name_override", self._server_name)
        return grpc.aio.secure_channel(
            address, credentials, options=(*options, name_override)
        )

    def _read_server_configuration(self):
        key_and_certificate = (self._key.read_bytes(), self._certificate.read_bytes())
        return grpc.ssl_server_certificate_configuration(
            [key_and_certificate], self._authority.read_bytes()
        )
