"""Sound engines fall silent and go on: no stream that has begun is cut for it."""

import threading
import time
import unittest

from driver import complete, completion_body, text_of, wait_until
from repair_test import RepairTest


class SilenceTest(RepairTest):
    def outlast(self, fault, members, seconds):
        """These members of all replicas fall silent under six streams, which must come whole."""
        body = completion_body("a long answer", tokens=150)
        expected = text_of(self.fleet.call_engine(body))
        replicas = self.first.status()["replicas"]
        chosen = [replica["members"][member] for replica in replicas for member in members]
        replies = []
        callers = [threading.Thread(
            target=lambda: replies.append(complete(self.first.port, {**body, "stream": True})))
            for _ in range(6)]
        for caller in callers:
            caller.start()
        self.wait_seconds(1)
        self.assertTrue(all(caller.is_alive() for caller in callers), "the streams are running")
        self.set_fault(chosen, fault, True)
        self.wait_seconds(seconds)
        self.set_fault(chosen, fault, False)
        for caller in callers:
            caller.join(30)
        self.assertEqual(len(replies), len(callers))
        for reply in replies:
            self.assertEqual(text_of(reply), expected)
        wait_until(self.settled, "all is well again", timeout=30)

    def set_fault(self, vms, fault, on):
        for vm in vms:
            self.fleet.vm_fault(vm, **{fault: on})

    @staticmethod
    def wait_seconds(seconds):
        begun = time.monotonic()
        wait_until(lambda: time.monotonic() - begun >= seconds, "the time has passed")


class Silence(SilenceTest):
    def test_paused_engines(self):
        for members in ((0,), (1,), (0, 1)):
            with self.subTest(members=members):
                self.outlast("paused", members, 2)

    def test_engines_that_answer_nothing(self):
        for members in ((0,), (1,), (0, 1)):
            with self.subTest(members=members):
                self.outlast("silent", members, 3)


if __name__ == "__main__":
    unittest.main(verbosity=2)
