"""Runs one deployment with faults and reports which guarantees held."""

import json
import shutil
import signal
import sys
import tempfile
import threading
import time

import fleet
import guarantees as checks
from cluster import ROOT, PLATFORM_PORT, Cluster, http

LOAD_SECONDS = 24
LOAD_RATE = 250  # requests a second
NEW_REQUEST_LIMIT_S = 3.0  # how long a leaving target may get new requests
ROLLOUT_LIMIT_S = 3.0  # time until a change applies on every instance


class RevisionWatch:
    """Polls each instance's configuration revision and counts decreases."""

    def __init__(self, cluster):
        self.cluster = cluster
        self.seen = {}
        self.decreases = 0
        self.is_running = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while self.is_running:
            for index, revision in self.cluster.revisions().items():
                if revision < 0:
                    continue
                self.decreases += revision < self.seen.get(index, 0)
                self.seen[index] = revision
            time.sleep(0.1)

    def stop(self):
        self.is_running = False
        self.thread.join()


def log(text):
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


def apply_initial_configuration(cluster):
    lists = cluster.write_lists(cluster.folder / "lists")
    code, output = cluster.apply(lists, "--base", 0, "--reason", "first lists")
    if code != 0:
        raise RuntimeError(output)
    cluster.wait_ready()


def change_allowance(cluster):
    """Changes a row; returns the seconds until every instance applies it."""
    cluster.run_tool("show", "--directory", cluster.folder / "lists")
    path = cluster.folder / "lists" / "allowances.json"
    lists = json.loads(path.read_text())
    lists["allowances"][0]["slots"] += 2
    path.write_text(json.dumps(lists))
    started = time.time()
    code, output = cluster.apply(cluster.folder / "lists",
                                 "--reason", "two more slots")
    if code != 0:
        raise RuntimeError(output)
    cluster.wait_for("every instance applies the change",
                     lambda: set(cluster.revisions().values()) == {2})
    return time.time() - started


def drain_target(cluster):
    """Drains the first target through the platform; returns its index."""
    number = 0
    target = cluster.targets[number]["id"]
    http("PUT", f"http://127.0.0.1:{PLATFORM_PORT}/drain/{target}", "")
    return number


def reboot_when_idle(cluster, number):
    """Reboots a drained target once it has no requests in flight."""
    cluster.wait_for("the drained target is idle", lambda:
                     cluster.target_record(number)["in_flight"] == 0)
    target = cluster.targets[number]["id"]
    http("PUT", f"http://127.0.0.1:{PLATFORM_PORT}/reboot/{target}", "")


def wait_for_wave(cluster):
    """Waits until the maintenance wave is done and prints its status."""
    cluster.wait_for("the wave is done", lambda: "wave is done" in
                     cluster.run_tool("maintenance", "status")[1], 60)
    print(cluster.run_tool("maintenance", "status")[1])


def run(cluster):
    """Runs the demonstration; returns whether every guarantee held."""
    log(f"starting 3 availability zones, {cluster.deployment.entries} entry "
        f"instances, {len(cluster.targets)} targets")
    cluster.start()
    cluster.wait_up()
    log("applying the configuration")
    apply_initial_configuration(cluster)
    watch = RevisionWatch(cluster)
    log(f"sending {LOAD_RATE} requests a second for {LOAD_SECONDS} s")
    load = cluster.start_load("demo", LOAD_RATE, LOAD_SECONDS)
    time.sleep(3)
    rollout_seconds = change_allowance(cluster)
    log(f"changed an allowance; applied everywhere after {rollout_seconds:.2f} s")
    pool = cluster.deployment.maintained
    log(f"starting maintenance of pool {pool}")
    code, output = cluster.run_tool("maintenance", "start", "--pools", pool)
    if code != 0:
        raise RuntimeError(output)
    drained = drain_target(cluster)
    log(f"draining {cluster.targets[drained]['id']}")
    time.sleep(5)
    record = cluster.target_record(drained)
    last_new = max(0.0, record["last_new_at"] - record["leaving_at"])
    log(f"its last new request came {last_new:.2f} s after it began to drain")
    reboot_when_idle(cluster, drained)
    time.sleep(2)
    log("stopping entry-2 with SIGTERM")
    cluster.kill("entry-2", signal.SIGTERM)
    time.sleep(5)
    log("killing entry-3 with SIGKILL")
    killed_at = time.time()
    cluster.kill("entry-3")
    load.wait(timeout=120)
    stop_code = cluster.processes["entry-2"].wait(timeout=40)
    watch.stop()
    wait_for_wave(cluster)
    records = checks.read_records(cluster)
    codes = cluster.stop()
    codes.pop("entry-3")
    log("stopped all processes")
    return check_guarantees(cluster, records, killed_at, rollout_seconds,
                            last_new, watch.decreases,
                            set(codes.values()) | {stop_code})


def budget_of(cluster, pool):
    """Returns the slots that a pool keeps without one target, and the slots
    that its plans are guaranteed.
    """
    live = (cluster.deployment.pools[pool] - 1) * fleet.SLOTS
    availability = {row["plan"]: row["availability"] / 100
                    for row in cluster.deployment.plans}
    guaranteed = sum(row["slots"] * availability[row["plan"]]
                     for row in cluster.deployment.allowances
                     if row["pool"] == pool)
    return live, guaranteed


def check_guarantees(cluster, records, killed_at, rollout_seconds, last_new,
                     decreases, codes):
    """Prints the results; returns whether every guarantee held."""
    outcomes = checks.read_outcomes(cluster.folder / "demo.outcomes")
    report = checks.read_report(cluster.folder / "demo.json")
    result = checks.GuaranteeResults()
    checks.check_requests(result, cluster, outcomes, records, killed_at)
    rebooted = sum(record["cut"] for record in records.values())
    result.add("a reboot interrupts no request", rebooted == 0,
               f"{rebooted} interrupted")
    maintained = [record["incarnation"] for number, record in records.items()
                  if cluster.targets[number]["pool"] == cluster.deployment.maintained]
    result.add("a wave maintains every target of its pool", set(maintained) == {2},
               f"{maintained.count(2)} of {len(maintained)} rebooted once")
    result.add("a leaving target gets no new requests",
               last_new <= NEW_REQUEST_LIMIT_S,
               f"the last one after {last_new:.2f} s; limit "
               f"{NEW_REQUEST_LIMIT_S:.0f} s")
    result.add("a change applies everywhere in time",
               rollout_seconds <= ROLLOUT_LIMIT_S,
               f"after {rollout_seconds:.2f} s; limit {ROLLOUT_LIMIT_S:.0f} s")
    result.add("no revision decreases", decreases == 0, f"{decreases} decreases")
    live, guaranteed = budget_of(cluster, cluster.targets[0]["pool"])
    result.add("availability budgets hold", live >= guaranteed,
               f"{live} slots remained in the pool; its plans are guaranteed "
               f"{guaranteed:.1f}")
    result.add("daemons exit cleanly on SIGTERM", codes == {0}, f"exit codes {codes}")
    print("\nRequests by plan")
    checks.print_plans(report)
    print("\nGuarantees")
    result.print()
    return result.all_held()


def main():
    name = sys.argv[1] if len(sys.argv) > 1 else "tala"
    if name not in fleet.DEPLOYMENTS:
        sys.exit(f"unknown deployment '{name}'; "
                 f"known are {', '.join(fleet.DEPLOYMENTS)}")
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(130))
    folder = tempfile.mkdtemp(prefix="crocusmast-demo-")
    cluster = Cluster(fleet.DEPLOYMENTS[name], ROOT / "build", folder)
    all_held = False
    try:
        all_held = run(cluster)
    except KeyboardInterrupt:
        sys.exit("interrupted; all processes were stopped")
    finally:
        cluster.stop()
        if all_held:
            shutil.rmtree(folder)
        else:
            print(f"logs are in {folder}")
    sys.exit(0 if all_held else 1)


if __name__ == "__main__":
    main()
