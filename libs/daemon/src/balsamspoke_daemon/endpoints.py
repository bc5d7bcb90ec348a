"""Listening TCP ports, with or without TLS."""

from balsamspoke_platform import listen_eagerly
from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions
from twisted.protocols.tls import TLSMemoryBIOFactory

LISTEN_BACKLOG = 1024


class ReloadingCertificate:
    """A TLS context factory that reloads its files when they change.

    Whether they changed is checked by modification time for each new connection.

    Parameters
    ----------
    certificate : Path
        PEM file of the certificate chain.
    key : Path
        PEM file of the private key.
    """

    def __init__(self, certificate, key):
        self._certificate = certificate
        self._key = key
        self._loaded_version = None
        self._options = None

    def getContext(self):
        """Return the OpenSSL context for a new connection."""
        modified = (self._certificate.stat().st_mtime_ns, self._key.stat().st_mtime_ns)
        if modified != self._loaded_version:
            self._options = self._load()
            self._loaded_version = modified
        return self._options.getContext()

    def _load(self):
        key = crypto.load_privatekey(SSL.FILETYPE_PEM, self._key.read_bytes())
        chain = _split_chain(self._certificate.read_bytes())
        return CertificateOptions(
            privateKey=key, certificate=chain[0], extraCertChain=chain[1:] or None
        )


_PEM_HEADER = b"-----BEGIN CERTIFICATE-----"


def _split_chain(data):
    return [
        crypto.load_certificate(SSL.FILETYPE_PEM, _PEM_HEADER + body)
        for body in data.split(_PEM_HEADER)[1:]
    ]


def listen_http(reactor, endpoint, factory, certificate=None):
    """Listen on an Endpoint, with TLS if a certificate is given.

    Parameters
    ----------
    reactor : IReactorCore
        Runs the port.
    endpoint : Endpoint
        Address to listen on.
    factory : IProtocolFactory
        Builds the protocols of the connections.
    certificate : ReloadingCertificate, optional
        Loaded once here, so that unusable files fail at start.

    Returns
    -------
    IListeningPort
    """
    if certificate is not None:
        certificate.getContext()
        factory = TLSMemoryBIOFactory(certificate, False, factory)
    return listen_eagerly(
        reactor, endpoint.port, factory, LISTEN_BACKLOG, endpoint.host
    )
