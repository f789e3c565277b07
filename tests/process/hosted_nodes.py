"""Starts six hosted nodes as real processes with a stand-in for the platform."""

import contextlib
import http.client
import pathlib
import subprocess
import tempfile
import unittest

from driver import BINARY, LOOPBACK, call, free_ports

PORTS_PER_NODE = 5
DATA_CENTRES = ("lab-a", "lab-a", "lab-a", "lab-b", "lab-b", "lab-c")
HOST = "desk.example"
KEY = "key-of-the-desk"
EVENTS = 10


def settings_text(name, data_centre, ports, store):
    return f"""[node]
id = "{name}"
data_centre = "{data_centre}"
data_centres = ["lab-a", "lab-b", "lab-c"]
cold_start = true
[listen]
callers = "{LOOPBACK}:{ports[0]}"
ready = "{LOOPBACK}:{ports[1]}"
links = "{LOOPBACK}:{ports[2]}"
metrics = "{LOOPBACK}:{ports[3]}"
relays = "{LOOPBACK}:{ports[4]}"
[platform]
store = "{LOOPBACK}:{store}"
[bounds]
grace_s = 5
"""


def expected_stream(request_id):
    return "".join(f"id: {i}\ndata: {request_id}\n\n" for i in range(1, EVENTS + 1)).encode()


class HostedNodes(unittest.TestCase):
    bounds = ""  # further lines of the table [bounds] of each node

    def setUp(self):
        self.directory = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
        ports = free_ports(1 + PORTS_PER_NODE * len(DATA_CENTRES))
        self.processes = {}
        self.logs = {}
        self.addCleanup(self.end_all)
        self.start("platform", "platform", *sorted(set(DATA_CENTRES)), "--store-port", str(ports[0]),
                   *self.platform_options())
        self.before_nodes()
        stores = self.stores(ports[0])
        self.callers, self.ready, self.metrics = [], [], []
        for i, data_centre in enumerate(DATA_CENTRES):
            own = ports[1 + PORTS_PER_NODE * i:1 + PORTS_PER_NODE * (i + 1)]
            file = self.directory / f"edge-{i}.toml"
            file.write_text(settings_text(f"edge-{i}", data_centre, own, stores[data_centre])
                            + self.bounds)
            self.start_node(i)
            self.callers.append(own[0])
            self.ready.append(own[1])
            self.metrics.append(own[3])

    def platform_options(self):
        return []

    def stores(self, port):
        """The port of the store for the nodes of each data centre."""
        return dict.fromkeys(DATA_CENTRES, port)

    def before_nodes(self):
        """Called once the platform was started and before any node is."""

    def start(self, name, *arguments):
        if name not in self.logs:
            self.logs[name] = open(self.directory / f"{name}.log", "ab")
            self.addCleanup(self.logs[name].close)
        self.processes[name] = subprocess.Popen([BINARY, *arguments], stdout=self.logs[name],
                                                stderr=self.logs[name])

    def start_node(self, node):
        """Starts a node, or starts it again with the settings of its first start."""
        self.start(f"edge-{node}", "hosted", str(self.directory / f"edge-{node}.toml"))

    def process_of(self, node):
        return self.processes[f"edge-{node}"]

    def kill_node(self, node):
        self.process_of(node).kill()
        self.process_of(node).wait()

    def end_all(self):
        for process in self.processes.values():
            with contextlib.suppress(ProcessLookupError):
                process.kill()
            process.wait()

    def ask(self, node, path, request_id):
        headers = {"Host": HOST, "X-Request-Id": request_id, "X-Deadline-Ms": "6000",
                   "X-Model": "large", "X-Token-Count": "100,20", "Authorization": f"Bearer {KEY}"}
        try:
            return call(self.callers[node], "POST", path, headers=headers)
        except (OSError, http.client.HTTPException):
            return None

    def serves(self, node):
        reply = self.ask(node, "/llm/x", f"warm-{node}")
        return reply is not None and reply.status == 200
