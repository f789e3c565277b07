"""Targets of the own kind of node whose answers are broken: no caller gets one as an answer."""

import time
import unittest

from driver import (DATA_CENTRES, authorization, call, complete, completion_body, in_parallel,
                    text_of)
from faulty_proxy import BrokenProxy, FaultyTargetTest

UPLOAD = 4 * 1024 * 1024 * b"u"  # larger than the buffers of a connection
SECONDS_UNTIL_ANSWERED = 10
REQUESTS = 2  # at once, to each node


def head(status_line, *fields):
    return b"\r\n".join((status_line, b"x-request-id: REQUEST", *fields)) + b"\r\n"


SUCCESS = b"HTTP/1.1 200 OK"
LENGTH = b"Content-Length: 4"
END = b"\r\npart"
# By name: the bytes, and whether they are sent before the body of the request is read and followed
# by a reset.
BROKEN = {
    **{f"status {status}": (head(b"HTTP/1.1 %s Odd" % status.encode(), LENGTH) + END, False)
       for status in ("000", "001", "099", "600", "999")},
    "000 to the end": (head(b"HTTP/1.1 000 Odd") + END, False),
    "reset during the upload": (head(SUCCESS) + END, True),
    "reset during the upload, HTTP/1.0": (head(b"HTTP/1.0 200 OK") + END, True),
    "no body, reset during the upload": (head(SUCCESS) + b"\r\n", True),
    "503, reset during the upload": (head(b"HTTP/1.1 503 Busy") + END, True),
    "blank in a name": (head(SUCCESS, b"X Odd: 1", LENGTH) + END, False),
    "control byte in a name": (head(SUCCESS, b"X\x01Odd: 1", LENGTH) + END, False),
    "blank before the colon": (head(SUCCESS, b"Content-Length : 4") + END, False),
    "gzip, chunked": (head(SUCCESS, b"Transfer-Encoding: gzip, chunked")
                      + b"\r\n4\r\npart\r\n0\r\n\r\n", False),
    "ends in the head": (head(SUCCESS), False),
    "ends in a name": (head(SUCCESS) + b"X-Na", False),
}


# What an engine answers to each kind of call; the rest is read in the same way as for a service.
BROKEN_BY_ENGINE = ("status 000", "reset during the upload", "no body, reset during the upload",
                    "503, reset during the upload", "blank in a name", "ends in the head")


class BrokenAnswers(FaultyTargetTest):
    fleet_options = {"body_bytes": 8 * 1024 * 1024}

    def send_until(self, is_done, send, check):
        """Sends requests to all nodes, and checks what their callers get."""
        until = time.monotonic() + SECONDS_UNTIL_ANSWERED
        while not is_done() and time.monotonic() < until:
            for reply in in_parallel([lambda n=n: send(n) for n in self.nodes] * REQUESTS):
                self.assertNotIsInstance(reply, Exception, reply)
                check(reply)

    def check_call(self, reply):
        self.assertNotIn(b"part", reply.body)
        if reply.status not in (200, 201):
            self.assertIn(reply.status, (502, 503), reply)
            self.assertIn(reply.error["type"], ("unknown", "not_run"), reply)
        return reply

    def test_answers_of_a_service(self):
        # Guards against broken answers that callers of a service get.
        port = self.fleet.service_ports[DATA_CENTRES[0]]
        proxies = {name: self.proxy_of(BrokenProxy, port, b"/notes") for name in BROKEN}
        self.list_at(port, list(proxies.values()), adds=True)
        for method, path in (("GET", "/notes/1"), ("POST", "/notes/cards")):
            for name, proxy in proxies.items():
                proxy.answered, proxy.answer = 0, BROKEN[name]
            # A target that has failed is avoided for a while.
            self.send_until(lambda: all(proxy.answered for proxy in proxies.values()),
                            lambda node: call(node.port, method, path, UPLOAD, authorization()),
                            self.check_call)
            for name, proxy in proxies.items():
                self.assertGreater(proxy.answered, 0, f"{method}, {name}: not called")

    def test_answers_and_streams_of_an_engine(self):
        # Guards against broken answers that callers of a model get.
        replica = self.nodes[0].status()["replicas"][0]
        port = self.fleet.vm_ports[replica["members"][0]]
        proxy = self.proxy_of(BrokenProxy, port, b"/v1/")
        self.list_at(port, [proxy], adds=False)
        self.fleet.wait_all_serving(timeout=30)

        def check(reply):
            if self.check_call(reply).status == 200:
                text_of(reply)
        for name in BROKEN_BY_ENGINE:
            for stream in (True, False):
                body = completion_body("a text", stream=stream)
                if BROKEN[name][1]:
                    body["unused"] = UPLOAD.decode()
                proxy.answered, proxy.answer = 0, BROKEN[name]
                with self.subTest(name, stream=stream):
                    self.send_until(lambda: proxy.answered > 0,
                                    lambda node: complete(node.port, body), check)
                    self.assertGreater(proxy.answered, 0, "not called")
            proxy.answer = None


if __name__ == "__main__":
    unittest.main(verbosity=2)
