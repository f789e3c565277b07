"""A short soak test in which the nodes of a data centre are cut off from all targets, see soak.py."""

import unittest

from soak import run_seed
from soak_test import SECONDS

SEED = 1001


class SoakCutTest(unittest.TestCase):
    def test_guarantees_hold_while_nodes_reach_no_target(self):
        findings, calls, served = run_seed(SEED, SECONDS)
        self.assertEqual(findings, [], f"{served} of {calls} calls served")
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
