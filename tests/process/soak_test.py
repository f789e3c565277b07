"""A short soak of real processes; long ones are run by hand, see soak.py."""

import unittest

from soak import run_seed

SECONDS = 8

# Seeds that failed once, each with a line on the cause; they stay as they were.
REGRESSIONS = ()
FIXED = (1, 2)


class SoakTest(unittest.TestCase):
    def test_promises_hold_under_faults(self):
        for seed in (*REGRESSIONS, *FIXED):
            with self.subTest(seed=seed):
                findings, calls, served = run_seed(seed, SECONDS)
                self.assertEqual(findings, [], f"{served} of {calls} calls served")
                self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
