"""Plans and injects faults from outside the processes, from a seed."""

import asyncio
import contextlib
import random
import time

from checker import CORE, stop_of
from http_server import Reply

GRACE_SECONDS = 6.0
LEADER_SHARE = 0.5  # how often an instance fault strikes the leader
LINK_FAULTS = ["delay", "reset", "cut", "cut-in", "cut-out", "silence"]
# Kinds and weights. What the operator, callers or healthy workers do is no
# fault and does not suspend the time bounds.
KINDS = {"kill": 3, "terminate": 3, "pause": 4, "squeeze": 5, "store_link": 4,
         "store_zone": 1, "worker_link": 3, "store_busy": 2, "store_lost": 2,
         "store_late": 2, "store_slow": 1, "store_down": 1, "compact": 3,
         "configure": 3, "cancel_wave": 5, "burst": 5, "worker_crash": 3,
         "worker_drain": 3}
HARD = {"kill", "terminate", "pause", "store_link"}
LONGEST_SECONDS = 5.0


def plan(seed, seconds, kinds):
    """Returns the faults of a seed: (time, kind, seed of its parameters)."""
    rng = random.Random(seed)
    count = rng.randint(4, max(5, int(seconds)))
    times, at = [], 0.0
    for _ in range(count):
        # Half of the faults follow the one before closely.
        at = (at + rng.uniform(0, 1) if times and rng.random() < 0.5
              else rng.uniform(0, seconds - 2))
        times.append(min(at, seconds - 1))
    kinds = rng.choices(kinds, [KINDS[kind] for kind in kinds], k=count)
    return sorted((at, kind, rng.getrandbits(32))
                  for at, kind in zip(times, kinds))


class Injector:
    """Injects the faults of a seed into a deployment."""

    def __init__(self, deployment, seed, seconds, kinds):
        self._deployment = deployment
        self._checker = deployment.checker
        self._plan = plan(seed, seconds, kinds) if kinds else []
        self._seconds = seconds
        self._ends_at = 0.0
        self._struck = set()  # instances with a hard fault
        # Most seeds leave two thirds of the instances alone at any time.
        total = len(deployment.daemons)
        self._max_struck = total if seed % 5 == 0 else max(1, total // 3)
        self.log = []

    @contextlib.contextmanager
    def _disturbance(self, *scopes):
        open_ones = [self._checker.disturb(scope, time.monotonic())
                     for scope in scopes]
        try:
            yield
        finally:
            for disturbance in open_ones:
                disturbance[2] = time.monotonic()

    async def run(self):
        """Injects all faults; returns when the last has ended."""
        started = time.monotonic()
        self._ends_at = started + self._seconds
        running = []
        for at, kind, seed in self._plan:
            await asyncio.sleep(max(0.0, started + at - time.monotonic()))
            running.append(asyncio.ensure_future(
                self._inject(kind, random.Random(seed))))
        await asyncio.gather(*running)

    def _duration(self, rng, longest=LONGEST_SECONDS):
        return min(rng.uniform(0.2, longest),
                   max(0.2, self._ends_at - time.monotonic()))

    def _note(self, kind, text):
        self.log.append("%.3f %s %s" % (time.monotonic(), kind, text))

    async def _inject(self, kind, rng):
        method = getattr(self, "_" + kind)
        if kind not in HARD and kind != "squeeze":
            await method(rng)
            return
        daemons = [d for d in self._deployment.daemons
                   if d.name not in self._struck]
        leader = self._deployment.leader()
        if kind in HARD and len(self._struck) >= self._max_struck or not daemons:
            return
        daemon = (leader if leader in daemons and rng.random() < LEADER_SHARE
                  else rng.choice(daemons))
        self._struck.add(daemon.name)
        try:
            await method(rng, daemon)
        finally:
            self._struck.discard(daemon.name)

    # Instances.

    async def _kill(self, rng, daemon):
        self._note("kill", daemon.name)
        with self._disturbance(daemon.name):
            await self._deployment.kill(daemon)
            await asyncio.sleep(rng.uniform(0.1, 2))
            await self._deployment.start_daemon(daemon)

    async def _terminate(self, rng, daemon):
        self._note("terminate", daemon.name)
        with self._disturbance(stop_of(daemon.name)):
            if not await self._deployment.terminate(daemon, GRACE_SECONDS):
                self._note("terminate", daemon.name + " exceeds its grace")
            await asyncio.sleep(rng.uniform(0.1, 1))
            await self._deployment.start_daemon(daemon)

    async def _pause(self, rng, daemon):
        seconds = self._duration(rng, 4.0)
        self._note("pause", "%s %.1f" % (daemon.name, seconds))
        with self._disturbance(daemon.name):
            self._deployment.govern(daemon, pause_s=seconds)
            await asyncio.sleep(seconds)

    async def _squeeze(self, rng, daemon):
        seconds = self._duration(rng, 8.0)
        share = rng.uniform(0.2, 0.6) * self._deployment.cpu_share
        self._note("squeeze", "%s %.3f %.1f" % (daemon.name, share, seconds))
        with self._disturbance(daemon.name):
            self._deployment.govern(daemon, share=share)
            await asyncio.sleep(seconds)
            self._deployment.govern(daemon, share=self._deployment.cpu_share)

    # Links.

    async def _disturb_links(self, rng, names, scopes, apply):
        how = rng.choice(LINK_FAULTS)
        seconds = 0.1 if how in ("reset", "silence") else self._duration(rng)
        self._note("link", "%s %s %.1f" % (how, names, seconds))
        with self._disturbance(*scopes):
            apply(how, rng.uniform(0.05, 0.8))
            await asyncio.sleep(seconds)
            apply("none", 0.0)

    async def _store_link(self, rng, daemon):
        await self._disturb_links(
            rng, daemon.name, [daemon.name],
            self._deployment.store_links[daemon.name].apply)

    async def _store_zone(self, rng):
        zone = rng.choice(self._deployment.zones)
        names = [d.name for d in self._deployment.daemons if d.zone == zone]

        def apply(how, delay_s):
            for name in names:
                self._deployment.store_links[name].apply(how, delay_s)
        await self._disturb_links(rng, zone, names, apply)

    async def _worker_link(self, rng):
        zone = rng.choice(self._deployment.zones)

        def apply(how, delay_s):
            self._deployment.tell(zone, do="link", how=how, delay_s=delay_s)
        await self._disturb_links(rng, "workers of " + zone,
                                  ["workers " + zone], apply)

    # The store.

    async def _disturb_store(self, rng, scopes, fault):
        seconds = self._duration(rng)
        self._note("store", "%s %.1f" % (fault.__name__, seconds))
        with self._disturbance(*scopes):
            self._deployment.store_faults.append(fault)
            await asyncio.sleep(seconds)
            self._deployment.store_faults.remove(fault)

    async def _store_busy(self, rng):
        daemons = self._deployment.daemons
        names = [d.name for d in rng.sample(daemons, max(1, len(daemons) // 3))]

        async def busy(instance, request, dispatch):
            if instance in names:
                return Reply(rng.choice([429, 503]))
            return await dispatch(request)
        await self._disturb_store(rng, names, busy)

    async def _store_down(self, rng):
        async def down(instance, request, dispatch):
            return Reply(503)
        await self._disturb_store(rng, [CORE], down)

    async def _store_slow(self, rng):
        async def slow(instance, request, dispatch):
            await asyncio.sleep(rng.uniform(0.05, 1.0))
            return await dispatch(request)
        await self._disturb_store(rng, [CORE], slow)

    async def _store_lost(self, rng):
        async def lost(instance, request, dispatch):
            reply = await dispatch(request)
            if rng.random() < 0.3:
                await asyncio.sleep(30)  # executed; the answer never comes
            return reply
        await self._disturb_store(rng, [CORE], lost)

    async def _store_late(self, rng):
        async def execute(request, dispatch):
            await asyncio.sleep(rng.uniform(0.5, 4))
            with contextlib.suppress(Reply):
                await dispatch(request)

        async def late(instance, request, dispatch):
            if request.method == "GET" or rng.random() > 0.2:
                return await dispatch(request)
            asyncio.ensure_future(execute(request, dispatch))
            await asyncio.sleep(30)
            return None
        await self._disturb_store(rng, [CORE], late)
        with self._disturbance(CORE):
            await asyncio.sleep(4.0)  # until the last late call is executed

    async def _compact(self, rng):
        for _ in range(rng.randint(1, 3)):
            self._note("compact", "")
            self._deployment.store.compact()
            await asyncio.sleep(rng.uniform(0.1, 1))

    # The operator, callers and workers.

    async def _configure(self, rng):
        for _ in range(rng.randint(2, 6)):
            self._deployment.configure(rng)
            self._note("configure", "")
            await asyncio.sleep(rng.uniform(0.05, 0.8))

    async def _burst(self, rng):
        self._note("burst", "")
        await self._deployment.load.burst(rng)

    async def _cancel_wave(self, rng):
        self._note("cancel_wave", "")
        await self._deployment.load.cancel_wave(rng)

    async def _worker_crash(self, rng):
        for machine in rng.sample(list(self._checker.machines), rng.randint(1, 3)):
            self._note("worker_crash", machine)
            asyncio.ensure_future(self._deployment.replace_worker(
                machine, "crash", rng.uniform(0.5, 3)))

    async def _worker_drain(self, rng):
        for machine in rng.sample(list(self._checker.machines), rng.randint(1, 3)):
            self._note("worker_drain", machine)
            self._deployment.tell_machine(machine, do="drain")
            asyncio.get_running_loop().call_later(
                rng.uniform(4, 8), lambda m=machine: asyncio.ensure_future(
                    self._deployment.replace_worker(m, "leave", 1.0)))
