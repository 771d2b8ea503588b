"""The memory of large values that are forwarded to clients that read slowly."""

from __future__ import annotations

import socket
import time

from scenario import (
    POLL_INTERVAL_S,
    TIMEOUT_S,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
)
from threaded_backend import ThreadedBackend, encode_answer

from zincstile.net.value_memory import COPIES, MIN_WINDOW_BYTES, ForwardingWindow

MIB = 1 << 20
CLIENT_BUFFER_BYTES = 32768


def test_many_slow_readers_of_large_values_stay_within_the_memory(tmp_path):
    """Guards against read-ahead that adds up to more than the process may take (issue 55, a)."""
    memory_mb, clients, value_bytes = 64, 220, 8 * MIB  # more than the system's buffers hold

    def send(connection: RespConnection, command: list[bytes]) -> bool:
        connection.sock.settimeout(None)
        connection.sock.sendall(encode_answer(b"v" * value_bytes))
        return True

    limits = {"memory_mb": memory_mb, "sockets": 512, "answer_bytes": 16 * MIB, "rest_ns": 10**12}
    with GatewayHarness(tmp_path, {"limits": limits}) as harness:
        ThreadedBackend(harness, send, "abc")
        harness.run("send d1 full a=Ready b=Ready c=Ready\nexpect gw ready*from discovery")
        sockets = []
        for number in range(clients):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, CLIENT_BUFFER_BYTES)
            sock.connect(harness.address)
            sock.sendall(encode_command(call_command("look", number, "units=0.001")))
            sockets.append(sock)
        # The counter `memory_kb` would include what the test process had when it started the gateway.
        peak_kb, until = 0, time.monotonic() + 3.0
        while time.monotonic() < until:
            peak_kb = max(peak_kb, harness.own_memory_kb())
            time.sleep(POLL_INTERVAL_S)
        assert harness.counters()["streamed"] > clients // 2
        print(f"peak {peak_kb} KB")
        assert peak_kb < memory_mb * 1024
        sockets[0].settimeout(TIMEOUT_S)
        missing_bytes = len(b"$%d\r\n" % value_bytes) + value_bytes + len(b"\r\n")
        while missing_bytes > 0:
            missing_bytes -= len(sockets[0].recv(1 << 16))
        for sock in sockets:
            sock.close()
        harness.wait("gw", f"close_client={clients}")


def test_slow_readers_of_large_values_leave_other_clients_served(tmp_path):
    """Guards against taking the time of slow clients for latency or load of the backends."""
    clients, requests, slow_class, value_bytes = 40, 100, b"c=look", 12 * MIB

    def answer(connection: RespConnection, command: list[bytes]) -> bool:
        connection.sock.settimeout(None)
        large = slow_class in command[3]
        connection.sock.sendall(encode_answer(b"v" * value_bytes if large else b"small"))
        return True

    limits = {"answer_bytes": 16 * MIB, "rest_ns": 10**12}
    with GatewayHarness(tmp_path, {"limits": limits}) as harness:
        ThreadedBackend(harness, answer, "ab")
        harness.run("send d1 full a=Ready b=Ready\nexpect gw ready*from discovery")
        sockets = []
        for number in range(clients):
            sock = socket.create_connection(harness.address)
            sock.sendall(encode_command(call_command("look", number)))
            sockets.append(sock)
            time.sleep(0.05)
        client = harness.connection("c1")
        served = 0
        for number in range(requests):
            client.sock.sendall(encode_command(call_command("book", 1000 + number)))
            served += client.read_message() == b"small"
            time.sleep(0.05)
        for sock in sockets:
            sock.close()
        assert served == requests


def test_the_window_of_a_value_depends_on_how_many_are_forwarded():
    window = ForwardingWindow()
    assert window.size_bytes(100 * MIB, 262144) == 262144
    for _ in range(200):
        window.open()
    assert window.size_bytes(100 * MIB, 262144) == 100 * MIB // (200 * COPIES)
    assert window.size_bytes(MIB, 262144) == MIN_WINDOW_BYTES
    for _ in range(200):
        window.close()
    assert window.size_bytes(100 * MIB, 262144) == 262144
