"""A raw HTTP connection for tests of what a server does with connections."""

from __future__ import annotations

import gevent

TIMEOUT_SECONDS = 5.0


class HttpConnection:
    """A connection that sends raw bytes and reads responses one by one."""

    def __init__(self, endpoint):
        self.socket = gevent.socket.create_connection(endpoint, timeout=TIMEOUT_SECONDS)
        self._file = self.socket.makefile("rb")

    def send(self, data):
        self.socket.sendall(data)

    def read(self):
        """Return status, headers and body; status zero if the response is not whole."""
        line = self._file.readline()
        headers = {}
        while (field := self._file.readline()).strip():
            name, _, value = field.decode().partition(":")
            headers[name.lower()] = value.strip().lower()
        length = int(headers.get("content-length", 0))
        body = self._file.read(length)
        is_whole = bool(line) and len(body) == length
        return (int(line.split(b" ")[1]) if is_whole else 0), headers, body

    def is_closed(self):
        return self._file.read(1) == b""
