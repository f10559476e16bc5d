"""Runs workers in a process of its own.

Commands arrive and events leave as JSON, one list or object a line. All times
are those of the monotonic clock, which processes of a machine share.
"""

import asyncio
import functools
import json
import random
import sys
import time

from machines import Machine
from proxy import Link, proxy
from workers import Worker

TICK_SECONDS = 0.02
RESTORE_SECONDS = 0.1  # before a run resumes from a checkpoint
CHECKPOINT_MS = 2000   # work between two checkpoints
CRASH_SECONDS = 0.01   # from the start of a deadly task to the crash


@functools.lru_cache(maxsize=4096)
def steps_of(spec):
    """Returns what the load generator wrote into the payload of a job."""
    return json.loads(spec)["steps"]


class _Store:
    """Sends what workers write to the process that has the store."""

    def __init__(self, send):
        self._send = send

    def put(self, key, value):
        """Writes a membership entry."""
        self._send("put", key, value)

    def remove(self, key):
        """Removes a membership entry."""
        self._send("remove", key)


class WorkerHost:
    """The workers of a zone, or some of them; takes the place of Simulation."""

    def __init__(self, seed):
        self.clock = time.monotonic
        self.worker_calls = 0
        self.link = Link()
        self._random = random.Random(seed)
        self._machines = {}
        self._ended = {}  # machine id -> its worker that ended last
        self._events = []
        self.store = _Store(lambda *event: self._events.append(event))

    def _emit(self, kind, *fields, at=None):
        self._events.append((kind, at or self.clock(), *fields))

    # What a worker asks of its surroundings.

    async def expose(self, address):
        """Returns the address of a proxy before a worker."""
        return (await proxy(self.link, address))[1]

    def step_of(self, task, command):
        """Returns the step of a task, from the payload of its start."""
        return steps_of(command["spec"])[int(task.split(".")[2])]

    def plan_run(self, run):
        """Returns the outcome of a run and its time in seconds."""
        saved = self._saved_ms(run)
        seconds = (run.step["ms"] - saved) / 1000 * self._random.uniform(0.7, 1.3)
        if saved:
            seconds += RESTORE_SECONDS
        failed = self._random.random() < run.step.get("fail", 0.0)
        return ("failed", seconds / 2) if failed else ("done", seconds)

    @staticmethod
    def _saved_ms(run):
        return int((run.command.get("checkpoint") or "/0").split("/")[1])

    def checkpoint(self, run):
        """Returns the checkpoint of a run: the task and the work saved."""
        if not run.step.get("ck"):
            return ""
        done = int((self.clock() - run.started_at) * 1000 / CHECKPOINT_MS)
        saved = self._saved_ms(run) + done * CHECKPOINT_MS
        return "%s/%d" % (run.task, saved) if saved else ""

    def record_start(self, task, attempt, worker, command):
        """Reports a start."""
        self._emit("start", task, worker.id, attempt, command["fencing_token"],
                   command.get("spec"), command.get("checkpoint") or "")
        step = self.step_of(task, command)
        if int(task.split(".")[3]) in step.get("deadly", ()):
            asyncio.get_running_loop().call_later(
                CRASH_SECONDS, self._crash, worker, task)

    def record_end(self, task, attempt, outcome, worker, at=None):
        """Reports the end of a run."""
        self._emit("end", task, worker.id, attempt, outcome, at=at)

    def record_acknowledgement(self, task, attempt, outcome, worker):
        """Reports that an end was acknowledged to a worker."""
        self._emit("ack", task, worker.id, attempt, outcome)

    def record_lease_expiry(self, worker):
        """Reports that a worker's lease has expired."""
        self._emit("lapse", worker.id)

    # Commands.

    async def _start(self, number, spec, keeps, cut):
        machine = self._machines.get(spec["id"])
        if machine is None:
            machine = Machine(spec["number"], spec["pool"], spec["zone"],
                              spec["cores"])
            machine.labels = spec["labels"]
            machine.clock_rate = spec["clock_rate"]
            machine.enforces_capacity = spec["enforces"]
            machine.stop_seconds = self._random.uniform(0.02, 0.3)
            self._machines[machine.id] = machine
        previous = self._ended.get(machine.id) if keeps else None
        machine.worker = Worker(
            self, machine, previous.number if keeps == "id" else number, number)
        self._emit("up", machine.worker.id, machine.id)
        await machine.worker.start(previous, cut)

    def _end_worker(self, machine, graceful):
        worker, machine.worker = machine.worker, None
        if worker:
            self._ended[machine.id] = worker
            self._emit("gone", worker.id)
            (worker.deregister if graceful else worker.terminate)()

    def _crash(self, worker, task=""):
        for machine in self._machines.values():
            if machine.worker is worker:
                self._emit("crash", worker.id, task)
                self._end_worker(machine, False)

    async def execute(self, command):
        """Executes one command."""
        kind = command["do"]
        if kind == "start":
            await self._start(command["worker"], command["machine"],
                              command.get("keeps"), command.get("cut"))
        elif kind == "link":
            self.link.apply(command["how"], command.get("delay_s", 0.0))
        else:
            machine = self._machines[command["machine"]]
            if kind == "drain" and machine.worker:
                machine.worker.is_draining = True
            elif kind == "crash" and machine.worker:
                self._crash(machine.worker)
            elif kind == "capacity":
                before = machine.capacity["cpu"]
                machine.capacity = {**machine.capacity, "cpu": command["cpu"]}
                self._emit("capacity", machine.id, before, command["cpu"])
            elif kind == "leave":
                self._end_worker(machine, True)

    async def run(self):
        """Serves commands until the input ends."""
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        ticker = asyncio.ensure_future(self._tick())
        while line := await reader.readline():
            await self.execute(json.loads(line))
        ticker.cancel()

    async def _tick(self):
        while True:
            for machine in self._machines.values():
                if machine.worker:
                    machine.worker.tick()
            self._emit("tick")
            sys.stdout.write(json.dumps(self._events) + "\n")
            sys.stdout.flush()
            self._events.clear()
            await asyncio.sleep(TICK_SECONDS)


if __name__ == "__main__":
    asyncio.run(WorkerHost(int(sys.argv[1])).run())
