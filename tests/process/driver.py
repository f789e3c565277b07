"""Starts the stand-in and nodes as real processes on loopback and controls them.

Uses the standard library only. Every wait is for a condition and has a deadline; a test never
sleeps for a fixed time and assumes that something has happened by then. Only processes started here
are ended, each by its own pid.
"""

import atexit
import contextlib
import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = os.environ.get("ARBUTUSWORKS", str(ROOT / "build" / "release" / "arbutusworks"))
LOOPBACK = "127.0.0.1"
MODEL = "tiny-llm"
SERVICE = "notes-api"
OPERATOR_KEY = "operator-of-the-test"
WORKSPACE_KEY = "desk-of-the-test"
OTHER_WORKSPACE_KEY = "archive-of-the-test"
DATA_CENTRES = ("lab-a", "lab-b", "lab-c")
NODES_PER_DATA_CENTRE = 2
POLL_SECONDS = 0.02
# The value of the state "ready" in an engine's report.
ENGINE_READY = 2

# Below the kernel's range of ephemeral ports for outgoing connections.
PORT_RANGE = (10000, 32000)


class TimedOut(AssertionError):
    """A condition did not come true before its deadline."""


def wait_until(condition, what, timeout=15.0, poll=POLL_SECONDS):
    """Returns the first true result of `condition` and the seconds it took."""
    begun = time.monotonic()
    while True:
        result = condition()
        if result:
            return result, time.monotonic() - begun
        if time.monotonic() - begun > timeout:
            raise TimedOut(f"{what}: not within {timeout} s")
        time.sleep(poll)


def check_repeatedly(seconds, look, poll=POLL_SECONDS):
    """Calls `look` repeatedly for `seconds`, to check that something does not happen."""
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        look()
        time.sleep(poll)


def free_ports(count):
    """Consecutive ports on which nothing listens."""
    for _ in range(200):
        first = random.randrange(PORT_RANGE[0], PORT_RANGE[1] - count)
        with contextlib.ExitStack() as sockets:
            try:
                for port in range(first, first + count):
                    probe = sockets.enter_context(socket.socket())
                    probe.bind((LOOPBACK, port))
            except OSError:
                continue
        return list(range(first, first + count))
    raise OSError("no free row of ports")


def key_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()


class Reply:
    """A complete response to one HTTP request."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = {name.lower(): value for name, value in headers}
        self.body = body

    @property
    def json(self):
        return json.loads(self.body)

    @property
    def error(self):
        """The `error` object of a refusal."""
        return self.json["error"]

    def __repr__(self):
        return f"Reply({self.status}, {self.body[:200]!r})"


def call(port, method, path, body=None, headers=None, timeout=30.0):
    """One request on its own connection. Raises OSError or HTTPException if no response arrives."""
    connection = http.client.HTTPConnection(LOOPBACK, port, timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        return Reply(response.status, response.getheaders(), response.read())
    finally:
        connection.close()


def send_raw(port, data, timeout=10.0, end=False):
    """Sends the bytes unchanged and returns everything received until the other side closes."""
    with socket.create_connection((LOOPBACK, port), timeout=timeout) as connection:
        with contextlib.suppress(OSError):  # the other side may answer and close before all is sent
            connection.sendall(data)
            if end:
                connection.shutdown(socket.SHUT_WR)
        received = b""
        with contextlib.suppress(ConnectionResetError):
            while part := connection.recv(65536):
                received += part
        return received


def parse_raw(received):
    """The first response in the result of send_raw()."""
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = [line.split(": ", 1) for line in lines[1:]]
    return Reply(int(lines[0].split()[1]), headers, body)


def authorization(key=WORKSPACE_KEY):
    return {"Authorization": f"Bearer {key}"}


def completion_body(prompt, tokens=12, stream=False):
    return {"model": MODEL, "prompt": prompt, "max_tokens": tokens, "stream": stream}


def chat_body(text, tokens=12, stream=False):
    messages = [{"role": "user", "content": text}]
    return {"model": MODEL, "messages": messages, "max_tokens": tokens, "stream": stream}


def complete(port, body, key=WORKSPACE_KEY, headers=None, timeout=30.0):
    path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
    return call(port, "POST", path, body, {**authorization(key), **(headers or {})}, timeout)


def text_of(reply):
    """The text of an answer to a completion or a chat, buffered or streamed."""
    if reply.headers.get("content-type", "").startswith("text/event-stream"):
        return streamed_text(reply.body)
    choice = reply.json["choices"][0]
    return choice["message"]["content"] if "message" in choice else choice["text"]


def streamed_text(body):
    """Joins the tokens of a stream; fails if one is missing or repeated or the end is missing."""
    text, offset, finished = "", 0, False
    events = body.decode().split("\n\n")
    if events[-2:] != ["data: [DONE]", ""]:
        raise AssertionError(f"the stream is cut: {events[-3:]}")
    for event in events[:-2]:
        frame = json.loads(event.removeprefix("data: "))
        if "error" in frame:
            raise AssertionError(f"the stream ends with {frame}")
        choice = frame["choices"][0]
        if frame["offset"] != offset:
            raise AssertionError(f"token {offset} expected, {frame['offset']} came")
        finished = "finish_reason" in choice
        part = choice["delta"]["content"] if "delta" in choice else choice["text"]
        text += part
        offset += 0 if finished else 1
    if not finished:
        raise AssertionError("the stream has no finish")
    return text


class Process:
    """A process of the binary that logs to a file."""

    def __init__(self, name, arguments, directory):
        self.name = name
        self.arguments = [BINARY, *arguments]
        self.log_file = pathlib.Path(directory) / f"{name}.log"
        self.popen = None

    def start(self):
        with self.log_file.open("ab") as log:
            self.popen = subprocess.Popen(self.arguments, stdout=log, stderr=log,
                                          stdin=subprocess.DEVNULL)
        return self

    @property
    def pid(self):
        return self.popen.pid

    def is_running(self):
        return self.popen is not None and self.popen.poll() is None

    def send(self, what):
        self.popen.send_signal(what)

    def kill(self):
        if self.is_running():
            self.popen.kill()
            self.popen.wait()

    def wait(self, timeout):
        """The exit status."""
        return self.popen.wait(timeout)

    def log(self, lines=40):
        text = self.log_file.read_text(errors="replace").splitlines()
        return "\n".join(text[-lines:])

    def cpu_seconds(self):
        """User and system time so far, from /proc."""
        fields = pathlib.Path(f"/proc/{self.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(l for l in status.splitlines() if l.startswith("VmRSS:"))
        return int(line.split()[1]) * 1024


class Node(Process):
    def __init__(self, name, data_centre, caller_port, link_port, settings_file, directory):
        super().__init__(name, ["node", str(settings_file)], directory)
        self.data_centre = data_centre
        self.port = caller_port
        self.link_port = link_port

    @property
    def endpoint(self):
        return f"{LOOPBACK}:{self.port}"

    def status(self, timeout=5.0):
        """The response of /admin/status, or None if the node does not answer."""
        try:
            reply = call(self.port, "GET", "/admin/status", headers=authorization(OPERATOR_KEY),
                         timeout=timeout)
        except (OSError, http.client.HTTPException):
            return None
        return reply.json if reply.status == 200 else None

    def config_version(self):
        status = self.status()
        return status["config_version"] if status else 0

    def serving(self):
        """Names of the replicas that this node routes to."""
        status = self.status()
        return {r["replica"] for r in status["replicas"] if r["serving"]} if status else set()

    def replica(self, name):
        status = self.status() or {"replicas": []}
        return next((r for r in status["replicas"] if r["replica"] == name), None)

    def is_ready(self):
        try:
            return call(self.port, "GET", "/readyz", timeout=5.0).status == 200
        except (OSError, http.client.HTTPException):
            return False

    def gauge(self, name):
        text = call(self.port, "GET", "/metrics").body.decode()
        line = next(l for l in text.splitlines() if l.startswith(name + " "))
        return float(line.split()[1])


class Fleet:
    """A stand-in for the platform and all targets, and nodes in several data centres."""

    def __init__(self, vms_per_data_centre=5, standbys=0, spares=1, checks_tokens=True,
                 replicas_per_data_centre=2, workers=1, balancer_lag_ms=100, body_bytes=65536,
                 buffered_bytes=64 * 1024 * 1024, stop_limit_ms=60000):
        self.directory = pathlib.Path(tempfile.mkdtemp(prefix="arbutusworks-process-test-"))
        atexit.register(self.close)
        self.standbys = standbys
        self.spares = spares
        self.checks_tokens = checks_tokens
        self.replicas_per_data_centre = replicas_per_data_centre
        self.workers = workers
        self.balancer_lag_ms = balancer_lag_ms
        self.body_bytes = body_bytes
        self.buffered_bytes = buffered_bytes
        self.stop_limit_ms = stop_limit_ms
        vm_names = [f"{dc}-vm-{i}" for dc in DATA_CENTRES for i in range(vms_per_data_centre)]
        node_names = [f"{dc}-node-{i}" for dc in DATA_CENTRES
                      for i in range(NODES_PER_DATA_CENTRE)]
        ports = iter(free_ports(len(vm_names) + len(DATA_CENTRES) + 2 * len(node_names) + 1))
        self.platform_port = next(ports)
        self.vm_ports = {name: next(ports) for name in vm_names}
        self.service_ports = {dc: next(ports) for dc in DATA_CENTRES}
        self.nodes = [self._make_node(name, next(ports), next(ports)) for name in node_names]
        self._write_configuration()
        for node in self.nodes:
            self._write_settings(node)
        self.configuration = self.directory / "configuration"
        first_settings = self._settings_file(self.nodes[0].name)
        self.standin = Process("standin", ["standin", str(self.configuration), "--settings",
                                           str(first_settings)], self.directory)

    # ---- files ----

    def _make_node(self, name, caller_port, link_port):
        data_centre = name.rsplit("-node-", 1)[0]
        return Node(name, data_centre, caller_port, link_port, self._settings_file(name),
                    self.directory)

    def _settings_file(self, name):
        return self.directory / f"{name}.toml"

    def _write_settings(self, node):
        text = (f'[node]\nid = "{node.name}"\ndata_centre = "{node.data_centre}"\n'
                f'[listen]\ncallers = "{node.endpoint}"\nlinks = "{LOOPBACK}:{node.link_port}"\n'
                "[platform]\n")
        for part in ("table", "objects", "vms"):
            text += f'{part} = "{LOOPBACK}:{self.platform_port}"\n'
        text += (f'[operators]\nkey_hash = "{key_hash(OPERATOR_KEY)}"\n'
                 f"[limits]\nbody_bytes = {self.body_bytes}\nbuffered_bytes = {self.buffered_bytes}\n"
                 "body_timeout_ms = 1000\n"
                 "header_timeout_ms = 1000\n"
                 f"[threads]\nworkers = {self.workers}\n"
                 f"[timing]\nbalancer_lag_ms = {self.balancer_lag_ms}\n"
                 f"stop_limit_ms = {self.stop_limit_ms}\n")
        for peer in self.nodes:
            if peer is not node:
                text += (f'[[peer]]\nid = "{peer.name}"\ndata_centre = "{peer.data_centre}"\n'
                         f'link = "{LOOPBACK}:{peer.link_port}"\ncaller = "{peer.endpoint}"\n')
        self._settings_file(node.name).write_text(text)

    def _write_configuration(self):
        directory = self.directory / "configuration"
        directory.mkdir()
        (directory / "inventory.csv").write_text(self.inventory_text())
        (directory / "rules.toml").write_text(self.rules_text())

    def inventory_text(self):
        rows = ["kind,id,data_centre,region,address,fabric_domain,accelerators,checks_tokens,"
                "link,caller"]
        rows += [f"data_centre,{dc},,lab,,,,,," for dc in DATA_CENTRES]
        checks = "yes" if self.checks_tokens else "no"
        for name, port in self.vm_ports.items():
            dc = name.rsplit("-vm-", 1)[0]
            rows.append(f"vm,{name},{dc},,{LOOPBACK}:{port},{dc}-fabric,2,{checks},,")
        for node in self.nodes:
            rows.append(f"node,{node.name},{node.data_centre},,,,,,"
                        f"{LOOPBACK}:{node.link_port},{node.endpoint}")
        for dc, port in self.service_ports.items():
            rows.append(f"service,{SERVICE},{dc},,{LOOPBACK}:{port},,,,,")
        return "\n".join(rows) + "\n"

    def rules_text(self, share=3.0, deadline_ms=20000):
        replicas = ", ".join(f"{dc} = {self.replicas_per_data_centre}" for dc in DATA_CENTRES)
        return f"""[weights]
group_downtime = 3.0
stranded_accelerators = 1.0

[planning]
spare_vms_per_data_centre = {self.spares}
standbys_per_replica = {self.standbys}
vm_failures_per_day = 1.0

[[model]]
id = "{MODEL}"
version = "1"
vms_per_replica = 2
accelerators_per_vm = 2
slots = 8
replicas = {{ {replicas} }}

[[service]]
id = "{SERVICE}"
path_prefix = "/notes"
idempotent_calls = ["GET /notes"]
workspaces = ["desk"]

[[class]]
name = "interactive"
priority = 0
deadline_ms = {deadline_ms}
first_token_ms = 5000

[[workspace]]
id = "desk"
key_hashes = ["{key_hash(WORKSPACE_KEY)}"]
models = ["{MODEL}"]
share = {share}

[[workspace]]
id = "archive"
key_hashes = ["{key_hash(OTHER_WORKSPACE_KEY)}"]
models = ["{MODEL}"]
share = 0.5
"""

    def configuration_copy(self, name, **rules):
        """A second configuration directory, with different rules."""
        directory = self.directory / name
        directory.mkdir(exist_ok=True)
        (directory / "inventory.csv").write_text(self.inventory_text())
        (directory / "rules.toml").write_text(self.rules_text(**rules))
        return directory

    # ---- start and end ----

    def start(self):
        self.standin.start()
        wait_until(self._platform_answers, "the stand-in listens")
        for node in self.nodes:
            node.start()
        wait_until(lambda: all(n.status() for n in self.nodes), "all nodes answer")
        result = self.apply(self.configuration)
        if result.returncode != 0:
            raise AssertionError(f"the first apply ended with {result}")
        self.wait_all_serving(timeout=30.0)
        return self

    def _platform_answers(self):
        if not self.standin.is_running():
            raise AssertionError("the stand-in ended:\n" + self.standin.log())
        try:
            return call(self.platform_port, "GET", "/counters", timeout=2.0).status == 200
        except OSError:
            return False

    def close(self):
        for process in [*self.nodes, self.standin]:
            if process.is_running():
                with contextlib.suppress(ProcessLookupError):
                    process.send(signal.SIGCONT)
                process.kill()
        if os.environ.get("ARBUTUSWORKS_KEEP_LOGS") is None:
            shutil.rmtree(self.directory, ignore_errors=True)

    def print_logs(self, lines=40):
        for process in [*self.nodes, self.standin]:
            if process.log_file.exists():
                print(f"---- {process.name}\n{process.log(lines)}", file=sys.stderr)

    def wait_all_serving(self, nodes=None, timeout=20.0):
        """Waits until each node routes to all replicas of its data centre; returns the seconds."""
        wanted = self.replicas_per_data_centre
        nodes = self.nodes if nodes is None else nodes
        return wait_until(lambda: all(len(n.serving()) >= wanted for n in nodes),
                          "all replicas serve", timeout)[1]

    def nodes_of(self, data_centre):
        return [n for n in self.nodes if n.data_centre == data_centre]

    # ---- commands ----

    def run(self, *arguments, timeout=60.0):
        return subprocess.run([BINARY, *map(str, arguments)], capture_output=True, text=True,
                              timeout=timeout, check=False, stdin=subprocess.DEVNULL)

    def apply(self, directory, *more, nodes=None, timeout=60.0):
        arguments = ["apply", directory, "--key", OPERATOR_KEY]
        for node in nodes or self.nodes:
            arguments += ["--node", node.endpoint]
        return self.run(*arguments, *more, timeout=timeout)

    # ---- the stand-in ----

    def fault(self, path="/faults", **command):
        reply = call(self.platform_port, "POST", path, command)
        if reply.status != 200:
            raise AssertionError(f"the stand-in refused {command}: {reply}")

    def vm_fault(self, vm, **command):
        self.fault(f"/faults/vm/{vm}", **command)

    def table_fault(self, **command):
        self.fault(table=command)

    def platform_fault(self, **command):
        self.fault(table=command, objects=command)

    def clear_faults(self):
        """Ends the injected faults of the table and the object store."""
        self.platform_fault(down=False, latency_ms=0, lose_requests=0, lose_replies=0,
                            lose_fraction=0, cut_off=[])

    def report(self, vm):
        """An engine's report, or None if it does not answer."""
        try:
            return call(self.vm_ports[vm], "GET", "/report", timeout=2.0).json
        except (OSError, http.client.HTTPException):
            return None

    def executions(self):
        """Counters of the service: `executions`, `keys`, `most_per_key`."""
        return call(self.service_ports[DATA_CENTRES[0]], "GET", "/standin/executions").json

    def head(self):
        """The row of the configuration's head in the table."""
        return call(self.platform_port, "GET", "/table/config/head")

    def call_engine(self, body, data_centre=DATA_CENTRES[0]):
        """The answer of a stand-in engine, called directly."""
        status = self.nodes_of(data_centre)[0].status()
        replica = next(r for r in status["replicas"] if r["serving"])
        path = "/v1/chat/completions" if "messages" in body else "/v1/completions"
        for vm in replica["members"]:
            reply = call(self.vm_ports[vm], "POST", path, body,
                         {"x-request-id": "direct", "x-replica": replica["replica"],
                          "x-generation": replica["generation"]})
            if reply.status == 200:
                return reply
        raise AssertionError(f"no member of {replica['replica']} answers: {reply}")


class OwnershipMonitor:
    """Polls the engines and nodes of a data centre, in its own thread, for VMs in two replicas.

    An engine reports only one replica. A VM with two owners is one that changes its replica within
    one generation, that returns to a replica of an older generation, or that is in two replicas of
    one node's status.
    """

    def __init__(self, fleet, data_centre):
        self.fleet = fleet
        self.nodes = fleet.nodes_of(data_centre)
        self.vms = [vm for vm in fleet.vm_ports if vm.startswith(data_centre)]
        self.findings = []
        self.polls = 0
        self.owners = {}  # (vm, generation) -> replica
        self.newest = {}  # vm -> generation in its last report, as numbers
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self):
        self._thread.start()
        return self

    def __exit__(self, *_):
        self._ended.set()
        self._thread.join()

    def _run(self):
        while not self._ended.is_set():
            self._poll()
            self.polls += 1
            time.sleep(0.05)

    def _poll(self):
        for vm in self.vms:
            report = self.fleet.report(vm)
            if report and report["rep"]:
                self._check_generation(vm, report)
                owner = self.owners.setdefault((vm, report["gen"]), report["rep"])
                if owner != report["rep"]:
                    self.findings.append(f"{vm}: {owner} and {report['rep']} at {report['gen']}")
        for node in self.nodes:
            status = node.status(timeout=1.0) if node.is_running() else None
            if status:
                self._check_status(node, status)

    def _check_generation(self, vm, report):
        generation = (report["inc"], *map(int, report["gen"].split(".")))
        before = self.newest.get(vm, generation)
        if generation < before:
            self.findings.append(f"{vm}: went back from {before} to {generation}")
        self.newest[vm] = generation

    def _check_status(self, node, status):
        owners = {}
        for replica in status["replicas"]:
            for vm in [*replica["members"], *replica["standbys"]]:
                if vm in owners:
                    self.findings.append(
                        f"{node.name}: {vm} is in {owners[vm]} and {replica['replica']}")
                owners[vm] = replica["replica"]


class Load:
    """Requests completions from some nodes continuously, in its own threads."""

    def __init__(self, nodes, callers_per_node=2, tokens=8, stream=True):
        self.bodies = [completion_body(f"load {i}", tokens, stream) for i in range(4)]
        self.expected = {}  # prompt -> text
        self.complete_count = 0
        self.wrong = []  # answers that differ from the expected one
        self.refused = []  # (node, type, code)
        self.unanswered = []  # (node, error)
        self._lock = threading.Lock()
        self._ended = threading.Event()
        self._threads = [threading.Thread(target=self._run, args=(node,), daemon=True)
                         for node in nodes for _ in range(callers_per_node)]

    def learn_answers(self, fleet):
        """Gets the expected answers from an engine. Must be called before any fault."""
        for body in self.bodies:
            self.expected[body["prompt"]] = text_of(fleet.call_engine({**body, "stream": False}))
        return self

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.end()

    def end(self):
        self._ended.set()
        for thread in self._threads:
            thread.join()

    def _run(self, node):
        turn = 0
        while not self._ended.is_set():
            body = self.bodies[turn % len(self.bodies)]
            turn += 1
            try:
                self._check(node, body, complete(node.port, body, timeout=30.0))
            except (OSError, http.client.HTTPException) as error:
                if node.is_running():  # a killed node does not answer
                    self._record(self.unanswered, (node.name, repr(error)))
                return

    def _check(self, node, body, reply):
        if reply.status != 200:
            self._record(self.refused, (node.name, reply.error["type"], reply.error["code"]))
            time.sleep(POLL_SECONDS)
            return
        try:
            text = text_of(reply)
        except AssertionError as error:
            self._record(self.wrong, (node.name, str(error)))
            return
        if text != self.expected[body["prompt"]]:
            self._record(self.wrong, (node.name, body["prompt"], text))
        with self._lock:
            self.complete_count += 1

    def _record(self, into, what):
        with self._lock:
            into.append(what)

    def __repr__(self):
        return (f"{self.complete_count} complete, {len(self.wrong)} wrong {self.wrong[:3]}, "
                f"{len(self.refused)} refused {self.refused[:3]}, "
                f"{len(self.unanswered)} unanswered {self.unanswered[:3]}")


class ProcessTest(unittest.TestCase):
    """A test on a fleet, which is started once for all classes of a file with the same options.

    Prints the logs of all processes if the test fails.
    """

    fleet_options = {}
    fleet = None
    _fleets = {}

    @classmethod
    def setUpClass(cls):
        options = tuple(sorted(cls.fleet_options.items()))
        if options not in ProcessTest._fleets:
            ProcessTest._fleets[options] = cls._start_fleet()
        cls.fleet = ProcessTest._fleets[options]

    @classmethod
    def _start_fleet(cls):
        fleet = Fleet(**cls.fleet_options)
        try:
            return fleet.start()
        except BaseException:
            fleet.print_logs()
            fleet.close()
            raise

    def run(self, result=None):
        result = self.defaultTestResult() if result is None else result
        before = len(result.failures) + len(result.errors)
        super().run(result)
        if len(result.failures) + len(result.errors) > before and self.fleet is not None:
            print(f"==== logs after {self.id()}", file=sys.stderr)
            self.fleet.print_logs()
        return result

    def measured(self, what, seconds):
        """Prints a measurement for the log of the run."""
        print(f"measured: {what}: {seconds:.2f} s", flush=True)


def in_parallel(jobs):
    """Runs the functions simultaneously; returns their results or exceptions in order."""
    results = [None] * len(jobs)

    def run(index, job):
        try:
            results[index] = job()
        except Exception as error:  # returned to the test, which checks it
            results[index] = error

    threads = [threading.Thread(target=run, args=pair, daemon=True) for pair in enumerate(jobs)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return results
