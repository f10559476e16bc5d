"""A deployment on loopback: daemons, the store, workers and callers."""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import sys
import time

from callers import Balancer, Callers
from checker import CORE, Checker
from daemons import Daemon
from http_server import Reply, serve
from proxy import Link, proxy
from restart_check import RestartCheck
from store import Store
from traffic import LABEL, Traffic

HERE = pathlib.Path(__file__).parent
POOLS = [("a", True), ("b", False)]  # name and whether workers check capacity
LAG_SECONDS = 0.1      # delay of a stand-in that extends the time bounds
LONG_LAG_SECONDS = 1.0  # delay of a stand-in that counts as a slow core
TICK_SECONDS = 0.05
RESTART_SECONDS = (1.5, 4.0)  # from the crash under a task to the next worker
ENTRY_SECONDS = 4.5    # after which the entry of a silent worker is removed
MAX_MESSAGE_BYTES = 1 << 26
SIZES = {  # daemons, workers, worker hosts of a zone, cores of a worker
    "small": (6, 24, 1, 8), "wide": (5, 180, 2, 2), "large": (40, 180, 2, 8),
    "crowded": (150, 180, 2, 8)}
# Shares of a core of an instance. A wide deployment has small ones: its leader
# is short of processor time as on a grown platform, under a load that the
# stand-ins can carry.
SHARES = {"small": [0.08, 0.12, 0.25], "wide": [0.03, 0.04, 0.06],
          "large": [0.08, 0.12, 0.25], "crowded": [0.02, 0.03]}
ANY = "any"  # a size that the seed chooses
WIDE_SHARE = 0.25
ZONES = ["z1", "z2", "z3"]
SECONDS_PER_TASK = 0.0005  # CPU time that the leader needs for a task


class Deployment:
    """All processes of a seed; every process is ended by stop()."""

    def __init__(self, seed, size, folder, program, cpu_share=None,
                 load_share=None):
        self._seed = seed
        self._folder = folder
        self._program = program
        self._random = random.Random(seed)
        if size == ANY:
            is_wide = random.Random("size %d" % seed).random() < WIDE_SHARE
            size = "wide" if is_wide else "small"
        self.size = size
        self._restarts = random.Random("restarts %d" % seed)
        # What a worker that starts again keeps: its address, its id, or None.
        self.restart_keeps = [None, "address"]
        self._shape = SIZES[size]
        self.zones = ZONES
        drawn = (self._random.choice(SHARES[size]),
                 self._random.uniform(0.25, 0.6))
        self.cpu_share = cpu_share or drawn[0]
        self._load_share = load_share or drawn[1]
        self.checker = Checker()
        self.restarts = RestartCheck(self.checker)
        self.store = Store(time.monotonic)
        self.store.write_hook = self._on_write
        self.store_faults = []
        self.store_links = {}
        self.daemons = []
        self.callers = None
        self.load = None
        self._running = set()  # daemons that must not exit
        self._hosts = {zone: [] for zone in ZONES}  # (process, last tick)
        self._ticks = {}
        self._governor = None
        self._version = 0
        self._extra_queues = []
        self._workers = 0
        self._tasks = []
        self._leader = None

    # Start and stop.

    async def start(self):
        """Starts everything; returns once the instances are ready."""
        self._governor = await asyncio.create_subprocess_exec(
            sys.executable, str(HERE / "governor.py"),
            stdin=asyncio.subprocess.PIPE)
        await self._start_workers()
        self.configure(self._random)
        _, cloud = await serve(self._handle_machines)
        daemons, *_ = self._shape
        network = "127.%d.%d" % (os.getpid() % 250 + 1, os.getpid() // 250 % 250)
        for number in range(daemons):
            link, name = Link(), "entry-%d" % (number + 1)
            _, address = await serve(
                lambda request, name=name: self._handle_store(name, request))
            _, address = await proxy(link, address)
            self.store_links[name] = link
            self.daemons.append(Daemon(
                number + 1, ZONES[number % len(ZONES)], self._program,
                self._folder, {"store": address, "cloud": cloud}, network,
                self.cpu_share))
        balancer = Balancer(self.daemons, self._random)
        self.callers = Callers(self.checker, balancer, self._random, ZONES)
        self.load = Traffic(self, self.callers, self._random,
                            self._load_share * self.cpu_share / SECONDS_PER_TASK)
        self._spawn(self.store.run(), self._tick(), balancer.run())
        await asyncio.gather(*map(self.start_daemon, self.daemons))
        for _ in range(200):
            if all(map(balancer.is_ready, self.daemons)):
                return
            await asyncio.sleep(0.1)
        self.checker.report("READY", time.monotonic(), "not ready after 20 s")

    def _spawn(self, *coroutines):
        for coroutine in coroutines:
            self._tasks.append(asyncio.ensure_future(coroutine))
            self._tasks[-1].add_done_callback(self.report_failure)

    def report_failure(self, task):
        """Reports a task of the soak that failed, which is a fault of its own."""
        if not task.cancelled() and task.exception():
            self.checker.report("HARNESS", time.monotonic(), "%r in %s" % (
                task.exception(), task.get_coro().__qualname__))

    async def _start_workers(self):
        _, workers, hosts, cores = self._shape
        for zone in ZONES:
            for index in range(hosts):
                process = await asyncio.create_subprocess_exec(
                    sys.executable, str(HERE / "worker_host.py"),
                    str(self._random.getrandbits(32)), limit=MAX_MESSAGE_BYTES,
                    stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
                self._hosts[zone].append(process)
                self._spawn(self._read_events(process, zone))
        for number in range(workers):
            pool, enforces = POOLS[number // len(ZONES) % len(POOLS)]
            zone = ZONES[number % len(ZONES)]
            kind = LABEL if self._random.random() < 0.5 else "x"
            machine = {
                "id": "m-%04x" % (number + 1), "number": number + 1,
                "pool": pool, "zone": zone, "cores": cores, "enforces": enforces,
                "labels": [kind, "r%s-%d" % (zone, number // 6)], "worker": "",
                "clock_rate": self._random.uniform(0.98, 1.0)}
            self.checker.machines[machine["id"]] = machine
            self._start_worker(machine)
        for pool, _ in POOLS:  # each pool has a worker with the label
            first = next(m for m in self.checker.machines.values()
                         if m["pool"] == pool)
            first["labels"][0] = LABEL

    async def start_daemon(self, daemon):
        """Starts an instance with its share of a core."""
        await daemon.start()
        self._running.add(daemon)
        self.govern(daemon, share=self.cpu_share)
        self._spawn(self._watch(daemon, daemon.pid))

    async def _watch(self, daemon, pid):
        code = await daemon.wait()
        if daemon in self._running and daemon.pid == pid:
            self._running.discard(daemon)
            self.checker.report("EXIT", time.monotonic(), "%s exits with %s" % (
                daemon.name, code))

    async def kill(self, daemon):
        """Kills an instance."""
        self._running.discard(daemon)
        self.govern(daemon, share=0)
        await daemon.kill()

    async def terminate(self, daemon, grace):
        """Stops an instance; returns whether it kept to its grace period."""
        self._running.discard(daemon)
        code = await daemon.stop(grace)
        self.govern(daemon, share=0)
        return code != -signal.SIGKILL

    async def stop(self):
        """Ends all processes."""
        for daemon in self.daemons:
            if daemon.is_running:
                await self.kill(daemon)
        for task in self._tasks:
            task.cancel()
        processes = [p for hosts in self._hosts.values() for p in hosts]
        for process in [self._governor] + processes:
            process.stdin.close()
            try:
                await asyncio.wait_for(process.wait(), 3)
            except asyncio.TimeoutError:
                process.kill()

    def starved_seconds(self):
        """Returns the longest time that an instance waited for a processor."""
        return max((daemon.run_delay_seconds() for daemon in self._running),
                   default=0.0)

    # Actions of the injector.

    def leader(self):
        """Returns the instance that schedules."""
        return next((d for d in self.daemons if d.name == self._leader), None)

    def govern(self, daemon, **command):
        """Sets the share of a core, or suspends an instance."""
        self._governor.stdin.write(json.dumps(
            {"pid": daemon.pid, **command}).encode() + b"\n")

    def _host_of(self, machine):
        hosts = self._hosts[machine["zone"]]
        return hosts[machine["number"] % len(hosts)]

    def tell(self, zone, **command):
        """Sends a command to the worker hosts of a zone."""
        for process in self._hosts[zone]:
            process.stdin.write(json.dumps(command).encode() + b"\n")

    def tell_machine(self, machine, **command):
        """Sends a command to the host of a machine."""
        self._host_of(self.checker.machines[machine]).stdin.write(
            json.dumps({**command, "machine": machine}).encode() + b"\n")

    def _start_worker(self, machine, keeps=None, cut=None):
        self._workers += 1
        self._host_of(machine).stdin.write(json.dumps(
            {"do": "start", "worker": self._workers, "machine": machine,
             "keeps": keeps, "cut": cut}).encode() + b"\n")

    async def replace_worker(self, machine, how, seconds):
        """Ends a worker and starts another on its machine."""
        self.tell_machine(machine, do=how)
        disturbance = (self.checker.disturb("worker", time.monotonic())
                       if how == "crash" else [0, 0, 0])
        await asyncio.sleep(seconds)
        self._start_worker(self.checker.machines[machine])
        disturbance[2] = time.monotonic()

    async def interrupt_worker(self, machine, seconds, cut=None):
        """Crashes a worker; another starts on its machine some seconds later.

        It may be cut off then, as Worker.start() describes.
        """
        worker = self.checker.machines[machine]["worker"]
        if not worker:
            return
        self.tell_machine(machine, do="crash")
        await self.restore_worker(machine, worker, seconds, cut)

    def _restart_crashed(self, worker):
        machine = next(m["id"] for m in self.checker.machines.values()
                       if m["worker"] == worker)
        self._spawn(self.restore_worker(
            machine, worker, self._restarts.uniform(*RESTART_SECONDS)))

    async def restore_worker(self, machine, worker, seconds, cut=None):
        """Lets the entry of a crashed worker expire, and starts another."""
        now = time.monotonic()
        self.checker.disturb("worker", now)[2] = now

        keeps = self._restarts.choice(self.restart_keeps)
        silent_s = seconds
        if cut:
            silent_s += cut["after_s"] + cut["seconds"]

        async def expire():
            await asyncio.sleep(ENTRY_SECONDS)
            if silent_s > ENTRY_SECONDS or keeps != "id":
                self.store.remove("servers/" + worker)
        expiry = asyncio.ensure_future(expire())
        await asyncio.sleep(seconds)
        self._start_worker(self.checker.machines[machine], keeps, cut)
        await expiry

    # The operator.

    def queues(self):
        """Returns the queues for new jobs, with their pools."""
        now = time.monotonic()
        return [("q-" + pool, pool) for pool, _ in POOLS] + [
            (queue, "a") for queue in self._extra_queues
            if now > self.callers.config_added[queue] + 0.5]

    def configure(self, rng):
        """Writes a configuration: other limits, sometimes one more queue."""
        self._version += rng.randint(1, 5)
        if self.callers and rng.random() < 0.4:
            queue = "q-n%d" % self._version
            self._extra_queues.append(queue)
            self.callers.config_added[queue] = time.monotonic()
        elif self.callers is None:
            self._extra_queues = []
        names = [("q-" + pool, pool) for pool, _ in POOLS] + [
            (queue, "a") for queue in self._extra_queues]
        content = {"version": self._version, "limits": {}, "routes": [
            {"name": name, "host": name + ".example", "prefix": "/j/",
             "kind": "unsafe", "timeout_ms": rng.randint(2500, 4000),
             "target_runtime_ms": rng.randint(400, 900), "priority":
             index % 3, "service": pool, "max_attempts": 4, "slack_factor": 1.6}
            for index, (name, pool) in enumerate(names)],
            "services": [{"name": pool, "enforce_capacity": enforces}
                         for pool, enforces in POOLS]}
        self.store.put("op/config", base64.b64encode(
            json.dumps(content).encode()).decode())

    # Events.

    def _on_write(self, item):
        if item["key"] == "cm/duty":
            holder = base64.b64decode(item["value"]).decode("latin-1")
            self._leader = re.search(r"entry-\d+", holder).group()
            self.checker.leaders[item["revision"]] = self._leader

    async def _handle_store(self, instance, request):
        async def dispatch(request):
            return await self.store.handle(request)
        if self.store_faults:
            return await self.store_faults[-1](instance, request, dispatch)
        return await dispatch(request)

    async def _handle_machines(self, request):
        if not request.path.endswith("/machines"):
            return Reply(503)  # no pool is on standby; nothing moves
        return Reply(200, {"next_token": None, "machines": [
            {"machine_id": m["id"], "pool": m["pool"], "zone": m["zone"],
             "state": "up" if m["worker"] else "down", "labels": m["labels"],
             "capacity": {"cpu": self.checker.capacities.current(m),
                          "mem_mb": 32768, "gpu": 0},
             "id": m["worker"]} for m in self.checker.machines.values()]})

    async def _read_events(self, process, zone):
        self._ticks[process] = time.monotonic()
        while line := await process.stdout.readline():
            for kind, *fields in json.loads(line):
                if kind == "tick":
                    self._note_lag("workers " + zone, self._ticks[process],
                                   fields[0])
                    self._ticks[process] = fields[0]
                elif kind == "put":
                    self._put_worker(*fields)
                elif kind == "remove":
                    self.store.remove(*fields)
                else:
                    self._note_worker(kind, fields)
                    if kind == "crash" and fields[2]:
                        self._restart_crashed(fields[1])
                    self.checker.add(kind, *fields)
        raise RuntimeError("a worker host has ended")

    def _note_worker(self, kind, fields):
        if kind == "up":
            self.checker.machines[fields[2]]["worker"] = fields[1]
        elif kind == "gone":
            for machine in self.checker.machines.values():
                if machine["worker"] == fields[1]:
                    machine["worker"] = ""

    def _put_worker(self, key, value):
        self.store.put(key, value)
        worker = key.split("/")[1]
        if worker not in self.checker.draining and (
                json.loads(base64.b64decode(value))["state"] == "draining"):
            self.checker.draining[worker] = time.monotonic()

    def _note_lag(self, scope, before, now):
        """Notes the time for which a stand-in did not answer."""
        if now - before > LAG_SECONDS:
            self.checker.lags.append((now, now - before))
        if now - before > LONG_LAG_SECONDS:
            self.checker.disturb(scope, before)[2] = now

    async def _tick(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(TICK_SECONDS)
            now = time.monotonic()
            self._note_lag(CORE, last, now)
            last = now
            watermark = min(self._ticks.values())
            self.checker.advance(watermark)
            self.checker.check_runs(watermark)
            self.restarts.check(watermark)
