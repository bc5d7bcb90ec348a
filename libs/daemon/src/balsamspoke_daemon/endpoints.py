"""Listening ports over TCP, with TLS if the settings say so."""

from balsamspoke_platform import listen_eagerly
from OpenSSL import SSL, crypto
from twisted.internet.ssl import CertificateOptions
from twisted.protocols.tls import TLSMemoryBIOFactory

BACKLOG_CONNECTIONS = 1024


class RenewedCertificate:
    """Make TLS contexts from files, again whenever the files change.

    Parameters
    ----------
    certificate, key : Path
        PEM files.
    """

    def __init__(self, certificate, key):
        self._certificate = certificate
        self._key = key
        self._seen = None
        self._options = None

    def getContext(self):
        """Return the context for a new connection."""
        seen = (self._certificate.stat().st_mtime_ns, self._key.stat().st_mtime_ns)
        if seen != self._seen:
            self._options = self._read()
            self._seen = seen
        return self._options.getContext()

    def _read(self):
        key = crypto.load_privatekey(SSL.FILETYPE_PEM, self._key.read_bytes())
        chain = _split_chain(self._certificate.read_bytes())
        return CertificateOptions(
            privateKey=key, certificate=chain[0], extraCertChain=chain[1:] or None
        )


_MARK = b"-----BEGIN CERTIFICATE-----"


def _split_chain(data):
    return [
        crypto.load_certificate(SSL.FILETYPE_PEM, _MARK + part)
        for part in data.split(_MARK)[1:]
    ]


def listen_http(reactor, endpoint, factory, certificate=None):
    """Listen on an Endpoint, with TLS if there is a RenewedCertificate.

    Returns
    -------
    IListeningPort
    """
    if certificate is not None:
        certificate.getContext()
        factory = TLSMemoryBIOFactory(certificate, False, factory)
    return listen_eagerly(
        reactor, endpoint.port, factory, BACKLOG_CONNECTIONS, endpoint.host
    )
