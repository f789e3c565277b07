"""Calls that must not be repeated, through real nodes: a job card runs at most once despite
failures, and a caller that gets "not run" can rely on it."""

import itertools
import time
import unittest

from driver import ProcessTest, authorization, call, in_parallel, wait_until

# Limit for the refusal of a call while the table is unavailable.
REFUSED_WITHIN_SECONDS = 3.0
TAKEOVER_SECONDS = 5.0


class KeyedCalls(ProcessTest):
    _names = itertools.count()

    def setUp(self):
        self.addCleanup(self.restore)
        self.before = self.fleet.executions()

    def restore(self):
        self.fleet.clear_faults()
        self.service_fault(late=0, cut_before=0, cut_after=0)
        for node in self.fleet.nodes:
            if not node.is_running():
                node.start()
        wait_until(lambda: all(n.is_ready() for n in self.fleet.nodes), "all nodes are ready")

    def service_fault(self, **command):
        self.fleet.fault("/faults/service/notes-api", **command)

    def new_key(self):
        return f"card-{next(self._names)}"

    def send_card(self, node, key, body="crew 3 to Hlavna 7", deadline_ms=10000):
        headers = {**authorization(), "Idempotency-Key": key, "x-deadline-ms": str(deadline_ms),
                   "Content-Type": "text/plain"}
        return call(node.port, "POST", "/notes/cards", body, headers, timeout=30)

    def executed(self):
        """Executions since the start of the test."""
        return self.fleet.executions()["executions"] - self.before["executions"]

    def assert_none_twice(self):
        counters = self.fleet.executions()
        self.assertLessEqual(counters["most_per_key"], 1, counters)

    def assert_consistent(self, replies, executed):
        """Checks that the replies to the callers of one card agree with how often it ran."""
        answered = [r for r in replies if r.status == 200]
        self.assertLessEqual(executed, 1)
        if answered:
            self.assertEqual(executed, 1, replies)
            self.assertEqual(len({r.body for r in answered}), 1, replies)
        if all(r.status != 200 and r.error["type"] == "not_run" for r in replies):
            self.assertEqual(executed, 0, replies)

    def send_everywhere(self, key):
        return in_parallel([lambda node=node: self.send_card(node, key)
                            for node in self.fleet.nodes])

    def settle(self, nodes, key, seconds=20.0):
        """Repeats the call, as a caller would, until it is no longer in progress."""
        turn = itertools.cycle(nodes)

        def look():
            reply = self.send_card(next(turn), key, deadline_ms=3000)
            return None if reply.status == 409 or reply.status == 503 else reply
        return wait_until(look, f"{key} is settled", timeout=seconds, poll=0.2)[0]

    def test_same_card_through_all_nodes_at_once(self):
        # Guards against a card that runs twice: it is sent again while the first call is in
        # progress, the balancer routes the repetitions to other nodes, and those do not know of the
        # first call.
        for _ in range(4):
            key, before = self.new_key(), self.executed()
            replies = self.send_everywhere(key)
            self.assert_consistent(replies, self.executed() - before)
            self.assertTrue(any(r.status == 200 for r in replies), replies)
            again = self.send_card(self.fleet.nodes[5], key)
            self.assertEqual(again.status, 200)
            self.assertEqual(again.headers.get("idempotent-replayed"), "true")
            self.assertEqual(self.executed() - before, 1)
        self.assert_none_twice()

    def test_replies_of_the_table_lost(self):
        # Guards against a card that runs twice, or that ran although its caller got "not run": the
        # record of the call is written, the table's reply is lost, and the node treats the write as
        # failed.
        self.fleet.table_fault(lose_fraction=0.4)
        for _ in range(4):
            key, before = self.new_key(), self.executed()
            self.assert_consistent(self.send_everywhere(key), self.executed() - before)
            self.assertLessEqual(self.executed() - before, 1)
        self.assert_none_twice()

    def test_requests_to_the_table_lost(self):
        for _ in range(3):
            key, before = self.new_key(), self.executed()
            self.fleet.table_fault(lose_requests=2, lose_replies=2)
            self.assert_consistent(self.send_everywhere(key), self.executed() - before)
        self.assert_none_twice()

    def test_node_killed_while_the_card_runs(self):
        # Guards against a repeated card that runs again: the service has received it, the node dies
        # before it records the answer, and the caller repeats the card through another node. Only
        # the dead node knew that the call was sent.
        node, key = self.fleet.nodes[0], self.new_key()
        self.service_fault(late=1, late_ms=4000)
        killed = in_parallel([lambda: self.send_card(node, key, deadline_ms=3000),
                              lambda: (wait_until(lambda: self.executed() == 1, "it runs"),
                                       node.kill())])[0]
        self.assertIsInstance(killed, Exception, "its caller gets no answer")
        others = self.fleet.nodes[1:]
        repeat = self.send_card(others[0], key)
        self.assertEqual((repeat.status, repeat.error["type"]), (409, "unknown"))
        settled = self.settle(others, key)
        self.assertEqual((settled.status, settled.error["type"]), (502, "unknown"))
        self.assertEqual(self.executed(), 1)

    def test_node_killed_with_cards_at_every_step(self):
        # The same failure, with the node killed at different steps of a card: before the
        # reservation of the key, between it and the mark "sent", and between that and the call.
        node, others = self.fleet.nodes[0], self.fleet.nodes[1:]
        self.fleet.table_fault(latency_ms=250)
        keys = [self.new_key() for _ in range(12)]
        begun = time.monotonic()

        def send(index, key):
            wait_until(lambda: time.monotonic() - begun >= 0.1 * index, "its turn")
            return self.send_card(node, key, deadline_ms=4000)

        def kill():
            wait_until(lambda: time.monotonic() - begun >= 1.25, "the middle")
            node.kill()

        first = in_parallel([kill, *(lambda i=i, k=k: send(i, k) for i, k in enumerate(keys))])[1:]
        self.fleet.clear_faults()
        settled = in_parallel([lambda k=k: self.settle(others, k) for k in keys])
        done = [r for r in settled if getattr(r, "status", 0) == 200]
        unknown = [r for r in settled if getattr(r, "status", 0) == 502]
        print(f"measured: node killed with {len(keys)} cards under way: {len(done)} done, "
              f"{len(unknown)} may have run, "
              f"{sum(not isinstance(r, Exception) for r in first)} answered before", flush=True)
        self.assertEqual(len(done) + len(unknown), len(keys), settled)
        self.assertGreaterEqual(self.executed(), len(done))
        self.assertLessEqual(self.executed(), len(keys))
        self.assert_none_twice()

    def test_table_unavailable(self):
        # Guards against a caller that waits for a long time and repeats its call: while the table
        # is down the call cannot be recorded and must not be sent, so it has to be refused.
        self.fleet.table_fault(down=True)
        begun = time.monotonic()
        reply = self.send_card(self.fleet.nodes[0], self.new_key())
        seconds = time.monotonic() - begun
        self.measured("table unavailable, until the card is refused", seconds)
        self.assertEqual((reply.status, reply.error["type"]), (503, "not_run"))
        self.assertIn("retry-after", reply.headers)
        self.assertLess(seconds, REFUSED_WITHIN_SECONDS)
        self.assertEqual(self.executed(), 0)
        reading = call(self.fleet.nodes[0].port, "GET", "/notes/1", headers=authorization())
        self.assertEqual(reading.status, 200, "a repeatable call does not need the table")

    def test_table_unavailable_then_back(self):
        # A refused call does not run later; the card can be sent again when the table is back.
        key = self.new_key()
        self.fleet.table_fault(down=True)
        self.assertEqual(self.send_card(self.fleet.nodes[0], key).error["type"], "not_run")
        self.fleet.clear_faults()
        self.assertEqual(self.settle(self.fleet.nodes[1:], key).status, 200)
        self.assertEqual(self.executed(), 1)

    def test_connection_to_the_service_breaks(self):
        # Guards against a card that ran although its caller got "not run" and sends another one:
        # the connection breaks after the service has received the card. A broken connection does
        # not show whether the call ran.
        for fault, executed in (("cut_after", 1), ("cut_before", 0)):
            with self.subTest(fault=fault):
                key, before = self.new_key(), self.executed()
                self.service_fault(**{fault: 1})
                reply = self.send_card(self.fleet.nodes[2], key)
                self.assertEqual(reply.status, 502, reply)
                self.assertEqual(reply.error["type"], "unknown")
                self.assertEqual(self.executed() - before, executed)

    def test_without_a_key_there_is_one_attempt(self):
        self.service_fault(cut_after=1)
        reply = call(self.fleet.nodes[1].port, "POST", "/notes/cards", "crew 4", authorization())
        self.assertEqual((reply.status, reply.error["type"]), (502, "unknown"))
        self.assertEqual(self.executed(), 1)

    def test_key_of_another_card(self):
        key = self.new_key()
        self.assertEqual(self.send_card(self.fleet.nodes[0], key).status, 200)
        other = self.send_card(self.fleet.nodes[3], key, body="crew 9 to Dlha 2")
        self.assertEqual((other.status, other.error["type"]), (422, "not_run"))
        self.assertEqual(self.executed(), 1)


if __name__ == "__main__":
    unittest.main(verbosity=2)
