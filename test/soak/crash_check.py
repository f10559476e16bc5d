"""Checks how often tasks start that crash the workers that start them."""

import collections

GIVE_UP = 2      # crashes after which a task may be given up
MAX_CRASHES = 3  # crashes after which the number of starts is limited
MAX_STARTS = 3   # starts after these crashes that break the promise


class CrashCheck:
    """Counts the crashes under tasks, and the starts that follow them."""

    def __init__(self, report):
        self._report = report
        self._crashed = set()                   # workers
        self._crashes = collections.Counter()   # task -> workers that crashed
        self._starts = collections.Counter()    # task -> starts after crashes

    @property
    def most_crashes(self):
        """Returns the largest number of crashes under one task."""
        return max(self._crashes.values(), default=0)

    def on_crash(self, worker):
        """Notes that a worker crashes; the ends of its runs follow."""
        self._crashed.add(worker)

    def on_up(self, worker):
        """Notes that a worker starts, perhaps again under the id it had."""
        self._crashed.discard(worker)

    def on_gone(self, job, task, worker):
        """Notes that a run ended with its worker."""
        if task in job.deadly and worker in self._crashed:
            self._crashes[task] += 1

    def on_start(self, time, job, task, where, timely):
        """Checks a start; only timely ones count."""
        if (not timely or task not in job.deadly or
                self._crashes[task] < MAX_CRASHES):
            return
        self._starts[task] += 1
        if self._starts[task] >= MAX_STARTS:
            self._report("BUDGET", time, "%s, start %d after %d crashes" % (
                where, self._starts[task], self._crashes[task]))

    def may_fail(self, job):
        """Returns whether a job may be given up."""
        return any(self._crashes[task] >= GIVE_UP for task in job.deadly)
