"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of the review. Standard library only."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from typing import Any
from urllib.parse import parse_qsl, urlsplit

Answer = tuple[int, Any]
Handler = Callable[[str, str, dict[str, str], bytes], Awaitable["Answer | None"]]
"""Returns status and JSON value; None: the request gets no answer, and its connection stays open."""

MAX_BODY_BYTES = 64 * 1024
"""A request body holds at most 64 KiB (PROTOCOL-meadowcross.md)."""
REASONS = {200: "OK", 201: "Created", 400: "Bad Request", 404: "Not Found", 409: "Conflict", 410: "Gone"}


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
    length = int(headers.get("content-length", "0") or 0)
    body = await reader.readexactly(length) if length else b""
    return first, headers, body


class Server:
    """Serves a handler; one request at a time on each connection, as no side pipelines requests."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ""
        self.on_too_large: Callable[[str, str, bytes], None] = lambda _method, _path, _body: None
        """Called with a request whose body is larger than the protocol allows; it is refused."""

    async def start(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen, and return the address as `host:port`."""
        self._server = await asyncio.start_server(self._serve, host, port, limit=2**20)
        bound = self._server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (message := await _read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ", 2)
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query, keep_blank_values=True))
                if len(body) > MAX_BODY_BYTES:
                    self.on_too_large(method, parts.path, body)
                    answer: Answer | None = (413, {"error": "a request body holds at most 64 KiB"})
                else:
                    answer = await self._handler(method, parts.path, query, body)
                if answer is None:
                    await asyncio.sleep(3600)
                    return
                content = json.dumps(answer[1]).encode()
                reason = REASONS.get(answer[0], "Status")
                writer.write(
                    f"HTTP/1.1 {answer[0]} {reason}\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


class Client:
    """Requests on one kept connection for each address; a failed connection is opened again by the next request."""

    def __init__(self) -> None:
        self._idle: dict[str, list[tuple[asyncio.StreamReader, asyncio.StreamWriter]]] = {}

    async def call(
        self, method: str, address: str, path: str, value: Any = None, timeout_s: float = 4.0, fresh: bool = False
    ) -> tuple[int, Any]:
        """Return status and JSON value of the response; (0, None) without a response. `fresh`: a new connection."""
        try:
            return await asyncio.wait_for(self._call(method, address, path, value, fresh), timeout_s)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            return 0, None

    async def _call(self, method: str, address: str, path: str, value: Any, fresh: bool) -> tuple[int, Any]:
        idle = self._idle.setdefault(address, [])
        is_kept = bool(idle) and not fresh
        if is_kept:
            reader, writer = idle.pop()
        else:
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port), limit=2**20)
        body = (
            b""
            if value is None
            else value
            if isinstance(value, bytes)
            else json.dumps(value, separators=(",", ":")).encode()
        )
        try:
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body
            )
            await writer.drain()
            message = await _read_message(reader)
        except BaseException:
            writer.transport.abort()
            raise
        if message is None:
            raise ConnectionError
        if message[1].get("connection", "").lower() == "close" or fresh:
            with contextlib.suppress(OSError):
                writer.close()
        else:
            idle.append((reader, writer))
        status = int(message[0].split(" ")[1])
        return status, json.loads(message[2]) if message[2].strip() else None
