"""What a node costs at rest: processor time, resident memory, and bytes of probes and links.

No test: run it by hand, `python3 tests/process/idle_cost.py [SECONDS]`, with ARBUTUSWORKS naming the
binary. Six nodes, fifteen targets and the stand-in run as real processes on loopback, nobody calls.
Bytes are the kernel's own count for each connection (`ss -ti`), TCP payload, without headers.
"""

import collections
import re
import statistics
import subprocess
import sys
import time

import driver

SECONDS = float(sys.argv[1]) if len(sys.argv) > 1 else 20.0


class Traffic(collections.namedtuple("Traffic", "sent received segments_out segments_in")):
    """Counted on one end of one connection since it was opened."""

    def __sub__(self, other):
        return Traffic(*(a - b for a, b in zip(self, other, strict=True)))

    def __add__(self, other):
        return Traffic(*(a + b for a, b in zip(self, other, strict=True)))


def connections():
    """(local port, remote port) -> Traffic, of all TCP connections on loopback."""
    text = subprocess.run(["ss", "-tinH", "state", "established"], capture_output=True, text=True,
                          check=True).stdout
    found = {}
    for first, second in zip(*[iter(text.splitlines())] * 2):
        ports = tuple(int(a.rsplit(":", 1)[1]) for a in first.split()[2:4])

        def field(name, text=second):
            match = re.search(rf"\b{name}:(\d+)", text)
            return int(match.group(1)) if match else 0

        found[ports] = Traffic(field("bytes_sent"), field("bytes_received"), field("segs_out"),
                               field("segs_in"))
    return found


def grown(before, after, is_wanted):
    """Sum over the connections wanted, and their number."""
    total, count = Traffic(0, 0, 0, 0), 0
    for ports, traffic in after.items():
        if is_wanted(*ports):
            total += traffic - before.get(ports, Traffic(0, 0, 0, 0))
            count += 1
    return total, count


def print_traffic(name, traffic, connections_used, nodes):
    per_node = [count / SECONDS / nodes for count in traffic]
    print(f"{name}: {connections_used} connections; per node {per_node[0]:.0f} B/s out, "
          f"{per_node[1]:.0f} B/s in, {per_node[2]:.2f} segments/s out, {per_node[3]:.2f} in")


def main():
    fleet = driver.Fleet().start()
    time.sleep(5.0)  # not a test: the first seconds carry what is said once only
    nodes = fleet.nodes
    cpu, net, started = [n.cpu_seconds() for n in nodes], connections(), time.monotonic()
    time.sleep(SECONDS)
    took = time.monotonic() - started
    cpu_after, net_after = [n.cpu_seconds() for n in nodes], connections()
    cores = [100 * (b - a) / took for a, b in zip(cpu, cpu_after, strict=True)]
    memory = [n.resident_bytes() / 2**20 for n in nodes]
    print(f"{len(nodes)} nodes, {len(fleet.vm_ports)} targets, {took:.1f} s at rest")
    print(f"core: median {statistics.median(cores):.2f}%, most {max(cores):.2f}%")
    print(f"resident: median {statistics.median(memory):.1f} MiB, most {max(memory):.1f} MiB")
    vm_ports = set(fleet.vm_ports.values())
    link_ports = {n.link_port for n in nodes}
    for name, wanted in (("targets", vm_ports), ("services", set(fleet.service_ports.values())),
                         ("platform", {fleet.platform_port}), ("links", link_ports)):
        total, count = grown(net, net_after, lambda _, remote, w=wanted: remote in w)
        if name == "links":
            # A link carries frames one way only; what a node receives is what another sends.
            total = Traffic(total.sent, total.sent, *total[2:])
        print_traffic(name, total, count, len(nodes))
    fleet.close()


if __name__ == "__main__":
    main()
