"""Requests signed with a secret that submitter and site share: HMAC-SHA256 over all that matters.

A signature holds for a window of time, and its nonce once on each gateway. What a gateway can't know, that
another one has seen the nonce, does no harm: a repeated submission is the same ticket, a repeated cancel
cancels nothing more.
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
from meadowcross.openjd.keys import NAME, KeyTrouble, read_private

log = get_logger("tickets")

WINDOW_S: Seconds = 300.0
MAX_NONCES = 100_000
LEAST_SECRET = 16
SCHEME = "Meadowcross"
_HEADER = re.compile(
    rf"{SCHEME} submitter=([A-Za-z0-9._-]{{1,60}}), time=(\d{{1,12}}), nonce=([0-9a-f]{{32}}), mac=([0-9a-f]{{64}})"
)


def _mac(secret: bytes, method: str, path: str, name: str, time: str, nonce: str, body: bytes) -> str:
    text = "\n".join([method, path, name, time, nonce, sha256(body).hexdigest()])
    return hmac.new(secret, text.encode(), sha256).hexdigest()


def signature(secret: bytes, method: str, path: str, name: str, now: float, body: bytes) -> str:
    """The Authorization header of a request."""
    time, nonce = str(int(now)), secrets.token_hex(16)
    mac = _mac(secret, method, path, name, time, nonce, body)
    return f"{SCHEME} submitter={name}, time={time}, nonce={nonce}, mac={mac}"


def secret_of(path: str) -> bytes:
    """A secret's file: one line, readable by its owner only. Raises KeyTrouble."""
    secret = read_private(path).strip()
    if len(secret) < LEAST_SECRET:
        raise KeyTrouble(f"{path}: a secret has at least {LEAST_SECRET} bytes")
    return secret


class Signatures:
    """Checks signatures against the secrets of a directory, one file a submitter, read anew when it changes."""

    def __init__(self, directory: str, wall: Callable[[], float]) -> None:
        self._directory = directory
        self._wall = wall
        self._secrets: dict[str, tuple[int, bytes]] = {}
        self._nonces: OrderedDict[str, float] = OrderedDict()
        if not os.path.isdir(directory):
            raise KeyTrouble(f"{directory}: no such directory")
        for name in sorted(os.listdir(directory)):
            # At start, so that a file that others can read is told before anybody relies on it.
            self._secret(name)

    def _secret(self, name: str) -> bytes | None:
        path = os.path.join(self._directory, name)
        try:
            changed = os.stat(path).st_mtime_ns
        except OSError:
            self._secrets.pop(name, None)
            return None
        known = self._secrets.get(name)
        if known is None or known[0] != changed:
            known = self._secrets[name] = (changed, secret_of(path))
        return known[1]

    def _known(self, name: str) -> bytes | None:
        """The secret, or None; why it can't be read is for the site's log, not for whoever asks."""
        try:
            return self._secret(name) if NAME.fullmatch(name) else None
        except KeyTrouble as error:
            log.error("%s", error)
            return None

    def submitter(self, header: str, method: str, path: str, body: bytes) -> str:
        """Who signed the request. Raises KeyTrouble with a reason that tells no secret."""
        found = _HEADER.fullmatch(header)
        if found is None:
            raise KeyTrouble("no signature that can be read")
        name, time, nonce, mac = found.groups()
        secret = self._known(name)
        # Worked out in any case, so that the time taken tells nobody which names there are.
        good = hmac.compare_digest(mac, _mac(secret or b"-", method, path, name, time, nonce, body))
        if secret is None or not good:
            raise KeyTrouble("wrong signature")
        now = self._wall()
        if abs(now - int(time)) > WINDOW_S:
            raise KeyTrouble(f"signed {now - int(time):.0f} s ago by this clock; at most {WINDOW_S:.0f}")
        while self._nonces and now - next(iter(self._nonces.values())) > 2 * WINDOW_S:
            self._nonces.popitem(last=False)
        if f"{name} {nonce}" in self._nonces:
            raise KeyTrouble("this signature was used before")
        if len(self._nonces) >= MAX_NONCES:
            raise KeyTrouble("too many signatures within the window")
        self._nonces[f"{name} {nonce}"] = now
        return name
