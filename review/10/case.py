"""An engine's own 503 is passed on for a call that may not be repeated; see claim.txt.

Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
"""

import pathlib
import sys
import tempfile
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common-2"))
import users_platform as p  # noqa: E402

INSTANCES = 3
FAILS = 0.4  # srv_grey: x of the requests of one instance; its health is good
REQUESTS = 60


class GreyHandler(p.EngineHandler):
    """Runs each request; then a part of them fails with 503, which does not say "not executed"."""

    def answer(self, status, body=b"", headers=()):
        engine = self.engine
        request = self.headers.get("X-Request-Id", "")
        if self.path != "/healthz" and status == 200:
            engine.count += 1
            if int(engine.count * FAILS) > int((engine.count - 1) * FAILS):
                engine.record(f"engine {engine.id} has run {request} and fails it with 503")
                status, body = 503, b"failed\n"
                headers = [("X-Request-Id", request), ("X-Response-Seal", f"seal.{request}")]
        super().answer(status, body, headers)

    do_GET = p.EngineHandler.serve
    do_POST = p.EngineHandler.serve


def main():
    record = p.Record(FOLDER / "record.txt")
    if not p.BINARY.exists():
        record("the program has not been built")
        return 2
    with tempfile.TemporaryDirectory() as directory:
        store = p.Store()
        engines = [p.Engine(store, "card-api", "hall-a", 0.03, record) for _ in range(INSTANCES)]
        if p.trouble():
            grey = engines[0]
            grey.count = 0
            grey.server.RequestHandlerClass = type("Bound", (GreyHandler,), {"engine": grey})
        store.write("op", "config", p.configuration(7, "card-api", [("/card/", "unsafe", 1, 1500)]))
        node = p.Node(directory, "edge-hall-a-1", "hall-a", ["hall-a"], store.port)
        answers = {}
        try:
            if not node.wait_until_ready():
                record("the node did not get ready")
                return 2

            def ask(request):
                record(f"requester sends {request}, unsafe")
                try:
                    with p.socket.create_connection((p.LOOPBACK, node.callers), timeout=5) as c:
                        c.sendall(p.head_of("POST", "/card/x", request, deadline_ms=1500))
                        status, _ = p.read_answer(c)
                except OSError:
                    status = 0
                answers[request] = status
                record(f"requester has got {status} for {request}")

            threads = []
            for i in range(REQUESTS):
                threads.append(threading.Thread(target=ask, args=(f"card-{i}",), daemon=True))
                threads[-1].start()
                time.sleep(0.05)
            for thread in threads:
                thread.join(6)
        finally:
            node.end()
    ran = {request for engine in engines for request in engine.runs}
    wrong = [r for r, status in answers.items() if status in (408, 421, 429, 503) and r in ran]
    record(f"answers: { {s: list(answers.values()).count(s) for s in set(answers.values())} }")
    record(f"unsafe requests that have run and were answered 503, 429, 408 or 421: {len(wrong)}")
    if list(answers.values()).count(200) < REQUESTS / 3:
        record("too little was served")
        return 2
    return 1 if wrong else 0


if __name__ == "__main__":
    sys.exit(p.run(main, FOLDER / "record.txt"))
