"""A pool is left without usable workers after moves that were rejected."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import Deployment2, Reply, run_case  # noqa: E402

CORES = 16
POOLS = {"a": ("a", 3), "g": ("g", 4), "spare": ("a", 1)}  # kind, machines
MOVE_SECONDS = 1.5
STEP_MS = 1000
CALM_SECONDS, BURST_SECONDS = 4, 6
CALM_JOBS, BURST_JOBS = 9, 20  # a second
FINISH_SECONDS = 14  # after the end of the traffic
IDLE_SECONDS = 3


class MovingDeployment(Deployment2):
    """A deployment whose machine API moves machines."""

    def __init__(self, folder):
        super().__init__(folder)
        self._moving = set()

    async def start_machines(self):
        """Starts the workers; those of the spare pool are off."""
        for pool, (kind, count) in POOLS.items():
            for _ in range(count):
                address = await self.add_worker(pool, CORES)
                address.machine.labels[0] = kind
                if pool == "spare":
                    address.leave()

    async def _handle_machines(self, request):
        if request.path.endswith("/machines"):
            return Reply(200, {"next_token": None, "machines": [
                {"machine_id": a.machine.id, "pool": a.machine.pool,
                 "zone": a.machine.zone, "labels": a.machine.labels,
                 "state": "moving" if a in self._moving else "up",
                 "capacity": a.machine.capacity,
                 "id": a.worker.id if a.worker else ""}
                for a in self.addresses]})
        if not request.path.endswith("/machine-move"):
            return Reply(503)
        command = request.json()
        address = next(a for a in self.addresses
                       if a.machine.id == command["machine_id"])
        status = self._move(address, command["pool"])
        self.note("move of %s from %s to %s: %d" % (
            address.machine.id, address.machine.pool, command["pool"], status))
        if status == 200 and address.machine.pool != command["pool"]:
            self._moving.add(address)
            if address.worker:
                address.leave()
            address.machine.pool = command["pool"]
            asyncio.ensure_future(self._arrive(address))
        return Reply(status, {"reason": "busy"} if status == 409 else {})

    def _move(self, address, pool):
        kind, _ = POOLS[pool]
        if kind != address.machine.labels[0]:
            return 400  # the pool is a pool of other machines
        if address.machine.pool == pool:
            return 200
        return 409 if address in self._moving else 200

    async def _arrive(self, address):
        await asyncio.sleep(MOVE_SECONDS)
        self._moving.discard(address)
        if address.machine.pool != "spare":
            await address.start_next(100)

    def is_idle(self, pool):
        """Returns whether nothing runs on the workers of a pool."""
        workers = [a.worker for a in self.addresses
                   if a.machine.pool == pool and a.worker]
        return len(workers) > 1 and not any(w.is_busy() for w in workers)


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q-a", "a"), ("q-g", "g")], ("a", "g", "spare"),
                         ("spare",))
    await deployment.start_machines()
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    daemon = deployment.daemons[0]
    burst = BURST_JOBS if trouble else CALM_JOBS
    for rate, seconds in (CALM_JOBS, CALM_SECONDS), (burst, BURST_SECONDS):
        for _ in range(rate * seconds):
            await deployment.submit(daemon, "q-a", [
                {"count": 1, "cpu": 4000, "mem_mb": 64,
                 "estimate_ms": STEP_MS, "ms": STEP_MS}])
            await asyncio.sleep(1 / rate)
    job = await deployment.submit(daemon, "q-g", [
        {"count": 1, "cpu": 4000, "mem_mb": 64, "estimate_ms": STEP_MS,
         "ms": STEP_MS}])
    task = job + ".0.0.0"
    await asyncio.sleep(FINISH_SECONDS)
    is_idle = deployment.is_idle("g")
    for _ in range(IDLE_SECONDS * 10):
        await asyncio.sleep(0.1)
        is_idle = is_idle and deployment.is_idle("g")
    await deployment.state(daemon, "q-g", job)
    if task not in deployment.tasks and is_idle:
        deployment.violation(
            "LOST", "%s has not been started %d s after the end of the "
            "traffic, though all workers of its pool are idle" % (
                task, FINISH_SECONDS + IDLE_SECONDS))


sys.exit(run_case(str(FOLDER), scenario, MovingDeployment))
