"""Small stand-ins for the users' platform: its store, plain engines, and the start of nodes.

They follow the users' pages (PROTOCOL.md, DEPLOY.md): rows with one counter of versions, a feed that
answers as soon as there is a change, engines that check `X-Expect-Instance` and sign their answers.
Python's standard library only; every address is a loopback address.
"""

import atexit
import base64
import contextlib
import http.client
import http.server
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import threading
import time
import traceback
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "arbutusworks"
LOOPBACK = "127.0.0.1"
HOST = "desk.example"
KEY = "key-of-the-desk-0001"
TENANT = "desk"
GRACE_S = 8


class Record:
    """What was sent, answered and run, with times; written to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begun = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:9.3f}  {text}\n")
            self.file.flush()


class Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        pass  # a peer has closed its channel


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *arguments):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def answer(self, status, body=b"", headers=()):
        self.send_response(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def answer_json(self, status, document):
        self.answer(status, json.dumps(document).encode(), [("Content-Type", "application/json")])


def listen(handler, **members):
    server = Server((LOOPBACK, 0), type("Bound", (handler,), members))
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


class Store:
    """The platform's store: tables of rows, transactions, whole reads and a feed."""

    def __init__(self):
        self.tables = {}
        self.version = 0
        self.begun = time.monotonic()
        self.changed = threading.Condition()
        self.server = listen(StoreHandler, store=self)
        self.port = self.server.server_address[1]

    def write(self, table, key, document):
        text = document if isinstance(document, str) else json.dumps(document)
        with self.changed:
            self.version += 1
            self._put(table, key, base64.b64encode(text.encode()).decode())
            return self.version

    def _put(self, table, key, value):
        self.tables.setdefault(table, {})[key] = (value, self.version)
        self.changed.notify_all()

    def transaction(self, document):
        with self.changed:
            current = []
            met = True
            for c in document.get("precondition", []):
                value, version = self.tables.get(c["table"], {}).get(c["key"], (None, 0))
                version = version if value is not None else 0
                met = met and version == c["ver"]
                if version:
                    current.append({"table": c["table"], "part": "", "key": c["key"],
                                    "value": value, "ver": version})
            if not met:
                return 412, {"rows": current, "ver": self.version, "now-ms": self.now_ms()}
            self.version += 1
            for w in document.get("writes", []):
                self._put(w["table"], w["key"], w["value"])
            for d in document.get("deletes", []):
                self._put(d["table"], d["key"], None)
            return 200, {"ver": self.version, "now-ms": self.now_ms()}

    def now_ms(self):
        return int((time.monotonic() - self.begun) * 1000) + 1

    def rows(self, table, after=None):
        found = []
        for key, (value, version) in self.tables.get(table, {}).items():
            row = {"table": table, "part": "", "key": key, "ver": version}
            if after is None and value is not None:
                found.append(row | {"value": value})
            elif after is not None and version > after:
                found.append(row | ({"value": value} if value is not None else {"removed": True}))
        found.sort(key=lambda r: r["key"].encode() if after is None else r["ver"])
        return found


class StoreHandler(Handler):
    store = None

    def do_GET(self):
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        store = self.store
        if url.path == "/api/rows-get":
            with store.changed:
                rows = [r for r in store.rows(query["table"]) if r["key"] >= query.get("from", "")]
                answer = {"rows": rows[:500], "has-more": len(rows) > 500,
                          "ver": store.version, "now-ms": store.now_ms()}
            time.sleep(0.004)
            self.answer_json(200, answer)
        elif url.path == "/api/rows-feed":
            after = int(query["after"])
            until = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
            with store.changed:
                while not (rows := store.rows(query["table"], after)):
                    if not store.changed.wait(max(0.0, until - time.monotonic())):
                        break
                answer = {"rows": rows, "ver": store.version, "now-ms": store.now_ms()}
            time.sleep(0.004)
            self.answer_json(200, answer)
        else:
            self.answer_json(404, {})

    def do_POST(self):
        status, answer = self.store.transaction(json.loads(self.body()))
        time.sleep(0.004)
        self.answer_json(status, answer)


class Engine:
    """A sound engine of a plain service. `work_s`: how long it works on a request."""

    def __init__(self, store, service, zone, work_s, record):
        self.id = f"i-{random.randrange(16 ** 10):010x}"
        self.record = record
        self.work_s = work_s
        self.runs = {}  # request id: bytes of its body
        self.ended = {}  # request id: how its run ended
        self.server = listen(EngineHandler, engine=self)
        store.write("servers", self.id, {
            "service": service, "address": f"{LOOPBACK}:{self.server.server_address[1]}",
            "zone": zone, "version": 1, "slots": 64, "state": "ready", "warmup-left-ms": 0,
            "sequence": 1})


class EngineHandler(Handler):
    engine = None

    def serve(self):
        engine = self.engine
        if self.path == "/healthz":
            self.answer(200, b"", [("X-Instance-Id", engine.id)])
            return
        if self.headers.get("X-Expect-Instance", engine.id) != engine.id:
            self.answer(421, b"", [("X-Not-Executed", "1"), ("At-Server", engine.id)])
            return
        body = self.body()
        request = self.headers["X-Request-Id"]
        engine.record(f"engine {engine.id} runs {request}, {len(body)} bytes, tenant "
                      f"{self.headers.get('X-Tenant')}")
        engine.runs[request] = len(body)
        time.sleep(engine.work_s)
        engine.ended[request] = "done"
        text = f"{request} done\n".encode() * 20
        self.answer(200, text, [("X-Request-Id", request), ("X-Response-Seal", f"seal.{request}"),
                                ("X-Instance-Load", "1,0,64")])
        engine.record(f"engine {engine.id} has answered {request}")

    do_GET = serve
    do_POST = serve


def configuration(version, service, routes):
    """`routes`: (prefix, route type, max attempts, timeout in ms)."""
    return {
        "version": version,
        "routes": [{"name": prefix.strip("/"), "hostname": HOST, "prefix": prefix,
                    "route-type": kind, "timeout-ms": timeout, "target-latency-ms": 300,
                    "priority": 2, "max-attempts": attempts, "service": service, "public": False}
                   for prefix, kind, attempts, timeout in routes],
        "services": [{"name": service, "health-check": "/healthz", "max-connections": 512,
                      "protocol": "h1", "tls": False}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                   "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
        "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}],
    }


def free_ports(count):
    sockets = []
    for _ in range(count):
        s = socket.socket()
        s.bind((LOOPBACK, 0))
        sockets.append(s)
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Node:
    """A node, started with the command of deploy/system.toml and settings like its template's."""

    def __init__(self, directory, name, zone, zones, store_port, memory_mb=260):
        self.name = name
        self.memory_mb = memory_mb
        self.callers, self.ready, links, metrics, relays = free_ports(5)
        quoted = ", ".join(f'"{z}"' for z in zones)
        regions = "\n".join(f'"{z}" = "north"' for z in zones)
        self.settings = pathlib.Path(directory) / f"{name}.toml"
        self.settings.write_text(f"""[node]
id = "{name}"
data_centre = "{zone}"
data_centres = [ {quoted} ]
cold_start = true
[regions]
{regions}
[listen]
callers = "{LOOPBACK}:{self.callers}"
ready = "{LOOPBACK}:{self.ready}"
links = "{LOOPBACK}:{links}"
metrics = "{LOOPBACK}:{metrics}"
relays = "{LOOPBACK}:{relays}"
[platform]
store = "{LOOPBACK}:{store_port}"
[bounds]
key_withdrawal_ms = 5000
configuration_ms = 2000
drain_ms = 2000
stall_ms = 5000
grace_s = {GRACE_S}
retry_ratio = 0.2
retry_burst = 130
retry_window_s = 10
target_heartbeat_ms = 1200
[machine]
processor = 0.25
link_mbps = 1000.0
memory_mb = {memory_mb}
file_descriptors = 4200
[log]
level = "info"
""", encoding="utf-8")
        self.log = open(pathlib.Path(directory) / f"{name}.log", "wb")
        self.process = subprocess.Popen([str(BINARY), "hosted", str(self.settings)],
                                        stdout=self.log, stderr=self.log)
        atexit.register(self.end)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(LOOPBACK, self.ready, timeout=2)
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def wait_until_ready(self, limit_s=20):
        until = time.monotonic() + limit_s
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.1)
        return False

    def own_memory(self):
        """Bytes of the process that no file backs; what the kernel holds for it is left out."""
        with contextlib.suppress(OSError):
            for line in pathlib.Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("RssAnon:"):
                    return int(line.split()[1]) * 1024
        return 0

    def end(self):
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.log.close()


def head_of(method, path, request, length=0, deadline_ms=8000):
    return (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
            f"X-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {KEY}\r\n"
            f"Content-Length: {length}\r\n\r\n").encode()


def read_answer(channel):
    """Status and body of an answer with a length; (0, what came) if the channel ends before."""
    received = b""
    while b"\r\n\r\n" not in received:
        part = channel.recv(65536)
        if not part:
            return 0, received
        received += part
    head, _, body = received.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    while len(body) < int(fields["content-length"]):
        part = channel.recv(65536)
        if not part:
            return 0, received
        body += part
    return int(lines[0].split()[1]), body


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def run(main, record_file):
    """The exit status of a case; 2 if it could not run."""
    try:
        return main()
    except Exception:  # whatever ends a case early is no broken rule
        text = traceback.format_exc()
        with open(record_file, "a", encoding="utf-8") as file:
            file.write(text)
        print(text)
        return 2
