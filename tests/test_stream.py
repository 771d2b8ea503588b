"""Large values are streamed through the real program: delay of the first byte, memory use, and truncation."""

from __future__ import annotations

import contextlib
import threading
import time
from types import SimpleNamespace

from scenario import READY, GatewayHarness

from zincstile.net.backends.connection import BackendConnection
from zincstile.net.backends.streaming import AnswerStreams
from zincstile.net.limits import SECOND, Limits
from zincstile.net.resp import parse_stream_head
from zincstile.net.value_stream import ValueStream

MIB = 1 << 20


def encode_head(size: int) -> bytes:
    return b"*3\r\n$%d\r\n" % size


def read_bulk(connection, size: int, first_byte_times: list[float]) -> bytes:
    """Reads a bulk string as the client; appends the time of its first byte."""
    start = connection.file.read(1)
    first_byte_times.append(time.monotonic())
    remainder = connection.file.readline()
    assert start + remainder == b"$%d\r\n" % size
    value = connection.file.read(size + 2)
    return value[:-2]


def send_slowly(sock, data: bytes, chunk_bytes: int, pause_s: float) -> float:
    """Sends data in small chunks, as a slow backend; returns the time of the first byte."""
    start_s = time.monotonic()
    for at in range(0, len(data), chunk_bytes):
        sock.sendall(data[at : at + chunk_bytes])
        time.sleep(pause_s)
    return start_s


def test_a_4_mib_value_in_small_chunks_is_streamed_at_once_and_not_buffered_whole(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"memory_mb": 96}}) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        before = harness.counters()["memory_kb"]
        size = 4 * MIB
        value = bytes(range(256)) * (size // 256)
        result, first_byte_times = [], []
        reader = threading.Thread(
            target=lambda: result.append(read_bulk(harness.connection("c1"), size, first_byte_times))
        )
        reader.start()
        backend = harness.connection("a1").sock
        start_s = send_slowly(backend, encode_head(size) + value[:4096], 4096, 0.0)
        time.sleep(0.2)
        send_slowly(backend, value[4096:] + b"\r\n$-1\r\n$-1\r\n", 16384, 0.0005)
        reader.join(30)
        assert result == [value]
        delay_s = first_byte_times[0] - start_s
        assert delay_s < 0.15, f"first bytes {delay_s:.3f} s after the backend's"
        counters = harness.counters()
        assert counters["streamed"] == 1 and counters["streams_truncated"] == 0
        growth_kb = counters["memory_kb"] - before
        print(f"first bytes after {1000 * delay_s:.1f} ms; peak memory grew by {growth_kb} KB for 4096 KB")
        assert growth_kb < 3 * 1024  # not buffered whole: only unread chunks are kept
        harness.run("send c1 look 2\nexpect a1 look 2\nsend a1 ok after\nexpect c1 ok after")


@contextlib.contextmanager
def partly_streamed_value(tmp_path):
    """A gateway in the middle of a 1 MiB value: the client has its length, 100,000 bytes are sent."""
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        harness.connection("a1").sock.sendall(encode_head(MIB) + b"v" * 100_000)
        assert harness.connection("c1").file.readline() == b"$%d\r\n" % MIB
        yield harness


def test_a_value_truncated_by_its_backend_closes_the_client_connection(tmp_path):
    with partly_streamed_value(tmp_path) as harness:
        harness.close("a1")
        data = b""
        with contextlib.suppress(ConnectionError):
            data = harness.connection("c1").file.read()
        assert len(data) < MIB  # the client can detect the truncation
        harness.wait("gw", "streams_truncated=1")


def test_a_client_that_disconnects_during_a_stream_closes_the_backend_connection(tmp_path):
    with partly_streamed_value(tmp_path) as harness:
        harness.close("c1")
        harness.run("expect a1 end")


def test_the_head_of_a_large_value_is_detected_in_a_prefix_of_any_length():
    whole = b"*3\r\n$70000\r\n" + b"v" * 10
    for cut in range(len(whole)):
        result = parse_stream_head(whole[:cut], 65536)
        assert result in ((0, 0), (70000, 4)), (cut, result)
    assert parse_stream_head(whole, 65536) == (70000, 4)
    assert parse_stream_head(b"*3\r\n$65536\r\n", 65536) is None  # not larger: read whole, not streamed
    for other in (
        b"-BUSY\r\n",
        b"*2\r\n$9\r\n",
        b"*3\r\n:1\r\n",
        b"*3\r\n$-1\r\n",
        b"*3\r\n$1x\r\n",
        b"*3\r\n$" + b"9" * 12,
    ):
        assert parse_stream_head(other, 65536) is None, other


def test_a_stream_notifies_source_and_sink_and_is_truncated_once():
    calls = []

    class RecordingSide:
        def on_taken(self):
            calls.append("taken")

        def abandon(self):
            calls.append("abandon")

        def on_stream_progress(self):
            calls.append("progress")

    stream = ValueStream(RecordingSide())
    stream.sink = RecordingSide()
    stream.push(b"ab")
    stream.push(b"cd")
    assert stream.pending_bytes == 4 and stream.take(4) == [b"ab", b"cd"] and stream.pending_bytes == 0
    stream.abandon()
    stream.abandon()
    stream.end(truncated=False)  # no effect: it is truncated already
    assert calls == ["progress", "progress", "taken", "abandon"] and stream.truncated and not stream.complete


def test_the_time_that_a_client_did_not_read_is_no_silence_of_the_backend():
    """Guards against cutting a value off, past its deadline, as soon as its client reads on after a pause."""
    clock = SimpleNamespace(now_ns=0)
    checks, aborted = [], []
    dispatcher = SimpleNamespace(
        limits=Limits(),
        now_ns=lambda: clock.now_ns,
        deadlines=SimpleNamespace(add=lambda at_ns, check, attempt: checks.append(at_ns)),
        log=SimpleNamespace(line_limited=lambda *_: None),
    )
    owner = SimpleNamespace(dispatcher=dispatcher)
    connection = BackendConnection(owner, SimpleNamespace(address="a"), None)
    connection.transport = SimpleNamespace(
        pause_reading=lambda: None,
        resume_reading=lambda: None,
        is_closing=lambda: False,
        abort=lambda: aborted.append(clock.now_ns),
    )
    connection.stream = ValueStream(connection)
    connection.wait_for_client()
    attempt = SimpleNamespace(
        connection=connection, deadline=None, session=SimpleNamespace(deadline_ns=SECOND)
    )
    streams = AnswerStreams(dispatcher, None, None)
    stall_ns = dispatcher.limits.stream_stall_ns

    clock.now_ns = 10 * stall_ns
    streams._check_stalled(attempt)
    assert checks == [clock.now_ns + stall_ns]  # not again at once, which would take a whole core
    connection.on_taken()
    streams._check_stalled(attempt)
    assert checks[1:] == [clock.now_ns + stall_ns] and not aborted
    clock.now_ns += stall_ns
    streams._check_stalled(attempt)
    assert aborted
