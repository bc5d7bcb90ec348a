"""Certificates for tests, generated on the fly."""

from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

SERVER_NAME = "balsamspoke-peer"


def write_authority(directory, name="authority"):
    """Write the certificate of an authority; return key, certificate and path."""
    key = ec.generate_private_key(ec.SECP256R1())
    certificate = _sign(name, key.public_key(), name, key, is_authority=True)
    path = directory / f"{name}.pem"
    path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    return key, certificate, path


def write_pair(directory, authority, name="peer"):
    """Write a certificate and its key; return both paths and the serial number."""
    authority_key, authority_certificate, _ = authority
    key = ec.generate_private_key(ec.SECP256R1())
    issuer = authority_certificate.subject.rfc4514_string().removeprefix("CN=")
    certificate = _sign(SERVER_NAME, key.public_key(), issuer, authority_key)
    certificate_path = directory / f"{name}.pem"
    key_path = directory / f"{name}-key.pem"
    certificate_path.write_bytes(certificate.public_bytes(serialization.Encoding.PEM))
    key_path.write_bytes(
        key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    return certificate_path, key_path, certificate.serial_number


def _sign(subject, public_key, issuer, issuer_key, is_authority=False):
    now = datetime.now(UTC)
    builder = (
        x509.CertificateBuilder()
        .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, subject)]))
        .issuer_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, issuer)]))
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=30))
        .add_extension(x509.SubjectAlternativeName([x509.DNSName(SERVER_NAME)]), False)
        .add_extension(x509.BasicConstraints(is_authority, None), True)
    )
    return builder.sign(issuer_key, hashes.SHA256())
