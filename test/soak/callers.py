"""Callers that submit, read and cancel jobs over kept connections."""

import asyncio
import json
import time

from checker import stop_of
from http_client import call

TIMEOUT_SECONDS = 3.0
PROBE_SECONDS = 1.0
MAX_MISSES = 2         # probes in a row before an instance leaves the rotation
MAX_ATTEMPTS = 6
MAX_RETRY_SECONDS = 2.0


class Balancer:
    """Selects instances for new connections, by their readiness."""

    def __init__(self, daemons, rng):
        self._daemons = daemons
        self._random = rng
        self._misses = {daemon: MAX_MISSES for daemon in daemons}

    async def run(self):
        """Probes all instances once a second."""
        await asyncio.gather(*map(self._probe, self._daemons))

    async def _probe(self, daemon):
        while True:
            response = await call(daemon.readiness, "GET", "/crocusmast/ready",
                                  "x", timeout=PROBE_SECONDS)
            self._misses[daemon] = (0 if response.status == 200
                                    else self._misses[daemon] + 1)
            await asyncio.sleep(PROBE_SECONDS)

    def is_ready(self, daemon):
        """Returns whether an instance is in rotation."""
        return self._misses[daemon] < MAX_MISSES

    def pick(self, zone, avoided=None):
        """Selects an instance of a zone, or of another one."""
        own = [d for d in self._daemons if d.zone == zone]
        ready = [d for d in own if self.is_ready(d)]
        if ready and 2 * len(ready) < len(own):
            ready = own
        if not ready:
            ready = list(filter(self.is_ready, self._daemons)) or self._daemons
        return self._random.choice(
            [d for d in ready if d is not avoided] or ready)


class Connection:
    """A connection that is kept until its process is gone."""

    def __init__(self, daemon, reader, writer):
        self.daemon = daemon
        self._reader = reader
        self._writer = writer

    @staticmethod
    async def open(daemon):
        """Connects to an instance."""
        host, port = daemon.caller_address.rsplit(":", 1)
        return Connection(daemon, *await asyncio.open_connection(host, int(port)))

    def close(self):
        """Closes the connection."""
        self._writer.close()

    async def request(self, method, path, host, body):
        """Makes one request; returns the status, the body and Retry-After."""
        self._writer.write((
            "%s %s HTTP/1.1\r\nHost: %s\r\nDeadline-Ms: %d\r\nContent-Type: "
            "application/json\r\nContent-Length: %d\r\n\r\n" % (
                method, path, host, TIMEOUT_SECONDS * 1000, len(body))
        ).encode() + body)
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = dict(line.lower().split(":", 1) for line in lines[1:] if line)
        data = await self._reader.readexactly(
            int(headers.get("content-length", 0)))
        retry_after = headers.get("retry-after", "").strip()
        return (int(lines[0].split(" ")[1]), data,
                float(retry_after) if retry_after else None)


class Callers:
    """The callers of all zones; reports what they see to the checker."""

    def __init__(self, checker, balancer, rng, zones):
        self._checker = checker
        self._balancer = balancer
        self._random = rng
        self._zones = zones
        self._idle = {zone: [] for zone in zones}
        self.config_added = {}  # queue -> when its route was acknowledged

    async def _call(self, zone, method, path, queue, content=None, avoided=None):
        """Makes one call; status 0 means that no answer arrived."""
        idle = self._idle[zone]
        connection = None
        sent_at = time.monotonic()
        body = b"" if content is None else json.dumps(content).encode()
        instance = None
        try:
            if idle and self._random.random() < 0.9:
                connection = idle.pop(self._random.randrange(len(idle)))
            else:
                connection = await asyncio.wait_for(Connection.open(
                    self._balancer.pick(zone, avoided)), TIMEOUT_SECONDS)
            instance = connection.daemon
            sent_at = time.monotonic()
            answer = await asyncio.wait_for(connection.request(
                method, path, queue + ".example", body), TIMEOUT_SECONDS)
            idle.append(connection)
            return (*answer, instance, sent_at)
        except asyncio.TimeoutError:
            pass  # the deadline has passed; the caller tries elsewhere
        except (OSError, asyncio.IncompleteReadError):
            if instance:
                self._checker.add(
                    "broken_off", time.monotonic(), sent_at, instance.name,
                    any(scope == stop_of(instance.name) and end is None
                        for scope, _, end in self._checker.disturbances),
                    method + " " + path)
        if connection:
            connection.close()
        return 0, b"", None, instance, sent_at

    async def submit(self, job):
        """Submits a job until it is accepted or the caller gives up."""
        self._checker.jobs[job.id] = job
        zone = self._random.choice(self._zones)
        content = {"spec": job.spec, "steps": job.steps}
        avoided = None
        for _ in range(MAX_ATTEMPTS):
            job.open_attempts += 1
            status, _, retry_after, avoided, sent_at = await self._call(
                zone, "POST", "/j/" + job.id, job.queue, content, avoided)
            now = time.monotonic()
            self._checker.counts["POST %d" % status] += 1
            if status:
                job.open_attempts -= status not in (502, 504)
            if status == 200:
                job.accepted_at = job.accepted_at or now
                return True
            if status in (404, 429, 503):
                job.rejections += 1
            if status == 404:
                self._checker.add("missing_route", now, sent_at, avoided.name,
                                  self.config_added[job.queue], job.queue)
            await asyncio.sleep(min(
                MAX_RETRY_SECONDS,
                retry_after or self._random.uniform(0.1, 0.4)))
        return False

    async def read(self, job):
        """Reads a job's state."""
        status, body, _, daemon, sent_at = await self._call(
            self._random.choice(self._zones), "GET", "/j/" + job.id, job.queue)
        self._checker.counts["GET %d" % status] += 1
        if status in (200, 410):
            state = json.loads(body)["state"] if status == 200 else "unknown"
            self._checker.add("shown", time.monotonic(), job, state, sent_at,
                              daemon.name)
            return state
        return None

    async def cancel(self, job):
        """Cancels a job, repeated until it is answered."""
        job.cancel_sent_at = job.cancel_sent_at or time.monotonic()
        avoided = None
        for _ in range(MAX_ATTEMPTS):
            status, _, _, avoided, _ = await self._call(
                self._random.choice(self._zones), "DELETE", "/j/" + job.id,
                job.queue, avoided=avoided)
            self._checker.counts["DELETE %d" % status] += 1
            if status in (200, 410):
                now = time.monotonic()
                job.cancel_answered_at = job.cancel_answered_at or now
                if status == 200 and job.accepted_at:
                    job.cancelled_at = job.cancelled_at or now
                return
            await asyncio.sleep(self._random.uniform(0.1, 0.4))
