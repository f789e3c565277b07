"""A short soak test in which paths to targets fall silent for a while and go on, see soak.py."""

import unittest

from soak import run_seed
from soak_test import SECONDS

SEED = 1405


class SoakSilenceTest(unittest.TestCase):
    def test_guarantees_hold_while_targets_are_silent(self):
        findings, calls, served = run_seed(SEED, SECONDS)
        self.assertEqual(findings, [], f"{served} of {calls} calls served")
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
