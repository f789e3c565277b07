"""Six nodes before a service in trouble: their retries together stay within the budget."""

import contextlib
import http.client
import itertools
import random
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

from driver import LOOPBACK, call, free_ports, wait_until
from hosted_nodes import DATA_CENTRES, HOST, KEY, HostedNodes
from retry_budget import RetryBounds, worst_window

BOUNDS = RetryBounds(ratio=0.2, burst=130)
REQUESTS_PER_SECOND = 100
CALLERS = 40
SERVICE = "llm"
PATH = "/llm/x"


class Load:
    """Requests at a steady rate, each to a node drawn at random, on connections that are reused."""

    _names = itertools.count()

    def __init__(self, ports, path, seed=1):
        self.name = f"load-{next(self._names)}"
        self.ports = ports
        self.path = path
        self.random = random.Random(seed)
        self.sent = []  # when each request was sent, by the steady clock
        self.statuses = {}
        self.lock = threading.Lock()
        self.idle = {port: [] for port in ports}

    def send(self, number, port):
        with self.lock:
            self.sent.append(time.monotonic())
            connection = self.idle[port].pop() if self.idle[port] else None
        connection = connection or http.client.HTTPConnection(LOOPBACK, port, timeout=8)
        headers = {"Host": HOST, "X-Request-Id": f"{self.name}-{number}", "X-Deadline-Ms": "3000",
                   "X-Model": "large", "X-Token-Count": "100,20", "Authorization": f"Bearer {KEY}"}
        status = None
        try:
            connection.request("POST", self.path, headers=headers)
            response = connection.getresponse()
            status = response.status
            response.read()
        except (OSError, http.client.HTTPException):
            connection.close()
        with self.lock:
            self.statuses[status] = self.statuses.get(status, 0) + 1
            if status is not None:
                self.idle[port].append(connection)

    def run(self, seconds):
        begun = time.monotonic()
        with ThreadPoolExecutor(max_workers=CALLERS) as pool:
            for number in range(int(seconds * REQUESTS_PER_SECOND)):
                time.sleep(max(0.0, begun + number / REQUESTS_PER_SECOND - time.monotonic()))
                pool.submit(self.send, number, self.random.choice(self.ports))
        for connections in self.idle.values():
            for connection in connections:
                connection.close()


class RetryBudget(HostedNodes):
    bounds = f"retry_ratio = {BOUNDS.ratio}\nretry_burst = {BOUNDS.burst}\n"

    def platform_options(self):
        self.control = free_ports(1)[0]
        return ["--control-port", str(self.control)]

    def setUp(self):
        super().setUp()
        self.loads = []
        for node in range(len(DATA_CENTRES)):
            wait_until(lambda n=node: self.serves(n), f"node {node} serves", timeout=30)

    def restart(self, nodes=range(len(DATA_CENTRES)), pause=0.0):
        """Kills the nodes, and starts them with the same settings after a pause."""
        for node in nodes:
            self.kill_node(node)
        time.sleep(pause)
        for node in nodes:
            self.start_node(node)

    def worst_of(self, behaviour, seconds, kills=(), restart=None):
        """The worst window while the service behaves so from the start on; `kills`: when `restart`
        is called, by default for all nodes."""
        restart = restart or self.restart
        load = Load(self.callers, PATH)
        self.loads.append(load)
        begun = time.monotonic()
        loading = threading.Thread(target=load.run, args=(seconds,))
        loading.start()
        with contextlib.ExitStack() as stack:
            stack.callback(loading.join)
            call(self.control, "POST", f"/behave?id=&{behaviour}&seconds=")
            for at in kills:
                time.sleep(max(0.0, begun + at - time.monotonic()))
                restart()
        ages = call(self.control, "GET", "/repeats").json.get(SERVICE, [])
        now = time.monotonic()
        sent = [at for earlier in self.loads for at in earlier.sent]
        worst = worst_window([now - age for age in ages], sent, BOUNDS)
        print(f"measured: {worst.retries} retries in the worst window, allowed "
              f"{worst.allowed:.0f}, {len(ages)} in all; statuses {load.statuses}", flush=True)
        return worst

    def test_nodes_without_faults_of_their_own_keep_the_budget(self):
        # Guards against a service in trouble that gets more retries than the operators allow.
        worst = self.worst_of("away=1", seconds=13)
        self.assertLessEqual(worst.retries, worst.allowed)

    def test_nodes_killed_with_the_settings_of_their_first_start_keep_the_budget(self):
        # Guards against nodes that draw the burst of the budget again with each start.
        worst = self.worst_of("away=1", seconds=14, kills=(4, 7, 10))
        self.assertLessEqual(worst.retries, worst.allowed)


if __name__ == "__main__":
    unittest.main()
