"""Another process at the address of a backend that is gone, before discovery has told of it.

`put` is a class with idempotency keys, here deduplicated by cell.
"""

from __future__ import annotations

import contextlib
import socket
import time

import pytest
from scenario import GatewayHarness, RespConnection, settings
from threaded_backend import ThreadedBackend, encode_answer, request_number

RESET_PUTS = 3  # fewer than the retry budget has at the start


def settings_by_cell() -> dict:
    table = settings()
    classes = [request_class | {"group": "cell"} for request_class in table["classes"]]
    return table | {"classes": classes}


class Backends:
    """Backends a and b, in one cell: `look` is served, `put` runs and its connection ends with no answer."""

    def __init__(self, harness: GatewayHarness) -> None:
        self.runs: list[tuple[str, int]] = []
        self.connections: dict[str, list[RespConnection]] = {"a": [], "b": []}
        for name in self.connections:
            ThreadedBackend(harness, lambda *arguments, name=name: self._answer(name, *arguments), name)

    def _answer(self, name: str, connection: RespConnection, command: list[bytes]) -> bool:
        self.connections[name].append(connection)
        if command[0] == b"CALL.GET":
            connection.sock.sendall(encode_answer(b"value"))
            return True
        self.runs.append((name, request_number(command)))
        connection.close()
        return False

    def runs_of(self, number: int) -> int:
        return sum(ran == number for _, ran in self.runs)


@pytest.mark.parametrize("gone", ["a", "b"])
def test_an_order_is_not_repeated_where_another_process_may_listen(tmp_path, gone):
    """Guards against a run in another cell: the new process deduplicates nothing of the old one's cell."""
    with GatewayHarness(tmp_path, full_settings=settings_by_cell()) as harness:
        backends = Backends(harness)
        harness.run(f"send d1 full {gone}=Ready\nexpect gw ready*from discovery")
        harness.run("send c1 look 1\nexpect c1 ok value")
        other = "b" if gone == "a" else "a"
        harness.run(f"send d1 change {other}=Ready")
        time.sleep(0.2)
        for connection in backends.connections[gone]:
            with contextlib.suppress(OSError):  # the gateway may have closed it
                connection.sock.shutdown(socket.SHUT_RDWR)
        time.sleep(0.2)
        harness.run("send c1 put 2\nexpect c1 -ERR failed")
        assert backends.runs_of(2) == 1
        harness.run(f"send d1 change a=Ready\nsend d1 change b=Ready{'@1' if gone == 'b' else ''}")
        time.sleep(0.2)
        harness.run("send c1 look 3\nexpect c1 ok value")


def test_an_order_is_repeated_at_a_backend_whose_connections_have_not_ended(tmp_path):
    """As before: its process is the one that discovery has listed."""
    with GatewayHarness(tmp_path, full_settings=settings_by_cell()) as harness:
        backends = Backends(harness)
        harness.run("send d1 full a=Ready b=Ready\nexpect gw ready*from discovery")
        harness.run("send c1 put 1\nexpect c1 -ERR failed")
        assert backends.runs_of(1) == 2


def test_an_order_is_repeated_again_once_discovery_has_told(tmp_path):
    with GatewayHarness(tmp_path, full_settings=settings_by_cell()) as harness:
        backends = Backends(harness)
        harness.run("send d1 full a=Ready b=Ready\nexpect gw ready*from discovery")
        for number in range(1, RESET_PUTS + 1):
            harness.run(f"send c1 put {number}\nexpect c1 -ERR failed")
            harness.run("send d1 change a=Ready b=Ready")
            time.sleep(0.2)
        assert [backends.runs_of(number) for number in range(1, RESET_PUTS + 1)] == [2] * RESET_PUTS
