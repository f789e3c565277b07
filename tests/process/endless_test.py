"""Targets of the own kind of node that send bytes without end which are no answer."""

import time
import unittest

from driver import (DATA_CENTRES, authorization, call, complete, completion_body, in_parallel,
                    text_of)
from faulty_proxy import EndlessProxy, FaultyTargetTest

PIECE = 1000 * b"x"
HEAD = b"HTTP/1.1 200 OK\r\n"
STREAM = HEAD + b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
FAILURE = b"HTTP/1.1 500 Internal Server Error\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


# What each answer begins with, and what it goes on with for ever. A stream's head has to name the
# request.
ANSWERS = {
    "status line": (b"HTTP/1.1 200 ", PIECE),
    "headers": (HEAD, 100 * b"X-Field: value\r\n"),
    "body": (HEAD + b"Connection: close\r\n\r\n", PIECE),
    "chunks": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", chunk(PIECE)),
    "size of a chunk": (HEAD + b"Transfer-Encoding: chunked\r\n\r\n", b"0" * 1000),
    "body of a failure": (FAILURE, chunk(PIECE)),
}
STREAMS = {
    "comments": chunk(50 * b": comment\n\n"),
    "an event": chunk(b"data: " + PIECE),
}
BUFFERED_BYTES = 16 * 1024 * 1024
# Answers are given up at twice the limit; a buffer that grows has room for up to twice its bytes.
MAX_GROWTH_BYTES = 4 * BUFFERED_BYTES
MAX_SECONDS = 5.0
REQUESTS = 12


class EndlessAnswers(FaultyTargetTest):
    fleet_options = {"buffered_bytes": BUFFERED_BYTES}

    def assert_answered(self, proxy, name, answer, request):
        """Each request is answered in time, and the nodes' memory stays bounded."""
        before = [node.resident_bytes() for node in self.nodes]
        proxy.answered, proxy.answer = 0, answer
        until = time.monotonic() + 10
        # Together, since a target that has failed gets requests only while the others are busy.
        while proxy.answered == 0 and time.monotonic() < until:
            begun = time.monotonic()
            replies = in_parallel([lambda node=node: request(node)
                                   for node in self.nodes for _ in range(REQUESTS)])
            self.assertLess(time.monotonic() - begun, MAX_SECONDS, name)
            self.check_replies(name, replies)
        proxy.answer = None
        self.assertGreater(proxy.answered, 0, f"{name}: not called")
        growth = max(n.resident_bytes() - b for n, b in zip(self.nodes, before))
        print(f"measured: {name}: memory grew by {growth / 1e6:.1f} MB", flush=True)
        self.assertLess(growth, MAX_GROWTH_BYTES, name)

    def check_replies(self, name, replies):
        """Most are sound; what the budget of retries did not cover is refused with a reason."""
        for reply in replies:
            self.assertNotIsInstance(reply, Exception, name)
            if reply.status != 200:
                self.assertIn(reply.error["type"], ("unknown", "not_run"), name)
        served = sum(reply.status == 200 for reply in replies)
        self.assertGreaterEqual(served, 2 * len(replies) // 3, name)

    def test_answers_of_a_service(self):
        # Guards against a node that keeps what an instance sends without end.
        port = self.fleet.service_ports[DATA_CENTRES[0]]
        proxy = self.proxy_of(EndlessProxy, port, b"/notes")
        self.list_at(port, [proxy], adds=True)

        def request(node):
            reply = call(node.port, "GET", "/notes/1", headers=authorization())
            self.assertNotIn(b"xxx", reply.body)
            return reply
        for name, answer in ANSWERS.items():
            self.assert_answered(proxy, name, answer, request)

    def test_answers_and_streams_of_an_engine(self):
        # Guards against a node that keeps, or passes on, what an engine sends without end.
        replica = self.nodes[0].status()["replicas"][0]
        proxy = self.proxy_of(EndlessProxy, self.fleet.vm_ports[replica["members"][0]], b"/v1/")
        self.list_at(proxy.target, [proxy], adds=False)
        self.fleet.wait_all_serving(timeout=30)

        def request(node, stream=True):
            reply = complete(node.port, completion_body("a stream", stream=stream))
            if reply.status == 200:
                text_of(reply)
            return reply
        for name, answer in ANSWERS.items():
            self.assert_answered(proxy, "stream, " + name, answer, request)
            self.assert_answered(proxy, "no stream, " + name, answer,
                                 lambda node: request(node, stream=False))
        for name, repeated in STREAMS.items():
            beginning = STREAM + b"x-request-id: REQUEST\r\n\r\n"
            self.assert_answered(proxy, "stream of " + name, (beginning, repeated), request)


if __name__ == "__main__":
    unittest.main(verbosity=2)
