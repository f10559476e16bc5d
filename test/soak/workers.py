"""Simulates workers; their tasks only take time."""

import asyncio
import base64
import json
import os

from http_server import Reply, serve

MAX_LEASE_SECONDS = 6.0
MAX_ENDS_PER_REPLY = 500
# An address of this process: the port of a worker that is down for a moment
# must stay free, also beside other soaks.
HOST = "127.%d.%d.250" % (os.getpid() % 250 + 1, os.getpid() // 250 % 250)
LOST_SECONDS = 30.0  # for which a caller may wait for a reply that is lost


class TaskRun:
    """A run of a task; timer ends it, and is None for long-running tasks."""

    def __init__(self, task, attempt, step, command):
        self.task = task
        self.attempt = attempt
        self.step = step
        self.command = command
        self.started_at = 0.0
        self.timer = None


class Worker:
    """One incarnation of a worker."""

    def __init__(self, simulation, machine, number, incarnation=None):
        self._simulation = simulation
        self._machine = machine
        self.number = number
        self.id = "i-%06x" % number
        self.incarnation = 1_700_000_000_000 + (incarnation or number)
        self._started_at = simulation.clock()
        self.pool = machine.pool
        self.is_draining = False
        self.is_alive = True
        self.cut = ""  # calls are lost: "cut"; replies are: "cut-out"
        self.address = None
        self.port = 0
        self._server = None
        self._loses_starts = False
        self._highest_token = 0
        self._lease_end = 0.0
        self._expired_lease_end = 0.0  # of the last lease seen to expire
        self._runs = {}
        self._highest_attempt = {}  # task -> highest attempt stopped or ended
        self._pending_ends = []
        self._last_end_number = 0
        self._sequence = 0
        self._end_event = asyncio.Event()

    async def start(self, previous=None, cut=None):
        """Starts the server, at the address of a previous incarnation if any.

        A cut says after which time the worker is cut off, how and for how long,
        and whether replies to starts are lost before. No entry appears until
        its end.
        """
        self._server, address = await serve(
            self._handle, HOST, previous.port if previous else 0)
        self.port = int(address.rsplit(":", 1)[1])
        self.address = (previous.address if previous
                        else await self._simulation.expose(address))
        asyncio.ensure_future(self._live(cut))

    async def _live(self, cut):
        if cut:
            await self._cut_off(cut)
        await self._heartbeat()

    async def _cut_off(self, cut):
        self._loses_starts = cut["loses_starts"]
        await asyncio.sleep(cut["after_s"])
        self._loses_starts = False
        self.cut = cut["how"]
        await asyncio.sleep(cut["seconds"])
        self.cut = ""

    def clock_ms(self):
        """Returns the worker's local time in milliseconds."""
        elapsed = self._simulation.clock() - self._started_at
        return int(elapsed * self._machine.clock_rate * 1000) + 1000

    def terminate(self):
        """Ends this incarnation and aborts its runs."""
        self.is_alive = False
        for run in list(self._runs.values()):
            self._abort(run)
        self._server.close()

    def deregister(self):
        """Terminates, and removes the membership entry from the store."""
        self.terminate()
        self._simulation.store.remove("servers/" + self.id)

    async def _heartbeat(self):
        while self.is_alive:
            self._sequence += 1
            entry = {
                "service": self.pool, "address": self.address,
                "zone": self._machine.zone, "version": "v1", "slots": 8,
                "state": "draining" if self.is_draining else "ready",
                "cold_left_ms": 0, "capacity": self._machine.capacity,
                "labels": self._machine.labels, "clock_ms": self.clock_ms(),
                "seq": self._sequence, "born": self.incarnation}
            if self.is_draining:
                entry["remaining_ms"] = 2000
            self._simulation.store.put("servers/" + self.id, base64.b64encode(
                json.dumps(entry).encode()).decode())
            await asyncio.sleep(1.5)

    async def _handle(self, request):
        if not self.is_alive:
            return None
        loses_reply = self.cut or (
            self._loses_starts and request.path.endswith("run-start"))
        if self.cut != "cut":
            try:
                reply = await self._execute(request)
            except Reply as early:
                reply = early
            if not (loses_reply or self.cut):
                return reply
        await asyncio.sleep(LOST_SECONDS)
        return None

    async def _execute(self, request):
        if request.headers.get("expected-instance", self.id) != self.id:
            return Reply(421)
        body = request.json()
        self._simulation.worker_calls += 1
        self._expire_lease()
        return await {
            "run-start": self._start, "run-stop": self._stop,
            "hold": self._poll, "pace": self._set_cpu_share,
        }[request.path.split("/")[2]](body)

    def _check_fence(self, body):
        token = body.get("fencing_token", 0)
        if token < self._highest_token:
            raise Reply(409, {"clock_ms": self.clock_ms(), "reason": "fence"})
        self._highest_token = token

    def _extend(self, body):
        if "until_ms" in body:
            now = self._simulation.clock()
            requested_end = now + (body["until_ms"] - self.clock_ms()) / (
                1000 * self._machine.clock_rate)
            self._lease_end = max(self._lease_end,
                                  min(requested_end, now + MAX_LEASE_SECONDS))

    def _reply(self, **fields):
        return Reply(200, {"clock_ms": self.clock_ms(), "born": self.incarnation,
                           **fields})

    def _refuse(self, reason):
        return Reply(409, {"clock_ms": self.clock_ms(), "reason": reason})

    async def _start(self, body):
        self._check_fence(body)
        task, attempt = body["task"], body["attempt"]
        current = self._runs.get(task)
        if current and current.attempt == attempt:
            self._extend(body)
            return self._reply()
        if attempt <= self._highest_attempt.get(task, 0) or current:
            self._extend(body)
            return self._refuse("old")
        run = TaskRun(task, attempt, self._simulation.step_of(task, body), body)
        used = sum(other.step["cpu"] for other in self._runs.values())
        if self._machine.enforces_capacity and (
                self._machine.capacity["cpu"] < used + run.step["cpu"]):
            self._extend(body)
            return self._refuse("room")
        self._extend(body)
        if self._lease_end <= self._simulation.clock():
            return self._refuse("late")
        self._simulation.record_start(task, attempt, self, body)
        run.started_at = self._simulation.clock()
        if not run.step.get("long_running"):
            outcome, seconds = self._simulation.plan_run(run)
            run.timer = asyncio.get_running_loop().call_later(
                seconds, self._complete, run, outcome)
        self._runs[task] = run
        return self._reply()

    async def _stop(self, body):
        self._check_fence(body)
        task, attempt = body["task"], body["attempt"]
        self._highest_attempt[task] = max(self._highest_attempt.get(task, 0),
                                          attempt)
        run = self._runs.get(task)
        if run and run.attempt <= attempt:
            asyncio.get_running_loop().call_later(
                self._machine.stop_seconds, self._finish, run, "stopped")
        return self._reply()

    async def _set_cpu_share(self, body):
        self._check_fence(body)
        return self._reply()

    async def _poll(self, body):
        self._check_fence(body)
        self._extend(body)
        acknowledged = body["last_seen"]
        for number, task, attempt, outcome, _ in self._pending_ends:
            if number <= acknowledged:
                self._simulation.record_acknowledgement(task, attempt, outcome,
                                                        self)
        self._pending_ends = [end for end in self._pending_ends
                              if end[0] > acknowledged]
        if not self._pending_ends and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self._end_event.wait(),
                                       body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass  # no run has ended; the response lists no ends
        if not self.is_alive:
            return None
        return self._reply(
            running=[[run.task, run.attempt, self._simulation.checkpoint(run), 100]
                     for run in self._runs.values()],
            ended=self._pending_ends[:MAX_ENDS_PER_REPLY])

    def _expire_lease(self):
        if self._lease_end <= self._simulation.clock():
            # A lease expires also when nothing runs: the ends that the leader
            # has not seen no longer count.
            if self._expired_lease_end != self._lease_end:
                self._expired_lease_end = self._lease_end
                self._simulation.record_lease_expiry(self)
            for run in list(self._runs.values()):
                self._finish(run, "lapsed", self._lease_end)

    def _complete(self, run, outcome):
        self._expire_lease()
        self._finish(run, outcome)

    def _abort(self, run):
        if run.timer:
            run.timer.cancel()
        if self._runs.get(run.task) is run:
            del self._runs[run.task]
            self._simulation.record_end(run.task, run.attempt, "gone", self)

    def _finish(self, run, outcome, at=None):
        if self._runs.get(run.task) is not run:
            return
        if run.timer:
            run.timer.cancel()
        del self._runs[run.task]
        self._highest_attempt[run.task] = max(
            self._highest_attempt.get(run.task, 0), run.attempt)
        self._last_end_number += 1
        self._pending_ends.append([self._last_end_number, run.task,
                                   run.attempt, outcome,
                                   self._simulation.checkpoint(run)])
        self._simulation.record_end(run.task, run.attempt, outcome, self, at)
        self._end_event.set()
        self._end_event = asyncio.Event()

    def tick(self):
        """Ends the runs when the lease has expired."""
        if self.is_alive:
            self._expire_lease()
