"""Who asks: by client certificate or by signature, and only for himself. TLS whose files may be renewed
while it serves."""

from __future__ import annotations

import os
import re
from typing import Any

from cryptography import x509
from OpenSSL import SSL

from meadowcross.common.http import ApiRequest, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.openjd.keys import KeyTrouble, common_name, read_private, revoked_serials
from meadowcross.openjd.signing import Signatures

log = get_logger("tickets")

_OF = re.compile(r"/v1/submitters/([^/]+)/.*")


class Tls:
    """A context for each new connection, made anew when one of its files has changed. What can't be read
    then is told once, and the earlier one goes on."""

    def __init__(self, certificate: str, key: str, authority: str, revoked: str) -> None:
        self._files = (certificate, key, authority, revoked)
        self._context: Any = None
        self._changed: tuple[int, ...] = ()
        self.revoked: set[int] = set()
        self._make(self._times())

    def _times(self) -> tuple[int, ...]:
        return tuple(os.stat(file).st_mtime_ns if os.path.exists(file) else 0 for file in self._files)

    def _make(self, changed: tuple[int, ...]) -> None:
        certificate, key, authority, revoked = self._files
        read_private(key)
        try:
            with open(authority, "rb") as file:
                root = x509.load_pem_x509_certificate(file.read())
            context = SSL.Context(SSL.TLS_SERVER_METHOD)
            context.set_min_proto_version(SSL.TLS1_2_VERSION)
            context.use_certificate_chain_file(certificate)
            context.use_privatekey_file(key)
            context.check_privatekey()
            context.load_verify_locations(authority)
        except (SSL.Error, OSError, ValueError) as error:
            raise KeyTrouble(f"{certificate}, {key}, {authority}: {error or 'they do not fit each other'}") from error
        # A submitter may come without a certificate and sign instead; one of another authority, or one that does
        # not hold now, ends the handshake.
        context.set_verify(SSL.VERIFY_PEER, lambda connection, cert, number, depth, good: bool(good))
        self.revoked = revoked_serials(revoked, root)
        self._context = context
        self._changed = changed

    def refresh(self) -> None:
        changed = self._times()
        if changed != self._changed:
            try:
                self._make(changed)
                log.info("certificates read anew")
            except KeyTrouble as error:
                self._changed = changed
                log.error("certificates stay as they were: %s", error)

    def getContext(self) -> Any:
        self.refresh()
        return self._context


class Guard:
    """Refuses what is not asked by the submitter whom the path names."""

    def __init__(self, tls: Tls | None, signatures: Signatures | None) -> None:
        self._tls = tls
        self._signatures = signatures

    def __call__(self, request: ApiRequest, path: str, body: bytes) -> ServerResponse | None:
        named = _OF.fullmatch(path)
        if named is None:
            return None
        try:
            who = self._who(request, path, body)
        except KeyTrouble as error:
            log.info("a request for %.60r is refused: %s", named[1], error)
            return error_response(401, str(error))
        if who != named[1]:
            log.info("%s asked for %.60r: refused", who, named[1])
            return error_response(403, "not yours")
        return None

    def _who(self, request: ApiRequest, path: str, body: bytes) -> str:
        shown = getattr(request.transport, "getPeerCertificate", lambda: None)()
        if shown is not None and self._tls is not None:
            certificate = shown.to_cryptography()
            self._tls.refresh()
            if certificate.serial_number in self._tls.revoked:
                raise KeyTrouble("the certificate is revoked")
            return common_name(certificate)
        header = request.getHeader(b"authorization")
        if self._signatures is None or header is None:
            raise KeyTrouble("neither a client certificate nor a signature")
        text = header.decode("ascii", "replace") if isinstance(header, bytes) else header
        return self._signatures.submitter(text, request.method.decode("ascii", "replace"), path, body)
