"""Certificates for the tests of TLS, generated at run time."""

import datetime as dt
from pathlib import Path

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from greengagepath.generated.settings import TlsSettings

NOW = dt.datetime.now(dt.UTC)
DAY = dt.timedelta(days=1)


class Authority:
    """Certificate authority for tests.

    Its certificates are valid from ten days ago, so that a test can get
    one that has expired.
    """

    def __init__(self, name):
        self._key = ec.generate_private_key(ec.SECP256R1())
        self._name = make_name(name)
        public_key = self._key.public_key()
        self.certificate = self._sign(self._name, public_key, 1, is_ca=True)

    def write(self, folder, days=1):
        """Write certificate, key and authority files of a member.

        The certificate expires in `days` days. Returns the TLS settings
        with the paths.
        """
        key = ec.generate_private_key(ec.SECP256R1())
        name = make_name('member')
        certificate = self._sign(name, key.public_key(), days)
        private = key.private_bytes(
            serialization.Encoding.PEM,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
        contents = {
            'certificate_file': to_pem(certificate),
            'key_file': private,
            'authority_file': to_pem(self.certificate),
        }
        paths = {key: Path(folder, key) for key in contents}
        for name, content in contents.items():
            paths[name].write_bytes(content)
        return TlsSettings(**{key: str(path) for key, path in paths.items()})

    def _sign(self, subject, public_key, days, *, is_ca=False):
        builder = (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(public_key)
            .serial_number(x509.random_serial_number())
            .not_valid_before(NOW - 10 * DAY)
            .not_valid_after(NOW + days * DAY)
            .add_extension(x509.BasicConstraints(is_ca, None), critical=True)
        )
        return builder.sign(self._key, hashes.SHA256())


def make_name(name):
    """Return a distinguished name that has only a common name."""
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])


def to_pem(certificate):
    """Return the certificate as PEM bytes."""
    return certificate.public_bytes(serialization.Encoding.PEM)
