"""Generates the jobs, reads and cancels of a soak."""

import asyncio
import json
import time

from checker import Job

BURST_JOBS = (4, 10)
BURST_TASKS = (60, 160)   # in a wide step
LASTING_TASKS = (3, 8)
LASTING_MS = (7000, 10000)
LASTING_CPU = 250
READS_PER_S = 15
CANCELLED_SHARE = 0.15
BURST_CANCELLED_SHARE = 0.4
MAX_PADDING_BYTES = 3000  # of a payload, which has up to 4,000 bytes
DUPLICATE_SHARE = 0.05    # submissions that arrive again after the answer
LABEL = "y"               # the label that some steps require


class Traffic:
    """The load of all callers, from a seed."""

    def __init__(self, deployment, callers, rng, tasks_per_s):
        self._deployment = deployment
        self._callers = callers
        self._random = rng
        self._tasks_per_s = tasks_per_s
        self._pending = set()

    def _spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self._pending.add(task)
        task.add_done_callback(self._pending.discard)
        task.add_done_callback(self._deployment.report_failure)

    def _step(self, rng, count, milliseconds, **fields):
        return {"count": count, "cpu": rng.choice([250, 500, 1000]),
                "mem_mb": 64, "estimate_ms": milliseconds, **fields}

    def _steps(self, rng):
        kind = rng.random()
        if kind < 0.04:
            return [self._step(rng, rng.randint(1, 3), 0, long_running=True)]
        if kind < 0.12:
            return [self._step(rng, rng.randint(1, 4), rng.randint(2500, 4500),
                               checkpointing=True)]
        steps = [self._step(rng, rng.randint(1, 8), rng.randint(100, 700))]
        if kind < 0.3:
            steps[0]["required_label"] = LABEL
        elif kind < 0.4:
            steps[0]["max_per_server"] = rng.randint(1, 3)
        while rng.random() < 0.35 and len(steps) < 4:
            steps.append(self._step(rng, rng.randint(1, 12), rng.randint(
                100, 500), after=[len(steps) - 1]))
        return steps

    def _make_job(self, rng, steps, deadly=()):
        queue, pool = rng.choice(self._deployment.queues())
        spec = json.dumps({"steps": [{
            "cpu": step["cpu"], "ms": step["estimate_ms"],
            "ck": step.get("checkpointing", False), "fail": rng.choice([0, 0.03]),
            **({"long_running": True} if step.get("long_running") else {}),
            **({"deadly": deadly} if deadly and not number else {})}
            for number, step in enumerate(steps)], "pad": "x" * rng.randint(0, MAX_PADDING_BYTES)})
        return Job("%016x" % rng.getrandbits(64), queue, pool, spec, steps,
                   deadly)

    async def _handle(self, job, cancel_after):
        await self._callers.submit(job)
        if cancel_after is not None:
            await asyncio.sleep(cancel_after)
            await self._callers.cancel(job)
        elif self._random.random() < DUPLICATE_SHARE:
            await asyncio.sleep(self._random.uniform(0.5, 5))
            await self._callers.submit(job)

    def add_job(self, steps=None, rng=None, cancelled_share=CANCELLED_SHARE):
        """Submits a job, which may be cancelled later; returns its tasks."""
        rng = rng or self._random
        job = self._make_job(rng, steps or self._steps(rng))
        is_cancelled = rng.random() < cancelled_share or job.is_long_running
        self._spawn(self._handle(
            job, rng.uniform(0.0, 4.0) if is_cancelled else None))
        return sum(step["count"] for step in job.steps)

    def add_long_running(self, rng):
        """Submits a job whose tasks run until the load ends."""
        self._spawn(self._handle(self._make_job(rng, [self._step(
            rng, rng.randint(1, 3), 0, long_running=True)]), None))

    def add_lasting(self, rng):
        """Submits a job whose tasks take longer than a lease of a worker."""
        self._spawn(self._handle(self._make_job(rng, [self._step(
            rng, rng.randint(*LASTING_TASKS), rng.randint(*LASTING_MS),
            cpu=LASTING_CPU)]), None))

    def add_deadly(self, rng):
        """Submits a job with a task that crashes each worker that starts it."""
        count = rng.randint(1, 8)
        step = self._step(rng, count, rng.randint(100, 700))
        self._spawn(self._handle(self._make_job(
            rng, [step], [rng.randrange(count)]), None))

    async def steady(self, seconds):
        """Submits jobs at a steady rate of tasks and reads their states."""
        started, tasks, reads = time.monotonic(), 0, 0
        while (elapsed := time.monotonic() - started) < seconds:
            while tasks < elapsed * self._tasks_per_s:
                tasks += self.add_job()
            while reads < elapsed * READS_PER_S:
                reads += 1
                jobs = self._deployment.checker.jobs
                if jobs:
                    recent = list(jobs.values())[-200:]
                    self._spawn(self._callers.read(self._random.choice(recent)))
            await asyncio.sleep(0.02)

    async def burst(self, rng):
        """Submits several jobs with wide steps within a second."""
        for _ in range(rng.randint(*BURST_JOBS)):
            self.add_job([self._step(rng, rng.randint(*BURST_TASKS),
                                     rng.randint(100, 500))], rng,
                         BURST_CANCELLED_SHARE)
            await asyncio.sleep(rng.uniform(0, 0.15))

    async def cancel_wave(self, rng):
        """Cancels many unfinished jobs within a second."""
        jobs = [job for job in self._deployment.checker.jobs.values()
                if job.accepted_at and not job.cancel_sent_at and
                job.shown in (None, "queued", "running")][-60:]
        for job in rng.sample(jobs, int(len(jobs) * rng.uniform(0.4, 1))):
            self._spawn(self._callers.cancel(job))
            await asyncio.sleep(rng.uniform(0, 1 / len(jobs)))

    async def drain(self, seconds):
        """Waits for open requests, then until all jobs are seen to end."""
        end = time.monotonic() + seconds
        for job in list(self._deployment.checker.jobs.values()):
            if job.is_long_running and not job.cancel_sent_at:
                self._spawn(self._callers.cancel(job))
        while time.monotonic() < end:
            jobs = [job for job in self._deployment.checker.jobs.values()
                    if job.accepted_at and not job.is_long_running and
                    job.shown not in ("succeeded", "failed", "cancelled")]
            if not jobs and not self._pending:
                break
            self._random.shuffle(jobs)
            await asyncio.gather(*map(self._callers.read, jobs[:50]))
            await asyncio.sleep(0.2)
        for task in self._pending:
            task.cancel()
