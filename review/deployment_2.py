"""A small deployment on loopback for the scripts of the second review.

The store, the workers and the HTTP server are those of test/soak. This module
adds worker addresses that outlive their workers, a record and the checks.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parents[1]
sys.path.insert(0, str(ROOT / "test" / "soak"))

# The modules of test/soak are found only now.
from daemons import Daemon, make_log_folder  # noqa: E402
from http_client import call  # noqa: E402
from http_server import Reply, serve  # noqa: E402
from machines import Machine  # noqa: E402
from store import Store  # noqa: E402
from workers import Worker  # noqa: E402

PROGRAM = str(ROOT / "target" / "crocusmast-platform")
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
ENTRY_SECONDS = 4.5  # three heartbeats, after which an entry is removed
SILENT_SECONDS = 60
TICK_SECONDS = 0.02


class LoopbackWorker(Worker):
    """A worker that is reached at the address of a WorkerAddress."""

    async def start_at(self, address):
        """Starts to serve and to write its entry."""
        self.address = address
        self.incarnation = int(time.time() * 1000)
        asyncio.ensure_future(self._heartbeat())

    async def handle(self, request):
        """Handles one call; rejects a start whose own lease has run out."""
        if request.path.endswith("/run-start") and (
                request.json()["until_ms"] <= self.clock_ms()):
            return Reply(409, {"clock_ms": self.clock_ms(), "reason": "late"})
        return await self._handle(request)

    def is_busy(self):
        """Returns whether a task runs."""
        return bool(self._runs)

    def load(self):
        """Returns the number of running tasks."""
        return len(self._runs)

    def terminate(self):
        """Ends this incarnation and aborts its runs."""
        self.is_alive = False
        for run in list(self._runs.values()):
            self._abort(run)


class WorkerAddress:
    """An address at which one worker after the other may run.

    A held order gets no response and reaches whichever worker runs here when
    the delay is over.
    """

    def __init__(self, deployment, number, pool, cores):
        self.machine = Machine(number, pool, "z1", cores)
        self.worker = None
        self._is_silent = False    # no answer, instead of a lost connection
        self._deployment = deployment
        self._number = number
        self._address = None

    async def start(self):
        """Starts a worker; one after a crash has the same id and address."""
        if self._address is None:
            _, self._address = await serve(self._handle)
        self._is_silent = False
        self.worker = LoopbackWorker(self._deployment, self.machine,
                                     self._number)
        await self.worker.start_at(self._address)
        self._deployment.note("worker %s starts, born %d" % (
            self.worker.id, self.worker.incarnation))

    def crash(self):
        """Crashes the worker; its entry is removed after a while."""
        worker, self.worker = self.worker, None
        self._deployment.note("worker %s crashes" % worker.id)
        worker.terminate()
        asyncio.ensure_future(self._expire(worker))

    def leave(self):
        """Ends the worker and removes its entry."""
        worker, self.worker = self.worker, None
        worker.terminate()
        self._deployment.store.remove("servers/" + worker.id)

    async def start_next(self, step):
        """Starts a worker with a new id."""
        self._number += step
        await self.start()

    def crash_silently(self):
        """Crashes the worker and its machine, which answers nothing more."""
        self._is_silent = True
        self.crash()

    async def _expire(self, worker):
        await asyncio.sleep(ENTRY_SECONDS)
        if self.worker is None:
            self._deployment.note("the entry of %s is removed" % worker.id)
            self._deployment.store.remove("servers/" + worker.id)

    async def _handle(self, request):
        is_start = request.path.endswith("/run-start")
        delay_s = self._deployment.take_hold(self, request)
        if delay_s is not None:
            self._deployment.note("held for %.1f s: %s" % (
                delay_s, _order(request)))
            asyncio.ensure_future(self._deliver(request, delay_s))
            await asyncio.sleep(delay_s)
            return None
        if self._is_silent:
            await asyncio.sleep(SILENT_SECONDS)
        if self.worker is None:
            return None
        try:
            reply = await self.worker.handle(request)
        except Reply as early:
            reply = early
        if is_start and reply is not None:
            self._deployment.note("order %s: %d %s" % (
                _order(request), reply.status, reply.body.decode()))
        return reply

    async def _deliver(self, request, delay_s):
        await asyncio.sleep(delay_s)
        self._deployment.note("the held call arrives: %s" % _order(request))
        reply = None
        if self.worker is not None:
            try:
                reply = await self.worker.handle(request)
            except Reply as early:
                reply = early
        self._deployment.note("the held call %s has the result %s" % (
            _order(request), reply and "%d %s" % (
                reply.status, reply.body.decode()[:200])))


def _order(request):
    body = request.json()
    if "task" not in body:
        return "hold with last_seen %s, token %s" % (
            body["last_seen"], body["fencing_token"])
    return "%s#%s token %s" % (body["task"], body["attempt"],
                               body["fencing_token"])


class TaskRecord:
    """The runs of one task, as the workers see them."""

    def __init__(self):
        self.starts = []  # (time, attempt, worker)
        self.active = {}  # (worker, attempt) -> time
        self.ends = []  # (time, attempt, worker id, outcome)
        self.noted_done = False


class Deployment2:
    """Daemons, a store, worker addresses and a caller."""

    def __init__(self, folder):
        self.clock = time.monotonic
        self.store = Store(self.clock)
        self.daemons = []
        self.addresses = []
        self.tasks = {}
        self.violations = []
        self.worker_calls = 0
        # The call to hold once: address or None, path, text in the body, delay.
        self.hold_next = None
        self.orders = 0  # calls of workers other than holds
        self.job_seed = random.Random(int(time.time()))
        self._folder = folder
        self._logs = make_log_folder()
        self._began_at = self.clock()
        self._record = open(os.path.join(folder, "record.txt"), "w",
                            encoding="utf-8")
        self._version = 0
        self._cloud = None
        self._background = []

    # The record.

    def note(self, text):
        """Writes a line to the record."""
        if not self._record.closed:  # runs of tasks may end after the case
            self._record.write("%8.3f %s\n" % (
                self.clock() - self._began_at, text))
            self._record.flush()

    def violation(self, rule, text):
        """Records that a rule was broken."""
        self.violations.append(rule)
        self.note("BROKEN %s: %s" % (rule, text))

    # Start and stop.

    async def start(self, daemon_count, store_handler=None):
        """Starts the stand-ins and the daemons; returns once they are ready."""
        _, store = await serve(store_handler or self.store.handle)
        _, self._cloud = await serve(self._handle_machines)
        self._background = [asyncio.ensure_future(self.store.run()),
                            asyncio.ensure_future(self._tick())]
        network = "127.%d.%d" % (os.getpid() % 250 + 1,
                                 os.getpid() // 250 % 250)
        for number in range(1, daemon_count + 1):
            self.daemons.append(Daemon(
                number, "z1", PROGRAM, self._logs,
                {"store": store, "cloud": self._cloud}, network))
        for daemon in self.daemons:
            await daemon.start()
        await self.wait_ready(self.daemons)

    async def wait_ready(self, daemons):
        """Waits until all daemons are ready."""
        for _ in range(100):
            replies = [await call(d.readiness, "GET", "/crocusmast/ready", "x",
                                  timeout=1.0) for d in daemons]
            if all(r.status == 200 for r in replies):
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("the daemons are not ready")

    async def stop(self):
        """Ends all processes."""
        for daemon in self.daemons:
            if daemon.is_running:
                await daemon.kill()
        for task in self._background:
            task.cancel()
        shutil.rmtree(self._logs, ignore_errors=True)
        self._record.close()

    async def _tick(self):
        while True:
            for address in self.addresses:
                if address.worker:
                    address.worker.tick()
            await asyncio.sleep(TICK_SECONDS)

    async def add_worker(self, pool="a", cores=8):
        """Adds an address with a worker."""
        address = WorkerAddress(self, len(self.addresses) + 1, pool, cores)
        self.addresses.append(address)
        await address.start()
        return address

    def leader(self):
        """Returns the daemon that schedules, or None."""
        value = self.store.value("cm/duty")
        if value is None:
            return None
        holder = base64.b64decode(value).decode("latin-1")
        return next((d for d in self.daemons if d.name in holder), None)

    async def wait_leader(self, seconds=10.0):
        """Waits for a leader and returns it."""
        for _ in range(int(seconds * 20)):
            if self.leader() is not None:
                return self.leader()
            await asyncio.sleep(0.05)
        raise RuntimeError("there is no leader")

    def take_hold(self, address, request):
        """Returns the delay of a call that is to be held, or None."""
        self.orders += not request.path.endswith("/hold")
        if self.hold_next is None:
            return None
        at, path, text, delay_s = self.hold_next
        if at not in (None, address) or not request.path.endswith(path) or (
                text.encode() not in request.body):
            return None
        self.hold_next = None
        return delay_s

    # The operator and the caller.

    def configure(self, queues, pools=("a",), standby=()):
        """Writes a configuration with queues, given as (name, pool)."""
        self._version += 3
        content = {"version": self._version, "limits": {}, "routes": [
            {"name": name, "host": name + ".example", "prefix": "/j/",
             "kind": "unsafe", "timeout_ms": 3000, "target_runtime_ms": 600,
             "priority": 0, "service": pool, "max_attempts": 4,
             "slack_factor": 1.6} for name, pool in queues],
            "services": [{"name": pool, "enforce_capacity": True,
                          "standby": pool in standby}
                         for pool in pools]}
        self.note("configuration %d: queues %s" % (
            self._version, ", ".join(name for name, _ in queues)))
        self.store.put("op/config", base64.b64encode(
            json.dumps(content).encode()).decode())

    def new_id(self):
        """Returns the id of a new job."""
        return "%016x" % self.job_seed.getrandbits(64)

    async def submit(self, daemon, queue, steps, job=None):
        """Submits a job until it is accepted; returns its id.

        A step has the field ms, the time that its tasks take; it is sent in
        the payload, where the workers find it.
        """
        job = job or self.new_id()
        content = {"spec": json.dumps({"steps": steps}), "steps": [
            {key: value for key, value in step.items() if key != "ms"}
            for step in steps]}
        for _ in range(10):
            reply = await call(daemon.caller_address, "POST", "/j/" + job,
                               queue + ".example", content)
            self.note("POST %s to %s: %d" % (job, queue, reply.status))
            if reply.status == 200:
                return job
            await asyncio.sleep(0.3)
        raise RuntimeError("the job was not accepted")

    async def state(self, daemon, queue, job):
        """Returns the status and the state of a job."""
        reply = await call(daemon.caller_address, "GET", "/j/" + job,
                           queue + ".example")
        state = reply.json()["state"] if reply.status == 200 else ""
        self.note("GET %s of %s: %d %s" % (job, queue, reply.status, state))
        return reply.status, state

    async def pending(self, daemon, queue):
        """Returns the number of pending jobs, or None."""
        reply = await call(daemon.caller_address, "GET", "/j/",
                           queue + ".example")
        count = reply.json()["pending"] if reply.status == 200 else None
        self.note("GET pending of %s: %d %s" % (queue, reply.status, count))
        return count

    async def _handle_machines(self, request):
        if not request.path.endswith("/machines"):
            return Reply(503)
        return Reply(200, {"next_token": None, "machines": [
            {"machine_id": a.machine.id, "pool": a.machine.pool,
             "zone": a.machine.zone, "state": "up",
             "labels": a.machine.labels, "capacity": a.machine.capacity,
             "id": "i-%06x" % (number + 1)}
            for number, a in enumerate(self.addresses)]})

    # What the workers ask of their surroundings.

    @staticmethod
    def step_of(task, command):
        """Returns the step of a task."""
        return json.loads(command["spec"])["steps"][int(task.split(".")[2])]

    @staticmethod
    def plan_run(run):
        """Returns the outcome and the time of a run."""
        return "done", run.step["ms"] / 1000

    @staticmethod
    def checkpoint(run):
        """Returns no checkpoint."""
        return ""

    def record_start(self, task, attempt, worker, command):
        """Checks and records a start."""
        record = self.tasks.setdefault(task, TaskRecord())
        self.note("START %s#%d on %s" % (task, attempt, worker.id))
        others = ["%s#%d" % (other.id, number)
                  for other, number in record.active if other.is_alive]
        if others:
            self.violation("TWICE", "%s#%d starts on %s while it runs: %s" % (
                task, attempt, worker.id, " ".join(others)))
        elif record.noted_done:
            self.violation("TWICE", "%s#%d starts after its end was noted" % (
                task, attempt))
        record.starts.append((self.clock(), attempt, worker))
        record.active[worker, attempt] = self.clock()

    def record_end(self, task, attempt, outcome, worker, at=None):
        """Records an end."""
        record = self.tasks[task]
        record.active.pop((worker, attempt), None)
        record.ends.append((self.clock(), attempt, worker.id, outcome))
        self.note("END %s#%d on %s: %s" % (task, attempt, worker.id, outcome))

    def record_acknowledgement(self, task, attempt, outcome, worker):
        """Records that an end was taken note of."""
        if outcome == "done":
            self.tasks[task].noted_done = True
        self.note("NOTED %s#%d on %s: %s" % (task, attempt, worker.id,
                                             outcome))

    def record_lease_expiry(self, worker):
        """Records that the lease of a worker has expired."""
        self.note("lease of %s expired" % worker.id)


def run_case(folder, scenario, kind=Deployment2):
    """Runs a scenario on a kind of deployment; returns the exit code.

    The scenario gets the deployment and whether the disruption takes place.
    """
    async def run():
        deployment = kind(folder)
        try:
            await scenario(deployment, os.environ.get("TROUBLE") != "0")
        finally:
            await deployment.stop()
        return BROKEN if deployment.violations else HELD
    try:
        return asyncio.run(asyncio.wait_for(run(), 115))
    except Exception as error:  # the case could not run, whatever the cause
        print("cannot run: %r" % error, file=sys.stderr)
        return CANNOT_RUN
