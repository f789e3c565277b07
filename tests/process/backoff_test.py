"""Targets that ask nodes of the product's own kind to back off, or say that they are leaving."""

import time
import unittest

from driver import (DATA_CENTRES, NODES_PER_DATA_CENTRE, ProcessTest, authorization, call,
                    complete, completion_body, wait_until)

BACKOFF_SECONDS = 3.0
# Requests that are on their way when a target answers may still arrive within this time.
NOTICE_SECONDS = 0.5
MAX_IN_BACKOFF = 2
REFUSED_WITHIN_SECONDS = 1.0
# By the operators' bound; afterwards a leaving target gets nothing.
DRAIN_SECONDS = 2.0
# More than all nodes together may send to the leaving heads.
CALLS_TO_LEAVING = 60


class RestrainingTargets(ProcessTest):
    def setUp(self):
        self.addCleanup(self.restore)
        self.node = self.fleet.nodes[0]

    def restore(self):
        for vm in self.fleet.vm_ports:
            self.fleet.vm_fault(vm, backoff_ms=0, says_leaving=False)
        self.service_fault(backoff_ms=0, says_leaving=False)
        time.sleep(BACKOFF_SECONDS)

    def service_fault(self, **command):
        self.fleet.fault("/faults/service/notes-api", **command)

    def turned_away_by_engines(self):
        """Requests that each engine has turned away."""
        return {vm: call(port, "GET", "/counters").json["turned_away"]
                for vm, port in self.fleet.vm_ports.items()}

    def executed(self):
        return self.fleet.executions()["executions"]

    def ask_model(self, stream=False):
        return complete(self.node.port, completion_body("a call", tokens=2, stream=stream))

    def send_note(self, method):
        return call(self.node.port, method, "/notes/1", "x" if method == "POST" else None,
                    {**authorization(), "x-deadline-ms": "5000"})

    def assert_refused(self, ask, seconds):
        """Checks that calls are refused at once, and with the end of the backoff, for a time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            begun = time.monotonic()
            reply = ask()
            took = time.monotonic() - begun
            self.assertEqual(reply.status, 503, reply)
            self.assertLess(took, REFUSED_WITHIN_SECONDS, reply)
            self.assertGreaterEqual(float(reply.headers["retry-after"]), until - time.monotonic())
            time.sleep(0.02)


class Backoff(RestrainingTargets):
    def check_engines(self, ask):
        for vm in self.fleet.vm_ports:
            self.fleet.vm_fault(vm, backoff_ms=1000 * BACKOFF_SECONDS)
        begun = time.monotonic()
        while time.monotonic() < begun + NOTICE_SECONDS:
            ask()
        before = self.turned_away_by_engines()
        self.assert_refused(ask, BACKOFF_SECONDS - 2 * NOTICE_SECONDS)
        after = self.turned_away_by_engines()
        for vm, count in after.items():
            self.assertLessEqual(count - before[vm], MAX_IN_BACKOFF, vm)

    def test_engines_get_no_streams_during_their_backoff(self):
        # Guards against streams that are sent to the last replicas, or wait until their deadline.
        self.check_engines(lambda: self.ask_model(stream=True))

    def test_engines_get_no_buffered_calls_during_their_backoff(self):
        self.check_engines(self.ask_model)

    def test_other_replicas_serve_meanwhile(self):
        # Guards against callers that are refused although only one replica backs off.
        head = next(r for r in self.node.status()["replicas"] if r["serving"])["members"][0]
        self.fleet.vm_fault(head, backoff_ms=1000 * BACKOFF_SECONDS)
        before = self.turned_away_by_engines()[head]
        until = time.monotonic() + BACKOFF_SECONDS - NOTICE_SECONDS
        while time.monotonic() < until:
            self.assertEqual(self.ask_model().status, 200)
        self.assertLessEqual(self.turned_away_by_engines()[head] - before, 1 + MAX_IN_BACKOFF)

    def check_instances(self, method):
        self.service_fault(backoff_ms=1000 * BACKOFF_SECONDS)
        for _ in range(2 * len(DATA_CENTRES)):
            self.send_note(method)
        before = self.fleet.executions()["turned_away"]
        self.assert_refused(lambda: self.send_note(method), BACKOFF_SECONDS - 2 * NOTICE_SECONDS)
        self.assertLessEqual(self.fleet.executions()["turned_away"] - before, MAX_IN_BACKOFF)

    def test_instances_get_no_repeatable_calls_during_their_backoff(self):
        self.check_instances("GET")

    def test_instances_get_no_keyed_calls_during_their_backoff(self):
        # Guards against calls that may not be repeated and are sent although the target asked for
        # a backoff.
        self.check_instances("POST")


class Leaving(RestrainingTargets):
    """On a fleet of its own: its targets stay out of use."""

    fleet_options = {"spares": 0}

    def test_a_leaving_instance_gets_no_calls(self):
        self.service_fault(says_leaving=True)
        wait_until(lambda: self.send_note("GET").status == 503, "no instance is left",
                   timeout=DRAIN_SECONDS + 5)
        before = self.executed()
        self.assertEqual(self.send_note("POST").status, 503)
        self.assertEqual(self.send_note("GET").status, 503)
        self.assertEqual(self.executed(), before)

    def accepted_by_engines(self):
        return {vm: call(port, "GET", "/counters").json["accepted"]
                for vm, port in self.fleet.vm_ports.items()}

    def test_a_leaving_replica_gets_no_calls(self):
        # Guards against calls to a head that says that it is leaving while its reports do not. Each
        # node of its data centre learns that by one call of its own, also by one passed on to it.
        before = self.accepted_by_engines()
        for vm in self.fleet.vm_ports:
            self.fleet.vm_fault(vm, says_leaving=True)
        statuses = [self.ask_model(stream=i % 2 == 0).status for i in range(CALLS_TO_LEAVING)]
        for vm, count in self.accepted_by_engines().items():
            self.assertLessEqual(count - before[vm], NODES_PER_DATA_CENTRE, vm)
        self.assertEqual(set(statuses[-CALLS_TO_LEAVING // 4:]), {503}, statuses)


if __name__ == "__main__":
    unittest.main()
