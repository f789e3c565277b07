"""An instance of a plain service that answers with a stream of events, and a requester of such."""

import socket
import threading
import time

import users_platform as p


class StreamHandler(p.Handler):
    engine = None

    def do_POST(self):
        engine = self.engine
        if self.headers.get("X-Expect-Instance", engine.id) != engine.id:
            self.answer(421, b"", [("X-Not-Executed", "1"), ("At-Server", engine.id)])
            return
        self.body()
        request = self.headers["X-Request-Id"]
        first = int(self.headers.get("Last-Event-Id", 0)) + 1
        engine.record(f"engine {engine.id} runs {request}")
        engine.runs[request] = 0
        self.send_response(200)
        for name, value in (("Content-Type", "text/event-stream"), ("X-Request-Id", request),
                            ("X-Response-Seal", f"seal.{request}"),
                            ("Transfer-Encoding", "chunked")):
            self.send_header(name, value)
        self.end_headers()
        for number in range(first, engine.events + 1):
            time.sleep(engine.gap_s)
            event = f"id: {number}\ndata: {request}\n\n".encode()
            self.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            self.wfile.flush()
            engine.runs[request] = number
        self.wfile.write(b"0\r\n\r\n")
        engine.record(f"engine {engine.id} has sent all {engine.events} events of {request}")


class StreamEngine(p.Engine):
    def __init__(self, store, service, zone, events, gap_s, record):
        super().__init__(store, service, zone, 0, record)
        self.events, self.gap_s = events, gap_s
        self.server.RequestHandlerClass = type("Bound", (StreamHandler,), {"engine": self})


def ask(port, path, request, events, patience_s, record):
    """True if all events came. The requester leaves after `patience_s` without a byte."""
    record(f"requester sends {request}")
    begun = time.monotonic()
    received = b""
    try:
        with socket.create_connection((p.LOOPBACK, port), timeout=5) as channel:
            channel.sendall(p.head_of("POST", path, request))
            channel.settimeout(patience_s)
            while not received.endswith(b"0\r\n\r\n") and received.count(b"\nid: ") < events:
                part = channel.recv(65536)
                if not part:
                    break
                received += part
                if b"Content-Length" in received and received.count(b"data: ") >= events:
                    break
    except TimeoutError:
        record(f"requester leaves {request} after {time.monotonic() - begun:.2f} s: nothing came "
               f"for {patience_s} s, {received.count(b'data: ')} events before")
        return False
    except OSError as failure:
        record(f"requester of {request}: {failure}")
        return False
    whole = received.startswith(b"HTTP/1.1 200") and received.count(b"data: ") == events
    status = received.split(b"\r\n")[0].decode()
    record(f"requester has got {received.count(b'data: ')} of {events} events of {request}, "
           f"{status!r}, after {time.monotonic() - begun:.2f} s")
    return whole
