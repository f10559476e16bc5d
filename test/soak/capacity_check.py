"""Checks starts against capacities that change while workers run."""

# Seconds for which a capacity counts after it has shrunk: contact_ms and one
# heartbeat.
GRACE = 3.0 + 1.5


class CapacityCheck:
    """The capacities of machines over time, in thousandths of a core."""

    def __init__(self):
        self._changes = {}  # machine -> [(time, capacity before it)]
        self._current = {}  # machine -> capacity

    def on_change(self, time, machine, before, capacity):
        """Notes that the capacity of a machine has changed."""
        self._changes.setdefault(machine, []).append((time, before))
        self._current[machine] = capacity

    def current(self, machine):
        """Returns the capacity of a machine."""
        return self._current.get(machine["id"], machine["cores"] * 1000)

    def limit(self, machine, time, timely, lag):
        """Returns what starts at a time may use.

        A start by an instance that is not in touch may know any earlier
        capacity.
        """
        since = time - GRACE - lag
        return max([self.current(machine)] + [
            before for at, before in self._changes.get(machine["id"], [])
            if at >= since or not timely])
