"""A small HTTP/1.1 server on asyncio for the simulated services."""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit


class Request:
    """A request, as handlers receive it."""

    def __init__(self, method, target, headers, body):
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {k: v[0] for k, v in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = body

    def json(self):
        """Returns the body as JSON; an empty body is an empty object."""
        return json.loads(self.body) if self.body else {}


class Reply(Exception):
    """A response; handlers return it, or raise it to finish early.

    The body is the content as JSON, or what is already encoded.
    """

    def __init__(self, status, content=None, encoded=b""):
        super().__init__(status)
        self.status = status
        self.body = encoded if content is None else json.dumps(
            content, separators=(",", ":")).encode()


class _Connection(asyncio.Protocol):
    def __init__(self, handler):
        self._handler = handler
        self._buffer = b""
        self._transport = None
        self._task = None

    def connection_made(self, transport):
        self._transport = transport

    def connection_lost(self, exc):
        if self._task:
            self._task.cancel()

    def data_received(self, data):
        self._buffer += data
        self._handle_next_request()

    def _handle_next_request(self):
        if self._task is not None:
            return
        end = self._buffer.find(b"\r\n\r\n")
        if end < 0:
            return
        lines = self._buffer[:end].decode("latin-1").split("\r\n")
        method, target, _ = lines[0].split(" ", 2)
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if len(self._buffer) < end + 4 + length:
            return
        body = self._buffer[end + 4:end + 4 + length]
        self._buffer = self._buffer[end + 4 + length:]
        request = Request(method, target, headers, body)
        self._task = asyncio.ensure_future(self._respond(request))

    async def _respond(self, request):
        try:
            reply = await self._handler(request)
        except Reply as early:
            reply = early
        if reply is None:  # simulates a failure: no response, connection lost
            self._transport.abort()
            return
        body = reply.body
        self._transport.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % (reply.status, len(body)) + body)
        self._task = None
        self._handle_next_request()


async def serve(handler, host="127.0.0.1", port=0):
    """Starts a server; returns it and its address as HOST:PORT."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: _Connection(handler), host, port, backlog=512)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]
