"""A submitter's request to a gateway: plain on loopback, signed, or over TLS with a certificate."""

from __future__ import annotations

import argparse
import time
from typing import Any

from OpenSSL.SSL import Error as SSLError
from twisted.web.client import Agent, FileBodyProducer, readBody
from twisted.web.http_headers import Headers

from meadowcross.common.types import Seconds
from meadowcross.openjd.keys import KeyTrouble, read_private, read_public
from meadowcross.openjd.signing import secret_of, signature

WITHIN_S: Seconds = 10.0


class NoAnswer(Exception):
    """No answer in time, or no connection, or one that proved to be somebody else's."""


def _tls(authority: str, certificate: str | None) -> Any:
    """What to trust, and what to show. Raises KeyTrouble."""
    from twisted.internet import ssl
    from twisted.web.client import BrowserLikePolicyForHTTPS

    try:
        root = ssl.Certificate.loadPEM(read_public(authority))
        own = None
        if certificate is not None:
            key = read_private(f"{certificate.removesuffix('.pem')}.key")
            own = ssl.PrivateCertificate.loadPEM(read_public(certificate) + key)
    except SSLError as error:
        raise KeyTrouble(f"{authority}: no certificate: {error}") from error

    class Policy(BrowserLikePolicyForHTTPS):
        def creatorForNetloc(self, hostname: bytes, port: int) -> Any:
            return ssl.optionsForClientTLS(hostname.decode(), trustRoot=root, clientCertificate=own)

    return Policy()


async def ask(options: argparse.Namespace, method: str, path: str, body: bytes | None) -> tuple[int, bytes]:
    """Status and body. Raises NoAnswer, KeyTrouble."""
    from io import BytesIO

    from twisted.internet import reactor

    clock: Any = reactor
    content = body or b""
    headers = Headers({})
    if options.secret is not None:
        signed = signature(secret_of(options.secret), method, path, options.submitter, time.time(), content)
        headers.addRawHeader("authorization", signed)
    if options.authority is not None:
        agent = Agent(clock, _tls(options.authority, options.certificate), connectTimeout=WITHIN_S / 2)
    else:
        agent = Agent(clock, connectTimeout=WITHIN_S / 2)
    url = f"{'https' if options.authority is not None else 'http'}://{options.gateway}{path}"
    producer: Any = FileBodyProducer(BytesIO(content)) if body is not None else None
    try:
        request = agent.request(method.encode(), url.encode(), headers, producer)
        request.addTimeout(WITHIN_S, clock)
        response = await request
        answer = readBody(response)
        answer.addTimeout(WITHIN_S, clock)
        return response.code, await answer
    except Exception as error:
        told = getattr(error, "reasons", None)
        first = told[0].value if told else error
        raise NoAnswer(f"the gateway at {options.gateway} gives no answer: {type(first).__name__} {first}") from error
