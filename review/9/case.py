"""Two waves name the same machines; one is said to be done too soon."""

import asyncio
import base64
import json
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from deployment_2 import Deployment2, Reply, run_case  # noqa: E402

MACHINES = 8
MAINTENANCE_SECONDS = 2.0
DEADLINE_SECONDS = 26
LIMIT_SECONDS = 60
WAVES = {1: [0, 1, 2, 3], 2: [2, 3, 4, 5]}  # wave -> machines


class MaintainedDeployment(Deployment2):
    """A deployment whose machine API has maintenance."""

    def __init__(self, folder):
        super().__init__(folder)
        self._down = set()
        self.begun = {wave: set() for wave in WAVES}

    async def _handle_machines(self, request):
        if request.path.endswith("/machines"):
            return Reply(200, {"next_token": None, "machines": [
                {"machine_id": a.machine.id, "pool": a.machine.pool,
                 "zone": a.machine.zone, "labels": a.machine.labels,
                 "state": "upkeep" if a in self._down else "up",
                 "capacity": a.machine.capacity,
                 "id": a.worker.id if a.worker else ""}
                for a in self.addresses]})
        if not request.path.endswith("/machine-upkeep"):
            return Reply(503)
        command = request.json()
        wave = command["wave"]
        address = next(a for a in self.addresses
                       if a.machine.id == command["machine_id"])
        if self.addresses.index(address) not in WAVES.get(wave, ()):
            return Reply(409, {"reason": "wave"})
        if address in self.begun[wave]:
            return Reply(200, {})
        if address in self._down:
            return Reply(409, {"reason": "busy"})
        self.note("upkeep of %s for wave %d" % (address.machine.id, wave))
        self.begun[wave].add(address)
        self._down.add(address)
        address.leave()
        asyncio.ensure_future(self._return(address))
        return Reply(200, {})

    async def _return(self, address):
        await asyncio.sleep(MAINTENANCE_SECONDS)
        self._down.discard(address)
        await address.start_next(100)

    def request_wave(self, wave):
        """Writes a wave as the operator does."""
        self.note("wave %d" % wave)
        self.store.put("op/wave/%d" % wave, base64.b64encode(json.dumps({
            "wave": wave, "cap": 1, "deadline_s": DEADLINE_SECONDS,
            "machines": [self.addresses[i].machine.id for i in WAVES[wave]],
        }).encode()).decode())

    def is_done(self, wave):
        """Returns whether a wave is said to be done; checks it if so."""
        value = self.store.value("status/wave/%d" % wave)
        state = json.loads(base64.b64decode(value))["state"] if value else ""
        if state != "succeeded":
            return False
        self.note("wave %d is said to be succeeded" % wave)
        left = [a.machine.id for i, a in enumerate(self.addresses)
                if i in WAVES[wave] and a not in self.begun[wave]]
        if left:
            self.violation("MIXED", "wave %d is said to be succeeded; these "
                           "have not begun their upkeep: %s" % (
                               wave, " ".join(left)))
        return True


async def scenario(deployment, trouble):
    """Runs the case."""
    deployment.configure([("q", "a")])
    for _ in range(MACHINES):
        await deployment.add_worker()
    await deployment.start(1)
    await deployment.wait_leader()
    await asyncio.sleep(3)
    open_waves = set(WAVES)
    deployment.request_wave(1)
    if trouble:
        deployment.request_wave(2)
    until = deployment.clock() + LIMIT_SECONDS
    while open_waves and deployment.clock() < until:
        await asyncio.sleep(0.1)
        for wave in sorted(open_waves):
            if deployment.is_done(wave):
                open_waves.discard(wave)
                if wave == 1 and not trouble:
                    # All machines are back before the second wave comes.
                    await asyncio.sleep(2 * MAINTENANCE_SECONDS)
                    deployment.request_wave(2)
    if open_waves and not deployment.violations:
        raise RuntimeError("waves are not done: %r" % open_waves)


sys.exit(run_case(str(FOLDER), scenario, MaintainedDeployment))
