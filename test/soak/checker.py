"""Checks the promises to callers, workers and the operator during a soak."""

import collections
import heapq
import itertools

from capacity_check import GRACE, CapacityCheck
from crash_check import CrashCheck

# Bounds in seconds, from the settings of a standard deployment.
CONTACT = 3.0
CANCEL = 3.0
KILL_GRACE = 0.4
VISIBLE = 3.0
DRAIN = 2.0
ACK = 4.0
CONFIG_APPLY = 2.0
LOSS_SLACK = 0.2
DONE_SLACK = 1.0        # starts after an end that is known
IDLE = 3.0              # how long a runnable job may have nothing running
MAX_ATTEMPTS = 4
MIN_LATE_CANCELS = 3    # and a tenth of them, before they break a promise
CORE = "core"
PLANNED_STOP = "stop of "  # begins the scope of a planned stop


def stop_of(instance):
    """Returns the scope of a planned stop of an instance."""
    return PLANNED_STOP + instance


class Job:
    """A job as its submitter knows it."""

    def __init__(self, job_id, queue, pool, spec, steps, deadly=()):
        self.id = job_id
        self.queue = queue
        self.pool = pool
        self.spec = spec
        self.steps = steps
        self.tasks = ["%s.0.%d.%d" % (job_id, number, index)
                      for number, step in enumerate(steps)
                      for index in range(step["count"])]
        self.deadly = {self.tasks[index] for index in deadly}  # crash workers
        self.accepted_at = None
        self.cancel_sent_at = None
        self.cancel_answered_at = None
        self.cancelled_at = None
        self.shown = None
        self.succeeded_at = None  # when it was shown as succeeded
        self.rejections = 0
        self.open_attempts = 0    # submissions without an answer
        self.runs = {}            # (task, worker, attempt) -> start time
        self.reported = set()     # runs that were reported to run on
        self.last_active = 0.0    # when a run last ended
        self.ended_at = {}        # task -> when its last run ended
        self.started = False

    @property
    def is_long_running(self):
        """Returns whether the job ends only by being cancelled."""
        return any(step.get("long_running") for step in self.steps)


class Checker:
    """Handles the events of all stand-ins in the order of their times."""

    def __init__(self):
        self.violations = []
        self.counts = collections.Counter()
        self.jobs = {}
        self.machines = {}      # machine -> its description
        self.leaders = {}       # store revision of a claim -> instance
        self.draining = {}      # worker -> when the store accepted the report
        self.disturbances = []  # [scope, start, end or None]
        self.lags = []          # (end, seconds) in which a stand-in was late
        self._workers = {}      # worker -> machine
        self.up_at = {}         # worker -> when it started
        self._used = collections.Counter()  # worker -> thousandths of a core
        self._ends = collections.defaultdict(list)  # task -> done ends
        self._unacknowledged = collections.defaultdict(dict)
        self._failures = collections.Counter()  # task -> failed ends noted
        self._acknowledged = {}
        self.crashes = CrashCheck(self.report)
        self.capacities = CapacityCheck()
        self.latest_start = 0.0  # the longest time from a cancel to a start
        self._queue = []
        self._sequence = itertools.count()

    # Disturbances.

    def disturb(self, scope, start):
        """Begins a disturbance of an instance, a zone's workers or the core."""
        disturbance = [scope, start, None]
        self.disturbances.append(disturbance)
        return disturbance

    def _overlaps(self, start, end, scopes=None):
        return any(first <= end and (last is None or last >= start)
                   for scope, first, last in self.disturbances
                   if scopes is None or scope in scopes)

    def in_touch(self, instance, time, zone=None):
        """Returns whether time bounds hold for an instance at a time."""
        return not self._overlaps(time - CONTACT, time,
                                  (instance, stop_of(instance), CORE,
                                   "workers " + str(zone)))

    def is_calm(self, start, end):
        """Returns whether nothing was disturbed in a span."""
        return not self._overlaps(start, end)

    def is_undisturbed(self, start, end):
        """Returns whether nothing but planned stops disturbed a span."""
        return not self._overlaps(start, end, {
            scope for scope, _, _ in self.disturbances
            if not scope.startswith(PLANNED_STOP)})

    def lag(self, start, end):
        """Returns how long stand-ins were late in a span, in seconds."""
        return sum(seconds for at, seconds in self.lags
                   if start <= at <= end + seconds)

    def report(self, rule, time, text):
        """Records a broken promise."""
        self.violations.append("%s at %.3f: %s" % (rule, time, text))

    def free_cpu(self, worker):
        """Returns the free thousandths of a core of a worker."""
        machine = self.machines[self._workers[worker]]
        return self.capacities.current(machine) - self._used[worker]

    def machines_of_long_running_tasks(self):
        """Returns the machines that run long-running tasks."""
        return {self._workers[worker] for job in self.jobs.values()
                if job.is_long_running for _, worker, _ in job.runs}

    # Events.

    def add(self, kind, time, *fields):
        """Queues an event until all events before it have arrived."""
        heapq.heappush(self._queue, (time, next(self._sequence), kind, fields))

    def advance(self, watermark):
        """Handles the events up to a time."""
        while self._queue and self._queue[0][0] <= watermark:
            time, _, kind, fields = heapq.heappop(self._queue)
            self.counts[kind] += 1
            getattr(self, "_on_" + kind)(time, *fields)

    def _on_up(self, time, worker, machine):
        self._workers[worker] = machine
        self.up_at[worker] = time
        self.draining.pop(worker, None)
        self.crashes.on_up(worker)

    def _on_capacity(self, time, machine, before, cpu):
        self.capacities.on_change(time, machine, before, cpu)

    def _on_crash(self, time, worker, task):
        self.crashes.on_crash(worker)

    def _on_gone(self, time, worker):
        self._unacknowledged.pop(worker, None)

    def _on_lapse(self, time, worker):
        for end in self._unacknowledged[worker].values():
            end["void"] = True

    def _on_start(self, time, task, worker, attempt, token, spec, checkpoint):
        job = self.jobs.get(task.split(".")[0])
        if job is None or task not in job.tasks or job.spec != spec:
            self.report("UNASKED", time, "%s was never submitted so" % task)
            return
        if checkpoint and not checkpoint.startswith(task + "/"):
            self.report("UNASKED", time, "%s with %s" % (task, checkpoint))
        instance = self._leader_of(token)
        machine = self.machines[self._workers[worker]]
        where = "%s on %s by %s" % (task, worker, instance)
        timely = self.in_touch(instance, time, machine["zone"])
        job.started = True
        if job.cancelled_at:
            self.latest_start = max(self.latest_start, time - job.cancelled_at)
        if timely:
            self._check_times(time, job, worker, where)
        others = [run for run in job.runs if run[0] == task]
        if others:
            self.report("TWICE", time, "%s beside %s" % (where, others))
        if task in self._acknowledged:
            self.report("TWICE", time, "%s done at %.3f" % (
                where, self._acknowledged[task]))
        if self._failures[task] >= MAX_ATTEMPTS:
            self.report("BUDGET", time, where)
        self.crashes.on_start(time, job, task, where, timely)
        for end in self._ends[task]:
            end["restarted"] = where
        self._check_place(time, job, task, worker, machine, where)
        job.runs[(task, worker, attempt)] = time
        self._used[worker] += job.steps[int(task.split(".")[2])]["cpu"]
        limit = self.capacities.limit(machine, time, timely,
                                      self.lag(time - GRACE, time))
        if not machine["enforces"] and self._used[worker] > limit:
            self.report("LIMIT", time, "%s: %d of %d thousandths of a core "
                        "beside %s" % (where, self._used[worker], limit, [
                    run[0] for other in self.jobs.values()
                    for run in other.runs if run[1] == worker]))

    def _leader_of(self, token):
        """Returns the leader that gave an order.

        Its claim is the last one up to the token: a leader's commits, whose
        revisions it uses as tokens too, come before its successor's claim.
        """
        claims = [claim for claim in self.leaders if claim <= token]
        return self.leaders[max(claims)] if claims else None

    def _check_times(self, time, job, worker, where):
        if job.cancelled_at and time > job.cancelled_at + CANCEL + self.lag(
                job.cancelled_at, time):
            self.report("UNASKED", time, "%s starts %.2f s after the cancel" % (
                where, time - job.cancelled_at))
        if job.succeeded_at and time > job.succeeded_at + DONE_SLACK:
            self.report("TWICE", time, where + " after it succeeded")
        drained_at = self.draining.get(worker, time)
        if time > drained_at + DRAIN + self.lag(drained_at, time):
            self.report("DRAIN", time, where)

    def _check_place(self, time, job, task, worker, machine, where):
        number = int(task.split(".")[2])
        step = job.steps[number]
        for earlier in step.get("after", []):
            for index in range(job.steps[earlier]["count"]):
                if not self._ends["%s.0.%d.%d" % (job.id, earlier, index)]:
                    self.report("ORDER", time, where)
                    return
        beside = sum(run[1] == worker and run[0].split(".")[2] == str(number)
                     for run in job.runs)
        if (machine["pool"] != job.pool or
                step.get("required_label", machine["labels"][0])
                not in machine["labels"] or
                beside >= step.get("max_per_server", beside + 1)):
            self.report("ROUTE", time, where)

    def _on_end(self, time, task, worker, attempt, outcome):
        job = self.jobs.get(task.split(".")[0])
        if job is None or job.runs.pop((task, worker, attempt), None) is None:
            return
        job.last_active = job.ended_at[task] = time
        self._used[worker] -= job.steps[int(task.split(".")[2])]["cpu"]
        end = {"at": time, "void": False, "restarted": None, "how": outcome}
        if outcome == "done":
            self._ends[task].append(end)
        if outcome == "gone":
            self.crashes.on_gone(job, task, worker)
        else:
            self._unacknowledged[worker][(task, attempt)] = end

    def _on_ack(self, time, task, worker, attempt, outcome):
        end = self._unacknowledged[worker].pop((task, attempt), None)
        if end is None or end["void"]:
            return
        if outcome == "failed":
            self._failures[task] += 1
        if outcome == "done":
            self._acknowledged.setdefault(task, time)
            if end["restarted"]:
                self.report("TWICE", time, "%s; its end of %.3f is noted" % (
                    end["restarted"], end["at"]))

    def _on_shown(self, time, job, state, sent_at, instance):
        if state == "unknown":
            if (job.accepted_at and sent_at > job.accepted_at + VISIBLE and
                    self.in_touch(instance, time)):
                self.report("LOST", time, "%s is unknown at %s" % (
                    job.id, instance))
            return
        job.shown = state
        if state == "succeeded":
            job.succeeded_at = job.succeeded_at or time
            missing = [task for task in job.tasks if not self._ends[task]]
            if missing:
                self.report("MIXED", time, "%s at %s without %s" % (
                    job.id, instance, missing[:3]))
        elif state == "cancelled" and not job.cancel_sent_at or (
                state == "failed" and not self.crashes.may_fail(job) and
                not any(self._failed_runs(task) for task in job.tasks)):
            self.report("LOST", time, "%s is %s without cause" % (job.id, state))

    def _failed_runs(self, task):
        unnoted = sum(end["how"] == "failed"
                      for ends in self._unacknowledged.values()
                      for (other, _), end in ends.items() if other == task)
        return self._failures[task] + unnoted >= MAX_ATTEMPTS

    def _on_broken_off(self, time, sent_at, instance, terminated_at, text):
        """Handles a connection that ended before its complete answer."""
        if (terminated_at and time - sent_at > LOSS_SLACK and
                not self._overlaps(sent_at - CONTACT, time,
                                   (instance, CORE))):
            self.report("LOST", time, "%s broken off by the stop of %s" % (
                text, instance))

    def _on_missing_route(self, time, sent_at, instance, added_at, queue):
        if sent_at > added_at + CONFIG_APPLY and self.in_touch(instance, time):
            self.report("CONFIG", time, "%s has no %s" % (instance, queue))

    def check_runs(self, now):
        """Checks that runs of cancelled jobs end in a calm span."""
        for job in self.jobs.values():
            if job.cancelled_at is None or not job.runs:
                continue
            for run, started in job.runs.items():
                since = max(job.cancelled_at, started + CONTACT
                            if started > job.cancelled_at else 0.0)
                end = now - CANCEL - KILL_GRACE
                end -= self.lag(end, now)
                if (run not in job.reported and since < end and
                        self.is_calm(end - CONTACT, now)):
                    self.report("UNASKED", now, "%s runs on %.2f s after the "
                                "cancel" % (run, now - job.cancelled_at))
                    job.reported.add(run)

    def _check_cancels(self, now):
        """Checks the share of cancels that are answered in calm."""
        cancels = [job for job in self.jobs.values()
                   if job.accepted_at and job.cancel_sent_at and self.is_calm(
                       job.cancel_sent_at - CONTACT, job.cancel_sent_at + ACK)]
        late = [job.id for job in cancels if (job.cancel_answered_at or now) >
                job.cancel_sent_at + ACK + self.lag(job.cancel_sent_at, now)]
        if len(late) >= MIN_LATE_CANCELS and len(late) * 10 > len(cancels):
            self.report("ACKS", now, "%d of %d cancels unanswered: %s" % (
                len(late), len(cancels), late[:3]))

    def finish(self, now):
        """Checks what must hold after the faults and the load have ended."""
        for job in self.jobs.values():
            if job.started and job.rejections and not job.open_attempts and (
                    job.accepted_at is None):
                self.report("REFUSED", now, "%s has started" % job.id)
            done = (job.shown in ("succeeded", "failed", "cancelled") or
                    job.deadly)
            if (job.accepted_at and not job.cancel_sent_at and not done and
                    not job.is_long_running and not job.runs and
                    now > job.last_active + IDLE):
                self.report("LOST", now, "%s is %s, nothing runs" % (
                    job.id, job.shown))
        self._check_cancels(now)
