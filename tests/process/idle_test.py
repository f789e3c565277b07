"""The cost of an idle node: it must not busy-wait."""

import time
import unittest

from driver import ProcessTest, wait_until

SECONDS = 10.0
# Half of the budget for control at the planned fleet size is 2.2% of a core, 64 MB and 3.5 KB/s.
# This fleet is small, so the limit for the processor is lower.
CPU_PERCENT = 1.0
RESIDENT_BYTES = 64e6
LINK_BYTES_PER_SECOND = 3500.0


class Idle(ProcessTest):
    fleet_options = {"workers": 0}  # a thread for each core, which is the default

    def sample(self):
        return [(n.cpu_seconds(), n.gauge("arbutusworks_link_bytes_in")
                 + n.gauge("arbutusworks_link_bytes_out")) for n in self.fleet.nodes]

    def test_cost_of_a_node_at_rest(self):
        begun, first = time.monotonic(), self.sample()
        wait_until(lambda: time.monotonic() - begun >= SECONDS, "the time of the measure",
                   timeout=SECONDS + 5, poll=0.5)
        last, seconds = self.sample(), time.monotonic() - begun
        for node, (cpu, traffic), (cpu_then, traffic_then) in zip(self.fleet.nodes, last, first):
            percent = 100 * (cpu - cpu_then) / seconds
            rate = (traffic - traffic_then) / seconds
            resident = node.resident_bytes()
            print(f"measured: {node.name} at rest over {seconds:.1f} s: {percent:.2f}% of a core, "
                  f"{resident / 1e6:.1f} MB, {rate:.0f} B/s on links", flush=True)
            self.assertLess(percent, CPU_PERCENT)
            self.assertLess(resident, RESIDENT_BYTES)
            self.assertLess(rate, LINK_BYTES_PER_SECOND)


if __name__ == "__main__":
    unittest.main(verbosity=2)
