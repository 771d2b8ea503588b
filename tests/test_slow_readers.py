"""Clients that read a large value slowly, or not at all: only one that makes no progress is cut off."""

from __future__ import annotations

import contextlib
import signal
import socket
import threading
import time
from dataclasses import dataclass, field

import pytest
from scenario import (
    LOOPBACK_ADDRESS,
    PING,
    READY,
    TIMEOUT_S,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
    reserve_address,
)
from test_operators import fleet, request
from threaded_backend import ThreadedBackend, encode_answer, request_number

MIB = 1 << 20
MS = 1_000_000
VALUE_BYTES = 4 * MIB
HUGE_VALUE_BYTES = 12 * MIB  # more than the system's buffers hold, so that it is still being forwarded
# Of some, the last part just does not fit into the system's buffers.
SIZES = [VALUE_BYTES - 64 * 1024 * step for step in range(8)]
RATES = [60_000, 100_000, 150_000, 220_000]  # bytes per second that a client reads
CLIENT_BUFFER_BYTES = 32768  # what a client's machine takes in ahead of it
PIECE_BYTES = 16384
# Short, so that each test reads slowly for much longer than a connection without progress may last.
IDLE_NS, STALL_NS = 1000 * MS, 1500 * MS
LIMITS = {
    "rest_ns": IDLE_NS,
    "silent_ns": STALL_NS,
    "forwarding_stall_ns": IDLE_NS + STALL_NS,
    "tend_ns": 50 * MS,
}


@dataclass
class Client:
    """Sends one request and reads the answer: `slow_s` at a rate, then as fast as it can."""

    address: tuple[str, int]
    command: bytes
    bytes_per_s: int = 150_000
    slow_s: float = 6.0
    value_bytes: int = VALUE_BYTES
    received_bytes: int = 0
    socket: socket.socket = field(default_factory=socket.socket)

    def connect(self) -> Client:
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
        self.socket.settimeout(TIMEOUT_S)
        self.socket.connect(self.address)
        self.socket.sendall(self.command)
        return self

    def read_slowly(self) -> Client:
        """Reads until the value is complete or the connection ends."""
        slow_until = time.monotonic() + self.slow_s
        with contextlib.suppress(ConnectionError):
            while not self.is_whole and (data := self.socket.recv(PIECE_BYTES)):
                self.received_bytes += len(data)
                if time.monotonic() < slow_until:
                    time.sleep(len(data) / self.bytes_per_s)
        return self

    @property
    def is_whole(self) -> bool:
        """Whether all bytes of the answer came."""
        return self.received_bytes == len(b"$%d\r\n" % self.value_bytes) + self.value_bytes + len(b"\r\n")


def look(number: int, timeout_ms: int = 20_000) -> bytes:
    return encode_command(call_command("look", number, f"d={timeout_ms}"))


def send_value(connection: RespConnection, command: list[bytes]) -> bool:
    """The backend's answer: a value of the size that the number of the request names."""
    return send_bytes(connection, SIZES[request_number(command) % len(SIZES)])


def send_huge_value(connection: RespConnection, command: list[bytes]) -> bool:
    return send_bytes(connection, HUGE_VALUE_BYTES)


def send_bytes(connection: RespConnection, size: int) -> bool:
    connection.sock.settimeout(None)
    connection.sock.sendall(encode_answer(b"v" * size))
    return True


@contextlib.contextmanager
def gateway(tmp_path, handler=send_value, **limits: int):
    """A gateway with these limits, whose backend answers each request with `handler`."""
    config = {"limits": LIMITS | limits, "control": reserve_address()}
    with GatewayHarness(tmp_path, config) as harness:
        ThreadedBackend(harness, handler)
        harness.run(READY)
        yield harness


def read_in_threads(clients: list[Client]) -> list[bool]:
    """Returns for each client whether it has received the whole answer."""
    threads = [threading.Thread(target=client.read_slowly) for client in clients]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    return [client.is_whole for client in clients]


# ---- clients that read slowly


@pytest.mark.parametrize("event", ["none", "standby", "TERM", "eviction"])
def test_a_client_that_reads_without_a_pause_gets_its_whole_value(tmp_path, event):
    """Guards against taking a slow reader for an idle or stalled client (review case 7)."""
    limits = {"drain_quiet_ns": 1, "drain_most_ns": 1500 * MS}
    if event == "eviction":
        limits |= {"frontend_connections": len(SIZES), "spare_ns": 100 * MS, "newcomer_ns": 100 * MS}
    with gateway(tmp_path, **limits) as harness:
        clients = [
            Client(harness.address, look(number), RATES[number % 4], value_bytes=size).connect()
            for number, size in enumerate(SIZES)
        ]
        time.sleep(0.5)
        if event == "standby":
            harness.post("/standby")
        elif event == "TERM":
            harness.send("gw", "TERM")
        elif event == "eviction":
            waiting = socket.create_connection(harness.address, TIMEOUT_S)
        assert read_in_threads(clients) == [True] * len(clients)
        if event == "TERM":
            for client in clients:
                client.socket.close()
            harness.run("expect gw exit 0")
        elif event == "eviction":
            waiting.sendall(encode_command(["PING"]))
            assert RespConnection(waiting).read_message() == "+PONG"


def test_after_sigterm_a_value_that_its_backend_still_gives_is_completed(tmp_path):
    """Guards against an end of the process by itself that cuts values off before SIGKILL (review case 8)."""
    backend_s, pieces = 3.0, 60

    def send_slowly(connection: RespConnection, command: list[bytes]) -> bool:
        answer = encode_answer(b"v" * VALUE_BYTES)
        size = len(answer) // pieces + 1
        for start in range(0, len(answer), size):
            connection.sock.sendall(answer[start : start + size])
            time.sleep(backend_s / pieces)
        return True

    with gateway(tmp_path, send_slowly, drain_quiet_ns=1, drain_most_ns=1000 * MS) as harness:
        clients = [Client(harness.address, look(number), slow_s=0).connect() for number in (1, 2)]
        time.sleep(0.3)
        harness.send("gw", "TERM")
        assert read_in_threads(clients) == [True] * len(clients)
        harness.run("expect gw stop waits for 2 clients*\nexpect gw exit 0")


def test_the_old_process_of_an_upgrade_delivers_its_values(tmp_path):
    """Its end, and that of the sharing of descriptors, comes after the last value."""
    backend = socket.create_server((LOOPBACK_ADDRESS, 0))

    class Slow:
        sock = backend

    limits = {"drain_quiet_ns": 1, "drain_most_ns": 1000 * MS} | LIMITS
    with fleet(tmp_path, Slow, **limits) as (listening, start):
        old = start()
        old.wait_until_ready()
        client = Client(listening.getsockname(), request(1), slow_s=3.0).connect()
        connection = RespConnection(backend.accept()[0])
        connection.read_message()
        sender = threading.Thread(target=send_bytes, args=(connection, VALUE_BYTES))
        sender.start()
        new = start()
        new.wait_until_ready()
        old.program.send_signal(signal.SIGTERM)
        assert client.read_slowly().is_whole
        sender.join()
        client.socket.close()
        assert old.program.wait(TIMEOUT_S) == 0
        backend.close()


# ---- clients that do not read


@pytest.mark.parametrize("event", ["none", "standby", "TERM"])
@pytest.mark.parametrize("send", [send_value, send_huge_value])
def test_a_client_that_stops_reading_is_closed_in_bounded_time(tmp_path, event, send):
    """Whether the value is complete or still being forwarded; guards against waiting for it for ever."""
    limits = {"drain_quiet_ns": 1, "drain_most_ns": 300 * MS, "answer_bytes": 16 * MIB}
    with gateway(tmp_path, send, **limits) as harness:
        client = Client(harness.address, look(1)).connect()
        time.sleep(0.3)
        began = time.monotonic()
        if event == "TERM":
            harness.run("send gw TERM\nexpect gw exit 0")
        else:
            if event == "standby":
                harness.post("/standby")
            harness.run("wait gw close_stalled=1")
        allowed_ns = IDLE_NS + STALL_NS if event == "none" else 2 * STALL_NS
        assert time.monotonic() - began < allowed_ns / 1e9 + 1.5
        client.socket.close()


def test_clients_that_stop_reading_cost_no_processor_time(tmp_path):
    """Guards against a check of a stalled value that makes itself due again at once."""
    watched_s, clients = 2.0, 20
    limits = {
        "rest_ns": 100_000 * MS,
        "forwarding_stall_ns": 100_000 * MS,
        "stream_stall_ns": 300 * MS,
        "answer_bytes": 16 * MIB,
    }
    with gateway(tmp_path, send_huge_value, **limits) as harness:
        stopped = [Client(harness.address, look(number, 300)).connect() for number in range(1, clients + 1)]
        time.sleep(1.0)  # beyond their deadline and the stall time
        before_ms = harness.counters()["cpu_ms"]
        time.sleep(watched_s)
        used_ms = harness.counters()["cpu_ms"] - before_ms
        harness.run(f"send c1 {PING}\nexpect c1 +PONG")
        for client in stopped:
            client.socket.close()
        assert used_ms < 100 * watched_s, used_ms
