"""A loopback proxy whose connections can be delayed, cut, reset or silenced."""

import asyncio
import collections

RETRY_SECONDS = 0.05  # how often data held by a cut is tried again


class Link:
    """The state of a link; proxies and connections of it share the state."""

    def __init__(self):
        self.delay_s = 0.0
        self.is_cut = [False, False]  # to the server, to the client
        self.connections = set()

    def reset(self):
        """Resets all connections."""
        for connection in list(self.connections):
            connection.abort()

    def silence(self):
        """Makes the open connections silent for good; new ones work."""
        for connection in self.connections:
            connection.is_silent = True

    def apply(self, how, delay_s=0.0):
        """Applies a fault: reset, silence, delay, cut, cut-in, cut-out, none."""
        self.delay_s = delay_s if how == "delay" else 0.0
        self.is_cut = [how in ("cut", "cut-in"), how in ("cut", "cut-out")]
        if how == "reset":
            self.reset()
        elif how == "silence":
            self.silence()


class _Connection:
    """One forwarded connection: direction 0 goes to the server, 1 back."""

    def __init__(self, link):
        self.link = link
        self.is_silent = False
        self.transports = [None, None]  # of the server, of the client
        self._queues = [collections.deque(), collections.deque()]
        self._timers = [None, None]

    def abort(self):
        """Resets both ends."""
        self.link.connections.discard(self)
        for direction, transport in enumerate(self.transports):
            if self._timers[direction]:
                self._timers[direction].cancel()
            if transport:
                transport.abort()

    def forward(self, direction, data):
        """Queues data; None closes the other end."""
        if self.is_silent:
            return
        due = asyncio.get_running_loop().time() + self.link.delay_s
        self._queues[direction].append((due, data))
        if not self._timers[direction]:
            self._pump(direction)

    def _pump(self, direction):
        self._timers[direction] = None
        queue = self._queues[direction]
        loop = asyncio.get_running_loop()
        while queue and not self.is_silent:
            wait = queue[0][0] - loop.time()
            if self.link.is_cut[direction] or not self.transports[direction]:
                wait = RETRY_SECONDS
            if wait > 0:
                self._timers[direction] = loop.call_later(
                    wait, self._pump, direction)
                return
            data = queue.popleft()[1]
            if data is None:
                self.link.connections.discard(self)
                self.transports[direction].close()
            else:
                self.transports[direction].write(data)


class _End(asyncio.Protocol):
    """One end of a connection; it receives the data of one direction."""

    def __init__(self, connection, direction, upstream=None):
        self._connection = connection
        self._direction = direction
        self._upstream = upstream

    def connection_made(self, transport):
        self._connection.transports[1 - self._direction] = transport
        if self._upstream:
            self._connection.link.connections.add(self._connection)
            asyncio.ensure_future(self._connect())

    async def _connect(self):
        host, port = self._upstream.rsplit(":", 1)
        try:
            await asyncio.get_running_loop().create_connection(
                lambda: _End(self._connection, 1), host, int(port))
        except OSError:
            self._connection.abort()

    def data_received(self, data):
        self._connection.forward(self._direction, data)

    def connection_lost(self, exc):
        self._connection.forward(self._direction, None)


async def proxy(link, upstream, host="127.0.0.1"):
    """Starts a proxy; returns its server and its address."""
    server = await asyncio.get_running_loop().create_server(
        lambda: _End(_Connection(link), 0, upstream), host, 0, backlog=512)
    return server, "%s:%d" % server.sockets[0].getsockname()[:2]
