"""Planned stops of nodes and VMs: nothing that is in flight is cut off."""

import signal
import threading
import time
import unittest

from driver import (DATA_CENTRES, POLL_SECONDS, Load, ProcessTest, authorization, call, complete,
                    completion_body, text_of, wait_until)

BALANCER_LAG_MS = 1000
LEAVING_SECONDS = 2.0


class Stops(ProcessTest):
    fleet_options = {"vms_per_data_centre": 7, "standbys": 1, "spares": 1,
                     "balancer_lag_ms": BALANCER_LAG_MS}

    def in_background(self, job):
        """Starts it; the returned function waits for its result."""
        result = []
        thread = threading.Thread(target=lambda: result.append(job()), daemon=True)
        thread.start()

        def wait():
            thread.join(30)
            return result[0] if result else None
        return wait

    def test_node_stops_under_load(self):
        # Symptom: callers get broken answers at every roll-out.
        # Sequence: a node is told to stop while streams, whole answers and a job card are under
        #   way; the balancer notices only after its lag, and sends more callers meanwhile.
        # Cause: a process that closes its port, or ends, before the balancer has looked.
        node = self.fleet.nodes_of(DATA_CENTRES[1])[0]
        load = Load([node], callers_per_node=6).learn(self.fleet)
        body = completion_body("a long answer", tokens=120)
        expected = text_of(self.fleet.ask_engine(body))
        with load:
            wait_until(lambda: load.whole > 6, "the load runs")
            long_stream = self.in_background(
                lambda: complete(node.port, {**body, "stream": True}))
            self.fleet.fault("/faults/service/notes-api", late=1, late_ms=1500)
            before = self.fleet.executions()["executions"]
            card = self.in_background(
                lambda: call(node.port, "POST", "/notes/cards", "crew 1",
                             {**authorization(), "Idempotency-Key": "stop"}))
            wait_until(lambda: self.fleet.executions()["executions"] > before, "the card runs")
            node.send(signal.SIGTERM)
            told_at = time.monotonic()
            wait_until(lambda: self.readiness(node) == 503, "readiness fails", timeout=1)
            self.measured("SIGTERM until readiness fails", time.monotonic() - told_at)
            late = complete(node.port, completion_body("sent by a balancer that lags"))
            self.assertEqual(late.status, 200, "new callers are still served")
            self.assertLess(time.monotonic() - told_at, BALANCER_LAG_MS / 1000 + 0.5)
            wait_until(lambda: self.readiness(node) is None, "the port is closed", timeout=10)
            status = node.wait(30)
            self.measured("SIGTERM until the process has ended", time.monotonic() - told_at)
        self.assertEqual(status, 0)
        self.assertEqual(text_of(long_stream()), expected)
        self.assertEqual(card().status, 200)
        print(f"measured: load of the stopped node: {load}", flush=True)
        self.assertFalse(load.wrong, load)
        self.assertFalse(load.refused, load)
        # A connection that is refused proves that the request never left; any other end does not.
        self.assertFalse([u for u in load.unanswered if "ConnectionRefused" not in u[1]], load)
        self.assertIn("nothing was cut off", node.log())
        node.start()
        self.fleet.wait_whole([node])

    def readiness(self, node):
        """Status of /readyz; None when nobody listens."""
        try:
            return call(node.port, "GET", "/readyz", timeout=5).status
        except ConnectionRefusedError:
            return None

    def test_idle_node_stops(self):
        node = self.fleet.nodes_of(DATA_CENTRES[2])[1]
        node.send(signal.SIGTERM)
        self.assertEqual(node.wait(10), 0)
        node.start()
        self.fleet.wait_whole([node])

    def test_leaving_target(self):
        # Symptom: requests break off when the platform takes a VM away at the announced time.
        # Sequence: a VM that answers for a replica is announced as leaving, under load.
        # Cause: nodes go on sending to it until they have all read the platform's list.
        nodes = self.fleet.nodes_of(DATA_CENTRES[0])
        replica = nodes[0].status()["replicas"][0]
        vm = replica["members"][0]
        load = Load(nodes, callers_per_node=4).learn(self.fleet)
        with load:
            wait_until(lambda: self.accepted(vm) > 5, "the VM gets requests")
            self.fleet.vm_fault(vm, leaving=True)
            self.addCleanup(self.fleet.vm_fault, vm, leaving=False)
            told_at = time.monotonic()
            last, last_at = self.accepted(vm), told_at
            replaced_at = None
            while time.monotonic() - told_at < 2 * LEAVING_SECONDS:
                count = self.accepted(vm)
                if count != last:
                    last, last_at = count, time.monotonic()
                if replaced_at is None and all(self.serve_without(n, vm) for n in nodes):
                    replaced_at = time.monotonic()
                time.sleep(POLL_SECONDS)
            self.measured("leaving announced until the last new request", last_at - told_at)
            self.assertLess(last_at - told_at, LEAVING_SECONDS)
            if replaced_at is not None:
                self.measured("and until as many replicas serve without it",
                              replaced_at - told_at)
            wait_until(lambda: all(self.serve_without(n, vm) for n in nodes),
                       "as many replicas serve without it", timeout=20)
        print(f"measured: load while the VM left: {load}", flush=True)
        self.assertFalse(load.wrong, load)
        self.assertFalse(load.unanswered, load)
        self.assertFalse(load.refused, load)
        counters = call(self.fleet.vm_ports[vm], "GET", "/counters").json
        self.assertEqual((counters["cut"], counters["cut_by_order"]), (0, 0), counters)

    def accepted(self, vm):
        """Requests that came to the VM, also those that it refused."""
        counters = call(self.fleet.vm_ports[vm], "GET", "/counters").json
        return counters["accepted"] + counters["not_run"]

    def serve_without(self, node, vm):
        replicas = [r for r in node.status()["replicas"] if r["serving"]]
        return (len(replicas) == self.fleet.replicas_per_data_centre
                and not any(vm in r["members"] for r in replicas))


class StopsTogether(ProcessTest):
    fleet_options = {"workers": 4, "balancer_lag_ms": BALANCER_LAG_MS}

    def test_all_nodes_stop_at_once(self):
        # Symptom: a node logs that it has stopped, and its process never ends.
        # Sequence: all nodes of a fleet, each with several workers, are told to stop together.
        # Cause: the workers were stopped before the links that live on them, which then waited
        #   for a worker that had ended.
        for node in self.fleet.nodes:
            node.send(signal.SIGTERM)
        for node in self.fleet.nodes:
            self.assertEqual(node.wait(20), 0, node.name)


if __name__ == "__main__":
    unittest.main(verbosity=2)
