"""Simulates the platform's key-value store."""

import asyncio
import bisect
import json

from http_server import Reply

MAX_EVENTS = 20000


class Store:
    """Keys with revisions, leases and watches, and a hook to inject faults."""

    def __init__(self, clock):
        self._clock = clock
        self._items = {}
        self._revision = 1
        self._events = []  # (revision, key, event as JSON)
        self._leases = {}  # id -> [end, keys, time to live in ms]
        self._last_lease = 0
        self._change_event = asyncio.Event()
        self.calls = {}
        # async (request, dispatch) -> Reply, or None to drop the connection
        self.fault_hook = None
        self.write_hook = None  # (item), for each key written

    # Direct access for the simulation.

    def put(self, key, value, lease=0):
        """Writes a key; the value is encoded in base64."""
        self._revision += 1
        self._put(key, value, lease)
        self._notify_watchers()

    def remove(self, key):
        """Removes a key if it exists."""
        if key in self._items:
            self._revision += 1
            self._remove(key)
            self._notify_watchers()

    def value(self, key):
        """Returns the value of a key, or None."""
        item = self._items.get(key)
        return item and item["value"]

    def compact(self):
        """Drops the history, so that watchers must list all keys again."""
        self._events.clear()
        self._notify_watchers()

    # HTTP calls.

    async def handle(self, request):
        """Handles one call."""
        name = request.path.split("/")[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        if self.fault_hook:
            return await self.fault_hook(request, self._dispatch)
        return await self._dispatch(request)

    async def _dispatch(self, request):
        self._expire()
        name = request.path.split("/")[2]
        if name == "kv-watch":
            return await self._watch(request)
        return {
            "kv-key": self._key,
            "kv-range": self._range,
            "kv-txn": self._transact,
            "kv-lease": self._grant,
            "kv-keep": self._renew,
            "kv-lease-end": self._revoke,
        }[name](request)

    def _key(self, request):
        item = self._items.get(request.query["key"])
        if item is None:
            return Reply(404, {"at_rev": self._revision})
        return Reply(200, {**item, "at_rev": self._revision})

    def _range(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        keys = sorted(k for k in self._items if k.startswith(prefix) and k > after)
        return Reply(200, {"items": [self._items[k] for k in keys[:500]],
                           "has_more": len(keys) > 500,
                           "at_rev": self._revision})

    async def _watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        deadline = self._clock() + int(request.query["wait_ms"]) / 1000
        while True:
            oldest = self._events[0][0] if self._events else self._revision + 1
            if after + 1 < oldest:
                return Reply(410)
            first = bisect.bisect_right(self._events, after, key=lambda e: e[0])
            events = [text for _, key, text in self._events[first:]
                      if key.startswith(prefix)]
            remaining = deadline - self._clock()
            if events or remaining <= 0:
                return Reply(200, encoded=b'{"events":[%s],"at_rev":%d}' % (
                    b",".join(events), self._revision))
            try:
                await asyncio.wait_for(self._change_event.wait(), remaining)
            except asyncio.TimeoutError:
                pass  # the next iteration responds without events

    def _transact(self, request):
        body = request.json()
        conditions = body.get("expected", [])
        writes, deletes = body.get("writes", []), body.get("deletes", [])
        if len(conditions) + len(writes) + len(deletes) > 32:
            return Reply(400)
        if any(w["key"].startswith(("op/", "servers/")) for w in writes):
            return Reply(403)
        for row in conditions:
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return Reply(412, {"items": [
                    self._items[r["key"]] for r in conditions
                    if r["key"] in self._items]})
        if any(w.get("lease", 0) not in ({0} | self._leases.keys())
               for w in writes):
            return Reply(404)
        self._revision += 1
        for row in writes:
            self._put(row["key"], row["value"], row.get("lease", 0))
        for key in deletes:
            if key in self._items:
                self._remove(key)
        self._notify_watchers()
        return Reply(200, {"revision": self._revision})

    def _grant(self, request):
        self._last_lease += 1
        ttl = request.json()["ttl_ms"]
        self._leases[self._last_lease] = [self._clock() + ttl / 1000, set(), ttl]
        return Reply(200, {"lease": self._last_lease, "ttl_ms": ttl})

    def _renew(self, request):
        lease = self._leases.get(int(request.path.split("/")[3]))
        if lease is None:
            return Reply(404)
        lease[0] = self._clock() + lease[2] / 1000
        return Reply(200, {"ttl_ms": lease[2]})

    def _revoke(self, request):
        lease = self._leases.get(int(request.path.split("/")[3]))
        if lease is None:
            return Reply(404)
        lease[0] = 0
        self._expire()
        return Reply(200, {})

    # Internal functions.

    def _put(self, key, value, lease):
        previous = self._items.get(key)
        if previous and previous["lease"] in self._leases:
            self._leases[previous["lease"]][1].discard(key)
        self._items[key] = {
            "key": key, "value": value, "revision": self._revision,
            "created": previous["created"] if previous else self._revision,
            "lease": lease}
        if lease:
            self._leases[lease][1].add(key)
        self._append_event(self._items[key])
        if self.write_hook:
            self.write_hook(self._items[key])

    def _remove(self, key):
        item = self._items.pop(key)
        if item["lease"] in self._leases:
            self._leases[item["lease"]][1].discard(key)
        self._append_event({"key": key, "revision": self._revision,
                            "deleted": True})

    def _append_event(self, event):
        self._events.append((self._revision, event["key"], json.dumps(
            event, separators=(",", ":")).encode()))
        del self._events[:-MAX_EVENTS]

    def _notify_watchers(self):
        self._change_event.set()
        self._change_event = asyncio.Event()

    def _expire(self):
        now = self._clock()
        for lease, (deadline, keys, _) in list(self._leases.items()):
            if deadline <= now:
                del self._leases[lease]
                if keys:
                    self._revision += 1
                for key in list(keys):
                    self._remove(key)
                if keys:
                    self._notify_watchers()

    async def run(self):
        """Expires leases, until the task is cancelled."""
        while True:
            self._expire()
            await asyncio.sleep(0.05)
