"""Compares load sent directly, via a plain forwarder and via crocusmastd."""

import json
import shutil
import subprocess
import sys
import tempfile
import time

import fleet
from cluster import CALLER_PORT, ROOT, Cluster

FORWARDER_PORT = 18900
THREADS = 16
SECONDS = 3
ROUNDS = 3
MIN_THROUGHPUT_RATIO = 0.8   # relative to the forwarder
MAX_P99_RATIO = 1.25         # relative to the forwarder, at half its maximum load


def load(cluster, address, path, rate):
    """Runs the load generator; returns its totals over all plans."""
    completed = subprocess.run(
        [str(cluster.build / "bench/crocusmast-load"), "--to", address,
         "--path", path, "--mix", str(cluster.folder / "mix.json"),
         "--rate", str(rate), "--seconds", str(SECONDS),
         "--threads", str(THREADS), "--id-prefix", f"c{time.time():.0f}",
         "--output", "json"], capture_output=True, text=True, check=True)
    totals = json.loads(completed.stdout)["plans"]["all"]
    failed = sum(totals[name] for name in ("refused", "unknown", "lost",
                                           "foreign", "failed"))
    if failed:
        print(f"  {address}: {failed} requests failed: {totals}")
    return totals


def measure(cluster):
    """Measures each route ROUNDS times, interleaved; keeps the best results.

    Returns the results, and the rate in requests/s of the latency rounds.
    """
    routes = {"direct": (f"127.0.0.1:{fleet.FIRST_TARGET_PORT}", "/run"),
              "forwarder": (f"127.0.0.1:{FORWARDER_PORT}", "/requests"),
              "crocusmastd": (f"127.0.0.1:{CALLER_PORT}", "/requests")}
    results = {name: {"per_second": 0, "p50": 1e9, "p99": 1e9}
               for name in routes}
    for _ in range(ROUNDS):
        for name, (address, path) in routes.items():
            totals = load(cluster, address, path, 0)
            results[name]["per_second"] = max(results[name]["per_second"],
                                              totals["per_second"])
    half_load = results["forwarder"]["per_second"] / 2
    for _ in range(ROUNDS):
        for name, (address, path) in routes.items():
            totals = load(cluster, address, path, half_load)
            results[name]["p50"] = min(results[name]["p50"], totals["p50_ms"])
            results[name]["p99"] = min(results[name]["p99"], totals["p99_ms"])
    return results, half_load


def main():
    deployment = fleet.synthetic(1, 8, 1, 1, zones=1)
    deployment.service_ms = {pool: 0 for pool in deployment.pools}
    folder = tempfile.mkdtemp(prefix="crocusmast-compare-")
    cluster = Cluster(deployment, ROOT / "build", folder)
    try:
        cluster.start()
        cluster.spawn("forwarder", [cluster.build / "bench/crocusmast-forwarder",
                                    "--port", FORWARDER_PORT, "--target-port",
                                    fleet.FIRST_TARGET_PORT])
        cluster.wait_up()
        code, output = cluster.apply(cluster.write_lists(folder + "/lists"),
                                     "--base", 0)
        if code != 0:
            raise RuntimeError(output)
        cluster.wait_ready()
        (cluster.folder / "mix.json").write_text(json.dumps(deployment.mix))
        results, half_load = measure(cluster)
    finally:
        cluster.stop()
        shutil.rmtree(folder)
    print(f"{'route':<14}{'requests/s':>12}{'p50 ms':>9}{'p99 ms':>9}"
          f"   (p50, p99 at {half_load:.0f} requests/s)")
    for name, row in results.items():
        print(f"{name:<14}{row['per_second']:>12.0f}{row['p50']:>9.3f}"
              f"{row['p99']:>9.3f}")
    throughput = (results["crocusmastd"]["per_second"]
                  / results["forwarder"]["per_second"])
    p99 = results["crocusmastd"]["p99"] / results["forwarder"]["p99"]
    print(f"throughput {throughput:.2f} of the forwarder (required: at "
          f"least {MIN_THROUGHPUT_RATIO}), p99 {p99:.2f} of the forwarder "
          f"(required: at most {MAX_P99_RATIO})")
    sys.exit(0 if throughput >= MIN_THROUGHPUT_RATIO
             and p99 <= MAX_P99_RATIO else 1)


if __name__ == "__main__":
    main()
