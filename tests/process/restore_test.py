"""Drills of the platform's store, which comes back from an older copy, before real processes."""

import contextlib
import http.client
import pathlib
import tempfile
import threading
import time
import unittest

from driver import LOOPBACK, call, wait_until
from soak import RECOVERY_SECONDS, Soak

IN_FORCE_SECONDS = 2.0  # from the operators' write until all nodes serve by it
COPY_AGE_SECONDS = 1.5
AWAY_SECONDS = 0.5
LOST_VERSIONS = 60
# Nodes are watched for this long after the store has come back: longer than a proof is valid.
WATCHED_SECONDS = 5.0


class Watch:
    """Calls all nodes and queries their readiness until it is stopped."""

    def __init__(self, soak):
        self.soak = soak
        self.unready = []
        self.refused = []
        self.answers = 0
        self.ending = threading.Event()
        self.threads = [threading.Thread(target=self.watch, args=(node,)) for node in soak.nodes]
        for thread in self.threads:
            thread.start()

    def watch(self, node):
        number = 0
        while not self.ending.is_set():
            number += 1
            connection = http.client.HTTPConnection(LOOPBACK, node.callers.port, timeout=8)
            with contextlib.closing(connection):
                status = self.soak.ask(connection, f"w-{node.name}-{number}", "/card/1")
            self.answers += 1
            if status != 200:
                self.refused.append((node.name, status))
            if call(node.ready_port, "GET", "/api/readyz").status != 200:
                self.unready.append(node.name)
            time.sleep(0.05)

    def stop(self):
        self.ending.set()
        for thread in self.threads:
            thread.join()


class RestoreTest(unittest.TestCase):
    def setUp(self):
        temporary = tempfile.TemporaryDirectory()
        self.addCleanup(temporary.cleanup)
        self.soak = Soak(1, 0, pathlib.Path(temporary.name))
        self.addCleanup(self.soak.end)
        for node in self.soak.nodes:
            node.start()
        self.soak.wait_for_all("back")
        self.routes = 0

    def add_route(self):
        self.routes += 1
        self.soak.command("POST", f"/grow?routes={self.routes}")

    def expect_in_force(self):
        path = f"/extra-{self.routes - 1}/"
        for node in self.soak.nodes:
            wait_until(lambda n=node: self.soak.serves(n, path), f"{path} at {node.name}",
                       timeout=IN_FORCE_SECONDS)

    def drill(self, write_again_after=None):
        """Comes back from a copy without the newest route, and adds another one."""
        self.soak.command("POST", "/copy")
        self.soak.command("POST", f"/versions?count={LOST_VERSIONS}")
        self.add_route()
        self.expect_in_force()
        time.sleep(COPY_AGE_SECONDS)
        self.soak.command("POST", "/store?down=1")
        time.sleep(AWAY_SECONDS)
        self.soak.command("POST", f"/restore?again={int(write_again_after is None)}")
        self.soak.command("POST", "/store?down=0")
        if write_again_after is not None:
            time.sleep(write_again_after)
            self.expect_in_force()  # the copy lacks it, the nodes do not
            self.soak.command("POST", "/write-again")
        self.add_route()
        self.soak.command("POST", f"/versions?count={2 * LOST_VERSIONS}")
        self.expect_in_force()

    def watched(self, play):
        watch = Watch(self.soak)
        play()
        time.sleep(WATCHED_SECONDS)
        watch.stop()
        self.assertEqual(watch.unready, [])
        self.assertEqual(watch.refused, [], f"of {watch.answers} answers")
        self.assertEqual(self.soak.findings, [])

    def test_nobody_is_refused_and_new_versions_are_in_force(self):
        self.watched(self.drill)

    def test_two_drills_in_a_row(self):
        self.watched(lambda: (self.drill(), self.drill()))

    def test_operators_write_again_later(self):
        self.watched(lambda: self.drill(write_again_after=1.5))

    def test_nodes_that_start_from_the_copy(self):
        self.soak.command("POST", "/copy")
        self.soak.command("POST", f"/versions?count={LOST_VERSIONS}")
        self.add_route()
        self.expect_in_force()
        for node in self.soak.nodes:
            node.process.kill()
            node.process.wait()
        self.soak.command("POST", "/restore?again=0")
        for node in self.soak.nodes:
            node.start()
        self.soak.wait_for_all("back")
        self.assertEqual(self.soak.findings, [], f"within {RECOVERY_SECONDS} s")
        self.soak.command("POST", "/write-again")
        self.expect_in_force()


if __name__ == "__main__":
    unittest.main()
