"""A small HTTP/1.1 client on asyncio that acts as a caller."""

import asyncio
import json


class Response:
    """A response; status 0 means that none was received."""

    def __init__(self, status=0, body=b"", retry_after=None):
        self.status = status
        self.body = body
        self.retry_after = retry_after

    def json(self):
        """Returns the body as JSON."""
        return json.loads(self.body)


async def call(address, method, path, host, content=None, timeout=3.0):
    """Makes one call on a new connection."""
    try:
        return await asyncio.wait_for(
            _call(address, method, path, host, content, timeout), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return Response()


async def _call(address, method, path, host, content, timeout):
    host_name, port = address.rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host_name, int(port))
    try:
        body = b"" if content is None else json.dumps(content).encode()
        writer.write((
            "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\n"
            "Content-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (method, path, host, timeout * 1000, len(body))).encode() + body)
        header_text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = header_text.split("\r\n")
        headers = dict(line.lower().split(":", 1) for line in lines[1:] if line)
        length = int(headers.get("content-length", "0"))
        return Response(int(lines[0].split(" ")[1]),
                      await reader.readexactly(length),
                      headers.get("retry-after"))
    finally:
        writer.close()
