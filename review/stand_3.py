"""A small deployment on loopback for the cases 11 to 15.

The entry instances are the project's own program; store, machines and workers
are the stand-ins of test/soak. Everything that is sent, answered and run goes
to record.txt in the folder of the case.
"""

import asyncio
import base64
import json
import os
import pathlib
import shutil
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "test" / "soak"))

import http_server  # noqa: E402
from daemons import Daemon  # noqa: E402
from http_client import call  # noqa: E402
from http_server import serve  # noqa: E402
from simulation import Simulation  # noqa: E402
from store import Store  # noqa: E402
from workers import LOST_SECONDS, Worker  # noqa: E402

PROGRAM = str(ROOT / "target" / "crocusmast-platform")
ZONES = ["z1", "z2", "z3"]
BROKEN, HELD, NOT_RUN = 1, 0, 2
READY_SECONDS = 20.0
VALUE_BYTES = 1048576  # value_bytes of the settings
ENTRY_SECONDS = 4.5  # three heartbeats, after which a silent entry is removed


class NotRun(Exception):
    """The case could not run."""


class _TrackedConnection(http_server._Connection):
    """A connection that a crash of its worker resets."""

    def __init__(self, handler, connections):
        super().__init__(handler)
        self._connections = connections

    def connection_made(self, transport):
        super().connection_made(transport)
        self._connections.add(transport)

    def connection_lost(self, exc):
        super().connection_lost(exc)
        self._connections.discard(self._transport)


class LocalWorker(Worker):
    """A worker whose connections are reset when it crashes."""

    async def start(self, previous=None, cut=None):
        self._connections = set()
        host = previous.host if previous else self._simulation.worker_host
        self.host = host
        self._server = await asyncio.get_running_loop().create_server(
            lambda: _TrackedConnection(self._handle, self._connections),
            host, previous.port if previous else 0, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (host, self.port)
        asyncio.ensure_future(self._live(cut))

    def terminate(self):
        super().terminate()
        for transport in list(self._connections):
            transport.abort()

    async def _handle(self, request):
        if getattr(self, "is_dark", False) or self._simulation.delays(
                self, request):
            await asyncio.sleep(LOST_SECONDS)
            return None
        return await super()._handle(request)

    async def execute_late(self, request):
        """Executes an order that got no response."""
        try:
            await self._execute(request)
        except http_server.Reply:
            pass  # rejected

    def close(self):
        """Closes the port of a dark worker for its next life."""
        self._server.close()

    def go_dark(self):
        """Ends everything that runs; connections hang instead of breaking."""
        self.is_dark = True
        self.is_alive = False
        for run in list(self._runs.values()):
            self._abort(run)


class LimitedStore(Store):
    """A store that rejects values of more than value_bytes."""

    def _transact(self, request):
        for row in request.json().get("writes", []):
            size = len(base64.b64decode(row["value"]))
            if size > VALUE_BYTES:
                self.record("store: rejects a value of %d bytes of the key %s"
                            % (size, row["key"]))
                return http_server.Reply(400)
        return super()._transact(request)


class RecordingSimulation(Simulation):
    """The platform and the workers; records what runs."""

    def overlap(self, task):
        """Returns two runs of a task at the same time and how long, if any."""
        runs = []
        for started_at, worker, attempt in self.started.get(task, []):
            ends = [at for at, where, number, _ in self.ended.get(task, [])
                    if (where, number) == (worker, attempt)
                    and at >= started_at]
            runs.append((started_at, min(ends, default=self.clock()), worker,
                         attempt))
        for index, first in enumerate(runs):
            for second in runs[index + 1:]:
                both = min(first[1], second[1]) - max(first[0], second[0])
                if both > 0:
                    return first, second, both
        return None

    def __init__(self, record, host):
        super().__init__(1)
        self.record = record
        self.store = LimitedStore(self.clock)
        self.store.record = record
        self.worker_host = host
        self.started = {}  # task -> [(time, worker, attempt)]
        self.ended = {}    # task -> [(time, worker, attempt, how)]
        self.seconds = {}  # job -> seconds of work of each of its tasks
        # (task, attempt) -> seconds after which its next run fails
        self.failing = {}
        self.late = {}     # task -> seconds by which its next start is late
        self.late_on = {}  # task -> worker of that start
        self.orders = 0    # start and stop orders so far

    def delays(self, worker, request):
        """Tells whether an order gets no response, and plans it then."""
        if not request.path.endswith(("run-start", "run-stop")):
            return False
        self.orders += 1
        order = request.json()
        if request.path.endswith("run-stop") or order["task"] not in self.late:
            return False
        seconds = self.late.pop(order["task"])
        self.late_on[order["task"]] = worker.id
        self.record("disruption: the start of %s attempt %d on %s gets no "
                    "response and is carried out %.1f s later" % (
                        order["task"], order["attempt"], worker.id, seconds))
        machine = next(m for m in self.machines.all.values()
                       if m.worker is worker)

        def execute():
            life = machine.worker
            if life is None:
                return  # it was lost with its worker
            self.record("disruption: the late start of %s attempt %d is "
                        "carried out on %s, life %d" % (
                            order["task"], order["attempt"], life.id,
                            life.incarnation))
            asyncio.ensure_future(life.execute_late(request))
        asyncio.get_running_loop().call_later(seconds, execute)
        return True

    def plan_run(self, run):
        if (run.task, run.attempt) in self.failing:
            return "failed", self.failing.pop((run.task, run.attempt))
        job, _, step, _ = run.task.split(".")
        seconds = self.seconds.get(job, 1.0)
        if isinstance(seconds, (list, tuple)):
            seconds = seconds[int(step)]
        return "done", seconds

    def record_start(self, task, attempt, worker, command):
        super().record_start(task, attempt, worker, command)
        self.started.setdefault(task, []).append(
            (self.clock(), worker.id, attempt))
        self.record("run: %s attempt %d starts on %s (life %d)" % (
            task, attempt, worker.id, worker.incarnation))

    def record_end(self, task, attempt, outcome, worker, at=None):
        super().record_end(task, attempt, outcome, worker, at)
        self.ended.setdefault(task, []).append(
            (self.clock(), worker.id, attempt, outcome))
        self.record("run: %s attempt %d on %s ends: %s" % (
            task, attempt, worker.id, outcome))

    def running(self):
        """Returns the tasks that run now, with their workers."""
        return [(task, worker) for task, runs in self._runs.items()
                for worker in runs.values() if worker.is_alive]


class Deployment:
    """The processes of a case; stop() ends all of them."""

    def __init__(self, folder, daemons=3):
        self._folder = pathlib.Path(folder)
        self._began_at = time.monotonic()
        self._record = open(self._folder / "record.txt", "w",
                            encoding="utf-8")
        self._temporary = tempfile.mkdtemp(prefix="crocusmast-review-")
        self._network = "127.%d.%d" % (os.getpid() % 250 + 1,
                                       os.getpid() // 250 % 250)
        self.simulation = RecordingSimulation(self.note,
                                              self._network + ".250")
        self._count = daemons
        self.daemons = []
        self._version = 0
        self._lives = 1000

    def note(self, text):
        """Writes a line with the time since the start of the case."""
        if self._record.closed:
            return
        self._record.write("%8.3f %s\n" % (
            time.monotonic() - self._began_at, text))
        self._record.flush()

    async def start(self, pools, queues):
        """Starts everything; pools are (name, machines), queues names."""
        if not os.access(PROGRAM, os.X_OK):
            raise NotRun("the program is not built: " + PROGRAM)
        simulation = self.simulation
        _, simulation.store_address = await serve(simulation.store.handle)
        _, simulation.cloud_address = await serve(simulation.machines.handle)
        number = 0
        for pool, count in pools:
            for index in range(count):
                machine = simulation.machines.add(pool, ZONES[index % 3])
                number += 1
                await self._start_worker(machine, number)
        asyncio.ensure_future(simulation.store.run())
        asyncio.ensure_future(simulation._tick())
        self._pools = [name for name, _ in pools]
        self.configure(queues)
        for index in range(self._count):
            daemon = Daemon(
                index + 1, ZONES[index % 3], PROGRAM, self._temporary,
                {"store": simulation.store_address,
                 "cloud": simulation.cloud_address}, self._network)
            self.daemons.append(daemon)
            await daemon.start()
            self.note("instance: %s starts" % daemon.name)
        for daemon in self.daemons:
            await self.wait_ready(daemon)
        await self.until(lambda: self.leader() is not None, 10.0,
                         "no instance leads")

    async def _start_worker(self, machine, number, previous=None, cut=""):
        self._lives += 1
        machine.state = "up"
        machine.worker = LocalWorker(
            self.simulation, machine, previous.number if previous else number,
            self._lives)
        machine.worker.cut = cut
        await machine.worker.start(previous)

    def machine_of(self, worker_id):
        """Returns the machine of a worker."""
        return next(m for m in self.simulation.machines.all.values()
                    if m.worker and m.worker.id == worker_id)

    def crash_worker(self, machine, is_dark=False):
        """Crashes a worker; its entry stays until it expires.

        Connections to a dark one hang, else they are reset.
        """
        worker = machine.worker
        self.note("disruption: worker %s crashes%s" % (
            worker.id, " and is silent" if is_dark else ""))
        machine.state = "down"
        (worker.go_dark if is_dark else worker.terminate)()
        machine.worker = None
        return worker

    async def revive_worker(self, machine, previous, cut=""):
        """Starts a worker again under the id and the address that it had."""
        await self._start_worker(machine, previous.number, previous, cut)
        self.note("disruption: worker %s is back, life %d" % (
            machine.worker.id, machine.worker.incarnation))

    async def cut_reborn(self, machine, seconds, crash_s, down_s):
        """Cuts a worker off from the instances; it starts again behind the cut.

        Connections hang while it is cut off. Its entry in the store is renewed.
        """
        worker = machine.worker
        self.note("disruption: worker %s is cut off for %.1f s" % (
            worker.id, seconds))
        worker.cut = "cut"
        healed_at = time.monotonic() + seconds
        await asyncio.sleep(crash_s)
        previous = self.crash_worker(machine, is_dark=True)
        await asyncio.sleep(down_s)
        previous.close()
        await self.revive_worker(machine, previous, cut="cut")
        await asyncio.sleep(healed_at - time.monotonic())
        machine.worker.cut = ""
        self.note("disruption: worker %s is reached again" % machine.worker.id)

    async def until(self, condition, seconds, problem):
        """Waits for a condition that the case needs."""
        end = time.monotonic() + seconds
        while not condition():
            if time.monotonic() > end:
                raise NotRun(problem)
            await asyncio.sleep(0.02)

    async def wait_ready(self, daemon, seconds=READY_SECONDS):
        """Waits until an instance says that it is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            response = await call(daemon.readiness, "GET", "/crocusmast/ready",
                                  "x", timeout=1.0)
            if response.status == 200:
                self.note("instance: %s is ready" % daemon.name)
                return
            await asyncio.sleep(0.05)
        raise NotRun(daemon.name + " is not ready")

    def leader(self):
        """Returns the instance whose claim the store holds."""
        value = self.simulation.store.value("cm/duty")
        if value is None:
            return None
        text = base64.b64decode(value).decode("latin-1")
        return next((d for d in self.daemons if d.name in text), None)

    def configure(self, queues, **fields):
        """Writes a configuration as the operator does."""
        self._version += 3
        routes = [{"name": queue, "host": queue + ".example", "prefix": "/j/",
                   "kind": "unsafe", "timeout_ms": 3000,
                   "target_runtime_ms": 600, "priority": 0, "service": pool,
                   "max_attempts": 4, "slack_factor": 1.6, **fields}
                  for queue, pool in queues]
        self.simulation.write("op/config", {
            "version": self._version, "limits": {}, "routes": routes,
            "services": [{"name": name, "enforce_capacity": True}
                         for name in self._pools]})
        self.note("operator: configuration %d with the queues %s is "
                  "acknowledged" % (self._version,
                                    " ".join(q for q, _ in queues)))

    # Callers.

    async def request(self, daemon, method, queue, path, content=None,
                      timeout=3.0):
        """Makes one call, and records it."""
        started_at = time.monotonic()
        response = await call(daemon.caller_address, method, "/j/" + path,
                              queue + ".example", content, timeout)
        self.note("caller: %s %s /j/%s at %s -> %s %s (%d ms)" % (
            method, queue, path, daemon.name, response.status or "no answer",
            response.body.decode("latin-1")[:80],
            (time.monotonic() - started_at) * 1000))
        return response

    async def submit(self, queue, job, steps, seconds, **fields):
        """Submits a job until it is accepted."""
        content = {"spec": "work of " + job, "steps": steps, **fields}
        self.simulation.jobs[job] = content
        self.simulation.seconds[job] = seconds
        for attempt in range(8):
            running = [d for d in self.daemons if d.is_running]
            daemon = running[attempt % len(running)]
            if (await self.request(daemon, "POST", queue, job,
                                   content)).status == 200:
                return
            await asyncio.sleep(0.3)
        raise NotRun("job %s was not accepted" % job)

    async def state(self, queue, job, daemon=None):
        """Asks for the state of a job; None without an answer."""
        daemon = daemon or next(d for d in self.daemons if d.is_running)
        response = await self.request(daemon, "GET", queue, job)
        return response.json()["state"] if response.status == 200 else None

    # Instances.

    async def restart(self, daemon, grace_s=6.0):
        """Stops an instance with SIGTERM and starts it again."""
        self.note("disruption: SIGTERM to %s" % daemon.name)
        await daemon.stop(grace_s)
        await daemon.start()
        self.note("instance: %s starts again" % daemon.name)
        await self.wait_ready(daemon)

    async def kill(self, daemon, down_s):
        """Kills an instance with SIGKILL and starts it again later."""
        self.note("disruption: SIGKILL to %s" % daemon.name)
        await daemon.kill()
        await asyncio.sleep(down_s)
        await daemon.start()
        self.note("instance: %s starts again" % daemon.name)

    async def stop(self):
        """Ends all processes."""
        for daemon in self.daemons:
            if daemon.is_running:
                await daemon.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self._temporary, keep, dirs_exist_ok=True)
        shutil.rmtree(self._temporary, ignore_errors=True)
        self._record.close()


def run_case(case, folder, limit_s=115.0, daemons=3):
    """Runs a case, a coroutine of (deployment, has_trouble); exits."""
    async def play():
        deployment = Deployment(folder, daemons)
        try:
            broken = await asyncio.wait_for(
                case(deployment, os.environ.get("TROUBLE") != "0"), limit_s)
            deployment.note("result: " + (broken or "the rule held"))
            print(broken or "the rule held")
            return BROKEN if broken else HELD
        except (NotRun, asyncio.TimeoutError, OSError) as error:
            deployment.note("result: not run: %r" % error)
            print("not run: %r" % error)
            return NOT_RUN
        finally:
            await deployment.stop()
    sys.exit(asyncio.run(play()))
