"""Runs the system with stand-ins on loopback and reports the callers' outcomes.

Every process is a child of this script. The script ends its children by process
ID, also when it is interrupted.
"""

import argparse
import json
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import threading
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BIN = ROOT / "build" / "release" / "bin"

PLATFORM = "127.70.0.1:7002"
FABRIC = "127.70.0.2:7000"
GATEWAY = "127.70.0.3:7000"
FLOW_HASH_KEY = "000102030405060708090a0b0c0d0e0f"
SAMPLE_INTERVAL_SECONDS = 0.25
WAIT_TIMEOUT_SECONDS = 30
# Violated guarantees, by their row names in the table.
VIOLATIONS = (
    "broken", "misrouted", "answeredTwice", "ranMoreThanOnce",
    "ranAfterRefused", "lost",
)


def http(method, url, body=None, timeout=3):
    """Returns the response body; raises OSError if the request fails."""
    data = None if body is None else body.encode()
    request = urllib.request.Request(f"http://{url}", data=data, method=method)
    with urllib.request.urlopen(request, timeout=timeout) as answer:
        return answer.read().decode()


def http_json(url):
    """Returns the JSON page at url; None if it is unavailable or invalid."""
    try:
        return json.loads(http("GET", url))
    except (OSError, ValueError):
        return None


def read_document(path):
    """Returns the document's text and its parsed JSON.

    Comments are on lines of their own and are removed before parsing.
    """
    text = path.read_text()
    return text, json.loads(re.sub(r"(?m)^\s*//.*$", "", text))


class Processes:
    """The child processes of this script, by name."""

    def __init__(self, log_folder):
        self.log_folder = log_folder
        self.children = {}
        self.signaled = set()

    def start(self, name, *command):
        with open(self.log_folder / f"{name}.log", "ab") as log:
            self.children[name] = subprocess.Popen(
                [str(argument) for argument in command],
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )

    def send(self, name, signal_number):
        self.signaled.add(name)
        self.children[name].send_signal(signal_number)

    def wait(self, name, seconds):
        return self.children[name].wait(timeout=seconds)

    def check_alive(self):
        """Raises if a child failed although this script sent it no signal."""
        for name, child in self.children.items():
            if child.poll() not in (None, 0) and name not in self.signaled:
                raise RuntimeError(
                    f"{name} ended with {child.returncode}; see "
                    f"{self.log_folder}/{name}.log"
                )

    def stop_all(self):
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, signal.SIG_IGN)
        for child in self.children.values():
            if child.poll() is None:
                child.terminate()
        deadline = time.monotonic() + 3
        for child in self.children.values():
            try:
                child.wait(timeout=max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                child.kill()
                child.wait()


class Fleet:
    """Starts one user's fleet and publishes its instance list."""

    def __init__(self, user, processes, folder):
        self.processes = processes
        self.folder = folder
        self.document_path = ROOT / "examples" / user / "document.json"
        self.text, self.document = read_document(self.document_path)
        self.zones = [z for r in self.document["regions"] for z in r["zones"]]
        self.instances = {}
        self.targets = {}
        number = 0
        for service in self.document["services"]:
            for target in service["targets"]:
                number += 1
                self.targets[target["name"]] = {
                    "number": number,
                    "zone": target["zone"],
                    "service": service["name"],
                }

    def put_document(self, text):
        http("PUT", f"{PLATFORM}/admin/documents/production", text)

    def put_instance_list(self):
        body = json.dumps({"instances": list(self.instances.values())})
        http("PUT", f"{PLATFORM}/admin/instances", body)

    def write_settings(self, name, zone, address, extra):
        content = {
            "name": name,
            "environment": "production",
            "zone": zone,
            "data": f"{address}:7000",
            "control": f"{address}:7001",
            "status": f"{address}:7002",
            "configurationService": PLATFORM,
            "flowHashKey": FLOW_HASH_KEY,
            **extra,
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(content, indent=2))
        return path

    def add_instance(self, name, role, zone, address):
        self.instances[name] = {
            "name": name,
            "role": role,
            "zone": zone,
            "data": f"{address}:7000",
            "control": f"{address}:7001",
            "state": "live",
        }

    def start_balancer(self, number):
        name = f"balancer-{number}"
        zone = self.zones[(number - 1) % len(self.zones)]
        address = f"127.71.0.{number}"
        path = self.write_settings(
            name, zone, address, {"stopDelayMilliseconds": 1500}
        )
        self.processes.start(
            name, BIN / "lacewingspread", "balancer", "--settings", path
        )
        self.add_instance(name, "balancer", zone, address)

    def start_target(self, name, seed):
        target = self.targets[name]
        number = target["number"]
        agent = f"127.72.0.{number}"
        server = f"127.73.0.{number}"
        self.processes.start(
            f"backend-{name}", BIN / "standin", "backend",
            "--listen", f"{server}:7000", "--agent", f"{agent}:7010",
            "--control", f"{server}:7002", "--service", target["service"],
            "--target", name, "--seed", seed + number,
        )
        self.start_agent(name)

    def start_agent(self, name):
        target = self.targets[name]
        agent = f"127.72.0.{target['number']}"
        path = self.write_settings(name, target["zone"], agent, {
            "backendServer": f"127.73.0.{target['number']}:7000",
            "backendPort": f"{agent}:7010",
            "gateway": GATEWAY,
        })
        self.processes.start(
            name, BIN / "lacewingspread", "agent", "--settings", path
        )
        self.add_instance(name, "target", target["zone"], agent)

    def status(self, name):
        address = self.instances[name]["data"].split(":")[0]
        return http_json(f"{address}:7002/status")

    def wait_ready(self):
        """Waits until all instances are ready.

        An agent must also have run for its whole replay window ("complete").
        """
        deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
        for name in list(self.instances):
            while time.monotonic() < deadline:
                self.processes.check_alive()
                page = self.status(name)
                if page and page["ready"] and page.get("complete", True):
                    break
                time.sleep(0.1)
            else:
                raise RuntimeError(f"{name} is not ready")

    def wait_revision(self, revision):
        """Waits for all live instances to use revision; returns the seconds."""
        start = time.monotonic()
        names = [n for n, i in self.instances.items() if i["state"] == "live"]
        while time.monotonic() - start < WAIT_TIMEOUT_SECONDS:
            pages = [self.status(name) for name in names]
            if all(p and p["revision"] >= revision for p in pages):
                return time.monotonic() - start
            time.sleep(0.05)
        raise RuntimeError(f"revision {revision} is not in use everywhere")


class LoadSampler(threading.Thread):
    """Samples the open flows of all targets while the callers run."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.samples = {}
        self.stop_requested = threading.Event()

    def run(self):
        while not self.stop_requested.wait(SAMPLE_INTERVAL_SECONDS):
            loads = {}
            for name, target in self.fleet.targets.items():
                page = self.fleet.status(name)
                if page and not page["leaving"]:
                    loads.setdefault(target["service"], []).append(
                        page["openFlows"]
                    )
            for service, flows in loads.items():
                mean = sum(flows) / len(flows)
                if mean > 0:
                    self.samples.setdefault(service, []).append(
                        max(flows) / mean
                    )

    def max_to_mean_ratios(self):
        """Returns max/mean of the targets' open flows per service, averaged."""
        return {
            service: sum(values) / len(values)
            for service, values in self.samples.items()
        }


def run_timeline(fleet, processes, log):
    """Promotes a revision, drains a target and changes the balancers.

    Stops one balancer, kills another and starts a new one. Returns the name of
    the drained target.
    """
    time.sleep(2)
    document = fleet.text.replace('"revision": 1,', '"revision": 2,')
    fleet.put_document(document)
    seconds = fleet.wait_revision(2)
    log(f"promoted revision 2; in use everywhere after {seconds:.1f} s")

    drained = next(iter(fleet.targets))
    fleet.instances[drained]["state"] = "leaving"
    fleet.put_instance_list()
    processes.send(drained, signal.SIGTERM)
    log(f"draining target {drained}")
    time.sleep(2)

    fleet.instances["balancer-1"]["state"] = "leaving"
    fleet.put_instance_list()
    time.sleep(0.5)
    processes.send("balancer-1", signal.SIGTERM)
    log("stopping balancer-1 gracefully")
    time.sleep(2)

    processes.send("balancer-2", signal.SIGKILL)
    log("killed balancer-2")
    time.sleep(0.5)
    del fleet.instances["balancer-2"]
    del fleet.instances["balancer-1"]
    fleet.put_instance_list()
    time.sleep(1)

    fleet.start_balancer(4)
    fleet.put_instance_list()
    log("started balancer-4")
    return drained


def run_faults(fleet, processes, log):
    """Suspends one agent, kills another and suspends the platform.

    No flow may break meanwhile.
    """
    names = list(fleet.targets)
    suspended, crashed = names[1], names[2]
    processes.send(suspended, signal.SIGSTOP)
    log(f"suspended the agent of {suspended}")
    time.sleep(3)
    processes.send(suspended, signal.SIGCONT)
    log(f"resumed the agent of {suspended}")
    time.sleep(1)

    processes.send(crashed, signal.SIGKILL)
    time.sleep(0.3)
    fleet.start_agent(crashed)
    log(f"killed the agent of {crashed} and started a new one")
    time.sleep(2)

    processes.send("platform", signal.SIGSTOP)
    log("suspended the platform's services")
    time.sleep(6)
    processes.send("platform", signal.SIGCONT)
    log("resumed the platform's services")
    time.sleep(2)


def collect_runs(fleet):
    """Returns the run counts as {request: {target: count}}."""
    runs = {}
    for name, target in fleet.targets.items():
        page = http_json(f"127.73.0.{target['number']}:7002/runs")
        if page is None:
            raise RuntimeError(f"backend server of {name} does not answer")
        for request_id, count in page.items():
            runs.setdefault(request_id, {})[name] = count
    return runs


def violations_of(call, count):
    """Returns the kinds of VIOLATIONS in a call that ran count times."""
    must_run_once = not call["idempotent"]
    outcome = call["outcome"]
    is_violated = {
        "broken": outcome == "broken",
        "misrouted": outcome == "misrouted",
        "answeredTwice": call["answeredTwice"],
        "ranMoreThanOnce": must_run_once and count > 1,
        "ranAfterRefused": must_run_once and count > 0 and outcome == "refused",
        "lost": (
            count == 0 and outcome == "completed" and call["verb"] != "STREAM"
        ),
    }
    return [kind for kind in VIOLATIONS if is_violated[kind]]


def print_traces(calls, runs, logs):
    """Prints each call with a violation, and its trace from the logs."""
    for call in calls:
        run_counts = runs.get(call["id"], {})
        violations = violations_of(call, sum(run_counts.values()))
        if not violations:
            continue
        print(f"\nrequest {call['id']} of {call['caller']}, "
              f"{call['service']}/{call['class']}: {', '.join(violations)}; "
              f"outcome {call['outcome']}, attempts {call['attempts']}, "
              f"ran at {run_counts or 'no target'} {call['cause']}", flush=True)
        subprocess.run(
            [str(BIN / "lacewingctl"), "trace", call["caller"],
             *(str(file) for file in sorted(logs.glob("*.log")))],
            check=False,
        )


def summarize(fleet, calls, runs_by_target, ratios):
    """Combines the callers' outcomes with the backend servers' runs."""
    runs = {
        request_id: sum(run_counts.values())
        for request_id, run_counts in runs_by_target.items()
    }
    rows = {}
    for service in fleet.document["services"]:
        name = service["name"]
        service_calls = [c for c in calls if c["service"] == name]
        count = lambda outcome: sum(
            c["outcome"] == outcome for c in service_calls
        )
        violations = [
            v for c in service_calls
            for v in violations_of(c, runs.get(c["id"], 0))
        ]
        rows[name] = {
            "started": len(service_calls),
            "completed": count("completed"),
            **{kind: violations.count(kind) for kind in VIOLATIONS},
            "refusedAsNotRun": count("refused"),
            "outcomeUnknown": count("unknown"),
            "refusalsBeforeSuccess": sum(
                c["attempts"] - 1 for c in service_calls
                if c["outcome"] == "completed"
            ),
            "maxToMeanFlows": round(ratios.get(name, 0), 3),
        }
    return rows


def print_table(rows):
    names = list(rows)
    keys = list(rows[names[0]])
    print("\n" + "".ljust(24) + "".join(name.rjust(12) for name in names))
    for key in keys:
        print(key.ljust(24) + "".join(str(rows[n][key]).rjust(12) for n in names))


def main():
    parser = argparse.ArgumentParser(prog="scripts/demo")
    parser.add_argument("user", nargs="?", default="stalbo",
                        choices=["stalbo", "chama"])
    parser.add_argument("--json", metavar="FILE")
    parser.add_argument("--seconds", type=int,
                        help="duration of the load")
    parser.add_argument("--faults", action="store_true",
                        help="also suspend and kill agents and suspend the "
                        "platform")
    parser.add_argument("--rate", type=int, default=30)
    parser.add_argument("--streams", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--logs", help="folder for the logs")
    options = parser.parse_args()

    options.seconds = options.seconds or (32 if options.faults else 16)

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(130))
    folder = pathlib.Path(tempfile.mkdtemp(prefix="lacewingspread-"))
    logs = pathlib.Path(options.logs) if options.logs else folder
    logs.mkdir(parents=True, exist_ok=True)
    processes = Processes(logs)
    start = time.monotonic()

    def log(text):
        print(f"[{time.monotonic() - start:6.1f} s] {text}", flush=True)

    try:
        processes.start("platform", BIN / "standin", "platform",
                        "--listen", PLATFORM)
        fleet = Fleet(options.user, processes, folder)
        for _ in range(100):
            try:
                fleet.put_document(fleet.text)
                break
            except OSError:
                time.sleep(0.05)
        for number in (1, 2, 3):
            fleet.start_balancer(number)
        for name in fleet.targets:
            fleet.start_target(name, options.seed)
        fleet.put_instance_list()
        processes.start("fabric", BIN / "standin", "fabric",
                        "--listen", FABRIC, "--platform", PLATFORM,
                        "--seed", options.seed)
        fleet.wait_ready()
        log(f"{options.user}: 3 balancers and {len(fleet.targets)} targets "
            "are ready")

        result_path = logs / "result.json"
        processes.start(
            "callers", BIN / "standin", "callers", "--listen", GATEWAY,
            "--fabric", FABRIC, "--document", fleet.document_path,
            "--seconds", options.seconds, "--rate", options.rate,
            "--streams", options.streams, "--seed", options.seed,
            "--json", result_path,
        )
        sampler = LoadSampler(fleet)
        sampler.start()
        log(f"callers run for {options.seconds} s")
        drained = run_timeline(fleet, processes, log)
        if options.faults:
            run_faults(fleet, processes, log)
        processes.wait("callers", options.seconds + 60)
        sampler.stop_requested.set()
        sampler.join()
        processes.wait(drained, 10)
        log(f"target {drained} finished its flows and stopped")
        pages = {name: fleet.status(name) for name in fleet.instances}
        (logs / "status.json").write_text(json.dumps(pages, indent=2))
        calls = json.loads(result_path.read_text())["calls"]
        runs = collect_runs(fleet)
        rows = summarize(fleet, calls, runs, sampler.max_to_mean_ratios())
    finally:
        processes.stop_all()

    print_table(rows)
    if options.json:
        report = {"user": options.user, "seed": options.seed, "services": rows}
        pathlib.Path(options.json).write_text(json.dumps(report, indent=2))
    violations = sum(row[key] for row in rows.values() for key in VIOLATIONS)
    if violations:
        print_traces(calls, runs, logs)
        print(f"\nFAILED: {violations} violations; logs are in {logs}")
    else:
        print("\nOK")
    return 1 if violations else 0


if __name__ == "__main__":
    try:
        sys.exit(main())
    except KeyboardInterrupt:
        sys.exit(130)
