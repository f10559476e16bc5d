"""Limits processes to shares of a core with SIGSTOP and SIGCONT.

Reads one JSON command a line: {"pid", "share"} sets a quota per period,
{"pid", "pause_s"} suspends a process, {"pid", "share": 0} forgets it.
"""

import json
import os
import select
import signal
import sys
import time

PERIOD_SECONDS = 0.1  # quotas are granted for each tenth of a second
POLL_SECONDS = 0.002


class Governed:
    """A process with a quota; a pidfd keeps signals from other processes."""

    def __init__(self, pid):
        self._fd = os.pidfd_open(pid)
        # The kernel's identifier for the CPU time clock of another process.
        self._clock = (~pid << 3) | 2
        self._stopped = False
        self._used_before = time.clock_gettime(self._clock)
        self._balance = 0.0  # of the period, in seconds; negative if overdrawn
        self.share = 1.0
        self.paused_until = 0.0

    def _send(self, number):
        signal.pidfd_send_signal(self._fd, number)
        self._stopped = number == signal.SIGSTOP

    def begin_period(self):
        """Grants the quota of the next period, less what was overdrawn."""
        used = time.clock_gettime(self._clock)
        quota = self.share * PERIOD_SECONDS
        self._balance = min(
            quota, self._balance - (used - self._used_before) + quota)
        self._used_before = used

    def update(self, now):
        """Stops or continues the process."""
        used = time.clock_gettime(self._clock) - self._used_before
        stop = (now < self.paused_until or
                self.share < 1 and used >= self._balance)
        if stop != self._stopped:
            self._send(signal.SIGSTOP if stop else signal.SIGCONT)

    def close(self, number=signal.SIGCONT):
        """Sends the process a last signal and forgets it."""
        try:
            self._send(number)
        except ProcessLookupError:
            pass  # the process has ended
        os.close(self._fd)


def apply(processes, command):
    """Applies one command."""
    pid = command["pid"]
    try:
        if command.get("share") == 0:
            if pid in processes:
                processes.pop(pid).close()
            return
        process = processes.get(pid) or processes.setdefault(pid, Governed(pid))
        process.share = command.get("share", process.share)
        if "pause_s" in command:
            process.paused_until = time.monotonic() + command["pause_s"]
    except (OSError, ValueError):
        processes.pop(pid, None)  # the process has ended


def main():
    """Serves commands until the input ends."""
    os.set_blocking(0, False)
    processes, pending, next_period = {}, b"", 0.0
    while True:
        if select.select([0], [], [], POLL_SECONDS)[0]:
            data = os.read(0, 65536)
            if not data:
                break
            *lines, pending = (pending + data).split(b"\n")
            for line in lines:
                apply(processes, json.loads(line))
        now = time.monotonic()
        is_new_period = now >= next_period
        if is_new_period:
            next_period = now + PERIOD_SECONDS
        for pid, process in list(processes.items()):
            try:
                if is_new_period:
                    process.begin_period()
                process.update(now)
            except OSError:
                processes.pop(pid).close()
    for process in processes.values():  # the soak itself was killed
        process.close(signal.SIGKILL)


if __name__ == "__main__":
    sys.exit(main())
