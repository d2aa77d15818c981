"""A TCP proxy on loopback that can refuse connections for a time."""

from __future__ import annotations

import contextlib
import socket
import struct
import threading

from lib2.wire import HOST

BUFFER_BYTES = 65_536
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Proxy:
    """Passes connections on to a port. While it refuses, nothing listens at its own port, and all connections end."""

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._lock = threading.Lock()
        self._sockets: set[socket.socket] = set()
        self._listener = _listen(0)
        self.port = int(self._listener.getsockname()[1])
        self._accept_in_background()

    def refuse(self) -> None:
        """End all connections, and refuse new ones."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            sockets = list(self._sockets)
        for each in sockets:
            _reset(each)

    def allow(self) -> None:
        """Accept connections again."""
        self._listener = _listen(self.port)
        self._accept_in_background()

    def _accept_in_background(self) -> None:
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection((HOST, self._target_port), timeout=1.0)
            except OSError:
                _reset(client)
                continue
            server.settimeout(None)
            with self._lock:
                self._sockets |= {client, server}
            for source, sink in ((client, server), (server, client)):
                source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
                threading.Thread(target=self._pass_on, args=(source, sink), daemon=True).start()

    def _pass_on(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(BUFFER_BYTES):
                sink.sendall(data)
        with self._lock:
            self._sockets -= {source, sink}
        _reset(sink)


def _listen(port: int) -> socket.socket:
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(64)
    return listener


def _reset(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        connection.shutdown(socket.SHUT_RDWR)
    with contextlib.suppress(OSError):
        connection.close()
