"""Starts daemons and stand-in services on loopback, and stops them by id."""

import json
import os
import pathlib
import signal
import subprocess
import time
import urllib.error
import urllib.request

import fleet

ROOT = pathlib.Path(__file__).resolve().parent.parent
OPERATOR_TOKEN = "demo-operator-token"
PEER_TOKEN = "demo-peer-token"
STORE_PORT = 19001
MEMBERSHIP_PORT = 19002
PLATFORM_PORT = 19003
CALLER_PORT = 18000
ADMIN_PORT = 18200
PEER_PORT = 18400


def http(method, url, body=None, token=None, timeout=10):
    """Sends a request; returns status and body, or 0 and the error."""
    request = urllib.request.Request(url, method=method,
                                     data=None if body is None else body.encode())
    if token:
        request.add_header("Authorization", "Bearer " + token)
    try:
        with urllib.request.urlopen(request, timeout=timeout) as response:
            return response.status, response.read().decode()
    except urllib.error.HTTPError as error:
        return error.code, error.read().decode()
    except OSError as error:
        return 0, str(error)


class Cluster:
    """The processes of one deployment: daemons, targets and stand-in services."""

    def __init__(self, deployment, build, folder, lag_ms=1000, log_level="info",
                 caller_threads=256, forward_threads=64, target_threads=40):
        self.deployment = deployment
        self.build = pathlib.Path(build)
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.lag_ms = lag_ms
        self.log_level = log_level
        self.caller_threads = caller_threads
        self.forward_threads = forward_threads
        self.target_threads = target_threads
        self.processes = {}
        self.targets = fleet.target_members(deployment)

    # Process control.

    def start(self):
        members = list(self.targets)
        for index in range(self.deployment.entries):
            members.append(
                fleet.entry_member(index, self.deployment, PEER_PORT + index))
        (self.folder / "members.json").write_text(json.dumps(members))
        self.spawn("store", [self.build / "standin/crocusmast-standin", "store",
                             "--port", STORE_PORT, "--threads", 64])
        self.start_membership()
        self.spawn("platform",
                   [self.build / "standin/crocusmast-standin", "platform",
                    "--port", PLATFORM_PORT,
                    "--members", self.folder / "members.json",
                    "--membership", f"127.0.0.1:{MEMBERSHIP_PORT}"])
        first = fleet.FIRST_TARGET_PORT
        for pool, count in self.deployment.pools.items():
            self.spawn(f"targets-{pool}",
                       [self.build / "standin/crocusmast-standin", "target",
                        "--port", first, "--count", count,
                        "--slots", fleet.SLOTS,
                        "--threads", self.target_threads,
                        "--service-ms", self.deployment.service_ms[pool]])
            first += count
        for index in range(self.deployment.entries):
            self.start_entry(index)

    def start_membership(self):
        self.spawn("membership",
                   [self.build / "standin/crocusmast-standin", "membership",
                    "--port", MEMBERSHIP_PORT, "--lag-ms", self.lag_ms,
                    "--threads", 2 * self.deployment.entries + 8,
                    "--members", self.folder / "members.json"])

    def start_entry(self, index):
        member = fleet.entry_member(index, self.deployment, PEER_PORT + index)
        self.spawn(member["id"],
                   [self.build / "crocusmastd", "--id", member["id"],
                    "--zone", member["zone"],
                    "--listen", f"127.0.0.1:{CALLER_PORT + index}",
                    "--admin", f"127.0.0.1:{ADMIN_PORT + index}",
                    "--peer", f"127.0.0.1:{PEER_PORT + index}",
                    "--store", f"127.0.0.1:{STORE_PORT}",
                    "--membership", f"127.0.0.1:{MEMBERSHIP_PORT}",
                    "--platform", f"127.0.0.1:{PLATFORM_PORT}",
                    "--caller-threads", self.caller_threads,
                    "--forward-threads", self.forward_threads,
                    "--log-level", self.log_level])

    def spawn(self, name, command):
        log = open(self.folder / f"{name}.log", "ab")
        environment = dict(os.environ,
                           CROCUSMAST_OPERATOR_TOKEN=OPERATOR_TOKEN,
                           CROCUSMAST_PEER_TOKEN=PEER_TOKEN)
        self.processes[name] = subprocess.Popen(
            [str(part) for part in command], stdout=log, stderr=log,
            stdin=subprocess.DEVNULL, env=environment)
        log.close()

    def kill(self, name, signal_number=signal.SIGKILL):
        self.processes[name].send_signal(signal_number)

    def stop(self):
        """Stops all processes; returns the exit codes of the daemons."""
        codes = {}
        entries = [name for name in self.processes if name.startswith("entry-")]
        for name in entries:
            if self.processes[name].poll() is None:
                self.kill(name, signal.SIGTERM)
        for name in entries:
            try:
                codes[name] = self.processes[name].wait(timeout=45)
            except subprocess.TimeoutExpired:
                self.kill(name)
                codes[name] = None
        for name, process in self.processes.items():
            if process.poll() is None:
                process.kill()
                process.wait()
        self.processes.clear()
        return codes

    # Queries.

    def entry_indexes(self):
        """Returns the indexes of the entry instances whose daemon runs."""
        return [index for index in range(self.deployment.entries)
                if f"entry-{index + 1}" in self.processes
                and self.processes[f"entry-{index + 1}"].poll() is None]

    def caller_addresses(self):
        return ",".join(f"127.0.0.1:{CALLER_PORT + index}"
                        for index in range(self.deployment.entries))

    def admin_addresses(self):
        return ",".join(f"127.0.0.1:{ADMIN_PORT + index}"
                        for index in range(self.deployment.entries))

    def status(self, index):
        """Returns the status of an entry instance; None without a response."""
        code, text = http("GET", f"http://127.0.0.1:{ADMIN_PORT + index}/status",
                          token=OPERATOR_TOKEN, timeout=5)
        return json.loads(text) if code == 200 else None

    def metrics(self, index):
        code, text = http("GET", f"http://127.0.0.1:{ADMIN_PORT + index}/metrics")
        if code != 200:
            return {}
        pairs = (line.rsplit(" ", 1) for line in text.splitlines() if line)
        return {name: float(value) for name, value in pairs}

    def revisions(self):
        """Returns the configuration revision of each running entry instance; -1 if
        it is not known.
        """
        return {index: int(self.metrics(index).get(
            "crocusmast_configuration_revision", -1))
            for index in self.entry_indexes()}

    def wait_for(self, condition_text, condition, seconds=30):
        end = time.time() + seconds
        while time.time() < end:
            if condition():
                return True
            time.sleep(0.02)
        raise RuntimeError(
            f"timed out after {seconds} s waiting until {condition_text}")

    def wait_up(self, seconds=30):
        """Waits until each entry instance lists all others as peers."""
        def is_up():
            for index in self.entry_indexes():
                status = self.status(index)
                if status is None or \
                        len(status["peers"]) < self.deployment.entries - 1:
                    return False
            return True
        self.wait_for("every entry instance lists the others as peers", is_up,
                      seconds)

    def wait_ready(self, seconds=30):
        """Waits until each entry instance is ready and all targets are in use."""
        def is_ready():
            return all(http("GET", f"http://127.0.0.1:{CALLER_PORT + index}/readyz")
                       [0] == 200 for index in self.entry_indexes())
        self.wait_for("every entry instance is ready", is_ready, seconds)
        total = sum(self.deployment.pools.values()) * fleet.SLOTS

        def are_targets_in_use():
            free = 0
            for index in self.entry_indexes():
                status = self.status(index)
                if status is None:
                    return False
                free += sum(pool["free"] for pool in status["pools"])
            return free == total
        self.wait_for("all targets are in use", are_targets_in_use, seconds)

    def target_record(self, number, runs=False):
        """Returns the record of a target; None without a response."""
        port = self.targets[number]["port"]
        code, text = http("GET", f"http://127.0.0.1:{port}/record?runs={int(runs)}")
        return json.loads(text) if code == 200 else None

    # Operations.

    def run_tool(self, *arguments):
        """Runs the operators' command-line tool; returns exit code and output."""
        environment = dict(os.environ, CROCUSMAST_OPERATOR_TOKEN=OPERATOR_TOKEN,
                           CROCUSMAST_INSTANCES=self.admin_addresses())
        completed = subprocess.run(
            [str(self.build / "crocusmast"), *map(str, arguments)],
            capture_output=True, text=True, env=environment, check=False)
        return completed.returncode, completed.stdout + completed.stderr

    def write_lists(self, folder, revision=None):
        """Writes the plans and allowances to a folder; returns the folder."""
        folder = pathlib.Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        head = {} if revision is None else {"revision": revision}
        (folder / "plans.json").write_text(
            json.dumps({**head, "plans": self.deployment.plans}))
        (folder / "allowances.json").write_text(
            json.dumps({**head, "allowances": self.deployment.allowances}))
        return folder

    def apply(self, folder, *options):
        return self.run_tool("apply", "--plans", f"{folder}/plans.json",
                             "--allowances", f"{folder}/allowances.json", *options)

    def start_load(self, name, rate, seconds, threads=128, seed=1):
        """Starts the load generator at a rate of requests per second."""
        mix = self.folder / "mix.json"
        mix.write_text(json.dumps(self.deployment.mix))
        return subprocess.Popen(
            [str(self.build / "bench/crocusmast-load"),
             "--to", self.caller_addresses(), "--mix", str(mix),
             "--rate", str(rate), "--seconds", str(seconds),
             "--threads", str(threads), "--seed", str(seed),
             "--id-prefix", name, "--output", "json",
             "--outcomes", str(self.folder / f"{name}.outcomes")],
            stdout=open(self.folder / f"{name}.json", "w"))
