"""Writes the example configurations and load mixes under examples/."""

import json
import pathlib

from fleet import DEPLOYMENTS

ROOT = pathlib.Path(__file__).resolve().parent.parent


def write(path, value):
    path.write_text(json.dumps(value, indent=2) + "\n")


def main():
    for name, deployment in DEPLOYMENTS.items():
        folder = ROOT / "examples" / name
        folder.mkdir(parents=True, exist_ok=True)
        write(folder / "plans.json", {"plans": deployment.plans})
        write(folder / "allowances.json", {"allowances": deployment.allowances})
        write(folder / "mix.json", deployment.mix)
        write(folder / "pools.json",
              [{"pool": pool, "targets": count,
                "service_ms": deployment.service_ms[pool]}
               for pool, count in deployment.pools.items()])


if __name__ == "__main__":
    main()
