"""Virtual time and network: order, what TCP and UDP do to what is sent, and asyncio's behaviour."""

from __future__ import annotations

import asyncio
import contextlib
import random

import pytest

from zincstile.virtual.base_process import INITIAL_DESCRIPTORS
from zincstile.virtual.clock import MS_NS, SECOND_NS, LivelockError, Scheduler
from zincstile.virtual.network import Network, NetworkSettings
from zincstile.virtual.process import Process


class Net:
    """A scheduler, a network and two machines."""

    def __init__(self, **settings):
        self.scheduler = Scheduler(SECOND_NS)
        self.network = Network(
            self.scheduler, random.Random(1), NetworkSettings(**({"jitter_ratio": 0.0} | settings))
        )
        self.a, self.b = self.process("a"), self.process("b")

    def process(self, name, **more):
        return Process(self.network, name, f"10.0.0.{ord(name[0])}", **more)

    def run(self, ms=1000):
        self.scheduler.run(self.scheduler.now_ns + ms * MS_NS)


class Side(asyncio.Protocol):
    """Records what happens to it."""

    def __init__(self, first=b""):
        self.log, self.got, self.first, self.transport = [], b"", first, None

    def connection_made(self, transport):
        self.transport = transport
        self.log.append("made")
        if self.first:
            transport.write(self.first)

    def data_received(self, data):
        self.got += data
        self.log.append("data")

    def eof_received(self):
        self.log.append("eof")

    def connection_lost(self, exc):
        self.log.append(f"lost {type(exc).__name__ if exc else 'clean'}")

    def pause_writing(self):
        self.log.append("full")

    def resume_writing(self):
        self.log.append("room")


def connected(net, server=None, client=None):
    """A connection from a to b that is up; both protocols."""
    server, client = server or Side(), client or Side()
    net.b.loop.create_task(net.b.loop.create_server(lambda: server, net.b.host, 80))
    net.run(1)
    net.a.loop.create_task(net.a.loop.create_connection(lambda: client, net.b.host, 80))
    net.run(10)
    return client, server


def test_the_same_instant_keeps_the_order_of_scheduling():
    scheduler, seen = Scheduler(), []
    for name in "abc":
        scheduler.call_at(5, seen.append, name)
    scheduler.call_at(4, lambda: scheduler.call_at(5, seen.append, "d"))
    scheduler.call_at(5, seen.append, "e").cancel()
    scheduler.run(10)
    assert seen == ["a", "b", "c", "d"] and scheduler.now_ns == 10


def test_a_pause_delays_what_a_process_does_and_keeps_its_order():
    net, seen = Net(), []
    loop = net.a.loop
    loop.call_later(0.010, seen.append, "first")
    loop.call_later(0.020, seen.append, "second")
    net.b.loop.call_later(0.015, seen.append, "other")
    net.a.pause(50 * MS_NS)
    net.run(40)
    assert seen == ["other"]
    net.run(20)
    assert seen == ["other", "first", "second"]


def test_a_dead_process_does_nothing_more():
    net, seen = Net(), []
    net.a.loop.call_later(0.5, seen.append, "late")
    net.a.kill()
    net.run()
    assert not seen and not net.a.alive


def test_what_schedules_itself_for_ever_is_named():
    net = Net()

    def again():
        net.a.loop.call_soon(again)

    again()
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
    net = Net(**settings)
    client, server = connected(net)
    sent = bytes(random.Random(2).randbytes(5000))
    for at in range(0, 5000, 700):
        client.transport.write(sent[at : at + 700])
    client.transport.close()
    net.run(5000)
    assert server.got == sent and server.log[-2:] == ["eof", "lost clean"]


def test_a_full_window_stops_the_writer_until_the_reader_goes_on():
    net = Net(window_bytes=100)
    client, server = connected(net)
    client.transport.set_write_buffer_limits(high=0)
    server.transport.pause_reading()
    client.transport.write(b"x" * 150)
    net.run()
    assert client.log == ["made", "full"] and client.transport.get_write_buffer_size() == 50
    server.transport.resume_reading()
    net.run()
    assert client.log[-1] == "room" and server.got == b"x" * 150


def test_a_kill_resets_and_what_is_unread_is_gone():
    net = Net()
    client, server = connected(net)
    client.transport.pause_reading()
    server.transport.write(b"never read")
    net.run()
    net.b.kill()
    net.run()
    client.transport.resume_reading()
    net.run()
    assert client.got == b"" and client.log[-1] == "lost ConnectionResetError"


def test_what_is_read_after_the_end_was_sent_was_not_read_before_it():
    net = Net(window_bytes=100)
    client, server = connected(net)
    client.transport.write(b"before")
    net.run(10)
    assert server.transport.had_read_before_fin(6) and not server.transport.had_read_before_fin(7)
    client.transport.pause_reading()
    server.transport.write(b"x" * 150)
    server.transport.write_eof()  # decided on, but sent only behind the rest of what was written
    client.transport.write(b"meanwhile")
    net.run(10)
    assert server.got == b"beforemeanwhile" and server.transport.had_read_before_fin(15)
    client.transport.resume_reading()  # the rest and the end are on their way
    client.transport.write(b"after")
    net.run(10)
    assert client.got == b"x" * 150 and client.log[-1] == "lost clean"
    assert server.got == b"beforemeanwhileafter" and not server.transport.had_read_before_fin(16)


def test_closing_with_bytes_unread_resets_the_other_side():
    net = Net()
    client, server = connected(net)
    server.transport.pause_reading()
    client.transport.write(b"unread")
    net.run()
    server.transport.close()
    net.run()
    assert server.log[-1] == "lost clean" and client.log[-1] == "lost ConnectionResetError"


def connect(net, give_up_s=0.5):
    """What comes of connecting from a to b."""

    async def try_it():
        try:
            async with asyncio.timeout(give_up_s):
                await net.a.loop.create_connection(Side, net.b.host, 80)
        except (OSError, TimeoutError) as err:
            return type(err).__name__
        return "up"

    task = net.a.loop.create_task(try_it())
    net.run(2000)
    return task.result()


def test_connects_are_refused_or_never_come_up():
    net = Net()
    assert connect(net) == "ConnectionRefusedError"
    net.network.isolate(net.b.host)
    assert connect(net) == "TimeoutError"
    net.network.reconnect(net.b.host)
    net.b.loop.create_task(net.b.loop.create_server(Side, net.b.host, 80))
    net.run()
    assert connect(net) == "up"
    net.network.extra_delay_ns[net.b.host] = 400 * MS_NS
    assert connect(net) == "TimeoutError"
    assert net.a.open_descriptors == INITIAL_DESCRIPTORS + 1  # what was given up holds nothing


def test_no_descriptor_left_is_an_error_and_nothing_leaks():
    net = Net()
    net.b.loop.create_task(net.b.loop.create_server(Side, net.b.host, 80))
    net.a.max_descriptors = INITIAL_DESCRIPTORS + 1
    net.run()
    assert connect(net) == "up" and connect(net) == "OSError"
    assert net.a.peak_descriptors == INITIAL_DESCRIPTORS + 1


def test_a_cut_holds_bytes_back_until_it_is_reconnected():
    net = Net()
    client, server = connected(net)
    net.network.disconnect(net.a.host, net.b.host)
    client.transport.write(b"held")
    net.run()
    assert server.got == b"" and "lost" not in str(server.log)
    net.network.reconnect(net.a.host, net.b.host)
    net.run()
    assert server.got == b"held"


def test_what_a_protocol_raises_closes_its_connection_alone():
    class Bad(Side):
        def data_received(self, data):
            raise KeyError("bad")

    net = Net()
    client, server = connected(net, server=Bad())
    other_client, other = Side(), Side()
    net.b.loop.create_task(net.b.loop.create_server(lambda: other, net.b.host, 81))
    net.run(1)
    net.a.loop.create_task(net.a.loop.create_connection(lambda: other_client, net.b.host, 81))
    net.run()
    client.transport.write(b"x")
    other_client.transport.write(b"y")
    net.run()
    assert server.log[-1] == "lost KeyError" and other.got == b"y"
    assert net.b.loop.unhandled_errors and "KeyError" in net.b.loop.unhandled_errors[0]


class DatagramRecorder(asyncio.DatagramProtocol):
    def __init__(self):
        self.got, self.transport = [], None

    def connection_made(self, transport):
        self.transport = transport

    def datagram_received(self, data, addr):
        self.got.append((data, addr))


def datagrams(net, count):
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
    return [int(data) for data, _ in two.got]


def test_datagrams_are_lost_duplicated_and_reordered_by_the_draw():
    assert datagrams(Net(datagram_loss_ratio=1.0), 20) == []
    assert sorted(datagrams(Net(), 20)) == list(range(20))
    assert len(datagrams(Net(datagram_duplicate_ratio=1.0), 20)) == 40
    lossy = datagrams(Net(datagram_loss_ratio=0.5), 60)
    assert 10 < len(lossy) < 50 and lossy == datagrams(Net(datagram_loss_ratio=0.5), 60)
    assert (got := datagrams(Net(datagram_delay_ns=(0, 200 * MS_NS)), 60)) != sorted(got)


def test_a_process_receives_only_so_many_datagrams():
    net = Net(datagrams_per_s=5.0)
    assert len(datagrams(net, 40)) < 12


# ---- the same play on the real loop and on the virtual one


async def _play(loop, host, run_for):
    """Echo, end of sending, abort; what each side saw."""

    class Echo(Side):
        def data_received(self, data):
            super().data_received(data)
            self.transport.write(data.upper())

        def eof_received(self):
            super().eof_received()
            self.transport.write(b"BYE")

    servers, seen = [], []

    def made():
        servers.append(Echo())
        return servers[-1]

    server = await loop.create_server(made, host, 0)
    port = server.sockets[0].getsockname()[1]
    for how in ("write_eof", "close", "abort"):
        _, client = await loop.create_connection(lambda: Side(b"hello"), host, port)
        await run_for(0.05)
        getattr(client.transport, how)()
        await run_for(0.05)
        seen.append((how, client.got, client.log, servers[-1].got, servers[-1].log))
    server.close()
    with contextlib.suppress(ConnectionRefusedError):
        await loop.create_connection(Side, host, port)
        seen.append("not refused")
    return seen


def test_the_virtual_loop_calls_protocols_as_asyncio_does():
    async def real():
        return await _play(asyncio.get_running_loop(), "127.0.0.1", asyncio.sleep)

    net = Net()

    def virtual_sleep(seconds):
        future = net.a.loop.create_future()
        net.a.loop.call_later(seconds, future.set_result, None)
        return future

    task = net.a.loop.create_task(_play(net.a.loop, net.a.host, virtual_sleep))
    net.run(3000)
    assert task.result() == asyncio.run(asyncio.wait_for(real(), 20))
