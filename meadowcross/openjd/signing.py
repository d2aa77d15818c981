"""Requests signed with a secret that the submitter shares with the site: HMAC-SHA256 over method, path, name, time,
nonce and body.

A signature is valid within a window of time, and each gateway accepts its nonce once. A gateway doesn't see nonces that
another gateway accepted, but a replay there does no harm: a repeated submission gives the same ticket, and a repeated
cancellation has no further effect.
"""

from __future__ import annotations

import hmac
import os
import re
import secrets
from collections import OrderedDict
from collections.abc import Callable
from hashlib import sha256

from meadowcross.common.logging import get_logger
from meadowcross.common.types import Seconds
from meadowcross.openjd.keys import NAME_PATTERN, CredentialError, read_private

log = get_logger("tickets")

VALIDITY_WINDOW_S: Seconds = 300.0
MAX_NONCES = 100_000
MIN_SECRET_BYTES = 16
SCHEME = "Meadowcross"
_HEADER_PATTERN = re.compile(
    rf"{SCHEME} submitter=([A-Za-z0-9._-]{{1,60}}), time=(\d{{1,12}}), nonce=([0-9a-f]{{32}}), mac=([0-9a-f]{{64}})"
)


def _compute_mac(secret: bytes, method: str, path: str, name: str, time: str, nonce: str, body: bytes) -> str:
    text = "\n".join([method, path, name, time, nonce, sha256(body).hexdigest()])
    return hmac.new(secret, text.encode(), sha256).hexdigest()


def sign_request(secret: bytes, method: str, path: str, name: str, now: float, body: bytes) -> str:
    """The Authorization header of a request, signed at `now` (seconds since the epoch) with a fresh nonce."""
    time, nonce = str(int(now)), secrets.token_hex(16)
    mac = _compute_mac(secret, method, path, name, time, nonce, body)
    return f"{SCHEME} submitter={name}, time={time}, nonce={nonce}, mac={mac}"


def read_secret(path: str) -> bytes:
    """Read a file with a secret: one line, readable by its owner only. Raises CredentialError."""
    secret = read_private(path).strip()
    if len(secret) < MIN_SECRET_BYTES:
        raise CredentialError(f"{path}: a secret has at least {MIN_SECRET_BYTES} bytes")
    return secret


class SignatureVerifier:
    """Verifies signatures with the secrets of a directory: one file for each submitter, read again when it changes."""

    def __init__(self, directory: str, wall_clock: Callable[[], float]) -> None:
        """Read all secrets. Raises CredentialError."""
        self._directory = directory
        self._wall_clock = wall_clock
        self._secrets: dict[str, tuple[int, bytes]] = {}
        self._nonces: OrderedDict[str, float] = OrderedDict()
        if not os.path.isdir(directory):
            raise CredentialError(f"{directory}: no such directory")
        for name in sorted(os.listdir(directory)):
            # All files are read at start, so that a file that others can read is reported before it is used.
            self._read_secret(name)

    def _read_secret(self, name: str) -> bytes | None:
        path = os.path.join(self._directory, name)
        try:
            modified_ns = os.stat(path).st_mtime_ns
        except OSError:
            self._secrets.pop(name, None)
            return None
        cached = self._secrets.get(name)
        if cached is None or cached[0] != modified_ns:
            cached = self._secrets[name] = (modified_ns, read_secret(path))
        return cached[1]

    def _find_secret(self, name: str) -> bytes | None:
        """The secret, or None. The reason why a file can't be read is logged and not sent to the client."""
        try:
            return self._read_secret(name) if NAME_PATTERN.fullmatch(name) else None
        except CredentialError as error:
            log.error("secret not readable error=%s", error)
            return None

    def authenticate(self, header: str, method: str, path: str, body: bytes) -> str:
        """The name of the submitter who signed the request.

        Raises CredentialError; its text is sent to the client and contains no secret.
        """
        header_match = _HEADER_PATTERN.fullmatch(header)
        if header_match is None:
            raise CredentialError("no signature that can be read")
        name, time, nonce, mac = header_match.groups()
        secret = self._find_secret(name)
        # Computed for unknown names too, so that the response time doesn't reveal which names exist.
        is_valid = hmac.compare_digest(mac, _compute_mac(secret or b"-", method, path, name, time, nonce, body))
        if secret is None or not is_valid:
            raise CredentialError("wrong signature")
        now = self._wall_clock()
        if abs(now - int(time)) > VALIDITY_WINDOW_S:
            raise CredentialError(f"signed {now - int(time):.0f} s ago by this clock; at most {VALIDITY_WINDOW_S:.0f}")
        while self._nonces and now - next(iter(self._nonces.values())) > 2 * VALIDITY_WINDOW_S:
            self._nonces.popitem(last=False)
        if f"{name} {nonce}" in self._nonces:
            raise CredentialError("this signature was used before")
        if len(self._nonces) >= MAX_NONCES:
            raise CredentialError("too many signatures within the window")
        self._nonces[f"{name} {nonce}"] = now
        return name
