"""Measures daemons at increasing sizes and fits a linear slope for each cost."""

import argparse
import csv
import json
import pathlib
import shutil
import statistics
import sys
import tempfile
import threading
import time

import fleet
from cluster import ADMIN_PORT, OPERATOR_TOKEN, ROOT, STORE_PORT, Cluster, http

DATA = ROOT / "docs" / "capacity"
BASE = {"entries": 6, "targets": 60, "pools": 6, "plans": 6, "rows": 1,
        "changes": 0, "requests": 0}
SIZES = {
    "entries": [3, 6, 12, 18],
    "targets": [60, 180, 360, 720],
    "pools": [6, 24, 60, 120],
    "plans": [6, 90, 180, 370],
    "changes": [0, 60, 180, 360],     # a minute
    "requests": [0, 100, 200, 400],   # a second
}
COSTS = ["cpu_percent", "rss_bytes", "control_bytes_s", "peer_messages_s",
         "store_calls_s", "store_bytes_s", "membership_bytes_s"]
COLUMNS = ["factor", "size", "instance", "role", *BASE, "seconds", *COSTS,
           "in_force_s", "store_reads_s", "store_writes_s", "store_watches_s"]
MEASURE_SECONDS = 10
QUICK_SECONDS = 5
# Limits stated on the capacity page; they do not depend on the machine.
MAX_MESSAGES_PER_LINK_S = 2.0
MAX_STORE_CALLS_S = {"member": 0.0, "watcher": 0.2, "holder": 1.2}
MAX_CONTROL_BYTES_PER_LINK_S = 60


def deployment_of(size):
    return fleet.synthetic(size["entries"], size["targets"], size["pools"],
                           size["plans"], size["rows"])


class ChangeGenerator:
    """Sends configuration changes at a fixed rate and measures their rollout."""

    def __init__(self, cluster, per_minute, revision):
        self.cluster = cluster
        self.interval = 60 / per_minute
        self.revision = revision
        self.rollout_seconds = []
        self.is_running = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        rows = self.cluster.deployment.allowances
        while self.is_running:
            started = time.time()
            rows[self.revision % len(rows)]["slots"] = 8 + self.revision % 8
            body = {"base": self.revision, "author": "slopes",
                    "change": f"slopes-{self.revision}", "reason": "slopes",
                    "plans": self.cluster.deployment.plans, "allowances": rows}
            code, text = http("PUT", f"http://127.0.0.1:{ADMIN_PORT}/configuration",
                              json.dumps(body), OPERATOR_TOKEN)
            if code == 200:
                self.revision = json.loads(text)["revision"]
                self.wait_until_applied(started)
            time.sleep(max(0, self.interval - (time.time() - started)))

    def wait_until_applied(self, started):
        """Waits up to 10 s until the last instance applies the change."""
        end = started + 10
        while time.time() < end:
            status = self.cluster.status(self.cluster.deployment.entries - 1)
            if status and status["revision"] >= self.revision:
                self.rollout_seconds.append(time.time() - started)
                return
            time.sleep(0.01)

    def stop(self):
        self.is_running = False
        self.thread.join()


def resident_bytes(pid):
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) * 1024
    return 0


def read_metrics(cluster, index):
    """Reads the metrics of one entry instance."""
    metrics = cluster.metrics(index)
    process = cluster.processes[f"entry-{index + 1}"]
    pick = lambda name: metrics.get("crocusmast_" + name, 0.0)
    return {"at": time.time(), "cpu": metrics.get("process_cpu_seconds_total", 0.0),
            "rss": resident_bytes(process.pid), "watches": pick("watches_store"),
            "control": pick("peer_control_bytes_sent_total"),
            "messages": pick("peer_messages_sent_total"),
            "store_calls": pick("store_calls_total"),
            "store_bytes": pick("store_bytes_total"),
            "membership_bytes": pick("membership_bytes_total")}


def store_counters():
    """Reads the call counters of the stand-in store."""
    _, text = http("GET", f"http://127.0.0.1:{STORE_PORT}/counters")
    return {"at": time.time(), **json.loads(text)}


def role_of(index, counters):
    """Returns the role; the first instance leads maintenance and watches its zone."""
    if index == 0:
        return "holder"
    return "watcher" if counters["watches"] else "member"


def rows_of(factor, size, before, after, store, in_force):
    """Returns a row for each entry instance."""
    rows = []
    for index, first in before.items():
        last = after[index]
        seconds = last["at"] - first["at"]
        rate = lambda name: (last[name] - first[name]) / seconds
        rows.append({
            "factor": factor, "size": size[factor] if factor in size else 0,
            "instance": f"entry-{index + 1}",
            "role": role_of(index, last), **size,
            "seconds": round(seconds, 2), "cpu_percent": 100 * rate("cpu"),
            "rss_bytes": last["rss"], "control_bytes_s": rate("control"),
            "peer_messages_s": rate("messages"),
            "store_calls_s": rate("store_calls"),
            "store_bytes_s": rate("store_bytes"),
            "membership_bytes_s": rate("membership_bytes"),
            "in_force_s": in_force, **store})
    return rows


def measure(factor, size, seconds):
    """Measures one size and returns its rows."""
    folder = tempfile.mkdtemp(prefix="crocusmast-slopes-")
    cluster = Cluster(deployment_of(size), ROOT / "build", folder,
                      log_level="warning", target_threads=12 if size["requests"] else 2)
    changes = None
    load = None
    try:
        cluster.start()
        cluster.wait_up(60)
        lists = cluster.write_lists(cluster.folder / "lists")
        code, output = cluster.apply(lists, "--base", 0, "--reason", "slopes")
        if code != 0:
            raise RuntimeError(output)
        cluster.wait_ready(60)
        if size["requests"]:
            load = cluster.start_load("slopes", size["requests"], seconds + 4, 32)
        if size["changes"]:
            changes = ChangeGenerator(cluster, size["changes"], 1)
        time.sleep(2)
        indexes = cluster.entry_indexes()
        before = {index: read_metrics(cluster, index) for index in indexes}
        store_before = store_counters()
        time.sleep(seconds)
        after = {index: read_metrics(cluster, index) for index in indexes}
        store_after = store_counters()
        interval = store_after["at"] - store_before["at"]
        store = {f"store_{kind}_s": (store_after[kind] - store_before[kind]) / interval
                 for kind in ("reads", "writes", "watches")}
        in_force = ""
        if changes:
            changes.stop()
            in_force = max(changes.rollout_seconds, default="")
        if load:
            load.wait(timeout=60)
        return rows_of(factor, size, before, after, store, in_force)
    finally:
        if load and load.poll() is None:
            load.kill()
        cluster.stop()
        shutil.rmtree(folder)


def fit(points):
    """Fits a line; returns intercept, slope and the largest residual."""
    xs, ys = zip(*points)
    mean_x, mean_y = statistics.fmean(xs), statistics.fmean(ys)
    spread = sum((x - mean_x) ** 2 for x in xs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return intercept, slope, residual


def write_fits(rows):
    """Writes a row for each factor, role and cost."""
    with open(DATA / "fits.csv", "w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(["name", "factor", "role", "cost", "intercept", "slope",
                         "largest_residual"])
        for factor in SIZES:
            for role in ("member", "watcher", "holder"):
                selected = [row for row in rows
                            if row["factor"] == factor and row["role"] == role]
                for cost in COSTS:
                    points = [(float(row["size"]), float(row[cost]))
                              for row in selected]
                    if len({x for x, _ in points}) > 1:
                        intercept, slope, residual = fit(points)
                        writer.writerow([f"{factor}.{role}.{cost}", factor, role,
                                         cost, f"{intercept:.6g}", f"{slope:.6g}",
                                         f"{residual:.6g}"])


def write_plots(rows):
    """Plots each cost against each factor."""
    import matplotlib
    matplotlib.use("svg")
    matplotlib.rcParams["svg.hashsalt"] = "crocusmast"
    from matplotlib import pyplot
    for cost in COSTS:
        figure, axes = pyplot.subplots(2, 3, figsize=(11, 6))
        for axis, factor in zip(axes.flat, SIZES):
            for role, mark in (("member", "o"), ("watcher", "x"), ("holder", "+")):
                points = [(row["size"], row[cost]) for row in rows
                          if row["factor"] == factor and row["role"] == role]
                axis.plot([float(x) for x, _ in points],
                          [float(y) for _, y in points], mark, label=role)
            axis.set_xlabel(factor)
            axis.set_ylim(bottom=0)
        axes.flat[0].legend()
        figure.suptitle(cost)
        figure.tight_layout()
        figure.savefig(DATA / f"{cost}.svg", metadata={"Date": None})
        pyplot.close(figure)


def check_quick(rows):
    """Checks machine-independent limits; returns the violations."""
    violations = []
    for row in rows:
        for column in COLUMNS:
            if row.get(column) is None:
                violations.append(f"{row['instance']}: no {column}")
        links = row["entries"] - 1
        for name, value, limit in (
                ("peer messages per link", row["peer_messages_s"] / links,
                 MAX_MESSAGES_PER_LINK_S),
                ("control bytes per link", row["control_bytes_s"] / links,
                 MAX_CONTROL_BYTES_PER_LINK_S),
                ("store calls", row["store_calls_s"], MAX_STORE_CALLS_S[row["role"]])):
            if value > limit:
                violations.append(
                    f"{row['factor']} {row['size']} {row['instance']}: "
                    f"{name} {value:.2f} a second; limit {limit}")
    return violations


def run_quick():
    rows = []
    for factor, sizes in (("entries", [3, 6]), ("targets", [24, 48])):
        for size in sizes:
            selected = {**BASE, "targets": 24, "entries": 4, factor: size}
            rows += measure(factor, selected, QUICK_SECONDS)
    violations = check_quick(rows)
    for violation in violations:
        print("slopes:", violation)
    print(f"slopes: {len(rows)} rows, {len(violations)} violations")
    return 1 if violations else 0


def run_all(factors):
    DATA.mkdir(parents=True, exist_ok=True)
    rows = []
    path = DATA / "rows.csv"
    if factors != list(SIZES) and path.exists():
        with open(path, newline="") as file:
            rows = [row for row in csv.DictReader(file)
                    if row["factor"] not in factors]
    for factor in factors:
        for size in SIZES[factor]:
            measured = measure(factor, {**BASE, factor: size}, MEASURE_SECONDS)
            rows += measured
            cpu = statistics.fmean(row["cpu_percent"] for row in measured)
            print(f"{factor}={size}: {cpu:.2f}% of a core, "
                  f"{measured[0]['rss_bytes'] / 2**20:.1f} MB", flush=True)
    with open(path, "w", newline="") as file:
        writer = csv.DictWriter(file, COLUMNS)
        writer.writeheader()
        for row in rows:
            writer.writerow({name: f"{value:.5g}" if isinstance(value, float)
                             else value for name, value in row.items()})
    write_fits(rows)
    write_plots(rows)
    return 0


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true",
                        help="check only machine-independent limits, at small sizes")
    parser.add_argument("--factors", default=",".join(SIZES),
                        help="measure only these factors; keep the rows of others")
    arguments = parser.parse_args()
    if arguments.quick:
        sys.exit(run_quick())
    sys.exit(run_all(arguments.factors.split(",")))


if __name__ == "__main__":
    main()
