"""Members and nodes die, pause and return, with and without the table: replicas serve again with
their own standbys, and no VM is ever in two replicas."""

import signal
import threading
import time
import unittest

from driver import (DATA_CENTRES, Load, OwnershipMonitor, ProcessTest, call, check_repeatedly,
                    complete, completion_body, text_of, wait_until)

DATA_CENTRE = DATA_CENTRES[0]
PAUSE_SECONDS = 20


class RepairTest(ProcessTest):
    """Fixture: two replicas of two VMs in each data centre, each with a standby, and a spare VM."""

    fleet_options = {"vms_per_data_centre": 7, "standbys": 1, "spares": 1}

    def setUp(self):
        # Without the table, the first node by id can act alone; the second cannot.
        self.first, self.second = self.fleet.nodes_of(DATA_CENTRE)
        self.vms = [vm for vm in self.fleet.vm_ports if vm.startswith(DATA_CENTRE)]
        self.killed = []
        self.addCleanup(self.restore)
        wait_until(self.settled, "the data centre is complete and both nodes agree", timeout=30)

    def restore(self):
        self.fleet.clear_faults()
        for node in (self.first, self.second):
            if node.is_running():
                node.send(signal.SIGCONT)
            else:
                node.start()
        for vm in self.killed:
            self.fleet.vm_fault(vm, killed=False)
        wait_until(self.settled, "all is well again after the test", timeout=30)

    def settled(self):
        """Both nodes have the same complete assignment, each replica with its standby."""
        views = [n.status() for n in (self.first, self.second)]
        if not all(views) or not all(v["table_reachable"] for v in views):
            return False
        complete = all(r["serving"] and len(r["standbys"]) == 1
                       for view in views for r in view["replicas"])
        return complete and len(views[0]["replicas"]) == 2 and self.agreed(*views)

    @staticmethod
    def agreed(one, other):
        def summary(view):
            return [(r["replica"], r["generation"], r["members"], r["serving"])
                    for r in view["replicas"]]
        return summary(one) == summary(other)

    def kill_vm(self, vm):
        self.killed.append(vm)
        self.fleet.vm_fault(vm, killed=True)

    def table_down(self):
        self.fleet.table_fault(down=True)
        wait_until(lambda: not any(n.status()["table_reachable"]
                                   for n in (self.first, self.second) if n.is_running()),
                   "the nodes notice that the table is unavailable")

    @staticmethod
    def sees_dead(node, other):
        return not next(n["live"] for n in node.status()["nodes"] if n["node"] == other.name)

    @staticmethod
    def condition(node, vm):
        return next(v["condition"] for v in node.status()["vms"] if v["vm"] == vm)

    def serves_without(self, node, replica, vm):
        view = node.replica(replica)
        return view if view and view["serving"] and vm not in view["members"] else None

    def wait_repaired(self, nodes, replica, vm, what, timeout=15.0):
        """Seconds until all nodes route to the replica without the VM."""
        _, seconds = wait_until(lambda: all(self.serves_without(n, replica, vm) for n in nodes),
                                what, timeout)
        self.measured(what, seconds)

    def assert_all_complete(self, load):
        print(f"measured: load: {load}", flush=True)
        self.assertFalse(load.wrong, load)
        self.assertFalse(load.unanswered, load)
        self.assertFalse([r for r in load.refused if r[1] != "not_run"], load)
        self.assertGreater(load.complete_count, 10, load)

    def row(self):
        return call(self.fleet.platform_port, "GET", f"/table/assignment/{DATA_CENTRE}")

    def repair_without_the_table(self, position):
        load = Load([self.first, self.second]).learn_answers(self.fleet)
        before = self.first.status()["replicas"][0]
        name, victim = before["replica"], before["members"][position]
        row_version = self.row().headers["x-row-version"]
        with OwnershipMonitor(self.fleet, DATA_CENTRE) as owners, load:
            self.table_down()
            self.kill_vm(victim)
            self.wait_repaired([self.first, self.second], name, victim,
                               "table down, member killed, until both nodes route to its replica")
            views = [n.status() for n in (self.first, self.second)]
            self.assertTrue(self.agreed(*views), views)
            after = self.first.replica(name)
            self.assertIn(before["standbys"][0], after["members"], "its own standby steps in")
            self.assertNotEqual(after["generation"], before["generation"])
            self.assertEqual(self.row().status, 503, "all of this without the table")
            self.fleet.clear_faults()

            _, seconds = wait_until(lambda: self.row().headers["x-row-version"] != row_version,
                                    "the row takes up the repair")
            self.measured("table back, until its row has the repair", seconds)
            wait_until(self.settled, "both nodes go by the new row", timeout=30)
            self.assertEqual(self.first.replica(name)["members"], after["members"])
        self.assertEqual(owners.findings, [])
        self.assertGreater(owners.polls, 3)
        self.assert_all_complete(load)


class Repair(RepairTest):
    def test_member_lost_without_the_table(self):
        # Guards against a replica that does not serve while the table is unavailable: a member
        # dies, and the nodes can agree on the VM that replaces it only through the table.
        self.repair_without_the_table(position=1)

    def test_head_lost_without_the_table(self):
        # The same for the member that answers requests: its streams break and continue on another
        # replica.
        self.repair_without_the_table(position=0)

    def test_second_node_killed_without_the_table(self):
        # Guards against a replica that does not serve because a node is lost: the table is
        # unavailable, the second node and a member die together, and the first node waits for the
        # dead node.
        replica = self.second.status()["replicas"][1]
        name, victim = replica["replica"], replica["members"][1]
        with OwnershipMonitor(self.fleet, DATA_CENTRE) as owners:
            self.table_down()
            self.second.kill()
            self.kill_vm(victim)
            self.wait_repaired([self.first], name, victim,
                               "table down, second node and member killed, until it serves again")
        self.assertEqual(owners.findings, [])

    def test_first_node_killed_without_the_table(self):
        # Guards against two nodes that repair the same replica differently: the table is
        # unavailable, the first node and a member die together, and the second node cannot tell a
        # dead first node from an unreachable one. So it must not repair without the table, but it
        # has to keep serving with the other replica.
        load = Load([self.second]).learn_answers(self.fleet)
        replica = self.first.status()["replicas"][0]
        name, victim = replica["replica"], replica["members"][1]
        with OwnershipMonitor(self.fleet, DATA_CENTRE) as owners, load:
            self.table_down()
            self.first.kill()
            wait_until(lambda: self.sees_dead(self.second, self.first), "the node is seen as dead")
            self.kill_vm(victim)
            wait_until(lambda: self.condition(self.second, victim) == "lost", "the VM is lost")
            check_repeatedly(1.5, lambda: self.assertEqual(len(self.second.serving()), 1), poll=0.1)
            self.fleet.clear_faults()
            self.wait_repaired([self.second], name, victim,
                               "table back with one node, until the replica serves again")
        self.assertEqual(owners.findings, [])
        self.assert_all_complete(load)


class LateRepair(RepairTest):
    """Streams that run for longer than their class has until the first token."""

    FIRST_TOKEN_SECONDS = 5.0  # as in the rules of the fleet

    def test_stream_that_has_begun_waits_for_a_repair(self):
        # Guards against a stream that is cut for want of a replica while it has time left: the
        # first token, which is no longer due, was taken for the limit.
        body = completion_body("a long answer", tokens=400)
        expected = text_of(self.fleet.call_engine(body))
        reply = []
        caller = threading.Thread(
            target=lambda: reply.append(complete(self.first.port, {**body, "stream": True})))
        caller.start()
        begun = time.monotonic()
        wait_until(lambda: time.monotonic() - begun > self.FIRST_TOKEN_SECONDS,
                   "the first token is no longer due", timeout=10)
        self.assertTrue(caller.is_alive(), "the stream is still running")
        for replica in self.first.status()["replicas"]:
            self.kill_vm(replica["members"][0])
        caller.join(30)
        self.assertEqual(text_of(reply[0]), expected)


class TokensIgnored(RepairTest):
    """The same with engines that ignore fencing tokens, so only the nodes prevent conflicts."""

    fleet_options = {**RepairTest.fleet_options, "checks_tokens": False}

    def test_member_lost_without_the_table(self):
        # As above, but the engines do not reject stale orders.
        self.repair_without_the_table(position=1)

    def test_paused_node_sends_no_stale_orders(self):
        # Guards against a repaired replica that is broken again by a paused node: a member dies,
        # the node that would repair the replica is paused, and the other node repairs it. The
        # paused node continues and sends its old orders, since a process cannot notice its own
        # pause, and engines that do not check tokens accept them.
        load = Load([self.second]).learn_answers(self.fleet)
        replica = self.first.status()["replicas"][0]
        name, victim = replica["replica"], replica["members"][1]
        with OwnershipMonitor(self.fleet, DATA_CENTRE) as owners, load:
            self.kill_vm(victim)
            self.first.send(signal.SIGSTOP)
            paused_at = time.monotonic()
            self.wait_repaired([self.second], name, victim,
                               "member killed, first node paused, until it serves again",
                               timeout=PAUSE_SECONDS)
            wait_until(lambda: time.monotonic() - paused_at >= PAUSE_SECONDS, "the pause is over",
                       timeout=PAUSE_SECONDS + 5)
            before = self.compositions()
            orders = self.orders_done()
            self.first.send(signal.SIGCONT)
            check_repeatedly(3.0, lambda: self.assertEqual(self.compositions(), before), poll=0.05)
            self.assertEqual(self.orders_done(), orders, "orders after the pause")
            wait_until(lambda: self.agreed(self.first.status(), self.second.status()),
                       "the woken node has caught up")
        self.assertEqual(owners.findings, [])
        self.assert_all_complete(load)

    def compositions(self):
        return {vm: (report["rep"], report["gen"]) for vm in self.vms
                if (report := self.fleet.report(vm))}

    def orders_done(self):
        return sum(call(self.fleet.vm_ports[vm], "GET", "/counters").json["orders_done"]
                   for vm in self.vms if vm not in self.killed)


if __name__ == "__main__":
    unittest.main(verbosity=2)
