"""Stand-ins for the users' platform, engines and requesters, and the nodes under test as processes.

Standard library only. One event loop runs the store, the engines and the requesters; the nodes are
separate processes, started with the command of deploy/system.toml and settings filled into
deploy/node.toml. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = {"hall-a": "sk-west", "hall-b": "sk-west", "hall-c": "sk-west"}
NODES = (("edge-hall-a-1", "hall-a"), ("edge-hall-a-2", "hall-a"), ("edge-hall-a-3", "hall-a"),
         ("edge-hall-b-1", "hall-b"), ("edge-hall-b-2", "hall-b"), ("edge-hall-c-1", "hall-c"))
BOUNDS = {"contact-ms": 3000, "ack-ms": 4000, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200,
          "config-apply-ms": 2000, "rollback-slack-ms": 250, "max-skew-ms": 5000,
          "revoke-strict": True, "revoke-ms": 5000, "retry-budget-ratio": 0.2,
          "budget-window-s": 10, "retry-burst": 130, "recovery-s": 12, "stall-ms": 4000}
HEARTBEAT_MS = 1200


# ---- the record of a run ----

class Record:
    """What was sent, answered and run, with seconds since the start; written to record.txt."""

    def __init__(self, path):
        self.path = pathlib.Path(path)
        self.begun = time.monotonic()
        self.lines = []

    def add(self, text):
        self.lines.append(f"{time.monotonic() - self.begun:9.3f}  {text}")

    def save(self):
        self.path.write_text("\n".join(self.lines) + "\n")


# ---- HTTP/1.1 on sockets ----

class Head:
    def __init__(self, first, headers):
        self.first = first
        self.headers = headers  # lower-case names; the last one of equal names

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    data = await reader.readuntil(b"\r\n\r\n")
    lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Head(lines[0], headers)


async def read_body(reader, head):
    if "chunked" in head.get("transfer-encoding").lower():
        body = b""
        async for part in read_chunks(reader):
            body += part
        return body
    return await reader.readexactly(int(head.get("content-length", "0") or 0))


async def read_chunks(reader):
    while True:
        size = int((await reader.readline()).split(b";")[0], 16)
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        if size == 0:
            return
        yield data


def response(status, headers=(), body=b""):
    lines = [f"HTTP/1.1 {status} {'OK' if status < 400 else 'No'}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def json_response(status, document):
    return response(status, (("Content-Type", "application/json"),), json.dumps(document).encode())


class Server:
    """Serves `handle(head, body, writer)` on one loopback address."""

    def __init__(self, handle, ip="127.0.0.1"):
        self.handle, self.ip, self.port, self.server = handle, ip, 0, None
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.ip, port, limit=1 << 24)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await read_head(reader)
                await self.handle(head, await read_body(reader, head), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


# ---- the platform's store ----

class Store:
    """The metadata store: rows, transactions and the feed, linearizable, without faults."""

    def __init__(self, record):
        self.record = record
        self.rows = {}  # table -> key -> (value, ver); value None: removed
        self.ver = 0
        self.changed = asyncio.Event()
        self.server = Server(self.handle)
        self.begun = time.monotonic()

    def put(self, table, key, value):
        self.ver += 1
        self.rows.setdefault(table, {})[key] = (value, self.ver)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.ver

    def put_json(self, table, key, document):
        return self.put(table, key, json.dumps(document).encode())

    def entry(self, table, key):
        value, ver = self.rows[table][key]
        found = {"table": table, "part": "", "key": key, "ver": ver}
        if value is None:
            return {**found, "removed": True}
        return {**found, "value": base64.b64encode(value).decode()}

    def answer(self, **fields):
        now_ms = int((time.monotonic() - self.begun) * 1000)
        return json_response(200, {**fields, "ver": self.ver, "now-ms": now_ms})

    async def handle(self, head, body, writer):
        target = head.first.split()[1]
        path, _, query = target.partition("?")
        arguments = dict(p.partition("=")[::2] for p in query.split("&") if p)
        table = arguments.get("table", "")
        if path == "/api/rows-get":
            rows = [self.entry(table, k) for k in sorted(self.rows.get(table, {}))
                    if self.rows[table][k][0] is not None and k >= arguments.get("from", "")]
            writer.write(self.answer(rows=rows, **{"has-more": False}))
        elif path == "/api/rows-feed":
            writer.write(await self.feed(table, int(arguments.get("after", 0)),
                                         int(arguments.get("wait-ms", 0)) / 1000))
        elif path == "/api/rows-tx":
            writer.write(self.transact(json.loads(body)))
        else:
            writer.write(json_response(404, {}))

    async def feed(self, table, after, wait):
        until = time.monotonic() + wait
        while True:
            rows = sorted((self.entry(table, k) for k, (_, ver) in
                           self.rows.get(table, {}).items() if ver > after),
                          key=lambda r: r["ver"])
            left = until - time.monotonic()
            if rows or left <= 0:
                return self.answer(rows=rows)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, call):
        def ver_of(c):
            value, ver = self.rows.get(c["table"], {}).get(c["key"], (None, 0))
            return 0 if value is None else ver
        conditions = call.get("precondition", [])
        if any(ver_of(c) != c["ver"] for c in conditions):
            return json_response(412, {"rows": [], "ver": self.ver})
        for w in call.get("writes", []):
            self.put(w["table"], w["key"], base64.b64decode(w["value"]))
        for d in call.get("deletes", []):
            self.put(d["table"], d["key"], None)
        return self.answer()

    def put_config(self, config):
        self.put_json("op", "config", config)
        self.record.add(f"config version {config['version']} acknowledged: {json.dumps(config)}")


# ---- engines ----

class Engine:
    """An instance of a plain service: runs a request and answers with its seal."""

    def __init__(self, record, store, service, name, zone, slots=6):
        self.record, self.store, self.service, self.name = record, store, service, name
        self.zone, self.slots, self.sequence, self.running = zone, slots, 0, 0
        self.server = Server(self.handle)
        self.runs = []  # dictionaries: request, path, headers, at
        self.state = "ready"

    async def start(self):
        await self.server.start()
        self.list()

    def status(self):
        return {}

    def list(self):
        self.store.put_json("servers", self.name, {
            "service": self.service, "address": self.server.address, "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "warmup-left-ms": 0,
            "sequence": 1, **self.status()})

    def note_run(self, head):
        method, target, _ = head.first.split()
        run = {"request": head.get("x-request-id"), "path": target, "headers": head.headers,
               "at": time.monotonic(), "engine": self.name, "service": self.service}
        self.runs.append(run)
        self.record.add(f"run   {run['request']} at {self.name} of {self.service}: {method} {target}"
                        f" tenant={head.get('x-tenant') or '-'}"
                        f" last-event-id={head.get('last-event-id') or '-'}")

    def answer_headers(self, head):
        name = head.get("x-request-id")
        return (("X-Request-Id", name), ("X-Response-Seal", f"seal.{self.name}.{name}"),
                ("X-Instance-Load", f"{self.running},0,{self.slots}"))

    async def handle(self, head, body, writer):
        expected = head.get("x-expect-instance")
        if expected and expected != self.name:
            writer.write(response(421, (("X-Instance-Id", self.name),)))
            return
        if not head.get("x-request-id"):
            status = 200 if head.first.split()[1].startswith("/healthz") else 400
            writer.write(response(status, (("X-Instance-Id", self.name),
                                           ("X-Not-Executed", "1")) if status == 400 else
                                  (("X-Instance-Id", self.name),)))
            return
        self.running += 1
        try:
            await self.run(head, body, writer)
        finally:
            self.running -= 1

    async def run(self, head, body, writer):
        self.note_run(head)
        text = f"{self.service} answers {head.get('x-request-id')}".encode()
        writer.write(response(200, self.answer_headers(head), text))


async def write_events(engine, head, writer, count, gap, data, may_go_on=lambda: True):
    """Answers with events 1 to `count`, or those after Last-Event-Id, `gap` seconds apart. Breaks
    off with a reset once it may not go on."""
    fields = "".join(f"{n}: {v}\r\n" for n, v in engine.answer_headers(head))
    writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + fields +
                  "Transfer-Encoding: chunked\r\n\r\n").encode())
    for i in range(int(head.get("last-event-id", "0") or 0) + 1, count + 1):
        event = f"id: {i}\ndata: {data} {i}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        await writer.drain()
        await asyncio.sleep(gap)
        if not may_go_on():
            engine.record.add(f"cut   {head.get('x-request-id')} at {engine.name} after event {i}: "
                              "it was ordered out of its group")
            writer.transport.abort()
            return
    writer.write(b"0\r\n\r\n")


class StreamEngine(Engine):
    """An instance of a plain service whose answers are streams."""
    events, gap = 10, 0.02

    async def run(self, head, body, writer):
        self.note_run(head)
        await write_events(self, head, writer, self.events, self.gap, head.get("x-request-id"))


class ModelEngine(Engine):
    """A model engine: obeys orders, and as the open head of its group it runs streams."""
    load_s, warm_s, rejoin_s, open_s, events, gap = 1.0, 0.5, 0.2, 0.3, 10, 0.02

    def __init__(self, *arguments, domain="", **named):
        super().__init__(*arguments, slots=26, **named)
        self.domain, self.group, self.models, self.staged, self.last_model = domain, None, [], [], ""
        self.epoch, self.members, self.orders = 0, [], 0

    def status(self):
        found = {"stage": "mixed", "domain": self.domain, "staged": self.staged,
                 "models": [{"name": m, "version": 1, "adapters": []} for m in self.models]}
        return {**found, "group": self.group} if self.group else found

    async def handle(self, head, body, writer):
        expected = head.get("x-expect-instance")
        path = head.first.split()[1]
        if expected and expected != self.name:
            writer.write(response(421, (("X-Instance-Id", self.name),)))
        elif path == "/api/report":
            writer.write(json_response(200, {**self.status(), "busy": False, "queued": 0,
                                             "sequence": self.orders, "active": self.running,
                                             "kv-used": 0, "kv-total": 1590000, "handles": 0,
                                             "pace": 1.0}))
        elif path == "/api/order":
            writer.write(json_response(self.order(json.loads(body)), {}))
        else:
            await super().handle(head, body, writer)

    def order(self, o):
        status = self.carry_out(o)
        self.record.add(f"order {o['operation']} {o['group']} {o['epoch']} to {self.name}: {status}")
        return status

    def carry_out(self, o):
        if "precondition" in o and o["precondition"] != self.orders:
            return 409
        inside = self.group and (self.group["name"], self.group["epoch"]) == (o["group"], o["epoch"])
        if o["operation"] == "join":
            if o["epoch"] < self.epoch:
                return 412
            if inside:
                return 200 if self.members == o["members"] else 412
            self.epoch, self.members = o["epoch"], o["members"]
            needed = (self.rejoin_s if self.last_model == o["model"] else
                      self.warm_s if o["model"] in self.staged else self.load_s)
            self.group = {"name": o["group"], "epoch": o["epoch"],
                          "rank": o["members"].index(self.name), "state": "joining"}
            self.last_model, self.staged = o["model"], [o["model"]]
            self.later(needed, "ready")
        elif not inside:
            return 409
        elif o["operation"] == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "ready" or self.group["rank"] != 0:
                return 409
            self.later(self.open_s, "open")
        elif o["operation"] == "close":
            self.group = {**self.group, "state": "ready"}
        elif o["operation"] == "leave":
            self.group = None
        else:
            return 400
        self.orders += 1
        self.list()
        return 202 if o["operation"] in ("join", "open", "close") else 200

    def later(self, seconds, state):
        group = self.group

        def arrive():
            if self.group is group:
                self.group = {**group, "state": state}
                self.models = [self.last_model]
                self.list()
        asyncio.get_running_loop().call_later(seconds, arrive)

    async def run(self, head, body, writer):
        name = (("X-Request-Id", head.get("x-request-id")), ("At-Server", self.name))
        if not self.group or self.group["rank"] != 0:
            writer.write(response(421, (*name, ("X-Instance-Id", self.name))))
        elif self.group["state"] != "open":
            writer.write(response(503, (*name, ("X-Not-Executed", "1"))))
        else:
            self.note_run(head)
            group = (self.group["name"], self.group["epoch"])
            await write_events(self, head, writer, self.events, self.gap, head.get("x-request-id"),
                               lambda: self.is_in(group))

    def is_in(self, group):
        return self.group and (self.group["name"], self.group["epoch"]) == group


# ---- a proxy between requesters and a node ----

class Proxy:
    """Forwards channels to `ip:port`. `cut_after`: resets the next channel whose answer has had so
    many bytes."""

    def __init__(self, ip, port):
        self.to, self.cut_after, self.cuts = (ip, port), None, 0
        self.server_ip = "127.0.0.1"
        self.server = None
        self.port = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            there_reader, there = await asyncio.open_connection(*self.to)
        except OSError:
            writer.transport.abort()
            return
        asyncio.ensure_future(self.pump(reader, there))
        sent = 0
        try:
            while data := await there_reader.read(65536):
                limit = self.cut_after
                if limit is not None and sent + len(data) >= limit:
                    writer.write(data[:max(limit - sent, 0)])
                    await writer.drain()
                    self.cut_after, self.cuts = None, self.cuts + 1
                    there.transport.abort()
                    await asyncio.sleep(0.05)  # what was forwarded arrives before the reset
                    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
                    writer.get_extra_info("socket").setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, linger)
                    writer.transport.abort()
                    return
                sent += len(data)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        writer.close()
        there.close()

    @staticmethod
    async def pump(reader, writer):
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        if not writer.is_closing():
            writer.close()

    def close(self):
        self.server.close()


# ---- requesters ----

class Answer:
    def __init__(self):
        self.status, self.headers, self.body, self.complete = 0, {}, b"", False

    def event_ids(self):
        """The ids of the events that have come whole."""
        events = self.body.split(b"\n\n")[:-1]
        return [int(e.split(b"\n")[0].removeprefix(b"id: ")) for e in events]


async def request(record, ip, port, method, path, headers, body=b"", timeout=10.0):
    """One request on a channel of its own. The answer is complete if its last byte has come."""
    answer = Answer()
    name = headers.get("X-Request-Id", "-")
    key = headers.get("Authorization", "-")
    record.add(f"sent  {name}: {method} {path} to {ip}:{port} key={key}"
               f" last-event-id={headers.get('Last-Event-Id', '-')}")
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(ip, port)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{n}: {v}" for n, v in headers.items()]
            lines += [f"Content-Length: {len(body)}", "Connection: close"]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            head = await read_head(reader)
            answer.status, answer.headers = int(head.first.split()[1]), head.headers
            if "chunked" in head.get("transfer-encoding").lower():
                async for part in read_chunks(reader):
                    answer.body += part
            else:
                left = int(head.get("content-length", "0") or 0)
                while left > 0:
                    part = await reader.read(left)
                    if not part:
                        raise ConnectionError("ended early")
                    answer.body += part
                    left -= len(part)
            answer.complete = True
    except (OSError, asyncio.IncompleteReadError, ValueError, TimeoutError) as error:
        record.add(f"ended {name}: {type(error).__name__}")
    if writer:
        writer.transport.abort()
    record.add(f"got   {name}: {answer.status} complete={answer.complete} {answer.body!r}")
    return answer


# ---- the nodes ----

def render(template, fields):
    """Fills in the template of the deploy file as DEPLOY.md of the users tells."""
    def lookup(name, scope):
        value = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)]
            elif isinstance(value, dict) and part in value:
                value = value[part]
            else:
                return None
        return value

    def text_of(value):
        if value is None:
            return ""
        if isinstance(value, bool):
            return str(value).lower()
        if isinstance(value, list):
            return ",".join(text_of(v) for v in value)
        return json.dumps(value) if isinstance(value, dict) else str(value)

    def fill(text, scope, current=None, key="", last=True):
        def section(found):
            name, inner = found.group(1), found.group(2)
            value = lookup(name, scope)
            if value is None or value is False:
                return ""
            if isinstance(value, dict):
                items = list(value.items())
            elif isinstance(value, list):
                items = list(enumerate(value))
            else:
                return fill(inner, scope, value)
            return "".join(fill(inner, scope, v, k, i == len(items) - 1)
                           for i, (k, v) in enumerate(items))
        text = re.sub(r"\{\{#([^}]+)\}\}(.*?)\{\{/\1\}\}", section, text, flags=re.S)
        text = text.replace("{{@}}", str(key)).replace("{{,}}", "" if last else ",")
        text = text.replace("{{.}}", text_of(current)) if current is not None else text
        return re.sub(r"\{\{([^}#/@,.][^}]*)\}\}", lambda m: text_of(lookup(m.group(1), scope)), text)

    return fill(template, fields)


def loopback_ip():
    """A loopback address on which none of the ports of a node is in use."""
    for _ in range(100):
        ip = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (7340, 7341, 7355, 8220, 8227):
                with socket.socket() as probe:
                    probe.bind((ip, port))
            return ip
        except OSError:
            continue
    raise OSError("no free loopback address")


class Node:
    """One node, as its own process."""

    def __init__(self, name, zone, store_address, directory):
        self.name, self.zone, self.ip, self.port = name, zone, loopback_ip(), 8227
        self.settings = directory / f"{name}.toml"
        self.fields = {
            "node-name": name, "zone": zone, "region": ZONES[zone], "zones": ZONES, "ip": self.ip,
            "listen": {"frontend": f"{self.ip}:8227", "ready": f"{self.ip}:8220"},
            "internal-ports": [7340, 7355], "bootstrap": True, "heartbeat-ms": HEARTBEAT_MS,
            "limits": {"cpu-quota": 0.25, "cores": 1, "memory-mb": 260, "file-descriptors": 4200,
                       "link-mbps": 1000.0},
            "bounds": BOUNDS, "platform": {"address": store_address}}
        self.log = open(directory / f"{name}.log", "ab")
        self.process = None

    def start(self, bootstrap=True):
        self.fields["bootstrap"] = bootstrap
        self.settings.write_text(render((ROOT / "deploy/node.toml").read_text(), self.fields))
        self.process = subprocess.Popen(["target/arbutusworks", "hosted", str(self.settings)],
                                        cwd=ROOT, stdout=self.log, stderr=self.log)

    def signal(self, number):
        os.kill(self.process.pid, number)

    def kill(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self):
        try:
            reader, writer = await asyncio.open_connection(self.ip, 8220)
            writer.write(f"GET /api/readyz HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head.first.split()[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


class Deployment:
    """The store, the engines and the nodes of one case."""

    def __init__(self, record):
        self.record, self.store = record, Store(record)
        self.engines, self.nodes, self.closers = [], [], []
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.directory = pathlib.Path(self.temporary.name)

    async def start_store(self):
        await self.store.server.start()

    async def add_engines(self, *engines):
        for engine in engines:
            await engine.start()
            self.engines.append(engine)

    def start_nodes(self, nodes=NODES):
        for name, zone in nodes:
            node = Node(name, zone, self.store.server.address, self.directory)
            node.start()
            self.nodes.append(node)

    async def wait(self, condition, seconds, what):
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            found = condition()
            if asyncio.iscoroutine(found):
                found = await found
            if found:
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"not within {seconds} s: {what}")

    async def wait_ready(self, seconds=30):
        for node in self.nodes:
            await self.wait(node.ready, seconds, f"{node.name} is ready")

    def runs(self):
        return [run for engine in self.engines for run in engine.runs]

    def close(self):
        for node in self.nodes:
            node.kill()
            node.log.close()
        for engine in self.engines:
            engine.server.close()
        for proxy in self.closers:
            proxy.close()
        self.store.server.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for log in self.directory.glob("*.log"):
                pathlib.Path(keep, log.name).write_bytes(log.read_bytes())
        self.temporary.cleanup()


class CannotRun(Exception):
    pass


HELD, BROKEN, NOT_RUN = 0, 1, 2


def run_case(folder, play):
    """Plays `play(record, deployment, trouble)`, which returns the list of findings that break the
    rule. Writes record.txt; the result is the exit status."""
    record = Record(pathlib.Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"trouble: {'yes' if trouble else 'no'}")

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))  # ends the nodes, too

    async def whole():
        deployment = Deployment(record)
        try:
            async with asyncio.timeout(110):
                await deployment.start_store()
                return await play(record, deployment, trouble)
        finally:
            deployment.close()
    try:
        findings = asyncio.run(whole())
        status = BROKEN if findings else HELD
        for finding in findings:
            record.add(f"BROKEN: {finding}")
        record.add(f"result: {'the rule was broken' if findings else 'the rule held'}")
    except (CannotRun, TimeoutError, OSError) as error:
        record.add(f"result: could not run: {error!r}")
        status = NOT_RUN
    record.save()
    print(record.lines[-1].strip())
    return status
