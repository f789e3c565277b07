"""A short soak test in which targets run requests and fail them with a status that promises "not
run", see soak.py."""

import unittest

from soak import run_seed

SECONDS = 10
SEED = 2000  # callers were told that calls and streams had not run which had


class SoakFailedRunsTest(unittest.TestCase):
    def test_no_failed_run_is_a_promise(self):
        findings, calls, served = run_seed(SEED, SECONDS)
        self.assertEqual(findings, [], f"{served} of {calls} calls served")
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
