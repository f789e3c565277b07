"""Targets of the own kind of node that run calls and fail them with a status that promises "not
run": no caller is told so."""

import itertools
import unittest

from driver import authorization, call, complete, completion_body, wait_until
from faulty_proxy import FaultyTargetTest

FAILURE_BODY = b"part"
STATUSES = (503, 429, 408)
ASKS_FOR_BACKOFF = b"Retry-After: 2\r\n"
BACKOFF_SECONDS = 2.0


def failure(status, more_fields=b"", body=FAILURE_BODY):
    """The whole answer of a target that has failed a request."""
    return (b"HTTP/1.1 %d Odd\r\nx-request-id: REQUEST\r\nContent-Length: %d\r\n%s\r\n%s"
            % (status, len(body), more_fields, body), False)


class FailedRuns(FaultyTargetTest):
    _names = itertools.count()

    def assert_unknown(self, reply):
        self.assertEqual(reply.status, 502, reply)
        self.assertEqual(reply.error["type"], "unknown", reply)
        self.assertNotIn(FAILURE_BODY, reply.body)

    def send(self, method, key=None, node=0):
        headers = {**authorization(), "x-deadline-ms": "5000"}
        if key:
            headers["Idempotency-Key"] = key
        return call(self.nodes[node].port, method, "/notes/cards", "crew 3", headers)

    def send_again(self, key, node):
        """The reply to a repeated call once the first one, whose caller has its reply, is recorded."""
        def reply_from_record():
            reply = self.send("POST", key, node)
            if reply.status != 409:
                return reply
            self.assertEqual(reply.error["code"], "in_progress", reply)
            return None
        return wait_until(reply_from_record, "the call is recorded", timeout=2.0)[0]

    def answer(self, proxies, bytes_and_time):
        for proxy in proxies:
            proxy.answer, proxy.received = bytes_and_time, 0

    def test_failures_of_a_service(self):
        # Guards against callers that send a call again which has run, also by the record of its key.
        proxies = self.put_before(self.fleet.service_ports.values(), b"/notes")
        for status in STATUSES:
            self.answer(proxies, failure(status))
            key = f"card-{next(self._names)}"
            unnamed = self.send("POST")
            self.assert_unknown(unnamed)
            self.assertNotIn("retry-after", unnamed.headers)
            self.assert_unknown(self.send("POST", key))
            sent = sum(proxy.received for proxy in proxies)
            self.answer(proxies, None)
            for node in range(len(self.nodes)):
                self.assert_unknown(self.send_again(key, node))
            self.assertEqual(sent, 2)
        for status in (400, 404, 500, 504):
            self.answer(proxies, failure(status))
            reply = self.send("POST")
            self.assertEqual((reply.status, reply.body), (status, FAILURE_BODY))
        # A call that may be repeated gets the failure as it is.
        self.answer(proxies, failure(503))
        reply = self.send("GET")
        self.assertEqual((reply.status, reply.body), (503, FAILURE_BODY))
        # The service gets the backoff that it asked for in the failure.
        self.answer(proxies, failure(503, ASKS_FOR_BACKOFF))
        wait_until(lambda: self.send("POST").status == 503, "all back off",
                   timeout=BACKOFF_SECONDS)
        sent = sum(proxy.received for proxy in proxies)
        self.assertEqual(self.send("POST").error["type"], "not_run")
        self.assertEqual(sum(proxy.received for proxy in proxies), sent)

    def test_failures_of_an_engine(self):
        # Guards against the promise "not run" after an engine has run a request and failed it.
        proxies = self.put_before(self.fleet.vm_ports.values(), b"/v1/")
        self.fleet.wait_all_serving(timeout=30)
        for status in (503, 409):
            for stream in (True, False):
                with self.subTest(status=status, stream=stream):
                    body = completion_body("a text", stream=stream)
                    self.answer(proxies, failure(status))
                    self.assert_unknown(complete(self.nodes[0].port, body))
                    stated = b'{"error":{"type":"not_run","message":"queue full"}}'
                    self.answer(proxies, failure(status, body=stated))
                    reply = complete(self.nodes[0].port, body)
                    self.assertEqual((reply.status, reply.error["type"]), (503, "not_run"))


if __name__ == "__main__":
    unittest.main(verbosity=2)
