"""Members that are no heads pause until they are taken for lost, and go on."""

import unittest

from silence_test import SilenceTest


class LongSilence(SilenceTest):
    # Guards against streams that are cut because the repairs of both replicas have used up the
    # retries: the budget has another one in 2 s.
    def test_members_paused_for_three_seconds(self):
        for _ in range(3):
            self.outlast("paused", (1,), 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
