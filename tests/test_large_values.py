"""Requests on the connection of a large value: they get their answers although the value ends early."""

from __future__ import annotations

import contextlib
import re
import threading
import time
from dataclasses import dataclass, field

import pytest
from scenario import (
    READY,
    GatewayHarness,
    RespConnection,
    call_command,
    encode_command,
    reserve_address,
)
from threaded_backend import ThreadedBackend, encode_answer, request_number

from zincstile.net.value_memory import ValueMemory

MIB = 1 << 20
PART_BYTES = 400_000  # of a large value, sent before it ends early
SMALL_CLASSES = ("book", "put", "look", "book")  # of the requests behind a large one
NO_QUIET_PERIOD = {"drain_quiet_ns": 1}


@dataclass
class Backend:
    """Answers on all connections of the backends `names`; each value in `large` ends early as `ending` says.

    Endings: "whole" (it does not), "close" (the connection ends), "length" (no CRLF at its stated length),
    "silence" (nothing more is sent), "trailer" (what follows the value is malformed).
    """

    harness: GatewayHarness
    large: dict[int, int]  # size of the value by the number of the request
    ending: str
    names: str = "a"
    early_ends: int = 1000  # values that end early; later ones are whole
    pause_s: float = 0.05  # between the first part of a value and the rest
    runs: list[int] = field(default_factory=list)  # numbers of the requests received

    def start(self) -> Backend:
        ThreadedBackend(self.harness, self._answer, self.names)
        return self

    def _answer(self, connection: RespConnection, command: list[bytes]) -> bool:
        number = request_number(command)
        self.runs.append(number)
        if number not in self.large:
            connection.sock.sendall(encode_answer(b"small %d" % number))
            return True
        ending = self.ending if self.early_ends else "whole"
        self.early_ends -= bool(self.early_ends)
        return self._send_large(connection, encode_answer(b"v" * self.large[number]), ending)

    def _send_large(self, connection: RespConnection, answer: bytes, ending: str) -> bool:
        """Returns whether the connection stays open."""
        if ending == "length":
            answer = answer[:-30] + b"vv" + answer[-30:]
        elif ending == "trailer":
            answer = answer[: -len(b"$-1\r\n$-1\r\n")] + b"?\r\n"
        connection.sock.sendall(answer[:PART_BYTES])
        time.sleep(self.pause_s)
        if ending == "close":
            connection.close()
            return False
        if ending == "silence":
            connection.sock.recv(1)  # until the gateway gives up
            return False
        connection.sock.sendall(answer[PART_BYTES:])
        return True


def commands(first: int, *classes: str, timeout_ms: int = 20000) -> bytes:
    """Encodes requests numbered from `first`, one of each class."""
    return b"".join(
        encode_command(call_command(name, number, f"d={timeout_ms}"))
        for number, name in enumerate(classes, first)
    )


def read_answers(connection: RespConnection, count: int) -> list[bytes | str]:
    return [connection.read_message() for _ in range(count)]


def assert_small_answers(answers: list, first: int) -> None:
    assert answers == [b"small %d" % number for number in range(first, first + len(answers))]


# ---- a value that ends early


@pytest.mark.parametrize("ending", ["close", "length", "silence", "trailer"])
def test_requests_behind_a_value_that_ends_early_are_answered(tmp_path, ending):
    """Guards against a value cut in its middle that takes the answers behind it along (review case 3)."""
    with GatewayHarness(tmp_path) as harness:
        backend = Backend(harness, {1: MIB}, ending).start()
        harness.run(READY)
        client = harness.connection("c1")
        client.sock.sendall(commands(1, "look", *SMALL_CLASSES, timeout_ms=1500))
        first, *others = read_answers(client, 1 + len(SMALL_CLASSES))
        assert isinstance(first, str) and first.startswith("-"), first[:40]
        assert_small_answers(others, 2)
        assert sorted(set(backend.runs)) == [1, 2, 3, 4, 5]
        assert backend.runs.count(2) == 1  # of a class that must not run twice
        client.sock.sendall(commands(6, "look"))
        assert client.read_message() == b"small 6"  # the connection goes on
        counters = harness.counters()
        assert counters["streams_truncated"] == counters["violated_close"] == counters["faults"] == 0


def test_a_value_that_ends_early_before_other_answers_is_requested_again(tmp_path):
    """Nothing of it was written to the client, so that an idempotent request can still be served."""
    with GatewayHarness(tmp_path) as harness:
        backend = Backend(harness, {1: MIB}, "close", names="ab", early_ends=1).start()
        harness.run("send d1 full a=Ready b=Ready\nexpect gw ready*from discovery")
        client = harness.connection("c1")
        client.sock.sendall(commands(101, *["look"] * 60))  # the retry budget grows with the requests
        read_answers(client, 60)
        client.sock.sendall(commands(1, "look", "book"))
        assert read_answers(client, 2) == [b"v" * MIB, b"small 2"]
        assert backend.runs.count(1) == 2
        assert backend.runs.count(2) == 1


def test_several_large_values_of_which_some_end_early_are_answered_in_order(tmp_path):
    classes = ("look", "book", "look", "put", "look", "book")
    with GatewayHarness(tmp_path) as harness:
        backend = Backend(harness, {1: MIB, 3: 2 * MIB, 5: 500_000}, "whole").start()
        harness.run(READY)
        client = harness.connection("c1")
        client.sock.sendall(commands(1, *classes))
        answers = read_answers(client, 6)
        assert [len(answer) for answer in answers[::2]] == [MIB, 2 * MIB, 500_000]
        assert answers[1::2] == [b"small 2", b"small 4", b"small 6"]
        backend.large, backend.ending = {7: MIB, 9: 2 * MIB, 11: 500_000}, "close"
        client.sock.sendall(commands(7, *classes, timeout_ms=2000))
        answers = read_answers(client, 6)
        assert all(isinstance(answer, str) for answer in answers[::2])
        assert answers[1::2] == [b"small 8", b"small 10", b"small 12"]
        assert harness.counters()["violated_close"] == 0


def test_a_value_that_ends_early_while_it_waits_for_an_earlier_answer_fails_alone(tmp_path):
    """It is the last request of its connection, but no byte of its value was written yet."""
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY + "send c1 book 1\nexpect a1 book 1\nsend c1 book 2\nexpect a2 book 2")
        harness.connection("a2").sock.sendall(encode_answer(b"v" * MIB)[:PART_BYTES])
        harness.run("wait gw buffered=1\nclose a2\nwait gw reset=1\nsend a1 ok first\nexpect c1 ok first")
        harness.run("expect c1 -ERR*\nsend c1 look 3\nexpect a1 look 3\nsend a1 ok after\nexpect c1 ok after")


@pytest.mark.parametrize("call", ["TERM", "standby"])
def test_requests_behind_a_value_cut_off_during_a_shutdown_or_standby_are_answered(tmp_path, call):
    config = {"limits": NO_QUIET_PERIOD, "control": reserve_address()}
    with GatewayHarness(tmp_path, config) as harness:
        Backend(harness, {1: MIB}, "close", pause_s=0.5).start()
        harness.run(READY)
        client = harness.connection("c1")
        client.sock.sendall(commands(1, "look", *SMALL_CLASSES, timeout_ms=2500))
        harness.run("wait gw buffered=1")
        if call == "TERM":
            harness.run("send gw TERM\nexpect gw not_listening")
        else:
            harness.post("/standby")
        first, *others = read_answers(client, 1 + len(SMALL_CLASSES))
        assert isinstance(first, str)
        assert_small_answers(others, 2)
        harness.run("expect c1 eof")


# ---- commands that arrive while a value is forwarded


@contextlib.contextmanager
def value_with_later_command(tmp_path, config=None):
    """400,000 bytes of a value of 1 MiB are forwarded; the client has sent another command since."""
    with GatewayHarness(tmp_path, config) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        harness.connection("a1").sock.sendall(encode_answer(b"v" * MIB)[:PART_BYTES])
        assert len(harness.connection("c1").file.read(PART_BYTES // 2)) == PART_BYTES // 2
        harness.connection("c1").sock.sendall(commands(2, "book", "look", timeout_ms=5000))
        time.sleep(0.3)
        yield harness


def test_commands_that_arrive_while_a_value_is_forwarded_are_read_after_it(tmp_path):
    with value_with_later_command(tmp_path) as harness:
        assert harness.counters()["requests"] == 1
        harness.connection("a1").sock.sendall(encode_answer(b"v" * MIB)[PART_BYTES:])
        head_bytes = len(b"$%d\r\n" % MIB)
        assert harness.connection("c1").file.read(head_bytes + MIB + 2 - PART_BYTES // 2)[-2:] == b"\r\n"
        forwarded = dict(read_call(harness, name) for name in ("a1", "a2"))
        assert sorted(forwarded) == [2, 3]
        assert max(forwarded.values()) <= 4700  # ms, of 5000: they waited for 0.3 s


def read_call(harness: GatewayHarness, connection: str) -> tuple[int, int]:
    """Returns the number of the next call on a connection to the backend, and its timeout in ms."""
    words = harness.connection(connection).read_message()
    return request_number(words), int(re.search(rb"(?:^|,)d=(\d+)", words[3]).group(1))


def test_commands_that_arrive_while_a_value_is_forwarded_never_run_if_it_is_cut_off(tmp_path):
    """The client sees the value cut off, and may send them again."""
    with value_with_later_command(tmp_path) as harness:
        harness.close("a1")
        data = b""
        with contextlib.suppress(ConnectionError):
            data = harness.connection("c1").file.read()
        assert len(data) < MIB - PART_BYTES // 2
        counters = harness.counters()
        assert counters["requests"] == counters["attempts"] == counters["streams_truncated"] == 1
        assert counters["violated_close"] == 0


def test_commands_that_arrive_while_a_value_is_forwarded_are_answered_in_a_shutdown(tmp_path):
    with value_with_later_command(tmp_path, {"limits": NO_QUIET_PERIOD}) as harness:
        harness.run("send gw TERM\nexpect gw not_listening")
        harness.connection("a1").sock.sendall(encode_answer(b"v" * MIB)[PART_BYTES:])
        harness.connection("c1").file.read(len(b"$%d\r\n" % MIB) + MIB + 2 - PART_BYTES // 2)
        for name in ("a1", "a2"):
            harness.connection(name).read_message()
            harness.run(f"send {name} ok same")
        harness.run("expect c1 ok same\nexpect c1 ok same\nfinish c1")


# ---- memory


def test_many_large_values_with_requests_behind_them_stay_within_the_memory(tmp_path):
    """Guards against buffering without a bound: 30 clients have 4 MiB each, three of which fit."""
    memory_mb, clients = 80, 30
    with GatewayHarness(tmp_path, {"limits": {"memory_mb": memory_mb}}) as harness:
        Backend(harness, {2 * number + 1: 4 * MIB for number in range(clients)}, "whole").start()
        harness.run(READY)
        for number in range(clients):
            client = harness.connection(f"c{number + 1}")
            client.sock.sendall(commands(2 * number + 1, "look", "look", timeout_ms=15_000))
        peak_kb, answers = 0, []
        for number in range(clients):
            answers += read_answers(harness.connection(f"c{number + 1}"), 2)
            peak_kb = max(peak_kb, harness.own_memory_kb())
        assert [len(answer) for answer in answers[::2]] == [4 * MIB] * clients
        assert answers[1::2] == [b"small %d" % (2 * number + 2) for number in range(clients)]
        counters = harness.counters()
        print(f"peak {peak_kb} KB, counters {counters['buffered']} {counters['buffer_waits']}")
        assert counters["buffer_waits"]
        assert peak_kb < memory_mb * 1024


def test_a_value_that_finds_no_memory_is_forwarded_once_it_is_the_only_answer(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"buffered_value_bytes": 1000}}) as harness:
        harness.run(READY + "send c1 book 1\nexpect a1 book 1\nsend c1 look 2\nexpect a2 look 2")
        answer = encode_answer(b"v" * MIB)
        sender = threading.Thread(target=harness.connection("a2").sock.sendall, args=(answer,))
        sender.start()
        harness.run("wait gw buffer_waits=1\nsend a1 ok first\nexpect c1 ok first")
        assert harness.connection("c1").read_message() == b"v" * MIB
        sender.join()
        assert harness.counters()["streamed"] == 1


def test_a_value_that_finds_no_memory_until_its_deadline_fails_alone(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"buffered_value_bytes": 1000}}) as harness:
        backend = Backend(harness, {1: MIB}, "whole").start()
        harness.run(READY)
        client = harness.connection("c1")
        client.sock.sendall(commands(1, "look", *SMALL_CLASSES, timeout_ms=700))
        first, *others = read_answers(client, 1 + len(SMALL_CLASSES))
        assert isinstance(first, str)
        assert_small_answers(others, 2)
        assert backend.runs.count(1) == 1
        counters = harness.counters()
        assert counters["buffer_waits"] == counters["cancelled"] == 1
        assert counters["timeout"] == 0  # the backend is not at fault


def test_values_that_wait_for_earlier_ones_leave_half_of_the_memory():
    memory = ValueMemory()
    waiting = memory.reserve(50, 100, is_head=False)
    assert memory.reserve(1, 100, is_head=False) is None
    head = memory.reserve(50, 100, is_head=True)
    assert memory.reserve(1, 100, is_head=True) is None
    head.shrink(20)
    head.shrink(30)  # no effect: it has 20 only
    assert memory.reserved_bytes == 70
    assert memory.reserve(30, 100, is_head=True) is not None
    waiting.shrink(0)
    head.shrink(0)
    assert memory.reserved_bytes == 30
    assert memory.reserve(50, 100, is_head=False) is not None
