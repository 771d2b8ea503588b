"""The emulators on real loopback, spoken to byte by byte: each does what PROTOCOL says."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from zincstile.emulators import codec
from zincstile.emulators.backend import CORRUPT_ANSWERS, BackendEmulator, BackendModel, Rack
from zincstile.emulators.client_requests import PlannedRequest
from zincstile.emulators.clients import ClientLoadBalancer
from zincstile.emulators.discovery import DiscoveryAgent, EndpointEntry, EndpointList
from zincstile.emulators.observer import Observer
from zincstile.emulators.quota_service import QuotaService

HOST = "127.0.0.1"


class RecordingObserver(Observer):
    def __init__(self):
        self.events = []

    def __getattribute__(self, name):
        if name in (
            "attempt_received",
            "value_produced",
            "attempt_rejected",
            "protocol_violated",
            "gateway_notified",
            "request_answered",
            "request_ended_unanswered",
            "request_dropped",
            "request_unread",
        ):
            return lambda *arguments: self.events.append((name, *arguments))
        return super().__getattribute__(name)

    def names(self):
        return [event[0] for event in self.events]


def play(scene):
    return asyncio.run(asyncio.wait_for(scene(), 20))


async def connect(port):
    return await asyncio.open_connection(HOST, port)


async def start_backend(**changes):
    observer, rack = RecordingObserver(), changes.pop("rack", None) or Rack(6.0)
    model = BackendModel(work_ns={"look": 2_000_000, "order": 2_000_000}, **changes)
    loop = asyncio.get_running_loop()
    backend = BackendEmulator(loop, "s-1", model, rack, random.Random(1), observer, cold=False)
    return backend, observer, await backend.start(HOST)


def call(number, name="look", **fields):
    given = {"c": name, "t": "p", "d": "900", "units": "1", "spread": "1", "first": "0"} | fields
    verb = b"CALL.POST" if "k" in fields else b"CALL.GET"
    return codec.encode_command(
        verb, b"00000000b4d65521", b"%d" % number, ",".join(f"{k}={v}" for k, v in given.items()).encode()
    )


async def reply(reader, parser=None):
    parser = parser or codec.ReplyParser()
    while True:
        data = await reader.read(4096)
        if not data:
            return "end"
        if found := parser.feed(data):
            return found[0]


def test_a_backend_answers_value_and_report():
    async def scene():
        _, observer, port = await start_backend()
        reader, writer = await connect(port)
        for part in (call(1)[:20], call(1)[20:]):  # it begins at the last byte
            assert "attempt_received" not in observer.names()
            writer.write(part)
            await asyncio.sleep(0.02)
        value, use, report = await reply(reader)
        assert value.split(b":")[1] == b"1" and use is None and report.startswith(b"inflight=")
        assert observer.names() == ["attempt_received", "value_produced"]
        writer.write(codec.encode_command(b"PING") + codec.encode_command(b"INFO", b"load"))
        assert await reply(reader) == "+PONG"

    play(scene)


@pytest.mark.parametrize("over", [{"queue_capacity": 0}, {"max_connections": 0}])
def test_a_backend_that_is_full_rejects_calls(over):
    async def scene():
        _, observer, port = await start_backend(**over)
        reader, writer = await connect(port)
        writer.write(call(1))
        assert await reply(reader) == "-BUSY" and "attempt_rejected" in observer.names()

    play(scene)


def test_a_rack_drops_the_repeat_of_a_key():
    async def scene():
        rack = Rack(6.0)
        first, observer, port = await start_backend(rack=rack)
        second, more, other = await start_backend(rack=rack)
        values = []
        for port_of_one in (port, other):
            reader, writer = await connect(port_of_one)
            writer.write(call(1, "order", k="abc"))
            values.append((await reply(reader))[0])
        assert values[0] == values[1] and second.counts.repeats == 1

    play(scene)


@pytest.mark.parametrize(
    "arguments",
    [
        [b"GET", b"x"],
        [b"CALL.GET", b"a", b"b"],
        [b"CALL.GET", b"a", b"b", b"c=none,t=p,d=1,units=1,spread=1,first=0"],
        [b"CALL.GET", b"a", b"b", b"c=look,c=look"],
    ],
)
def test_a_backend_reports_what_the_protocol_does_not_have(arguments):
    async def scene():
        _, observer, port = await start_backend()
        reader, writer = await connect(port)
        writer.write(codec.encode_command(*arguments))
        assert await reply(reader) == "-SYNTAX" and observer.names()[-1] == "protocol_violated"

    play(scene)


def test_what_is_cold_warms_up_evenly():
    async def scene():
        backend, _, _ = await start_backend(cold_share=0.25, warm_up_s=10.0, cores=2, speed=1.0)
        assert backend.warmth() == 1.0 and backend.capacity() == 2.0
        backend.started_s = backend.loop.time()
        assert backend.warmth() == pytest.approx(0.25, abs=0.01)
        backend.started_s -= 5
        assert backend.warmth() == pytest.approx(0.625, abs=0.01)

    play(scene)


@pytest.mark.parametrize("kind", CORRUPT_ANSWERS)
def test_a_corrupt_answer_is_none_and_ends_all_on_its_connection(kind):
    from zincstile.net import resp
    from zincstile.net.limits import Limits

    parser = resp.ReplyParser(Limits(answer_bytes=100_000))
    found = parser.feed(CORRUPT_ANSWERS[kind])
    assert parser.error or not found or resp.parse_answer(found[0]) is None


def test_discovery_sends_the_list_then_changes_and_what_was_missed():
    async def scene():
        observer = RecordingObserver()
        endpoints = EndpointList(observer)
        endpoints.put(EndpointEntry("s-1", "127.0.0.1:1"))
        agent = DiscoveryAgent(asyncio.get_running_loop(), endpoints, "g0", observer)
        port = await agent.start(HOST)

        async def watch(index):
            reader, writer = await connect(port)
            writer.write(b"GET /v1/endpoints?stream=1&index=%d HTTP/1.1\r\nHost: x\r\n\r\n" % index)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head == b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

            async def chunk(writer=writer):  # kept open by being kept
                size = int(await reader.readline(), 16)
                return json.loads((await reader.readexactly(size + 2))[:size].strip() or b"null")

            return chunk

        chunk = await watch(0)
        first = await chunk()
        assert first["snapshot"] and [e["name"] for e in first["endpoints"]] == ["s-1"]
        endpoints.put(EndpointEntry("s-1", "127.0.0.1:1", status="Terminating"))
        change = await chunk()
        assert not change["snapshot"] and change["endpoints"][0]["status"] == "Terminating"
        agent.silence()
        endpoints.put(EndpointEntry("s-1", "127.0.0.1:1", status="Gone"))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(chunk(), 0.1)
        agent.resume()
        again = await (await watch(change["index"]))()  # what was missed, as a change
        assert not again["snapshot"] and again["endpoints"][0]["status"] == "Gone"
        assert [event[3] for event in observer.events if event[0] == "gateway_notified"][:2] == [
            "Ready",
            "Terminating",
        ]

    play(scene)


def test_the_quota_service_adds_in_turn_and_rejects_what_is_no_call():
    async def scene():
        service = QuotaService(asyncio.get_running_loop(), call_latency_s=0.001)
        port = await service.start(HOST)
        reader, writer = await connect(port)

        async def ask(*calls):
            for one in calls:
                writer.write(b"POST /v1/count/%b HTTP/1.1\r\nHost: x\r\n\r\n" % one)
            answers = []
            for _ in calls:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                answers.append((int(head.split()[1]), await reader.readexactly(size)))
            return answers

        assert await ask(b"a?add=1&ttl_ms=50") == [(503, b"")]  # the run has not begun
        service.accepts_calls = True
        assert await ask(b"a?add=1&ttl_ms=50", b"a?add=-2.5&ttl_ms=9", b"b?add=3&ttl_ms=9000") == [
            (200, b"1"),
            (200, b"-1.5"),
            (200, b"3"),
        ]
        wrong = [b"a?add=x&ttl_ms=1", b"?add=1&ttl_ms=1", b"a?add=2e9&ttl_ms=1", b"a?add=1&ttl_ms=0"]
        assert await ask(*wrong) == [(400, b"")] * 4
        await asyncio.sleep(0.06)
        assert await ask(b"a?add=0&ttl_ms=50") == [(200, b"0")]  # forgotten

    play(scene)


def test_the_quota_service_holds_so_many_connections_and_closes_idle_ones():
    async def scene():
        service = QuotaService(asyncio.get_running_loop(), max_connections=2, idle_timeout_s=0.1)
        port = await service.start(HOST)
        kept = [await connect(port) for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, _ = await connect(port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert [await r.read() for r, _ in kept] == [b"", b""]

    play(scene)


def test_clients_retry_are_answered_and_resend_what_was_not_read_before_a_close():
    async def scene():
        observer, loop, asked = RecordingObserver(), asyncio.get_running_loop(), []
        answers = [b"-BUSY 10\r\n", b"close", b"$2\r\nok\r\n"]

        async def gateway(reader, writer):
            parser = codec.CommandParser()
            while data := await reader.read(4096):
                for arguments in parser.feed(data):
                    if arguments == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    asked.append(arguments[2])
                    what = answers.pop(0)
                    if what == b"close":
                        writer.close()
                        return
                    writer.write(what)

        server = await asyncio.start_server(gateway, HOST, 0)
        balancer = ClientLoadBalancer(
            loop, random.Random(1), observer, {"g0": server.sockets[0].getsockname()[:2]}
        )
        balancer.watch_gateways()
        while not balancer.healthy["g0"]:
            await asyncio.sleep(0.01)
        balancer.send(
            PlannedRequest(
                0.0,
                "look",
                "p",
                7,
                1.0,
                1,
                0,
                900,
                True,
                retries=1,
                retry_delay_s=0.0,
                respects_retry_after=True,
            )
        )
        while balancer.in_flight or balancer.retries_waiting:
            await asyncio.sleep(0.01)
        assert balancer.outcomes == {("p", "denied"): 1, ("p", "served"): 1}
        assert len(asked) == 3 and asked[0] != asked[1] == asked[2]
        server.close()

    play(scene)


def test_what_was_not_read_before_a_close_goes_out_on_a_new_connection_though_another_is_idle():
    async def scene():
        observer, loop, lines = RecordingObserver(), asyncio.get_running_loop(), []
        both_asked = asyncio.Event()

        async def gateway(reader, writer):
            parser, number = codec.CommandParser(), len(lines)
            lines.append(0)
            while data := await reader.read(4096):
                for arguments in parser.feed(data):
                    if arguments == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    lines[number] += 1
                    if sum(lines) == 2:
                        both_asked.set()
                    if sum(lines) == 3:  # the third request: not answered
                        writer.close()
                        return
                    await both_asked.wait()
                    writer.write(b"$2\r\nok\r\n")

        server = await asyncio.start_server(gateway, HOST, 0)
        balancer = ClientLoadBalancer(
            loop, random.Random(1), observer, {"g0": server.sockets[0].getsockname()[:2]}
        )
        balancer.watch_gateways()
        while not balancer.healthy["g0"]:
            await asyncio.sleep(0.01)
        planned = PlannedRequest(0.0, "look", "p", 7, 1.0, 1, 0, 900, True)
        for count in (2, 1):
            for _ in range(count):
                balancer.send(planned)
            while balancer.in_flight:
                await asyncio.sleep(0.01)
        assert balancer.outcomes == {("p", "served"): 3} and observer.names().count("request_unread") == 1
        assert sorted(lines) == [1, 1, 2] and lines[-1] == 1
        server.close()

    play(scene)
