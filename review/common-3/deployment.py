"""A small deployment on loopback: the platform's store, an application service and hosted nodes.

The store and the service are stand-ins in Python's standard library. They do what PROTOCOL.md of the
users' pages says of a sound store and a sound engine of a service that is not a model. The nodes are
the project's own program, started with the command of deploy/system.toml and with settings rendered
from deploy/node.toml.
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
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
BINARY = ROOT / "target" / "arbutusworks"
HOST = "desk.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def free_ports(count):
    """Ports to listen at, below those that outgoing channels usually get."""
    ports = []
    while len(ports) < count:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


async def read_head(reader):
    """The request or status line and the headers; None at the end of the channel."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


def answer(status, body=b"", headers=()):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{n}: {v}" for n, v in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Store:
    """The platform's metadata store: rows in tables, with a feed of changes. Loses nothing."""

    def __init__(self):
        self.rows, self.version, self.changed = {}, 0, asyncio.Event()
        self.log = []  # (version, row)
        self.refused = set()  # machines that the store turns away with 503
        self.silent = set()  # machines that get no answer
        self.begun = time.monotonic()

    def now_ms(self):
        return int((time.monotonic() - self.begun) * 1000) + 1000

    def put(self, table, key, value, part=""):
        self.version += 1
        self._set(table, part, key, value if isinstance(value, bytes) else json.dumps(value).encode())
        self._notify()

    def drop(self, table, key, part=""):
        self.version += 1
        self._set(table, part, key, None)
        self._notify()

    def _set(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "ver": self.version}
        if value is None:
            self.rows.pop((table, part, key), None)
            row["removed"] = True
        else:
            row["value"] = base64.b64encode(value).decode()
            self.rows[(table, part, key)] = row
        self.log.append((self.version, row))

    def _notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def _transaction(self, body):
        call = json.loads(body)
        found = []
        for c in call.get("precondition", []):
            row = self.rows.get((c["table"], c.get("part", ""), c["key"]))
            if (row["ver"] if row else 0) != c["ver"]:
                found.append(row or {**c, "ver": 0})
        if found:
            return 412, {"rows": found, "ver": self.version, "now-ms": self.now_ms()}
        self.version += 1
        for w in call.get("writes", []):
            self._set(w["table"], w.get("part", ""), w["key"], base64.b64decode(w["value"]))
        for d in call.get("deletes", []):
            self._set(d["table"], d.get("part", ""), d["key"], None)
        self._notify()
        return 200, {"ver": self.version, "now-ms": self.now_ms()}

    def _get(self, q):
        table, part, begin = q["table"], q.get("part", ""), q.get("from", "")
        end, limit = q.get("target", ""), min(int(q.get("limit", "500")), 500)
        rows = sorted((r for (t, p, k), r in self.rows.items()
                       if t == table and p == part and k >= begin and (not end or k < end)),
                      key=lambda r: r["key"].encode())
        return 200, {"rows": rows[:limit], "has-more": len(rows) > limit, "ver": self.version,
                     "now-ms": self.now_ms()}

    async def _feed(self, q):
        table, after = q["table"], int(q.get("after", "0"))
        until = time.monotonic() + int(q.get("wait-ms", "0")) / 1000
        while True:
            latest = {}
            for version, row in self.log:
                if version > after and row["table"] == table:
                    latest[(row["part"], row["key"])] = row
            left = until - time.monotonic()
            if latest or left <= 0:
                rows = sorted(latest.values(), key=lambda r: r["ver"])
                return 200, {"rows": rows, "ver": self.version, "now-ms": self.now_ms()}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def serve_for(self, machine):
        """The store for one machine, or for those of a zone."""
        return lambda reader, writer: self.serve(reader, writer, machine)

    async def serve(self, reader, writer, machine=None):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                path, _, query = target.partition("?")
                if machine in self.silent:
                    await reader.read()  # until the machine closes the channel
                    break
                if machine in self.refused:
                    writer.write(answer(503))
                    await writer.drain()
                    continue
                q = {k: v[0] for k, v in urllib.parse.parse_qs(query, keep_blank_values=True).items()}
                if path == "/api/rows-tx":
                    status, document = self._transaction(body)
                elif path == "/api/rows-get":
                    status, document = self._get(q)
                elif path == "/api/rows-feed":
                    status, document = await self._feed(q)
                else:
                    status, document = 404, {}
                if machine in self.silent:
                    await reader.read()
                    break
                if machine in self.refused:  # a call that waited for news
                    status, document = 503, {}
                writer.write(answer(status, json.dumps(document).encode(),
                                    [("Content-Type", "application/json")]))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def engine_entry(service, address, zone, slots, sequence=1, state="ready"):
    return {"service": service, "address": address, "zone": zone, "version": "v1", "slots": slots,
            "state": state, "warmup-left-ms": 0, "sequence": sequence}


def configuration(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max-header-bytes": 16384, "max-body-bytes": 4194304,
                       "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
            "tenants": [{"name": TENANT, "api-keys": [KEY], "priority": 1}]}


def route(name, prefix, kind, service, timeout_ms=1500, attempts=2):
    return {"name": name, "hostname": HOST, "prefix": prefix, "route-type": kind,
            "timeout-ms": timeout_ms, "target-latency-ms": 150, "priority": 1, "service": service,
            "max-attempts": attempts, "public": False}


class Engine:
    """An engine of a service that is not a model: `slots` at a time, a short queue, then refusals."""

    def __init__(self, name, slots=6, work_s=0.03, queue=12, note=lambda *_: None):
        self.id, self.work_s, self.queue, self.note = name, work_s, queue, note
        self.slots, self.inside, self.n = asyncio.Semaphore(slots), 0, 0
        self.slot_count, self.writers = slots, set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                target = line.split(" ")[1]
                body = await read_body(reader, headers)
                if target == "/healthz":
                    writer.write(answer(200, b"", [("X-Instance-Id", self.id)]))
                elif headers.get("x-expect-instance", self.id) != self.id:
                    writer.write(answer(421, b"", [("X-Instance-Id", self.id)]))
                else:
                    await self.respond(writer, headers, len(body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def respond(self, writer, headers, size):
        writer.write(await self.run(headers, size))

    async def run(self, headers, size):
        request = headers.get("x-request-id", "")
        self.note("arrived", request, self.id, size)
        echo = [("X-Request-Id", request)]
        if self.inside >= self.slot_count + self.queue:
            self.note("refused", request, self.id)
            return answer(503, b"", [*echo, ("X-Not-Executed", "1")])
        self.inside += 1
        try:
            async with self.slots:
                self.note("ran", request, self.id, size)
                await asyncio.sleep(self.work_s)
        finally:
            self.inside -= 1
        self.n += 1
        return answer(200, b"x" * 800, [*echo, ("X-Response-Seal", f"{self.id}.{self.n}")])


class LargeEngine(Engine):
    """An engine with answers of `size` bytes, which the link of a node carries to it."""

    def __init__(self, name, size, link_of, **more):
        super().__init__(name, **more)
        self.body, self.link_of = bytes(size), link_of

    async def respond(self, writer, headers, size):
        head = await self.run(headers, size)
        if not head.startswith(b"HTTP/1.1 200"):
            writer.write(head)
            return
        request, link = headers.get("x-request-id", ""), self.link_of(headers)
        writer.write((f"HTTP/1.1 200 OK\r\nContent-Length: {len(self.body)}\r\n"
                      f"X-Request-Id: {request}\r\n"
                      f"X-Response-Seal: {self.id}.{self.n}\r\n\r\n").encode())
        for at in range(0, len(self.body), Link.PIECE):
            piece = self.body[at:at + Link.PIECE]
            await link.carry(len(piece))
            writer.write(piece)
            await writer.drain()


class StreamEngine(Engine):
    """An engine that answers with a stream of events, `gap_s` apart, in chunks."""

    def __init__(self, name, slots=26, events=30, gap_s=0.1, **more):
        super().__init__(name, slots=slots, queue=2 * slots, **more)
        self.events, self.gap_s = events, gap_s

    async def respond(self, writer, headers, size):
        request = headers.get("x-request-id", "")
        self.note("arrived", request, self.id, size)
        if self.inside >= self.slot_count + self.queue:
            self.note("refused", request, self.id)
            writer.write(answer(503, b"", [("X-Request-Id", request), ("X-Not-Executed", "1")]))
            return
        self.inside += 1
        try:
            async with self.slots:
                self.note("ran", request, self.id, size)
                self.n += 1
                writer.write(("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                              "Content-Type: text/event-stream\r\n"
                              f"X-Request-Id: {request}\r\n"
                              f"X-Response-Seal: {self.id}.{self.n}\r\n\r\n").encode())
                for i in range(1, self.events + 1):
                    await asyncio.sleep(self.gap_s)
                    event = f"id: {i}\ndata: {request}\n\n".encode()
                    writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                    await writer.drain()
                writer.write(b"0\r\n\r\n")
        finally:
            self.inside -= 1


class Node:
    """A hosted node, started with the command of the deploy file."""

    def __init__(self, directory, name, zone, zones, store_port, limits, bounds=None):
        self.name = name
        self.callers, self.ready, links, metrics, relays = free_ports(5)
        self.metrics = metrics
        values = {
            "node-name": name, "zone": zone, "bootstrap": "true",
            "listen.frontend": f"127.0.0.1:{self.callers}",
            "listen.ready": f"127.0.0.1:{self.ready}",
            "platform.address": f"127.0.0.1:{store_port}",
            "bounds.revoke-ms": 5000, "bounds.config-apply-ms": 2000, "bounds.drain-ms": 2000,
            "bounds.stall-ms": 4000, "bounds.grace-s": 8, "bounds.retry-budget-ratio": 0.2,
            "bounds.retry-burst": 130, "bounds.budget-window-s": 10, "heartbeat-ms": 1200,
            "limits.cpu-quota": 0.25, "limits.link-mbps": 1000.0, "limits.memory-mb": 260,
            "limits.file-descriptors": 4200, **limits}
        text = (ROOT / "deploy" / "node.toml").read_text()
        text = re.sub(r"\{\{#bounds\.[a-z-]+\}\}.*?\{\{/bounds\.[a-z-]+\}\}", "", text, flags=re.S)
        names = ",".join(f'"{z}"' for z in zones)
        text = re.sub(r"\{\{#zones\}\}\"\{\{@\}\}\"\{\{,\}\}\{\{/zones\}\}", names, text)
        regions = "".join(f'"{z}" = "sk-west"\n' for z in zones)
        text = re.sub(r"\{\{#zones\}\}.*?\{\{/zones\}\}", regions, text, flags=re.S)
        # Each node has an address of its own on the platform; here they share one, so the ports
        # between nodes differ.
        text = text.replace("{{ip}}:{{internal-ports.0}}", f"127.0.0.1:{links}")
        text = text.replace("{{ip}}:{{internal-ports.1}}", f"127.0.0.1:{relays}")
        text = text.replace("{{ip}}:7341", f"127.0.0.1:{metrics}")
        for key, value in values.items():
            text = text.replace("{{" + key + "}}", str(value))
        assert "{{" not in text, text
        self.settings = pathlib.Path(directory) / f"{name}.toml"
        self.settings.write_text(text)
        self.log = open(pathlib.Path(directory) / f"{name}.log", "ab")
        self.process = None

    def start(self):
        self.process = subprocess.Popen([BINARY, "hosted", str(self.settings)], stdout=self.log,
                                        stderr=self.log, cwd=ROOT,
                                        env={"PATH": os.environ.get("PATH", ""), "LANG": "C"})

    def alive(self):
        return self.process is not None and self.process.poll() is None

    def end(self):
        if self.alive():
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        self.log.close()

    def memory_mb(self):
        """Resident memory and its peak, in MB (2^20 bytes)."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0, 0
        found = dict(re.findall(r"^(VmRSS|VmHWM):\s+(\d+) kB", text, flags=re.M))
        return int(found.get("VmRSS", 0)) / 1024, int(found.get("VmHWM", 0)) / 1024

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
            writer.write(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await asyncio.wait_for(read_head(reader), 1)
            writer.close()
            return head is not None and head[0].split(" ")[1] == "200"
        except (OSError, asyncio.TimeoutError):
            return False


async def all_ready(nodes, limit_s=20):
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if all([await n.is_ready() for n in nodes]):
            return True
        await asyncio.sleep(0.2)
    return False


def request_bytes(method, path, request, deadline_ms, size=0, extra=()):
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"X-Request-Id: {request}",
             f"X-Deadline-Ms: {deadline_ms}", f"Authorization: Bearer {KEY}",
             f"Content-Length: {size}", *extra]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Link:
    """The link of a machine: carries so many bytes a second, of all channels in turn."""

    PIECE = 65536

    def __init__(self, mbps):
        self.bytes_per_s, self.free_at = mbps * 1e6 / 8, 0.0

    async def carry(self, size):
        now = time.monotonic()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


class Channel:
    """A requester's channel to a node, kept open for several requests."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    async def open(self):
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20), 1)

    async def send(self, method, path, request, deadline_ms, body=b"", extra=(), link=None):
        """One requester attempt: (status or what happened, headers, body)."""
        try:
            self.writer.write(request_bytes(method, path, request, deadline_ms, len(body), extra))

            async def finish():
                for at in range(0, len(body), Link.PIECE):
                    piece = body[at:at + Link.PIECE]
                    if link is not None:
                        await link.carry(len(piece))
                    self.writer.write(piece)
                    await self.writer.drain()
                await self.writer.drain()
                head = await read_head(self.reader)
                if head is None:
                    return "closed without an answer", {}, b""
                left = int(head[1].get("content-length", "0")) if link is not None else 0
                read = []
                while left > 0:
                    piece = await self.reader.readexactly(min(left, Link.PIECE))
                    left -= len(piece)
                    read.append(piece)
                    await link.carry(len(piece))
                return (int(head[0].split(" ")[1]), head[1],
                        b"".join(read) if read else await read_body(self.reader, head[1]))
            return await asyncio.wait_for(finish(), deadline_ms / 1000 + 2)
        except asyncio.TimeoutError:
            return "no answer in time", {}, b""
        except (OSError, asyncio.IncompleteReadError):
            return "closed without an answer", {}, b""

    def close(self):
        if self.writer is not None:
            self.writer.close()


async def send(port, method, path, request, deadline_ms, body=b"", extra=()):
    """One requester attempt on a channel of its own."""
    channel = Channel(port)
    try:
        await channel.open()
        return await channel.send(method, path, request, deadline_ms, body, extra)
    except (OSError, asyncio.TimeoutError):
        return "no channel", {}, b""
    finally:
        channel.close()
