"""A configuration proposed through real nodes is soon in force on all nodes, despite failures."""

import time
import unittest

from driver import OPERATOR_KEY, ProcessTest, authorization, call, in_parallel, wait_until

# Limit from the acceptance until the last node has the configuration in force.
IN_FORCE_SECONDS = 3.0
EXIT_OK = 0
EXIT_CONFLICT = 4


class Applied(ProcessTest):
    """The tests share one fleet, so the version increases from test to test."""

    def setUp(self):
        self.addCleanup(self.fleet.clear_faults)
        self.version = self.newest()
        self.share = 10.0 + self.version  # differs from the rules in force

    def newest(self):
        return max(n.config_version() for n in self.fleet.nodes)

    def directory(self, name="changed", **rules):
        return self.fleet.configuration_copy(name, share=self.share, **rules)

    def apply(self, *more, nodes=None):
        return self.fleet.apply(self.directory(), *more, nodes=nodes)

    def in_force(self, version, nodes=None):
        nodes = self.fleet.nodes if nodes is None else nodes
        return all(n.config_version() >= version for n in nodes)

    def assert_applied(self, result, what):
        """Checks that the change is in force in time, counted from the end of the command."""
        self.assertEqual(result.returncode, EXIT_OK, result)
        self.assertIn(f"version {self.version + 1}", result.stdout)
        _, seconds = wait_until(lambda: self.in_force(self.version + 1), "in force on all nodes")
        self.measured(f"{what}, in force on all six nodes after the acceptance", seconds)
        self.assertLess(seconds, IN_FORCE_SECONDS)
        self.assertEqual(self.newest(), self.version + 1)

    def test_in_force_everywhere(self):
        self.assert_applied(self.apply(), "table well")

    def test_reply_of_the_table_lost(self):
        # Guards against a change that is reported as failed and applied twice, or that is in the
        # table but never reaches the nodes: the head is written, but the reply is lost.
        self.fleet.table_fault(lose_replies=1)
        self.assert_applied(self.apply(), "reply lost")

    def test_request_to_the_table_lost(self):
        # There is no reply either, but the write did not happen and has to be repeated.
        self.fleet.table_fault(lose_requests=1)
        self.assert_applied(self.apply(), "request lost")

    def test_table_slow(self):
        # Guards against nodes that run on different configurations for a long time: table and
        # object store answer each call after 400 ms, and the delays add up if the nodes read one
        # after the other or only from the table.
        self.fleet.platform_fault(latency_ms=400)
        self.assert_applied(self.apply(), "table and objects take 400 ms")

    def test_same_proposal_again(self):
        # Guards against a change that is applied twice and overwrites later changes: the command is
        # repeated with the same proposal id. Only the head's list of proposal ids shows that it is
        # a repetition.
        first = self.apply("--proposal", f"again-{self.version}", "--base", self.version)
        self.assert_applied(first, "first of two")
        again = self.apply("--proposal", f"again-{self.version}", "--base", self.version)
        self.assertEqual(again.returncode, EXIT_OK, again)
        self.assertEqual(again.stdout, first.stdout)
        self.assertEqual(self.fleet.head().json["version"], self.version + 1)

    def test_two_operators_race(self):
        # Guards against the loss of an accepted change: two operators edit the same version and
        # apply at the same time, and the later write replaces the earlier one.
        mine = self.directory("mine", deadline_ms=21000)
        theirs = self.directory("theirs", deadline_ms=22000)
        nodes = self.fleet.nodes
        results = in_parallel([
            lambda: self.fleet.apply(mine, "--base", self.version, nodes=nodes[:3]),
            lambda: self.fleet.apply(theirs, "--base", self.version, nodes=nodes[3:])])
        codes = sorted(r.returncode for r in results)
        self.assertEqual(codes, [EXIT_OK, EXIT_CONFLICT], results)
        loser = next(r for r in results if r.returncode == EXIT_CONFLICT)
        self.assertIn(f"version {self.version + 1}", loser.stderr)
        self.assertIn("deadline", loser.stderr, "the conflict has to name what changed")
        wait_until(lambda: self.in_force(self.version + 1), "the winner is in force")
        self.assertEqual(self.fleet.head().json["version"], self.version + 1)

    def test_stale_base(self):
        # The same without a race: the base is older than the version in force.
        self.assert_applied(self.apply(), "before the stale change")
        stale = self.directory("stale", deadline_ms=23000)
        result = self.fleet.apply(stale, "--base", self.version)
        self.assertEqual(result.returncode, EXIT_CONFLICT, result)
        self.assertIn("deadline", result.stderr, "the conflict has to name what differs")
        self.assertEqual(self.fleet.head().json["version"], self.version + 1)

    def test_table_restored_from_an_old_copy(self):
        # Guards against nodes that revert to an old configuration and reject callers with new keys:
        # the table is copied, a change is accepted, the copy is restored, and the nodes follow the
        # table back.
        call(self.fleet.platform_port, "POST", "/snapshot")
        self.assert_applied(self.apply(), "before the restore")
        wanted = self.version + 1
        call(self.fleet.platform_port, "POST", "/restore")
        self.assertEqual(self.fleet.head().json["version"], self.version)

        def healed():
            for node in self.fleet.nodes:
                self.assertGreaterEqual(node.config_version(), wanted, f"{node.name} went back")
            return self.fleet.head().json["version"] >= wanted

        _, seconds = wait_until(healed, "the head is healed", timeout=20)
        self.measured("restored table, until the head is healed", seconds)

    def test_new_node_while_the_platform_is_unavailable(self):
        # Guards against a replaced node that cannot serve while table and object store are down,
        # because it has no stored state and can get the configuration only from the platform.
        node = self.fleet.nodes[1]
        self.fleet.platform_fault(down=True)
        node.kill()
        begun = time.monotonic()
        node.start()
        wait_until(lambda: node.config_version() == self.version, "the new node has it")
        self.measured("new node, platform unavailable, from its start to the configuration",
                      time.monotonic() - begun)
        wait_until(node.is_ready, "the new node is ready")
        seconds = self.fleet.wait_all_serving([node])
        self.measured("and until it routes to all replicas", seconds)

    def test_proposal_while_the_platform_is_unavailable(self):
        # The proposal is refused as not done, and it was not done.
        self.fleet.platform_fault(down=True)
        result = self.apply("--timeout", "1.5")
        self.assertNotEqual(result.returncode, EXIT_OK)
        self.fleet.clear_faults()
        self.assertEqual(self.fleet.head().json["version"], self.version)

    def test_bad_configuration_is_refused_completely(self):
        directory = self.directory("bad")
        rules = directory / "rules.toml"
        rules.write_text(rules.read_text().replace("slots = 8", "slots = 0\nslotz = 1"))
        result = self.fleet.apply(directory)
        self.assertEqual(result.returncode, 3, result)
        self.assertIn("slotz", result.stderr)
        # The node also refuses it, for clients that do not use the command.
        body = {"base_version": self.version, "proposal": "bad",
                "inventory": self.fleet.inventory_text(), "rules": rules.read_text()}
        reply = call(self.fleet.nodes[0].port, "POST", "/admin/configuration", body,
                     authorization(OPERATOR_KEY))
        self.assertEqual(reply.status, 422)
        self.assertEqual(self.newest(), self.version)


if __name__ == "__main__":
    unittest.main(verbosity=2)
