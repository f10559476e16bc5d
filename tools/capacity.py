"""Extrapolates the measured cost slopes to the planned deployment size."""

import csv
import pathlib

DATA = pathlib.Path(__file__).resolve().parent.parent / "docs" / "capacity"
BASE = {"entries": 6, "targets": 60, "pools": 6, "plans": 6, "changes": 0}
# One of six regions; every region has the same configuration. A row pair is a
# plan with one allowance: 370 plans with three kinds of work are 740 row pairs.
# Changes are per minute.
PLANNED_SIZE = {"entries": 12, "targets": 750, "pools": 21, "plans": 740,
                "changes": 6.1}
BUDGETS = {"cpu_percent": 2.9, "rss_bytes": 256 * 2**20,
           "control_bytes_s": 11000, "peer_messages_s": None,
           "store_calls_s": None, "store_bytes_s": None,
           "membership_bytes_s": None}


def read_fits():
    with open(DATA / "fits.csv", newline="") as file:
        return {row["name"]: row for row in csv.DictReader(file)}


def cost_at_base(fits, role, cost):
    """Returns the cost at the base size, from the fit over entry instances."""
    row = fits[f"entries.{role}.{cost}"]
    return float(row["intercept"]) + float(row["slope"]) * BASE["entries"]


def main():
    fits = read_fits()
    for role in ("member", "watcher", "holder"):
        print(f"\n| {role}: cost | at base | "
              + " | ".join(f"+ {factor}" for factor in PLANNED_SIZE)
              + " | sum | budget |")
        print("| --- |" + " ---: |" * (len(PLANNED_SIZE) + 3))
        for cost, budget in BUDGETS.items():
            total = cost_at_base(fits, role, cost)
            cells = [f"{total:,.2f}"]
            for factor, size in PLANNED_SIZE.items():
                slope = float(fits[f"{factor}.{role}.{cost}"]["slope"])
                increase = slope * (size - BASE[factor])
                total += increase
                cells.append(f"{increase:,.2f}")
            limit = f"{budget:,}" if budget else "-"
            print(f"| {cost} | " + " | ".join(cells)
                  + f" | {total:,.2f} | {limit} |")


if __name__ == "__main__":
    main()
