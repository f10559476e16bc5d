"""Checks that long-running tasks run again soon after a run has ended."""

from checker import CONTACT, IDLE

RESTART = 6.0  # seconds after the last run, from which a task must not wait
CALM = 7.0     # seconds without disturbances before a violation
ROOM = 2       # the capacity that must be free, in tasks


class RestartCheck:
    """Finds long-running tasks that wait although there is room for them."""

    def __init__(self, checker):
        self._checker = checker
        self._room_since = {}  # task -> since when there is room for it
        self._reported = set()
        self.longest_wait = 0.0  # seconds without a run, in calm, with room

    def check(self, now):
        """Checks all long-running tasks; called several times a second."""
        for job in self._checker.jobs.values():
            if (job.is_long_running and job.accepted_at and
                    not job.cancel_sent_at):
                self._check_job(job, now)

    def _check_job(self, job, now):
        running = {run[0] for run in job.runs}
        for task in job.tasks:
            if task in running or not self._has_room(
                    job, job.steps[int(task.split(".")[2])], now):
                self._room_since.pop(task, None)
            else:
                self._room_since.setdefault(task, now)
                self._check_task(job, task, now)

    def _check_task(self, job, task, now):
        since = job.ended_at.get(task, job.accepted_at)
        if not self._checker.is_undisturbed(now - CALM, now):
            return
        self.longest_wait = max(self.longest_wait, now - since)
        lag = self._checker.lag(since, now)
        if (task not in self._reported and
                now > since + RESTART + IDLE + lag and
                now > self._room_since[task] + IDLE + lag):
            self._reported.add(task)
            self._checker.report(
                "LOST", now, "%s has not run for %.2f s, with room for it" % (
                    task, now - since))

    def _has_room(self, job, step, now):
        places = 0
        for machine in self._checker.machines.values():
            worker = machine["worker"]
            if (worker and machine["pool"] == job.pool and
                    worker not in self._checker.draining and
                    now > self._checker.up_at.get(worker, now) + CONTACT and
                    step.get("required_label", machine["labels"][0])
                    in machine["labels"]):
                places += max(0, self._checker.free_cpu(worker) // step["cpu"])
        return places >= ROOM
