"""Authenticates requests to a gateway by client certificate or signature, and renews its TLS files while it serves.

A request is served only if its path names the submitter who sent it.
"""

from __future__ import annotations

import os
import re
from typing import Any

from cryptography import x509
from OpenSSL import SSL

from meadowcross.common.http import ApiRequest, ServerResponse, error_response
from meadowcross.common.logging import get_logger
from meadowcross.openjd.keys import CredentialError, common_name, read_private, read_revoked_serials
from meadowcross.openjd.signing import SignatureVerifier

log = get_logger("tickets")

_SUBMITTER_PATH = re.compile(r"/v1/submitters/([^/]+)/.*")


class TlsContextFactory:
    """Provides the TLS context of each new connection, reloaded when one of its files has changed.

    If changed files can't be used, the error is logged once and the previous context stays in use.
    """

    def __init__(self, certificate: str, key: str, authority: str, revoked: str) -> None:
        """Read the files. Raises CredentialError."""
        self._files = (certificate, key, authority, revoked)
        self._context: Any = None
        self._modified_ns: tuple[int, ...] = ()
        self.revoked: set[int] = set()
        """Serial numbers of revoked certificates."""
        self._build_context(self._read_modification_times())

    def _read_modification_times(self) -> tuple[int, ...]:
        return tuple(os.stat(file).st_mtime_ns if os.path.exists(file) else 0 for file in self._files)

    def _build_context(self, modified_ns: tuple[int, ...]) -> None:
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
            raise CredentialError(
                f"{certificate}, {key}, {authority}: {error or 'they do not fit each other'}"
            ) from error
        # A client certificate is optional, because a submitter may sign requests instead. A certificate of another
        # authority, or one that is not valid now, ends the handshake.
        context.set_verify(SSL.VERIFY_PEER, lambda connection, cert, number, depth, is_valid: bool(is_valid))
        self.revoked = read_revoked_serials(revoked, root)
        self._context = context
        self._modified_ns = modified_ns

    def refresh(self) -> None:
        """Build a new context if one of the files has changed; keep the present one if they can't be used."""
        modified_ns = self._read_modification_times()
        if modified_ns != self._modified_ns:
            try:
                self._build_context(modified_ns)
                log.info("certificates reloaded")
            except CredentialError as error:
                self._modified_ns = modified_ns
                log.error("certificates not reloaded, previous ones stay in use error=%s", error)

    def getContext(self) -> Any:
        """The present TLS context; called by Twisted for each connection."""
        self.refresh()
        return self._context


class Authenticator:
    """Rejects requests that were not sent by the submitter whom their path names."""

    def __init__(self, tls: TlsContextFactory | None, signatures: SignatureVerifier | None) -> None:
        self._tls = tls
        self._signatures = signatures

    def __call__(self, request: ApiRequest, path: str, body: bytes) -> ServerResponse | None:
        """The rejection of a request (401 or 403), or None if the request may be served."""
        path_match = _SUBMITTER_PATH.fullmatch(path)
        if path_match is None:
            return None
        try:
            submitter = self._authenticate(request, path, body)
        except CredentialError as error:
            log.info("request refused submitter=%.60r reason=%s", path_match[1], error)
            return error_response(401, str(error))
        if submitter != path_match[1]:
            log.info("request for another submitter refused sender=%s submitter=%.60r", submitter, path_match[1])
            return error_response(403, "not yours")
        return None

    def _authenticate(self, request: ApiRequest, path: str, body: bytes) -> str:
        """The name of the submitter who sent the request. Raises CredentialError."""
        peer_certificate = getattr(request.transport, "getPeerCertificate", lambda: None)()
        if peer_certificate is not None and self._tls is not None:
            certificate = peer_certificate.to_cryptography()
            self._tls.refresh()
            if certificate.serial_number in self._tls.revoked:
                raise CredentialError("the certificate is revoked")
            return common_name(certificate)
        header = request.getHeader(b"authorization")
        if self._signatures is None or header is None:
            raise CredentialError("neither a client certificate nor a signature")
        text = header.decode("ascii", "replace") if isinstance(header, bytes) else header
        return self._signatures.authenticate(text, request.method.decode("ascii", "replace"), path, body)
