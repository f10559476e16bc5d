"""Simulates the platform of the daemons: store, machines and workers."""

import asyncio
import base64
import json
import random
import time

from machines import MachineService
from store import Store
from http_server import serve


class Simulation:
    """The simulated services of one run; checks the scheduler's invariants."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.clock = time.monotonic
        self.store = Store(self.clock)
        self.machines = MachineService(self)
        self.jobs = {}  # id -> submitted spec
        self.cancelled = {}  # id -> time of the acknowledged cancellation
        self.worker_calls = 0
        self.starts = 0
        self.violations = []  # (violated rule, detail)
        self._runs = {}  # task -> {(worker id, attempt): worker}
        self._done = {}  # task -> {(worker id, attempt): end time}
        self._acknowledged = set()  # tasks whose end the leader has recorded
        self._lease_expiries = {}  # worker id -> times of lease expiry
        # task -> ends on workers before the latest start of the task
        self._ends_before_restart = {}
        self._speeds = {}
        self.store_address = None
        self.cloud_address = None
        self._servers = []

    async def start(self, pools, zones):
        """Starts the services; pools are (name, machines, is_standby)."""
        server, self.store_address = await serve(self.store.handle)
        self._servers.append(server)
        server, self.cloud_address = await serve(self.machines.handle)
        self._servers.append(server)
        for pool, count, _ in pools:
            for number in range(count):
                machine = self.machines.add(pool, zones[number % len(zones)])
                await self.machines.start_worker(machine)
        asyncio.ensure_future(self.store.run())
        asyncio.ensure_future(self._tick())

    async def _tick(self):
        while True:
            for machine in self.machines.all.values():
                if machine.worker:
                    machine.worker.tick()
            await asyncio.sleep(0.05)

    def write(self, key, content):
        """Writes a key as the operator does."""
        self.store.put(key, base64.b64encode(
            json.dumps(content).encode()).decode())

    def read(self, key):
        """Reads a key that the system wrote for operators; None if absent."""
        value = self.store.value(key)
        return json.loads(base64.b64decode(value)) if value else None

    # Properties of tasks.

    def step_of(self, task, command=None):
        """Returns the step of a task, as it was submitted."""
        job, _, step, _ = task.split(".")
        spec = self.jobs.get(job)
        return spec["steps"][int(step)] if spec else {"cpu": 0}

    def plan_run(self, run):
        """Returns the outcome of a run and its time in seconds."""
        return "done", run.step.get("estimate_ms", 500) / 1000 * \
            self.random.uniform(0.7, 1.3)

    def checkpoint(self, run):
        """Returns the checkpoint of a run."""
        return ""

    async def expose(self, address):
        """Returns the address at which a worker is reached."""
        return address

    # Events on workers.

    def report_violation(self, rule, detail):
        """Records the violation of a rule."""
        self.violations.append((rule, "%s at %.3f" % (detail, self.clock())))

    def record_start(self, task, attempt, worker, command):
        """Checks and records that a worker starts a task."""
        self.starts += 1
        job, occurrence, step, _ = task.split(".")
        spec = self.jobs.get(job)
        if spec is None or spec["spec"] != command.get("spec"):
            self.report_violation("only submitted jobs run", task)
            return
        cancelled_at = self.cancelled.get(job)
        if cancelled_at is not None and self.clock() > cancelled_at + 3.0:
            self.report_violation("a cancelled job starts no tasks", task)
        running = {key: runner for key, runner in self._runs.get(task, {}).items()
                   if runner.is_alive}
        if running:
            self.report_violation(
                "a task has at most one run at a time",
                "%s on %s, also: %s" % (task, worker.id, running.keys()))
        if task in self._acknowledged:
            self.report_violation("a completed task does not start again", task)
        self._ends_before_restart.setdefault(task, []).extend(
            self._done.get(task, {}).items())
        for earlier in spec["steps"][int(step)].get("after", []):
            for index in range(spec["steps"][earlier]["count"]):
                dependency = "%s.%s.%d.%d" % (job, occurrence, earlier, index)
                if not self._done.get(dependency):
                    self.report_violation(
                        "a step starts after the steps it depends on",
                        "%s before %s" % (task, dependency))
        self._runs.setdefault(task, {})[(worker.id, attempt)] = worker

    def record_end(self, task, attempt, outcome, worker, at=None):
        """Records the outcome of a run."""
        self._runs.get(task, {}).pop((worker.id, attempt), None)
        if outcome == "done":
            self._done.setdefault(task, {})[(worker.id, attempt)] = self.clock()

    def record_lease_expiry(self, worker):
        """Records that a worker's lease has expired."""
        self._lease_expiries.setdefault(worker.id, []).append(self.clock())

    def record_acknowledgement(self, task, attempt, outcome, worker):
        """Records that the leader has acknowledged an end to a worker."""
        if outcome != "done":
            return
        ended = self._done[task][(worker.id, attempt)]
        if any(at > ended for at in self._lease_expiries.get(worker.id, [])):
            return
        self._acknowledged.add(task)
        if any(key == (worker.id, attempt)
               for key, _ in self._ends_before_restart.get(task, [])):
            self.report_violation(
                "a completed task does not start again",
                "%s, whose end on %s was acknowledged later"
                % (task, worker.id))

    def is_done(self, job):
        """Returns whether every task of a job has completed."""
        return all(self._done.get("%s.0.%d.%d" % (job, number, index))
                   for number, step in enumerate(self.jobs[job]["steps"])
                   for index in range(step["count"]))
