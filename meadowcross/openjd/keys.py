"""A small authority for a site without one: certificates for gateways and submitters, and their revocation.

Made with `cryptography`: P-256 keys, certificates of X.509, a revocation list signed by the authority. A key is
readable by its owner only, and is refused at start where it is not.
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

AUTHORITY, REVOKED = "authority", "revoked.pem"
SLACK = timedelta(minutes=5)
"""Certificates hold from a little before they are made: clocks differ."""
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,59}")
"""Of submitters and gateways; never one that leads out of a directory."""
SERVER, SUBMITTER = "server", "submitter"


class KeyTrouble(Exception):
    """A key, certificate or directory that can't be used: which, and why."""


class Issued(Struct):
    """One certificate that the authority has issued."""

    name: str
    kind: str
    serial: str
    until: str
    revoked: bool


def write_private(path: str, content: bytes) -> None:
    """A new file that only its owner can read; never over an old one. Raises KeyTrouble."""
    try:
        handle = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    except FileExistsError:
        raise KeyTrouble(f"{path}: there already") from None
    except OSError as error:
        raise KeyTrouble(f"{path}: can't be written: {error.strerror}") from error
    with os.fdopen(handle, "wb") as file:
        file.write(content)


def read_private(path: str) -> bytes:
    """Raises KeyTrouble where others than the owner may read the file."""
    try:
        with open(path, "rb") as file:
            mode = os.fstat(file.fileno()).st_mode
            if mode & (stat.S_IRWXG | stat.S_IRWXO):
                raise KeyTrouble(f"{path}: readable by others than its owner; chmod 600")
            return file.read()
    except OSError as error:
        raise KeyTrouble(f"{path}: can't be read: {error.strerror}") from error


def _pem(key: ec.EllipticCurvePrivateKey) -> bytes:
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def read_public(path: str) -> bytes:
    """Raises KeyTrouble."""
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as error:
        raise KeyTrouble(f"{path}: can't be read: {error.strerror}") from error


def _certificate(path: str) -> x509.Certificate:
    try:
        return x509.load_pem_x509_certificate(read_public(path))
    except ValueError as error:
        raise KeyTrouble(f"{path}: no certificate: {error}") from error


def common_name(certificate: x509.Certificate) -> str:
    found = certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)
    return str(found[0].value) if found else ""


class Authority:
    """The directory of an authority: its own key and certificate, what it issued, what it revoked."""

    def __init__(self, directory: str) -> None:
        self.directory = directory
        self.certificate = _certificate(self._path(f"{AUTHORITY}.pem"))
        try:
            key = serialization.load_pem_private_key(read_private(self._path(f"{AUTHORITY}.key")), None)
        except (ValueError, UnsupportedAlgorithm) as error:
            raise KeyTrouble(f"{self._path(AUTHORITY)}.key: no key: {error}") from error
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise KeyTrouble(f"{self._path(AUTHORITY)}.key: not a key of this authority's kind")
        self._key = key

    def _path(self, name: str) -> str:
        return os.path.join(self.directory, name)

    @classmethod
    def init(cls, directory: str, site: str, days: int) -> Authority:
        """Make the directory and a key and certificate in it. Raises KeyTrouble."""
        try:
            os.makedirs(directory, mode=0o700, exist_ok=True)
        except OSError as error:
            raise KeyTrouble(f"{directory}: can't be made: {error.strerror}") from error
        key = ec.generate_private_key(ec.SECP256R1())
        name = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, f"meadowcross {site}"[:64])])
        now = datetime.now(UTC)
        certificate = (
            x509.CertificateBuilder()
            .subject_name(name)
            .issuer_name(name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - SLACK)
            .not_valid_after(now + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
            .sign(key, hashes.SHA256())
        )
        write_private(os.path.join(directory, f"{AUTHORITY}.key"), _pem(key))
        write_private(os.path.join(directory, f"{AUTHORITY}.pem"), certificate.public_bytes(serialization.Encoding.PEM))
        made = cls(directory)
        made._write_revoked([])
        return made

    def issue(
        self, name: str, kind: str, days: int, hosts: Sequence[str] = (), *, begins: datetime | None = None
    ) -> str:
        """A key and a certificate for a gateway (`server`, with its hosts) or a submitter. The path without its
        ending; raises KeyTrouble. A name may be issued again once the old files are moved away."""
        if not NAME.fullmatch(name) or name == AUTHORITY:
            raise KeyTrouble(f"name {name[:80]!r}: expected 1 to 60 letters, digits, dots, dashes")
        key = ec.generate_private_key(ec.SECP256R1())
        begins = begins or datetime.now(UTC) - SLACK
        usage = ExtendedKeyUsageOID.SERVER_AUTH if kind == SERVER else ExtendedKeyUsageOID.CLIENT_AUTH
        builder = (
            x509.CertificateBuilder()
            .subject_name(x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)]))
            .issuer_name(self.certificate.subject)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(begins)
            .not_valid_after(begins + timedelta(days=days))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.ExtendedKeyUsage([usage]), critical=False)
        )
        if kind == SERVER:
            builder = builder.add_extension(x509.SubjectAlternativeName([_host(h) for h in hosts]), critical=False)
        certificate = builder.sign(self._key, hashes.SHA256())
        path = self._path(name)
        write_private(f"{path}.key", _pem(key))
        write_private(f"{path}.pem", certificate.public_bytes(serialization.Encoding.PEM))
        return path

    def issued(self) -> list[Issued]:
        """All certificates in the directory, by name."""
        gone = revoked_serials(self._path(REVOKED), self.certificate)
        found = []
        for file in sorted(os.listdir(self.directory)):
            if file.endswith(".pem") and file not in (f"{AUTHORITY}.pem", REVOKED):
                one = _certificate(self._path(file))
                usage = one.extensions.get_extension_for_class(x509.ExtendedKeyUsage).value
                kind = SERVER if ExtendedKeyUsageOID.SERVER_AUTH in usage else SUBMITTER
                until = one.not_valid_after_utc.strftime("%Y-%m-%d %H:%M")
                found.append(Issued(common_name(one), kind, f"{one.serial_number:x}", until, one.serial_number in gone))
        return found

    def revoke(self, name: str) -> str:
        """Put the named certificate on the list that gateways read; its serial. Raises KeyTrouble."""
        if not NAME.fullmatch(name) or name == AUTHORITY:
            raise KeyTrouble(f"name {name[:80]!r}: no certificate of this authority")
        certificate = _certificate(self._path(f"{name}.pem"))
        gone = revoked_serials(self._path(REVOKED), self.certificate)
        self._write_revoked(sorted(gone | {certificate.serial_number}))
        return f"{certificate.serial_number:x}"

    def _write_revoked(self, serials: Sequence[int]) -> None:
        now = datetime.now(UTC)
        builder = (
            x509.CertificateRevocationListBuilder()
            .issuer_name(self.certificate.subject)
            .last_update(now - SLACK)
            .next_update(now + timedelta(days=3650))
        )
        for serial in serials:
            builder = builder.add_revoked_certificate(
                x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(now).build()
            )
        content = builder.sign(self._key, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
        # Whole or not at all: a gateway may read it at any moment.
        path = self._path(REVOKED)
        with open(path + ".new", "wb") as file:
            file.write(content)
            os.fsync(file.fileno())
        os.replace(path + ".new", path)


def _host(text: str) -> x509.GeneralName:
    try:
        return x509.IPAddress(ipaddress.ip_address(text))
    except ValueError:
        return x509.DNSName(text)


def revoked_serials(path: str, authority: x509.Certificate) -> set[int]:
    """The serials on an authority's list. Raises KeyTrouble where it is not that authority's."""
    try:
        listed = x509.load_pem_x509_crl(read_public(path))
        key = authority.public_key()
        if not isinstance(key, ec.EllipticCurvePublicKey) or not listed.is_signature_valid(key):
            raise KeyTrouble(f"{path}: not signed by the authority")
    except (ValueError, InvalidSignature, TypeError) as error:
        raise KeyTrouble(f"{path}: no revocation list: {error}") from error
    return {one.serial_number for one in listed}
