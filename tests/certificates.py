from datetime import UTC, datetime, timedelta
from ipaddress import ip_address

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

HOST = '127.0.0.1'


class Authority:
    """Sign certificates for the loopback address."""

    def __init__(self, name):
        self.key = ec.generate_private_key(ec.SECP256R1())
        self.name = describe(name)
        self.certificate = self.build(
            self.name, self.key, extension=x509.BasicConstraints(True, None)
        )

    def build(self, subject, key, *, extension):
        now = datetime.now(tz=UTC)
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self.name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(days=1))
            .not_valid_after(now + timedelta(days=1))
            .add_extension(extension, critical=False)
        )
        return builder.sign(self.key, hashes.SHA256())

    def issue(self, folder, name):
        """Write a certificate, its key and this authority."""
        key = ec.generate_private_key(ec.SECP256R1())
        alternatives = x509.SubjectAlternativeName(
            [x509.IPAddress(ip_address(HOST))]
        )
        signed = self.build(describe(name), key, extension=alternatives)
        pem = serialization.Encoding.PEM
        (folder / 'certificate.pem').write_bytes(signed.public_bytes(pem))
        (folder / 'authority.pem').write_bytes(
            self.certificate.public_bytes(pem)
        )
        (folder / 'key.pem').write_bytes(
            key.private_bytes(
                pem,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )


def describe(name):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
