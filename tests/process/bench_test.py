"""The `bench` subcommand: the same decisions give the same signature in every process."""

import os
import subprocess
import unittest


def bench(*arguments):
    done = subprocess.run([os.environ["ARBUTUSWORKS"], "bench", *arguments],
                          capture_output=True, text=True, timeout=120, check=False)
    return done.returncode, done.stdout.splitlines()


def signatures(lines):
    """Name and number of each line, without the processor time, which varies."""
    return [line.split()[:2] for line in lines]


class Bench(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.status, cls.lines = bench()

    def test_ends_with_the_signature(self):
        self.assertEqual(self.status, 0)
        self.assertEqual(len(self.lines), 5)
        self.assertRegex(self.lines[-1], r"^Bench: \d+$")

    def test_two_processes_print_the_same_signature(self):
        # Guards against signatures that differ between runs or machines for the same decisions,
        # because a decision depends on an address, the clock or the order of a hash table.
        status, again = bench()
        self.assertEqual(status, 0)
        self.assertEqual(signatures(self.lines), signatures(again))

    def test_each_part_depends_on_the_seed(self):
        # Guards against a part whose signature does not include any decision.
        status, other = bench("--seed", "2")
        self.assertEqual(status, 0)
        for one, two in zip(signatures(self.lines), signatures(other), strict=True):
            self.assertEqual(one[0], two[0])
            self.assertNotEqual(one[1], two[1], one[0])

    def test_some_parts_give_a_partial_signature(self):
        status, lines = bench("--filter", "planner")
        self.assertEqual(status, 0)
        self.assertRegex(lines[-1], r"^Partial: \d+$")
        status, _ = bench("--filter", "no-such-part")
        self.assertEqual(status, 1)


if __name__ == "__main__":
    unittest.main()
