"""Large values through the real program: passed on as they come, in small pieces from a slow backend server,
with the time of the first bytes and the memory held measured; cut where the backend server cuts."""

from __future__ import annotations

import contextlib
import threading
import time

from scenario import READY, GatewayHarness

from zincstile.net.resp import parse_stream_head
from zincstile.net.value_stream import ValueStream

MIB = 1 << 20


def head(size: int) -> bytes:
    return b"*3\r\n$%d\r\n" % size


def read_bulk(line, size: int, first: list[float]) -> bytes:
    """The client's side: the time its first byte came, then the whole value."""
    start = line.file.read(1)
    first.append(time.monotonic())
    rest = line.file.readline()
    assert start + rest == b"$%d\r\n" % size
    value = line.file.read(size + 2)
    return value[:-2]


def slowly(sock, data: bytes, piece: int, pause_s: float) -> float:
    """A slow backend server: the value in small pieces. The time of its first byte."""
    began = time.monotonic()
    for at in range(0, len(data), piece):
        sock.sendall(data[at : at + piece])
        time.sleep(pause_s)
    return began


def test_a_4_mib_value_in_small_pieces_goes_on_at_once_and_is_not_held_whole(tmp_path):
    with GatewayHarness(tmp_path, {"limits": {"memory_mb": 96}}) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        before = harness.counters()["memory_kb"]
        size = 4 * MIB
        value = bytes(range(256)) * (size // 256)
        got, first = [], []
        reader = threading.Thread(target=lambda: got.append(read_bulk(harness.connection("c1"), size, first)))
        reader.start()
        backend = harness.connection("a1").sock
        began = slowly(backend, head(size) + value[:4096], 4096, 0.0)
        time.sleep(0.2)
        slowly(backend, value[4096:] + b"\r\n$-1\r\n$-1\r\n", 16384, 0.0005)
        reader.join(30)
        assert got == [value]
        lag = first[0] - began
        assert lag < 0.15, f"first bytes {lag:.3f} s after the backend server's"
        counters = harness.counters()
        assert counters["streamed"] == 1 and counters["streams_truncated"] == 0
        held_kb = counters["memory_kb"] - before
        print(f"first bytes after {1000 * lag:.1f} ms; most memory grew by {held_kb} KB for a 4096 KB value")
        assert held_kb < 3 * 1024  # not held whole: at most what the client has not read, and the pieces
        # kept, in order
        harness.run("send c1 look 2\nexpect a1 look 2\nsend a1 ok after\nexpect c1 ok after")


@contextlib.contextmanager
def half_sent(tmp_path):
    """A world in which a 1 MiB value is begun: its head has reached the client, 100,000 bytes of it sent."""
    with GatewayHarness(tmp_path) as harness:
        harness.run(READY + "send c1 look 1\nexpect a1 look 1")
        harness.connection("a1").sock.sendall(head(MIB) + b"v" * 100_000)
        assert harness.connection("c1").file.readline() == b"$%d\r\n" % MIB
        yield harness


def test_a_value_cut_by_its_backend_server_ends_the_clients_connection(tmp_path):
    with half_sent(tmp_path) as harness:
        harness.close("a1")
        data = b""
        with contextlib.suppress(ConnectionError):
            data = harness.connection("c1").file.read()
        assert len(data) < MIB  # the client can tell that it is not whole
        harness.wait("gw", "streams_truncated=1")


def test_a_client_that_leaves_in_the_middle_frees_the_backend_connection(tmp_path):
    with half_sent(tmp_path) as harness:
        harness.close("c1")
        harness.run("expect a1 end")


def test_the_head_of_a_large_value_is_found_in_any_piece():
    whole = b"*3\r\n$70000\r\n" + b"v" * 10
    for cut in range(len(whole)):
        got = parse_stream_head(whole[:cut], 65536)
        assert got in ((0, 0), (70000, 4)), (cut, got)
    assert parse_stream_head(whole, 65536) == (70000, 4)
    assert parse_stream_head(b"*3\r\n$65536\r\n", 65536) is None  # not larger: read whole as before
    for other in (
        b"-BUSY\r\n",
        b"*2\r\n$9\r\n",
        b"*3\r\n:1\r\n",
        b"*3\r\n$-1\r\n",
        b"*3\r\n$1x\r\n",
        b"*3\r\n$" + b"9" * 12,
    ):
        assert parse_stream_head(other, 65536) is None, other


def test_a_stream_tells_each_side_and_is_cut_once():
    told = []

    class Side:
        def on_taken(self):
            told.append("more")

        def abandon(self):
            told.append("abandon")

        def on_stream_progress(self):
            told.append("poke")

    s = ValueStream(Side())
    s.sink = Side()
    s.push(b"ab")
    s.push(b"cd")
    assert s.pending_bytes == 4 and s.take() == [b"ab", b"cd"] and s.pending_bytes == 0
    s.abandon()
    s.abandon()
    s.end(truncated=False)  # too late: it was cut
    assert told == ["poke", "poke", "more", "abandon"] and s.truncated and not s.complete
