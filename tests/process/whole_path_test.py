"""Requests through real nodes: buffered answers, streams, and refused requests."""

import json
import socket
import unittest

from driver import (LOOPBACK, MODEL, OTHER_WORKSPACE_KEY, ProcessTest, authorization, call,
                    chat_body, complete, completion_body, in_parallel, parse_raw, send_raw,
                    text_of, wait_until)


class Answers(ProcessTest):
    def test_every_node_gives_the_answer_of_the_engine(self):
        for make_body in (completion_body, chat_body):
            expected = text_of(self.fleet.call_engine(make_body("The drain is blocked")))
            asked = [(node, stream) for node in self.fleet.nodes for stream in (False, True)]
            replies = in_parallel([
                lambda node=node, stream=stream: complete(
                    node.port, make_body("The drain is blocked", stream=stream))
                for node, stream in asked])
            for (node, stream), reply in zip(asked, replies):
                with self.subTest(node=node.name, body=make_body.__name__, stream=stream):
                    self.assertEqual(reply.status, 200)
                    self.assertEqual(text_of(reply), expected)

    def test_different_prompts_have_different_answers(self):
        # Otherwise the comparison above would hold for any answer.
        port = self.fleet.nodes[0].port
        texts = {text_of(complete(port, completion_body(f"call {i}"))) for i in range(5)}
        self.assertEqual(len(texts), 5)

    def test_a_long_stream_is_complete(self):
        expected = text_of(self.fleet.call_engine(completion_body("long", tokens=60)))
        reply = complete(self.fleet.nodes[3].port, completion_body("long", tokens=60, stream=True))
        self.assertEqual(text_of(reply), expected)

    def test_a_service_answers_through_every_node(self):
        for node in self.fleet.nodes:
            reply = call(node.port, "GET", "/notes/7?part=2", headers=authorization())
            self.assertEqual(reply.status, 200)
            self.assertEqual((reply.json["method"], reply.json["path"]), ("GET", "/notes/7?part=2"))


class Refusals(ProcessTest):
    """Each test ends with a request that is served, since a refusal must not affect others."""

    def setUp(self):
        self.port = self.fleet.nodes[0].port

    def tearDown(self):
        self.assertEqual(complete(self.port, completion_body("after", tokens=2)).status, 200)

    def assert_not_run(self, reply, status):
        self.assertEqual(reply.status, status, reply)
        self.assertEqual(reply.headers.get("content-type"), "application/json")
        self.assertEqual(reply.error["type"], "not_run")
        self.assertTrue(reply.error["message"])

    def raw(self, headers, body=b"", end=False):
        head = f"POST /v1/completions HTTP/1.1\r\nHost: {LOOPBACK}\r\n"
        for name, value in {**authorization(), **headers}.items():
            head += f"{name}: {value}\r\n"
        return parse_raw(send_raw(self.port, head.encode() + b"\r\n" + body, end=end))

    def test_keys(self):
        body = completion_body("x")
        self.assert_not_run(complete(self.port, body, key="wrong"), 401)
        self.assert_not_run(call(self.port, "POST", "/v1/completions", body), 401)
        self.assert_not_run(call(self.port, "GET", "/admin/status", headers=authorization()), 401)

    def test_unknown_model(self):
        body = completion_body("x")
        body["model"] = "no-such-llm"
        reply = complete(self.port, body)
        self.assert_not_run(reply, 404)
        self.assertEqual(reply.error["code"], "unknown_model")

    def test_bad_bodies(self):
        bad = [b"{", b"[]", b"", b"\xff\xfe", b"{\"model\":3}",
               json.dumps({"model": MODEL}).encode(),
               json.dumps({"model": MODEL, "prompt": "x", "max_tokens": -1}).encode(),
               json.dumps({"model": MODEL, "prompt": "x", "max_tokens": 0}).encode(),
               json.dumps({"model": MODEL, "prompt": "x", "stream": "yes"}).encode(),
               b"[" * 30000]
        for body in bad:
            with self.subTest(body=body[:40]):
                reply = call(self.port, "POST", "/v1/completions", body, authorization())
                self.assert_not_run(reply, 400)

    def test_paths(self):
        for path in ("/elsewhere", "/notesbook", "/notes/../admin/status", "/notes/%2e%2e/x"):
            with self.subTest(path=path):
                self.assert_not_run(call(self.port, "GET", path, headers=authorization()), 404)
        self.assert_not_run(call(self.port, "GET", "/v1/completions", headers=authorization()), 405)

    def test_a_service_of_other_workspaces(self):
        reply = call(self.port, "GET", "/notes", headers=authorization(OTHER_WORKSPACE_KEY))
        self.assert_not_run(reply, 403)

    def test_ambiguous_length(self):
        # Guards against request smuggling: a request has both Content-Length and Transfer-Encoding,
        # two parsers on its path use different ones, and the rest of the body is parsed as the next
        # request of the connection.
        hidden = b"0\r\n\r\nGET /metrics HTTP/1.1\r\nHost: x\r\n\r\n"
        both = {"Content-Length": len(hidden), "Transfer-Encoding": "chunked"}
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\n"
        head += "".join(f"{n}: {v}\r\n" for n, v in {**authorization(), **both}.items())
        received = send_raw(self.port, head.encode() + b"\r\n" + hidden)
        self.assert_not_run(parse_raw(received), 400)
        self.assertEqual(received.count(b"HTTP/1.1 "), 1)

    def test_two_lengths(self):
        head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n"
        reply = parse_raw(send_raw(self.port, head + b"Content-Length: 5\r\n\r\n{}xyz"))
        self.assert_not_run(reply, 400)

    def test_lengths_that_two_readers_could_take_differently(self):
        # Other ambiguous lengths that a lenient parser accepts.
        for lines, version in ((["Content-Length: 2, 2"], "1.1"),
                               (["Content-Length: 2", "Content-Length: 2"], "1.1"),
                               (["Transfer-Encoding: chunked"], "1.0"),
                               (["Transfer-Encoding: gzip"], "1.1"),
                               (["Transfer-Encoding: chunked", "Transfer-Encoding: chunked"], "1.1")):
            with self.subTest(lines=lines):
                head = f"POST /v1/completions HTTP/{version}\r\nHost: x\r\n"
                head += "\r\n".join(lines) + "\r\n\r\n"
                received = send_raw(self.port, head.encode() + b"0\r\n\r\n", end=True)
                self.assert_not_run(parse_raw(received), 400)
                self.assertNotIn(b"401 ", received)

    def test_truncated_request(self):
        body = json.dumps(completion_body("x")).encode()
        reply = self.raw({"Content-Length": len(body)}, body[:10], end=True)
        self.assert_not_run(reply, 400)

    def test_request_that_never_ends(self):
        # The settings allow one second for the header and one second for the body.
        self.assert_not_run(self.raw({"Content-Length": 100}, b"{"), 408)

    def test_oversized_body(self):
        reply = self.raw({"Content-Length": self.fleet.body_bytes + 1}, b"{")
        self.assert_not_run(reply, 413)
        chunk = b"4000\r\n" + b"x" * 0x4000 + b"\r\n"
        reply = self.raw({"Transfer-Encoding": "chunked"}, chunk * 8)
        self.assert_not_run(reply, 413)

    def test_oversized_header(self):
        self.assert_not_run(self.raw({"x-long": "y" * 40000}), 431)

    def test_what_is_no_http(self):
        self.assert_not_run(parse_raw(send_raw(self.port, b"\x16\x03\x01\x02\x00 hello\r\n\r\n")),
                            400)

    def test_callers_that_leave(self):
        # Guards against slots that stay occupied after their callers have left: streams are
        # requested and their connections closed immediately. A closed connection is noticed only by
        # reading from it.
        body = json.dumps(completion_body("gone", tokens=5000, stream=True)).encode()
        head = "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n" % len(body)
        head += "".join(f"{n}: {v}\r\n" for n, v in authorization().items())
        for _ in range(40):
            with socket.create_connection((LOOPBACK, self.port)) as connection:
                connection.sendall(head.encode() + b"\r\n" + body)
                connection.recv(100)
        wait_until(lambda: self.fleet.nodes[0].gauge("arbutusworks_requests_active") <= 1,
                   "the calls of gone callers end", timeout=5)


if __name__ == "__main__":
    unittest.main(verbosity=2)
