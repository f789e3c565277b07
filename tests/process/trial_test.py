"""The `trial` subcommand."""

import subprocess
import time
import unittest

from driver import BINARY

TIMEOUT_SECONDS = 40
AIM_SECONDS = 20


class Trial(unittest.TestCase):
    def test_trial_keeps_every_guarantee(self):
        begun = time.monotonic()
        result = subprocess.run([BINARY, "trial"], capture_output=True, text=True, check=False,
                                timeout=TIMEOUT_SECONDS, stdin=subprocess.DEVNULL)
        seconds = time.monotonic() - begun
        aim = "within" if seconds < AIM_SECONDS else "OVER"
        print(f"measured: the trial: {seconds:.1f} s, {aim} its aim of {AIM_SECONDS} s", flush=True)
        self.assertEqual(result.returncode, 0, result.stdout + result.stderr)
        self.assertIn("Every promise held.", result.stdout)
        self.assertNotIn("BROKEN", result.stdout)


if __name__ == "__main__":
    unittest.main(verbosity=2)
