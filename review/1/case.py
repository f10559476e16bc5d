"""The leader is killed while a job of many small tasks runs."""

import asyncio
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from deployment import main  # noqa: E402

ROUNDS = 4
TASKS = 1500      # of 0.01 cores and 16 MB each, for 1 to 3 s
KILL_AFTER_S = 1.2
DOWN_S = 3.0      # SYSTEM: node_kill, for_s 3.0 and 3.5


async def play(deployment, has_trouble):
    rng = random.Random(4)
    deployment.seconds_of = lambda task, step: rng.uniform(1.0, 3.0)
    for number in range(ROUNDS):
        job = "%016x" % (0xc0000000 + number)
        await deployment.submit(job, [{
            "count": TASKS, "cpu": 10, "mem_mb": 16, "estimate_ms": 2000}])
        await asyncio.sleep(KILL_AFTER_S)
        leader = deployment.leader
        if has_trouble:
            deployment.record.write("%s is killed" % leader.name)
            await leader.kill()
        await asyncio.sleep(DOWN_S)
        if has_trouble:
            await leader.start()
            deployment.record.write("%s is started again" % leader.name)
        await asyncio.sleep(9.0)
        await deployment.state(job)
    deployment.record.write("%d starts, %d of them after an end done" % (
        deployment.runs.starts, deployment.runs.again))


if __name__ == "__main__":
    sys.exit(main(play, cpu=16000))
