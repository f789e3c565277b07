"""Planned stops of nodes and VMs: no request in flight is interrupted."""

import signal
import threading
import time
import unittest

from driver import (DATA_CENTRES, POLL_SECONDS, Load, ProcessTest, authorization, call, complete,
                    completion_body, text_of, wait_until)

BALANCER_LAG_MS = 1000
LEAVING_SECONDS = 2.0


def in_background(job):
    """Starts the job in a thread; the returned function waits for its result."""
    result = []
    thread = threading.Thread(target=lambda: result.append(job()), daemon=True)
    thread.start()

    def wait():
        thread.join(30)
        return result[0] if result else None
    return wait


class Stops(ProcessTest):
    fleet_options = {"vms_per_data_centre": 7, "standbys": 1, "spares": 1,
                     "balancer_lag_ms": BALANCER_LAG_MS}

    def test_node_stops_under_load(self):
        # Guards against truncated answers at every roll-out: a node is stopped while streams,
        # buffered answers and a job card are in progress, and closes its port or ends before the
        # load balancer has noticed and stopped sending callers.
        node = self.fleet.nodes_of(DATA_CENTRES[1])[0]
        load = Load([node], callers_per_node=6).learn_answers(self.fleet)
        body = completion_body("a long answer", tokens=120)
        expected = text_of(self.fleet.call_engine(body))
        with load:
            wait_until(lambda: load.complete_count > 6, "the load runs")
            long_stream = in_background(
                lambda: complete(node.port, {**body, "stream": True}))
            self.fleet.fault("/faults/service/notes-api", late=1, late_ms=1500)
            before = self.fleet.executions()["executions"]
            card = in_background(
                lambda: call(node.port, "POST", "/notes/cards", "crew 1",
                             {**authorization(), "Idempotency-Key": "stop"}))
            wait_until(lambda: self.fleet.executions()["executions"] > before, "the card runs")
            node.send(signal.SIGTERM)
            signalled_at = time.monotonic()
            wait_until(lambda: self.readiness(node) == 503, "readiness fails", timeout=1)
            self.measured("SIGTERM until readiness fails", time.monotonic() - signalled_at)
            late = complete(node.port, completion_body("sent by a balancer that lags"))
            self.assertEqual(late.status, 200, "new callers are still served")
            self.assertLess(time.monotonic() - signalled_at, BALANCER_LAG_MS / 1000 + 0.5)
            wait_until(lambda: self.readiness(node) is None, "the port is closed", timeout=10)
            status = node.wait(30)
            self.measured("SIGTERM until the process has ended", time.monotonic() - signalled_at)
        self.assertEqual(status, 0)
        self.assertEqual(text_of(long_stream()), expected)
        self.assertEqual(card().status, 200)
        print(f"measured: load of the stopped node: {load}", flush=True)
        self.assertFalse(load.wrong, load)
        self.assertFalse(load.refused, load)
        # Only a refused connection proves that the request was not sent.
        self.assertFalse([u for u in load.unanswered if "ConnectionRefused" not in u[1]], load)
        self.assertIn("nothing was cut off", node.log())
        node.start()
        self.fleet.wait_all_serving([node])

    def readiness(self, node):
        """Status of /readyz; None if the port is closed."""
        try:
            return call(node.port, "GET", "/readyz", timeout=5).status
        except ConnectionRefusedError:
            return None

    def test_idle_node_stops(self):
        node = self.fleet.nodes_of(DATA_CENTRES[2])[1]
        node.send(signal.SIGTERM)
        self.assertEqual(node.wait(10), 0)
        node.start()
        self.fleet.wait_all_serving([node])

    def test_leaving_target(self):
        # Guards against interrupted requests when the platform removes a VM at the announced time:
        # the head of a replica is announced as leaving under load, and nodes keep sending to it
        # until they have read the platform's list.
        nodes = self.fleet.nodes_of(DATA_CENTRES[0])
        replica = nodes[0].status()["replicas"][0]
        vm = replica["members"][0]
        load = Load(nodes, callers_per_node=4).learn_answers(self.fleet)
        with load:
            wait_until(lambda: self.accepted(vm) > 5, "the VM gets requests")
            self.fleet.vm_fault(vm, leaving=True)
            self.addCleanup(self.fleet.vm_fault, vm, leaving=False)
            announced_at = time.monotonic()
            last, last_at = self.accepted(vm), announced_at
            replaced_at = None
            while time.monotonic() - announced_at < 2 * LEAVING_SECONDS:
                count = self.accepted(vm)
                if count != last:
                    last, last_at = count, time.monotonic()
                if replaced_at is None and all(self.serve_without(n, vm) for n in nodes):
                    replaced_at = time.monotonic()
                time.sleep(POLL_SECONDS)
            self.measured("leaving announced until the last new request", last_at - announced_at)
            self.assertLess(last_at - announced_at, LEAVING_SECONDS)
            if replaced_at is not None:
                self.measured("and until as many replicas serve without it",
                              replaced_at - announced_at)
            wait_until(lambda: all(self.serve_without(n, vm) for n in nodes),
                       "as many replicas serve without it", timeout=20)
        print(f"measured: load while the VM left: {load}", flush=True)
        self.assertFalse(load.wrong, load)
        self.assertFalse(load.unanswered, load)
        self.assertFalse(load.refused, load)
        counters = call(self.fleet.vm_ports[vm], "GET", "/counters").json
        self.assertEqual((counters["cut"], counters["cut_by_order"]), (0, 0), counters)

    def accepted(self, vm):
        """Requests that arrived at the VM, including refused ones."""
        counters = call(self.fleet.vm_ports[vm], "GET", "/counters").json
        return counters["accepted"] + counters["not_run"]

    def serve_without(self, node, vm):
        replicas = [r for r in node.status()["replicas"] if r["serving"]]
        return (len(replicas) == self.fleet.replicas_per_data_centre
                and not any(vm in r["members"] for r in replicas))


class StopsBeforeItsCalls(ProcessTest):
    fleet_options = {"workers": 2, "balancer_lag_ms": 500, "stop_limit_ms": 1500}

    def setUp(self):
        self.node = self.fleet.nodes_of(DATA_CENTRES[1])[0]
        self.addCleanup(self.restore)

    def restore(self):
        for vm in self.fleet.vm_ports:
            self.fleet.vm_fault(vm, speed=1.0)
        self.fleet.fault("/faults/service/notes-api", late=0)
        if not self.node.is_running():
            self.node.start()
        self.fleet.wait_all_serving([self.node])

    def send(self, method, path, deadline_ms=20000, **headers):
        return call(self.node.port, method, path, "crew 1" if method == "POST" else None,
                    {**authorization(), "x-deadline-ms": str(deadline_ms), **headers})

    def slow_stream(self):
        for vm in self.fleet.vm_ports:
            self.fleet.vm_fault(vm, speed=0.02)
        return in_background(lambda: complete(
            self.node.port, completion_body("a long answer", tokens=2000, stream=True)))

    def test_calls_that_outlast_the_stop_are_answered(self):
        # Guards against calls that are cut off without an answer when their node has stopped.
        self.fleet.fault("/faults/service/notes-api", late=2, late_ms=8000)
        before = self.fleet.executions()["executions"]
        once = in_background(lambda: self.send("POST", "/notes/cards", **{"Idempotency-Key": "s"}))
        repeatable = in_background(lambda: self.send("GET", "/notes/1"))
        stream = self.slow_stream()
        wait_until(lambda: self.node.gauge("arbutusworks_requests_active") >= 4, "the calls run")
        wait_until(lambda: self.fleet.executions()["executions"] > before, "the card runs")
        self.node.send(signal.SIGTERM)
        replies = [once(), repeatable()]
        self.assertEqual([(r.status, r.error["type"]) for r in replies], 2 * [(502, "unknown")])
        self.assertIn(b'"error"', stream().body)
        self.assertEqual(self.node.wait(10), 0)
        self.assertIn("nothing was cut off", self.node.log())

    def test_calls_that_may_outlast_the_stop_are_refused_at_once(self):
        # Guards against calls that a stopping node passes on though they may last longer than it.
        before = self.fleet.executions()["executions"]
        self.node.send(signal.SIGTERM)
        wait_until(lambda: call(self.node.port, "GET", "/readyz").status == 503, "it stops")
        begun = time.monotonic()
        late = self.send("POST", "/notes/cards", **{"Idempotency-Key": "late"})
        self.assertEqual((late.status, late.error["type"]), (503, "not_run"))
        self.assertIn("retry-after", late.headers)
        self.assertLess(time.monotonic() - begun, 0.3)
        self.assertEqual(self.fleet.executions()["executions"], before)
        short = self.send("GET", "/notes/1", deadline_ms=300)
        self.assertEqual(short.status, 200)
        self.assertEqual(self.node.wait(10), 0)


class StopsTogether(ProcessTest):
    fleet_options = {"workers": 4, "balancer_lag_ms": BALANCER_LAG_MS}

    def test_all_nodes_stop_at_once(self):
        # Guards against a process that logs its stop but never ends: all nodes, each with several
        # workers, are stopped together, the workers end before the links that run on them, and the
        # links wait for them indefinitely.
        for node in self.fleet.nodes:
            node.send(signal.SIGTERM)
        for node in self.fleet.nodes:
            self.assertEqual(node.wait(20), 0, node.name)


if __name__ == "__main__":
    unittest.main(verbosity=2)
