"""A short soak test in which targets send what is no answer, also during uploads, see soak.py."""

import unittest

from soak import run_seed

SECONDS = 10
SEED = 1800  # statuses out of range and bodies that were reset reached callers


class SoakBrokenAnswersTest(unittest.TestCase):
    def test_no_caller_gets_a_broken_answer(self):
        findings, calls, served = run_seed(SEED, SECONDS)
        self.assertEqual(findings, [], f"{served} of {calls} calls served")
        self.assertGreater(served, 50)


if __name__ == "__main__":
    unittest.main()
