"""Simulates the platform's machine API."""

import asyncio

from http_server import Reply
from workers import Worker

MOVE_SECONDS = 1.5
MAINTENANCE_SECONDS = 2.0


class Machine:
    """A machine; at most one worker runs on it."""

    def __init__(self, number, pool, zone, cores):
        self.id = "m-%04x" % number
        self.pool = pool
        self.zone = zone
        self.state = "up"
        self.capacity = {"cpu": cores * 1000, "mem_mb": 32768, "gpu": 0}
        self.labels = ["a", "r%s-%d" % (zone, number // 4)]
        self.worker = None
        self.enforces_capacity = True
        self.clock_rate = 1.0  # of the worker's clock
        self.stop_seconds = 0.02


class MachineService:
    """The machines, with their pools and their maintenance."""

    def __init__(self, simulation):
        self._simulation = simulation
        self.all = {}
        self.waves = {}  # wave number -> request
        # wave number -> machines whose maintenance has started
        self.maintained = {}
        self.moves = 0
        self._last_worker_number = 0

    def add(self, pool, zone, cores=16):
        """Adds a machine without a worker."""
        machine = Machine(len(self.all) + 1, pool, zone, cores)
        self.all[machine.id] = machine
        return machine

    async def start_worker(self, machine):
        """Starts a new worker on a machine."""
        self._last_worker_number += 1
        machine.state = "up"
        machine.worker = Worker(self._simulation, machine,
                                self._last_worker_number)
        await machine.worker.start()

    async def handle(self, request):
        """Handles one HTTP request."""
        operation = request.path.split("/")[2]
        if operation == "machines":
            return Reply(200, {"machines": [self._describe(m)
                                            for m in self.all.values()],
                               "next_token": None})
        command = request.json()
        machine = self.all.get(command["machine_id"])
        if machine is None:
            return Reply(400)
        if operation == "machine-move":
            return self._move(machine, command["pool"])
        return self._take_down(machine, command["wave"])

    @staticmethod
    def _describe(machine):
        return {"machine_id": machine.id, "pool": machine.pool,
                "state": machine.state, "zone": machine.zone,
                "labels": machine.labels, "capacity": machine.capacity,
                "id": machine.worker.id if machine.worker else ""}

    def _move(self, machine, pool):
        if machine.pool == pool and machine.state in ("up", "moving"):
            return Reply(200, {})
        if machine.state != "up":
            return Reply(409, {"reason": "busy"})
        self.moves += 1
        self._take_offline(machine, "moving", MOVE_SECONDS)
        machine.pool = pool
        return Reply(200, {})

    def _take_down(self, machine, wave):
        request = self.waves.get(wave)
        if request is None or machine.id not in request["machines"]:
            return Reply(409, {"reason": "wave"})
        started = self.maintained[wave]
        if machine.id in started:
            return Reply(200, {})
        if machine.state != "up":
            return Reply(409, {"reason": "busy"})
        down_count = sum(1 for m in started if self.all[m].state == "upkeep")
        if down_count >= request["cap"]:
            self._simulation.report_violation(
                "a wave must not exceed its limit of machines that are down",
                machine.id)
        started.add(machine.id)
        self._take_offline(machine, "upkeep", MAINTENANCE_SECONDS)
        return Reply(200, {})

    def _take_offline(self, machine, state, seconds):
        machine.state = state
        if machine.worker:
            machine.worker.deregister()
            machine.worker = None

        async def restore():
            await asyncio.sleep(seconds)
            await self.start_worker(machine)

        asyncio.ensure_future(restore())
