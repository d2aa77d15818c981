"""A small threaded HTTP server and a client call, for stand-ins on loopback addresses."""

from __future__ import annotations

import http.client
import json
import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qsl, urlsplit

HOST = "127.0.0.1"
Answer = tuple[int, Any]
Handle = Callable[[str, str, dict[str, str], bytes], Answer]
"""Answers method, path, query and body with a status and a JSON value."""
NO_ANSWER = -1
"""Status of a request whose connection is closed without an answer."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignore lost connections: processes are killed while they wait for answers."""


def serve(handle: Handle, port: int = 0) -> int:
    """Serve requests in background threads and return the port."""

    class Handler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"
        disable_nagle_algorithm = True

        def answer(self) -> None:
            """Answer one request of any method."""
            parts = urlsplit(self.path)
            query = dict(parse_qsl(parts.query, keep_blank_values=True))
            body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
            status, value = handle(self.command, parts.path, query, body)
            if status == NO_ANSWER:
                self.close_connection = True
                return
            content = json.dumps(value).encode() + b"\n"
            head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(content)}\r\n\r\n"
            self.wfile.write(head.encode() + content)

        do_GET = do_POST = do_DELETE = answer

        def log_message(self, *_arguments: Any) -> None:
            """Log nothing."""

    server = _Server((HOST, port), Handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return int(server.server_address[1])


def free_ports(count: int) -> list[int]:
    """Return ports that are free now."""
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind((HOST, 0))
    ports = [int(each.getsockname()[1]) for each in sockets]
    for each in sockets:
        each.close()
    return ports


def call(port: int, method: str, path: str, body: Any = None, timeout: float = 5.0) -> Answer:
    """Send one request on a new connection; the status is 0 without an answer."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        connection.request(method, path, None if body is None else json.dumps(body, separators=(",", ":")))
        response = connection.getresponse()
        return response.status, json.loads(response.read() or b"null")
    except (OSError, ValueError, http.client.HTTPException):
        return 0, None
    finally:
        connection.close()
