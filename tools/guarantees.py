"""Checks the request guarantees against the records of the stand-in services."""

import collections
import json


def read_outcomes(path):
    """Returns the outcome of each request by request id."""
    outcomes = {}
    with open(path) as lines:
        for line in lines:
            request, plan, kind, repeatable, outcome, at_ms = line.split()
            outcomes[request] = {"plan": plan, "kind": kind,
                                 "repeatable": repeatable == "yes",
                                 "outcome": outcome, "at": int(at_ms) / 1000}
    return outcomes


def read_records(cluster):
    """Returns the record of each target by its index."""
    return {number: cluster.target_record(number, runs=True)
            for number in range(len(cluster.targets))}


def runs_by_request(cluster, records):
    """Returns the pools in which each request ran, by request id."""
    runs = collections.defaultdict(list)
    for number, record in records.items():
        for request, count in record["runs"].items():
            runs[request] += [cluster.targets[number]["pool"]] * count
    return runs


class GuaranteeResults:
    """Collects for each guarantee whether it held, with a detail text."""

    def __init__(self):
        self.rows = []

    def add(self, name, is_held, detail):
        self.rows.append((name, bool(is_held), detail))

    def all_held(self):
        return all(is_held for _, is_held, _ in self.rows)

    def print(self):
        width = max(len(name) for name, _, _ in self.rows)
        for name, is_held, detail in self.rows:
            print(f"  {name:<{width}}  {'held' if is_held else 'FAILED':<6}  {detail}")


def check_requests(results, cluster, outcomes, records, killed_at=None):
    """Checks the guarantees for each request."""
    runs = runs_by_request(cluster, records)
    foreign = sum(o["outcome"] == "foreign" for o in outcomes.values())
    results.add("each response is complete and matches its request", foreign == 0,
                f"{foreign} mismatched or truncated responses")
    answered = [r for r, o in outcomes.items() if o["outcome"] == "answered"]
    missing = sum(r not in runs for r in answered)
    results.add("an answered request ran", missing == 0,
                f"{missing} of {len(answered)} did not")
    refused = [r for r, o in outcomes.items() if o["outcome"] == "refused"]
    ran = sum(r in runs for r in refused)
    results.add("a request refused as not run did not run", ran == 0,
                f"{ran} of {len(refused)} ran")
    non_repeatable = [r for r, o in outcomes.items() if not o["repeatable"]]
    twice = sum(len(runs[r]) > 1 for r in non_repeatable if r in runs)
    results.add("a non-repeatable request runs at most once", twice == 0,
                f"{twice} of {len(non_repeatable)} ran twice")
    pool_of = {(row["plan"], row["kind"]): row["pool"]
               for row in cluster.deployment.allowances}
    misplaced = sum(pool != pool_of[(outcomes[r]["plan"], outcomes[r]["kind"])]
                    for r, pools in runs.items() if r in outcomes for pool in pools)
    results.add("each target serves one pool", misplaced == 0,
                f"{misplaced} runs in a pool other than the configured one")
    over_slots_total = sum(record["over_slots"] for record in records.values())
    results.add("no target exceeds its slots", over_slots_total == 0,
                f"{over_slots_total} runs above the slot limit")
    lost = [o for o in outcomes.values() if o["outcome"] == "lost"]
    unexplained = [o for o in lost
                   if killed_at is None or not -0.5 < o["at"] - killed_at < 2]
    results.add("a planned stop interrupts no request", not unexplained,
                f"{len(unexplained)} connections lost outside the kill, "
                f"{len(lost) - len(unexplained)} by it")


def print_plans(report):
    """Prints the requests per plan from the load generator's report."""
    print(f"  {'plan':<14}{'answered':>10}{'refused':>9}{'unknown':>9}{'lost':>6}"
          f"{'p50 ms':>9}{'p90 ms':>9}{'p99 ms':>9}")
    for plan, row in sorted(report["plans"].items(), key=lambda item: item[0] == "all"):
        print(f"  {plan:<14}{row['answered']:>10}{row['refused']:>9}"
              f"{row['unknown']:>9}{row['lost']:>6}{row['p50_ms']:>9.1f}"
              f"{row['p90_ms']:>9.1f}{row['p99_ms']:>9.1f}")


def read_report(path):
    with open(path) as text:
        return json.load(text)
