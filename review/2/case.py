"""Workers are cut off, crash behind the cut and start again under their id."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import Worker, main  # noqa: E402

ROUNDS = 14
CUT_S = 3.0       # SYSTEM: node_cut of workers, at most 5.5 s
REBORN_S = 1.0    # from the cut to the start of the worker's next life
CALM_S = 2.7
BURST_S = 1.0
BURST_JOBS = 16


async def load(deployment):
    """Submits short jobs in bursts."""
    number = 0
    while True:
        for _ in range(BURST_JOBS):
            number += 1
            job = "%016x" % (0xa0000000 + number)
            asyncio.ensure_future(deployment.submit(job, [
                {"count": 4, "cpu": 1000, "mem_mb": 64, "estimate_ms": 600}]))
        await asyncio.sleep(BURST_S)


async def play(deployment, has_trouble):
    rng = random.Random(1)
    loader = asyncio.ensure_future(load(deployment))
    await asyncio.sleep(4.0)
    for _ in range(ROUNDS):
        # One of nine workers, 0.11 of the service; at most 0.17 may be cut.
        machine = rng.choice(deployment.machines)
        if has_trouble:
            deployment.record.write("%s is cut off and crashes" %
                                    machine.worker.id)
            machine.cut()
            machine.worker.crash()
            await asyncio.sleep(REBORN_S)
            machine.worker = Worker(machine, machine.worker.id)
            deployment.record.write("%s starts again, born %d" % (
                machine.worker.id, machine.worker.born))
            await asyncio.sleep(CUT_S - REBORN_S)
            machine.heal()
            deployment.record.write("%s is reached again" % machine.worker.id)
        else:
            await asyncio.sleep(CUT_S)
        await asyncio.sleep(CALM_S)
    loader.cancel()
    deployment.record.write("%d starts, %d of them beside another run" % (
        deployment.runs.starts, deployment.runs.twice))


if __name__ == "__main__":
    sys.exit(main(play))
