"""Measures an idle node: processor time, resident memory, and the traffic of probes and links.

Not a test: run it by hand, with ARBUTUSWORKS set to the path of the binary. Nodes and the stand-in
run as real processes on loopback, without callers. Bytes and segments are counted by the kernel for
each connection (`ss -ti`): payload, to which each segment adds at least 40 bytes of headers.
"""

import argparse

import collections
import re
import statistics
import subprocess
import time

import driver

# IPv4 and TCP headers without options.
HEADER_BYTES = 40


def arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--data-centres", type=int, default=3)
    parser.add_argument("--nodes", type=int, default=2, help="in each data centre")
    parser.add_argument("--vms", type=int, default=5, help="in each data centre")
    parser.add_argument("--replicas", type=int, default=2, help="of two VMs, in each data centre")
    parser.add_argument("--limits", action="store_true", help="limit the rate of the workspaces")
    return parser.parse_args()


class Traffic(collections.namedtuple("Traffic", "sent received segments_out segments_in")):
    """Traffic counted at one end of a connection since it was opened."""

    def __sub__(self, other):
        return Traffic(*(a - b for a, b in zip(self, other, strict=True)))

    def __add__(self, other):
        return Traffic(*(a + b for a, b in zip(self, other, strict=True)))


def connections():
    """Maps (local port, remote port) to Traffic, for all established TCP connections."""
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


def grown(before, after, is_selected):
    """The traffic between two counts, summed over the selected connections, and their number."""
    total, count = Traffic(0, 0, 0, 0), 0
    for ports, traffic in after.items():
        if is_selected(*ports):
            total += traffic - before.get(ports, Traffic(0, 0, 0, 0))
            count += 1
    return total, count


def print_traffic(name, traffic, used, node_seconds):
    sent, received, out, back = (count / node_seconds for count in traffic)
    wire = sent + received + HEADER_BYTES * (out + back)
    print(f"{name}: {used} connections; per node and second {sent:.0f} bytes out, {received:.0f} "
          f"in, {out:.2f} segments out, {back:.2f} in; {wire:.0f} bytes with headers")
    return wire


def start_fleet(options):
    driver.DATA_CENTRES = tuple(f"lab-{chr(ord('a') + i)}" for i in range(options.data_centres))
    driver.NODES_PER_DATA_CENTRE = options.nodes
    fleet = driver.Fleet(vms_per_data_centre=options.vms,
                         replicas_per_data_centre=options.replicas)
    if options.limits:
        rules = fleet.configuration / "rules.toml"
        rules.write_text(rules.read_text().replace(
            "share = 0.5", "share = 0.5\nrequests_per_second = 100.0\nburst = 200.0"))
    return fleet.start()


def measure(fleet, seconds):
    nodes = fleet.nodes
    cpu, net, started = [n.cpu_seconds() for n in nodes], connections(), time.monotonic()
    time.sleep(seconds)
    took = time.monotonic() - started
    cpu_after, net_after = [n.cpu_seconds() for n in nodes], connections()
    cores = [100 * (b - a) / took for a, b in zip(cpu, cpu_after, strict=True)]
    memory = [n.resident_bytes() / 2**20 for n in nodes]
    print(f"{len(nodes)} nodes, {len(fleet.vm_ports)} targets, {took:.1f} s at rest")
    print(f"core: median {statistics.median(cores):.2f}%, most {max(cores):.2f}%")
    print(f"resident: median {statistics.median(memory):.1f} MiB, most {max(memory):.1f} MiB")
    total_bytes = 0.0
    for name, remote_ports in (("targets", set(fleet.vm_ports.values())),
                               ("platform", {fleet.platform_port}),
                               ("links", {n.link_port for n in nodes})):
        total, count = grown(net, net_after, lambda _, remote, p=remote_ports: remote in p)
        if name == "links":
            # All traffic on links is sent by one node and received by another, so the bytes sent
            # are counted for both directions.
            total = Traffic(total.sent, total.sent, *2 * [total.segments_out + total.segments_in])
        total_bytes += print_traffic(name, total, count, took * len(nodes))
    print(f"together {total_bytes:.0f} bytes with headers, the mean of all nodes")


def main():
    options = arguments()
    fleet = start_fleet(options)
    time.sleep(5.0)  # skips the messages that are sent only once after the start
    measure(fleet, options.seconds)
    fleet.close()


if __name__ == "__main__":
    main()
