"""A short soak test in which targets fail while nodes are killed and start again, see soak.py."""

import unittest

from soak import run_seed

SECONDS = 12
SEED = 1600  # nodes drew the burst of the retry budget again with each start


class SoakRetryTest(unittest.TestCase):
    def test_the_retry_budget_holds_over_restarts(self):
        findings, calls, served = run_seed(SEED, SECONDS)
        self.assertEqual(findings, [], f"{served} of {calls} calls served")
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
