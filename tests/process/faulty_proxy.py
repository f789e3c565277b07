"""A proxy before a target that answers some requests itself, and not as the target would."""

import contextlib
import socket
import struct
import threading

from driver import DATA_CENTRES, LOOPBACK, ProcessTest, wait_until


def fields_of(head):
    """The fields of a request by their names in lower case."""
    lines = head.split(b"\r\n\r\n")[0].split(b"\r\n")
    return {name.lower(): value for name, value in
            (line.split(b": ", 1) for line in lines if b": " in line)}


class FaultyProxy:
    """Gives requests whose path begins with a prefix to `answer_faultily` while `answer` is set."""

    def __init__(self, target, prefix):
        self.target = target
        self.prefix = prefix
        self.answer = None
        self.received = 0  # requests that are not forwarded, counted before they are answered
        self.answered = 0  # those whose connection has ended, counted some time after their answer
        self.listener = socket.create_server((LOOPBACK, 0))
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self.accept, daemon=True).start()

    def close(self):
        self.answer = None
        self.listener.close()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with connection, contextlib.suppress(OSError):
            head = connection.recv(65536)
            answer = self.answer
            if answer and head.split(b" ", 2)[1].startswith(self.prefix):
                self.received += 1
                self.answer_faultily(connection, head, answer)
                self.answered += 1
            elif head:
                self.forward(connection, head)

    def answer_faultily(self, connection, received, answer):
        raise NotImplementedError

    def forward(self, connection, head):
        with socket.create_connection((LOOPBACK, self.target)) as target:
            target.sendall(head)
            threading.Thread(target=self.pump, args=(target, connection), daemon=True).start()
            self.pump(connection, target)

    @staticmethod
    def pump(source, sink):
        with contextlib.suppress(OSError):
            while data := source.recv(65536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)


class EndlessProxy(FaultyProxy):
    """`answer` is what the answer begins with and what it goes on with for ever."""

    def answer_faultily(self, connection, received, answer):
        beginning, repeated = answer
        connection.sendall(beginning.replace(b"REQUEST", fields_of(received)[b"x-request-id"]))
        with contextlib.suppress(OSError):
            while self.answer:
                connection.sendall(repeated)


class BrokenProxy(FaultyProxy):
    """`answer` is the bytes of the answer and whether they are sent before the body is read."""

    def answer_faultily(self, connection, received, answer):
        data, is_early = answer
        while b"\r\n\r\n" not in received:
            received += connection.recv(65536)
        fields = fields_of(received)
        if not is_early:
            missing = int(fields.get(b"content-length", b"0"))
            missing -= len(received) - received.index(b"\r\n\r\n") - 4
            while missing > 0:
                missing -= len(connection.recv(min(missing, 65536))) or missing
        connection.sendall(data.replace(b"REQUEST", fields[b"x-request-id"]))
        if is_early:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


class FaultyTargetTest(ProcessTest):
    """A fleet in whose inventory a proxy stands before a target, or beside it."""

    def setUp(self):
        self.nodes = self.fleet.nodes_of(DATA_CENTRES[0])

    def list_at(self, old_port, proxies, adds):
        """Applies an inventory in which the proxies stand at the address, or beside it."""
        directory = self.fleet.configuration_copy(f"proxy-{proxies[0].port}")
        file = directory / "inventory.csv"
        rows = []
        for row in file.read_text().splitlines():
            there = [row.replace(f"{LOOPBACK}:{old_port}", f"{LOOPBACK}:{proxy.port}")
                     for proxy in proxies]
            rows += [row] if adds or there[0] == row else []
            rows += there if there[0] != row else []
        self.apply(directory, rows)

    def put_before(self, ports, prefix):
        """Applies an inventory in which a proxy stands before each target; returns the proxies."""
        proxies = [self.proxy_of(BrokenProxy, port, prefix) for port in ports]
        directory = self.fleet.configuration_copy(f"proxy-{proxies[0].port}")
        text = (directory / "inventory.csv").read_text()
        for port, proxy in zip(ports, proxies):
            text = text.replace(f"{LOOPBACK}:{port},", f"{LOOPBACK}:{proxy.port},")
        self.apply(directory, text.splitlines())
        return proxies

    def apply(self, directory, rows):
        (directory / "inventory.csv").write_text("\n".join(rows) + "\n")
        version = self.nodes[0].config_version()
        result = self.fleet.apply(directory)
        self.assertEqual(result.returncode, 0, result)
        wait_until(lambda: all(n.config_version() > version for n in self.nodes), "it is in force")

    def proxy_of(self, kind, port, prefix):
        proxy = kind(port, prefix)
        self.addCleanup(proxy.close)
        return proxy
