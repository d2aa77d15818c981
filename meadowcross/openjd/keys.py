"""A small certificate authority for sites without one: certificates of gateways and submitters, and their revocation.

Uses `cryptography`: P-256 keys, X.509 certificates, and a revocation list signed by the authority. A key file that
users other than its owner can access is rejected.
"""

from __future__ import annotations

import ipaddress
import os
import re
import stat
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID
from msgspec import Struct

AUTHORITY_NAME, REVOCATION_FILE = "authority", "revoked.pem"
CLOCK_TOLERANCE = timedelta(minutes=5)
"""Certificates are valid from this long before they are made, because clocks differ."""
NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")
"""Names of submitters and gateways. A name is also a file name, so the pattern excludes names of other directories."""
SERVER_KIND, SUBMITTER_KIND = "server", "submitter"


class CredentialError(Exception):
    """A key, certificate, secret or signature can't be used; the text names it and says why."""


class IssuedCertificate(Struct):
    """One certificate of the authority; `serial` is hexadecimal, `until` is in UTC."""

    name: str
    kind: str
    serial: str
    until: str
    revoked: bool


def write_private(path: str, content: bytes) -> None:
    """Write a new file that only its owner can read. Raises CredentialError, also if the file exists."""
    try:
        descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        raise CredentialError(f"{path}: there already") from None
    except OSError as error:
        raise CredentialError(f"{path}: can't be written: {error.strerror}") from error
    with os.fdopen(descriptor, "wb") as file:
        file.write(content)


def read_private(path: str) -> bytes:
    """Read a private file. Raises CredentialError, also if users other than its owner may access the file."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            if mode & (stat.S_IRWXG | stat.S_IRWXO):
                raise CredentialError(f"{path}: readable by others than its owner; chmod 600")
            return file.read()
    except OSError as error:
        raise CredentialError(f"{path}: can't be read: {error.strerror}") from error


def _encode_private_key(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def read_public(path: str) -> bytes:
    """Read a file whose permissions don't matter. Raises CredentialError."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise CredentialError(f"{path}: can't be read: {error.strerror}") from error


def _read_certificate(path: str) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(read_public(path))
    except ValueError as error:
        raise CredentialError(f"{path}: no certificate: {error}") from error


def common_name(certificate: x509.Certificate) -> str:
    """The common name of the certificate's subject, empty if there is none."""
    common_names = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(common_names[0].value) if common_names else ""


class Authority:
    """A certificate authority in a directory: its own key and certificate, issued certificates, revocation list."""

    def __init__(self, directory: str) -> None:
        """Load the authority's key and certificate. Raises CredentialError."""
        self.directory = directory
        self.certificate = _read_certificate(self._path(f"{AUTHORITY_NAME}.pem"))
        try:
            key = serialization.load_pem_private_key(read_private(self._path(f"{AUTHORITY_NAME}.key")), None)
        except (ValueError, UnsupportedAlgorithm) as error:
            raise CredentialError(f"{self._path(AUTHORITY_NAME)}.key: no key: {error}") from error
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise CredentialError(f"{self._path(AUTHORITY_NAME)}.key: not a key of this authority's kind")
        self._key = key

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    @classmethod
    def init(cls, directory: str, site: str, days: int) -> Authority:
        """Create the directory with a new key, certificate and empty revocation list. Raises CredentialError."""
        try:
            os.makedirs(directory, mode=0o700, exist_ok=True)
        except OSError as error:
            raise CredentialError(f"{directory}: can't be made: {error.strerror}") from error
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"meadowcross {site}"[:64])])
        now = datetime.now(UTC)
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - CLOCK_TOLERANCE)
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .sign(key, hashes.SHA256())
        )
        write_private(os.path.join(directory, f"{AUTHORITY_NAME}.key"), _encode_private_key(key))
        write_private(
            os.path.join(directory, f"{AUTHORITY_NAME}.pem"), certificate.public_bytes(serialization.Encoding.PEM)
        )
        authority = cls(directory)
        authority._write_revocation_list([])
        return authority

    def issue(
        self, name: str, kind: str, days: int, hosts: Sequence[str] = (), *, valid_from: datetime | None = None
    ) -> str:
        """Issue a key and a certificate for a gateway (kind `server`, with its hosts) or a submitter.

        Return the path of both files without their suffix. The same name can be issued again once the old files are
        moved away. Raises CredentialError.
        """
        if not NAME_PATTERN.fullmatch(name) or name == AUTHORITY_NAME:
            raise CredentialError(f"name {name[:80]!r}: expected 1 to 60 letters, digits, dots, dashes")
        key = ec.generate_private_key(ec.SECP256R1())
        valid_from = valid_from or datetime.now(UTC) - CLOCK_TOLERANCE
        usage = ExtendedKeyUsageOID.SERVER_AUTH if kind == SERVER_KIND else ExtendedKeyUsageOID.CLIENT_AUTH
        builder = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
            .issuer_name(self.certificate.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(valid_from)
            .not_valid_after(valid_from + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        )
        if kind == SERVER_KIND:
            builder = builder.add_extension(
                x509.SubjectAlternativeName([_host_name(host) for host in hosts]), critical=False
            )
        certificate = builder.sign(self._key, hashes.SHA256())
        path = self._path(name)
        write_private(f"{path}.key", _encode_private_key(key))
        write_private(f"{path}.pem", certificate.public_bytes(serialization.Encoding.PEM))
        return path

    def list_issued(self) -> list[IssuedCertificate]:
        """All issued certificates in the directory, sorted by file name. Raises CredentialError."""
        revoked = read_revoked_serials(self._path(REVOCATION_FILE), self.certificate)
        issued = []
        for file in sorted(os.listdir(self.directory)):
            if file.endswith(".pem") and file not in (f"{AUTHORITY_NAME}.pem", REVOCATION_FILE):
                certificate = _read_certificate(self._path(file))
                usage = certificate.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
                kind = SERVER_KIND if ExtendedKeyUsageOID.SERVER_AUTH in usage else SUBMITTER_KIND
                until = certificate.not_valid_after_utc.strftime("%Y-%m-%d %H:%M")
                issued.append(
                    IssuedCertificate(
                        common_name(certificate),
                        kind,
                        f"{certificate.serial_number:x}",
                        until,
                        certificate.serial_number in revoked,
                    )
                )
        return issued

    def revoke(self, name: str) -> str:
        """Add the named certificate to the revocation list, and return its serial number. Raises CredentialError."""
        if not NAME_PATTERN.fullmatch(name) or name == AUTHORITY_NAME:
            raise CredentialError(f"name {name[:80]!r}: no certificate of this authority")
        certificate = _read_certificate(self._path(f"{name}.pem"))
        revoked = read_revoked_serials(self._path(REVOCATION_FILE), self.certificate)
        self._write_revocation_list(sorted(revoked | {certificate.serial_number}))
        return f"{certificate.serial_number:x}"

    def _write_revocation_list(self, serials: Sequence[int]) -> None:
        now = datetime.now(UTC)
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.certificate.subject)
            .last_update(now - CLOCK_TOLERANCE)
            .next_update(now + timedelta(days=3650))
        )
        for serial in serials:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now).build()
            )
        content = builder.sign(self._key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        # Replaced atomically, because a gateway may read the file at any moment.
        path = self._path(REVOCATION_FILE)
        with open(path + ".new", "wb") as file:
            file.write(content)
            os.fsync(file.fileno())
        os.replace(path + ".new", path)


def _host_name(text: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def read_revoked_serials(path: str, authority: x509.Certificate) -> set[int]:
    """The serial numbers on a revocation list. Raises CredentialError, also if `authority` did not sign the list."""
    try:
        revocation_list = x509.load_pem_x509_crl(read_public(path))
        key = authority.public_key()
        if not isinstance(key, ec.EllipticCurvePublicKey) or not revocation_list.is_signature_valid(key):
            raise CredentialError(f"{path}: not signed by the authority")
    except (ValueError, InvalidSignature, TypeError) as error:
        raise CredentialError(f"{path}: no revocation list: {error}") from error
    return {entry.serial_number for entry in revocation_list}
