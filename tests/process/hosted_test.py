"""Six hosted nodes as real processes with a stand-in for the platform."""

import signal
import unittest

from driver import call, in_parallel, wait_until
from hosted_nodes import DATA_CENTRES, HostedNodes, expected_stream


class Hosted(HostedNodes):
    def test_six_nodes_serve_and_go_on_without_one(self):
        # Guards against a killed node that affects callers of the other nodes: the controller of
        # the largest data centre is killed, and no node takes over its responsibilities, or the
        # others wait for it.
        for node in range(len(DATA_CENTRES)):
            wait_until(lambda n=node: self.serves(n), f"node {node} serves", timeout=30)
            self.assertEqual(call(self.ready[node], "GET", "/x").status, 200)
        streams = in_parallel([lambda i=i: self.ask(i % 6, "/llm/x", f"s{i}") for i in range(24)])
        for i, reply in enumerate(streams):
            self.assertEqual(reply.status, 200)
            self.assertEqual(reply.body, expected_stream(f"s{i}"))
        card = self.ask(5, "/card/1", "c1")
        self.assertEqual((card.status, card.body), (200, b"card c1"))
        self.assertIn(b"arbutusworks_ready 1", call(self.metrics[0], "GET", "/metrics").body)

        self.process_of(0).kill()
        for node in range(1, len(DATA_CENTRES)):
            wait_until(lambda n=node: self.serves(n), f"node {node} serves alone", timeout=15)
        wait_until(lambda: b'"duties","data_centres":"lab-a"' in
                   (self.directory / "edge-1.log").read_bytes().replace(b'"message":', b""),
                   "the next node keeps the data centre", timeout=15)

        self.process_of(1).send_signal(signal.SIGTERM)
        wait_until(lambda: call(self.ready[1], "GET", "/x").status == 503, "it says so", timeout=5)
        self.assertEqual(self.process_of(1).wait(timeout=10), 0)


if __name__ == "__main__":
    unittest.main()
