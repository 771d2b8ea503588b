"""Virtual time and network: order of calls, behaviour of TCP and UDP, and equivalence to asyncio."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from zincstile.virtual.base_process import INITIAL_DESCRIPTORS
from zincstile.virtual.clock import MS_NS, SECOND_NS, LivelockError, Scheduler
from zincstile.virtual.network import Network, NetworkSettings
from zincstile.virtual.process import Process


class VirtualNetwork:
    """A scheduler, a network and two processes, each on its own machine."""

    def __init__(self, **settings):
        self.scheduler = Scheduler(SECOND_NS)
        self.network = Network(
            self.scheduler, random.Random(1), NetworkSettings(**({"jitter_ratio": 0.0} | settings))
        )
        self.a, self.b = self.process("a"), self.process("b")

    def process(self, name, **options):
        return Process(self.network, name, f"10.0.0.{ord(name[0])}", **options)

    def run(self, ms=1000):
        self.scheduler.run(self.scheduler.now_ns + ms * MS_NS)


class RecordingProtocol(asyncio.Protocol):
    """Records its callbacks in `log` and the bytes it received; sends `first` once connected."""

    def __init__(self, first=b""):
        self.log, self.received, self.first, self.transport = [], b"", first, None

    def connection_made(self, transport):
        self.transport = transport
        self.log.append("made")
        if self.first:
            transport.write(self.first)

    def data_received(self, data):
        self.received += data
        self.log.append("data")

    def eof_received(self):
        self.log.append("eof")

    def connection_lost(self, exc):
        self.log.append(f"lost {type(exc).__name__ if exc else 'clean'}")

    def pause_writing(self):
        self.log.append("full")

    def resume_writing(self):
        self.log.append("room")


def open_connection(net, server=None, client=None):
    """Opens a connection from a to b; returns the protocols of the client and the server."""
    server, client = server or RecordingProtocol(), client or RecordingProtocol()
    net.b.loop.create_task(net.b.loop.create_server(lambda: server, net.b.host, 80))
    net.run(1)
    net.a.loop.create_task(net.a.loop.create_connection(lambda: client, net.b.host, 80))
    net.run(10)
    return client, server


def test_calls_at_the_same_instant_are_made_in_order_of_scheduling():
    scheduler, seen = Scheduler(), []
    for name in "abc":
        scheduler.call_at(5, seen.append, name)
    scheduler.call_at(4, lambda: scheduler.call_at(5, seen.append, "d"))
    scheduler.call_at(5, seen.append, "e").cancel()
    scheduler.run(10)
    assert seen == ["a", "b", "c", "d"] and scheduler.now_ns == 10


def test_a_pause_delays_the_calls_of_a_process_and_keeps_their_order():
    net, seen = VirtualNetwork(), []
    loop = net.a.loop
    loop.call_later(0.010, seen.append, "first")
    loop.call_later(0.020, seen.append, "second")
    net.b.loop.call_later(0.015, seen.append, "other")
    net.a.pause(50 * MS_NS)
    net.run(40)
    assert seen == ["other"]
    net.run(20)
    assert seen == ["other", "first", "second"]


def test_calls_of_a_killed_process_are_not_made():
    net, seen = VirtualNetwork(), []
    net.a.loop.call_later(0.5, seen.append, "late")
    net.a.kill()
    net.run()
    assert not seen and not net.a.alive


def test_code_that_reschedules_itself_at_one_instant_raises_an_error():
    net = VirtualNetwork()

    def reschedule():
        net.a.loop.call_soon(reschedule)

    reschedule()
    with pytest.raises(LivelockError):
        net.run()


@pytest.mark.parametrize(
    "settings",
    [
        {},
        {"split_ratio": 0.8},
        {"window_bytes": 300},
        {"window_bytes": 64, "split_ratio": 0.5},
        {"max_read_bytes": 7},
        {"jitter_ratio": 3.0, "split_ratio": 0.5},
    ],
)
def test_bytes_arrive_complete_and_in_order_however_they_are_split(settings):
    net = VirtualNetwork(**settings)
    client, server = open_connection(net)
    sent = bytes(random.Random(2).randbytes(5000))
    for at in range(0, 5000, 700):
        client.transport.write(sent[at : at + 700])
    client.transport.close()
    net.run(5000)
    assert server.received == sent and server.log[-2:] == ["eof", "lost clean"]


def test_a_full_window_pauses_the_writer_until_the_reader_resumes():
    net = VirtualNetwork(window_bytes=100)
    client, server = open_connection(net)
    client.transport.set_write_buffer_limits(high=0)
    server.transport.pause_reading()
    client.transport.write(b"x" * 150)
    net.run()
    assert client.log == ["made", "full"] and client.transport.get_write_buffer_size() == 50
    server.transport.resume_reading()
    net.run()
    assert client.log[-1] == "room" and server.received == b"x" * 150


def test_killing_the_peer_resets_the_connection_and_discards_unread_input():
    net = VirtualNetwork()
    client, server = open_connection(net)
    client.transport.pause_reading()
    server.transport.write(b"never read")
    net.run()
    net.b.kill()
    net.run()
    client.transport.resume_reading()
    net.run()
    assert client.received == b"" and client.log[-1] == "lost ConnectionResetError"


def test_input_read_after_the_fin_was_sent_does_not_count_as_read_before_it():
    net = VirtualNetwork(window_bytes=100)
    client, server = open_connection(net)
    client.transport.write(b"before")
    net.run(10)
    assert server.transport.had_read_before_fin(6) and not server.transport.had_read_before_fin(7)
    client.transport.pause_reading()
    server.transport.write(b"x" * 150)
    server.transport.write_eof()  # the FIN is sent only after the buffered bytes
    client.transport.write(b"meanwhile")
    net.run(10)
    assert server.received == b"beforemeanwhile" and server.transport.had_read_before_fin(15)
    client.transport.resume_reading()  # the remaining bytes and the FIN are in flight
    client.transport.write(b"after")
    net.run(10)
    assert client.received == b"x" * 150 and client.log[-1] == "lost clean"
    assert server.received == b"beforemeanwhileafter" and not server.transport.had_read_before_fin(16)


def test_closing_with_unread_input_resets_the_peer():
    net = VirtualNetwork()
    client, server = open_connection(net)
    server.transport.pause_reading()
    client.transport.write(b"unread")
    net.run()
    server.transport.close()
    net.run()
    assert server.log[-1] == "lost clean" and client.log[-1] == "lost ConnectionResetError"


def try_to_connect(net, timeout_s=0.5):
    """Tries to connect from a to b; returns `up` or the name of the exception."""

    async def attempt():
        try:
            async with asyncio.timeout(timeout_s):
                await net.a.loop.create_connection(RecordingProtocol, net.b.host, 80)
        except (OSError, TimeoutError) as err:
            return type(err).__name__
        return "up"

    task = net.a.loop.create_task(attempt())
    net.run(2000)
    return task.result()


def test_connecting_is_refused_without_a_listener_and_times_out_without_a_reply():
    net = VirtualNetwork()
    assert try_to_connect(net) == "ConnectionRefusedError"
    net.network.isolate(net.b.host)
    assert try_to_connect(net) == "TimeoutError"
    net.network.reconnect(net.b.host)
    net.b.loop.create_task(net.b.loop.create_server(RecordingProtocol, net.b.host, 80))
    net.run()
    assert try_to_connect(net) == "up"
    net.network.extra_delay_ns[net.b.host] = 400 * MS_NS
    assert try_to_connect(net) == "TimeoutError"
    assert net.a.open_descriptors == INITIAL_DESCRIPTORS + 1  # connections given up hold no descriptor


def test_connecting_without_a_free_descriptor_fails_and_leaks_none():
    net = VirtualNetwork()
    net.b.loop.create_task(net.b.loop.create_server(RecordingProtocol, net.b.host, 80))
    net.a.max_descriptors = INITIAL_DESCRIPTORS + 1
    net.run()
    assert try_to_connect(net) == "up" and try_to_connect(net) == "OSError"
    assert net.a.peak_descriptors == INITIAL_DESCRIPTORS + 1


def test_a_cut_path_delivers_its_bytes_after_reconnecting():
    net = VirtualNetwork()
    client, server = open_connection(net)
    net.network.disconnect(net.a.host, net.b.host)
    client.transport.write(b"held")
    net.run()
    assert server.received == b"" and "lost" not in str(server.log)
    net.network.reconnect(net.a.host, net.b.host)
    net.run()
    assert server.received == b"held"


def test_an_exception_in_a_protocol_closes_only_its_connection():
    class FailingProtocol(RecordingProtocol):
        def data_received(self, data):
            raise KeyError("bad")

    net = VirtualNetwork()
    client, server = open_connection(net, server=FailingProtocol())
    other_client, other = RecordingProtocol(), RecordingProtocol()
    net.b.loop.create_task(net.b.loop.create_server(lambda: other, net.b.host, 81))
    net.run(1)
    net.a.loop.create_task(net.a.loop.create_connection(lambda: other_client, net.b.host, 81))
    net.run()
    client.transport.write(b"x")
    other_client.transport.write(b"y")
    net.run()
    assert server.log[-1] == "lost KeyError" and other.received == b"y"
    assert net.b.loop.unhandled_errors and "KeyError" in net.b.loop.unhandled_errors[0]


class DatagramRecorder(asyncio.DatagramProtocol):
    def __init__(self):
        self.received, self.transport = [], None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.received.append((data, addr))


def send_datagrams(net, count):
    one, two = DatagramRecorder(), DatagramRecorder()
    for process, recorder in ((net.a, one), (net.b, two)):
        process.loop.create_task(
            process.loop.create_datagram_endpoint(
                lambda recorder=recorder: recorder, local_addr=(process.host, 7)
            )
        )
    net.run(1)
    for k in range(count):
        one.transport.sendto(b"%d" % k, (net.b.host, 7))
        net.run(20)
    net.run()
    return [int(data) for data, _ in two.received]


def test_datagrams_are_randomly_lost_duplicated_and_reordered():
    assert send_datagrams(VirtualNetwork(datagram_loss_ratio=1.0), 20) == []
    assert sorted(send_datagrams(VirtualNetwork(), 20)) == list(range(20))
    assert len(send_datagrams(VirtualNetwork(datagram_duplicate_ratio=1.0), 20)) == 40
    lossy = send_datagrams(VirtualNetwork(datagram_loss_ratio=0.5), 60)
    assert 10 < len(lossy) < 50 and lossy == send_datagrams(VirtualNetwork(datagram_loss_ratio=0.5), 60)
    assert (received := send_datagrams(VirtualNetwork(datagram_delay_ns=(0, 200 * MS_NS)), 60)) != sorted(
        received
    )


def test_datagrams_above_the_rate_limit_of_a_process_are_dropped():
    net = VirtualNetwork(datagrams_per_s=5.0)
    assert len(send_datagrams(net, 40)) < 12


# ---- the same scenario on a real and on a virtual loop


async def _play_scenario(loop, host, run_for):
    """Connects, echoes data and ends by write_eof, close and abort; returns what each side recorded."""

    class Echo(RecordingProtocol):
        def data_received(self, data):
            super().data_received(data)
            self.transport.write(data.upper())

        def eof_received(self):
            super().eof_received()
            self.transport.write(b"BYE")

    servers, seen = [], []

    def new_echo():
        servers.append(Echo())
        return servers[-1]

    server = await loop.create_server(new_echo, host, 0)
    port = server.sockets[0].getsockname()[1]
    for ending in ("write_eof", "close", "abort"):
        _, client = await loop.create_connection(lambda: RecordingProtocol(b"hello"), host, port)
        await run_for(0.05)
        getattr(client.transport, ending)()
        await run_for(0.05)
        seen.append((ending, client.received, client.log, servers[-1].received, servers[-1].log))
    server.close()
    with contextlib.suppress(ConnectionRefusedError):
        await loop.create_connection(RecordingProtocol, host, port)
        seen.append("not refused")
    return seen


def test_the_virtual_loop_calls_protocols_in_the_same_order_as_asyncio():
    async def real():
        return await _play_scenario(asyncio.get_running_loop(), "127.0.0.1", asyncio.sleep)

    net = VirtualNetwork()

    def virtual_sleep(seconds):
        future = net.a.loop.create_future()
        net.a.loop.call_later(seconds, future.set_result, None)
        return future

    task = net.a.loop.create_task(_play_scenario(net.a.loop, net.a.host, virtual_sleep))
    net.run(3000)
    assert task.result() == asyncio.run(asyncio.wait_for(real(), 20))
