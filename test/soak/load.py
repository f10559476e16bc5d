#!/usr/bin/env python3
"""Loads daemons on a simulated platform and reports the CPU time per task."""

import argparse
import asyncio
import random
import shlex
import time

from http_client import call
from daemons import Daemon, make_log_folder
from simulation import Simulation

def make_pools(workers):
    """Returns two pools and a standby pool: (name, workers, is_standby)."""
    return [("a", workers // 2, False), ("b", workers // 2, False),
            ("spare", 4, True)]


def configuration(pools):
    """Returns a configuration with one queue per pool."""
    return {"version": 2, "routes": [
        {"name": "q-" + pool, "host": pool + ".example", "prefix": "/j/",
         "kind": "unsafe", "timeout_ms": 3000, "target_runtime_ms": 600,
         "priority": 0, "service": pool, "max_attempts": 4,
         "slack_factor": 1.6} for pool, _, standby in pools if not standby],
        "services": [{"name": pool, "enforce_capacity": True,
                      **({"standby": True} if standby else {})}
                     for pool, _, standby in pools],
        "limits": {}}


async def main(arguments):
    simulation = Simulation(arguments.seed)
    pools = make_pools(arguments.workers)
    await simulation.start(pools, ["z1", "z2"])
    simulation.write("op/config", configuration(pools))
    folder = make_log_folder()
    daemons = [Daemon(number + 1, "z%d" % (number + 1), arguments.program,
                      folder, {"store": simulation.store_address,
                               "cloud": simulation.cloud_address})
               for number in range(arguments.daemons)]
    await daemons[0].start(shlex.split(arguments.prefix))
    await asyncio.sleep(arguments.settle)
    for daemon in daemons[1:]:
        await daemon.start()
    rng = random.Random(arguments.seed)
    started_at = time.monotonic()
    pending = set()
    accepted = 0
    while time.monotonic() < started_at + arguments.seconds:
        job = "%016x" % rng.getrandbits(64)
        pool = rng.choice("ab")
        spec = {"spec": "x" * 100, "steps": [
            {"count": 8, "cpu": 900, "mem_mb": 256, "estimate_ms": 640}]}
        simulation.jobs[job] = spec
        caller_address = rng.choice(daemons).caller_address
        pending.add(asyncio.ensure_future(
            call(caller_address, "POST", "/j/" + job, pool + ".example", spec)))
        await asyncio.sleep(8 / arguments.tasks)
    responses = await asyncio.gather(*pending)
    accepted = sum(r.status == 200 for r in responses)
    await asyncio.sleep(4)
    done = sum(simulation.is_done(job) for job in simulation.jobs)
    print("%d jobs, %d accepted, %d done, %d starts, %d calls to workers, "
          "store calls %s" % (len(simulation.jobs), accepted, done,
                              simulation.starts, simulation.worker_calls,
                              simulation.store.calls))
    print("broken:", simulation.violations[:5], "logs in", folder)
    for daemon in daemons:
        user, system = daemon.cpu_seconds()
        print("%s: per task %.3f ms user and %.3f ms system CPU time; exit "
              "code %s" % (daemon.name, 1000 * user / simulation.starts,
                           1000 * system / simulation.starts,
                           await daemon.stop(30)))


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--program", default="build/crocusmast-platform")
    parser.add_argument("--prefix", default="", help="command that runs the "
                        "first daemon, such as a profiler")
    parser.add_argument("--daemons", type=int, default=1)
    parser.add_argument("--workers", type=int, default=40)
    parser.add_argument("--tasks", type=float, default=300,
                        help="started tasks per second")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--settle", type=float, default=4)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(main(parser.parse_args()))
