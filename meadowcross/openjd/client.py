"""Sends a submitter's request to a gateway: unsigned on loopback, signed, or over TLS with a client certificate."""

from __future__ import annotations

import argparse
import time
from typing import Any

from OpenSSL.SSL import Error as SSLError
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from meadowcross.common.types import Seconds
from meadowcross.openjd.keys import CredentialError, read_private, read_public
from meadowcross.openjd.signing import read_secret, sign_request

REQUEST_TIMEOUT_S: Seconds = 10.0


class GatewayUnavailableError(Exception):
    """No response in time, no connection, or a server whose certificate isn't trusted."""


def _tls_policy(authority: str, certificate: str | None) -> Any:
    """The TLS policy of a client that trusts `authority` and presents `certificate`, if any. Raises CredentialError."""
    from twisted.internet import ssl
    from twisted.web.client import BrowserLikePolicyForHTTPS

    try:
        root = ssl.Certificate.loadPEM(read_public(authority))
        own = None
        if certificate is not None:
            key = read_private(f"{certificate.removesuffix('.pem')}.key")
            own = ssl.PrivateCertificate.loadPEM(read_public(certificate) + key)
    except SSLError as error:
        raise CredentialError(f"{authority}: no certificate: {error}") from error

    class Policy(BrowserLikePolicyForHTTPS):
        def creatorForNetloc(self, hostname: bytes, port: int) -> Any:
            return ssl.optionsForClientTLS(hostname.decode(), trustRoot=root, clientCertificate=own)

    return Policy()


async def send_request(options: argparse.Namespace, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
    """Send a request with the credentials that the options name, and return the response's status and body.

    Raises GatewayUnavailableError and CredentialError.
    """
    from io import BytesIO

    from twisted.internet import reactor

    clock: Any = reactor
    content = body or b""
    headers = Headers({})
    if options.secret is not None:
        signed = sign_request(read_secret(options.secret), method, path, options.submitter, time.time(), content)
        headers.addRawHeader("authorization", signed)
    if options.authority is not None:
        agent = Agent(clock, _tls_policy(options.authority, options.certificate), connectTimeout=REQUEST_TIMEOUT_S / 2)
    else:
        agent = Agent(clock, connectTimeout=REQUEST_TIMEOUT_S / 2)
    url = f"{'https' if options.authority is not None else 'http'}://{options.gateway}{path}"
    producer: Any = FileBodyProducer(BytesIO(content)) if body is not None else None
    try:
        request = agent.request(method.encode(), url.encode(), headers, producer)
        request.addTimeout(REQUEST_TIMEOUT_S, clock)
        response = await request
        pending_body = readBody(response)
        pending_body.addTimeout(REQUEST_TIMEOUT_S, clock)
        return response.code, await pending_body
    except Exception as error:
        reasons = getattr(error, "reasons", None)
        cause = reasons[0].value if reasons else error
        raise GatewayUnavailableError(
            f"the gateway at {options.gateway} gives no answer: {type(cause).__name__} {cause}"
        ) from error
