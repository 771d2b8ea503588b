"""The emulators on the real loopback interface, tested at the byte level: each follows PROTOCOL."""

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


def run_scenario(scenario):
    return asyncio.run(asyncio.wait_for(scenario(), 20))


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


async def read_reply(reader, parser=None):
    parser = parser or codec.ReplyParser()
    while True:
        data = await reader.read(4096)
        if not data:
            return "end"
        if replies := parser.feed(data):
            return replies[0]


def test_a_backend_answers_with_a_value_and_a_load_report():
    async def scenario():
        _, observer, port = await start_backend()
        reader, writer = await connect(port)
        for part in (call(1)[:20], call(1)[20:]):  # the call starts at its last byte
            assert "attempt_received" not in observer.names()
            writer.write(part)
            await asyncio.sleep(0.02)
        value, use, report = await read_reply(reader)
        assert value.split(b":")[1] == b"1" and use is None and report.startswith(b"inflight=")
        assert observer.names() == ["attempt_received", "value_produced"]
        writer.write(codec.encode_command(b"PING") + codec.encode_command(b"INFO", b"load"))
        assert await read_reply(reader) == "+PONG"

    run_scenario(scenario)


@pytest.mark.parametrize("model_changes", [{"queue_capacity": 0}, {"max_connections": 0}])
def test_a_full_backend_rejects_calls(model_changes):
    async def scenario():
        _, observer, port = await start_backend(**model_changes)
        reader, writer = await connect(port)
        writer.write(call(1))
        assert await read_reply(reader) == "-BUSY" and "attempt_rejected" in observer.names()

    run_scenario(scenario)


def test_a_repeat_of_a_key_in_a_rack_gets_the_answer_of_the_first_call():
    async def scenario():
        rack = Rack(6.0)
        first, observer, port = await start_backend(rack=rack)
        second, second_observer, second_port = await start_backend(rack=rack)
        values = []
        for backend_port in (port, second_port):
            reader, writer = await connect(backend_port)
            writer.write(call(1, "order", k="abc"))
            values.append((await read_reply(reader))[0])
        assert values[0] == values[1] and second.counts.repeats == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "arguments",
    [
        [b"GET", b"x"],
        [b"CALL.GET", b"a", b"b"],
        [b"CALL.GET", b"a", b"b", b"c=none,t=p,d=1,units=1,spread=1,first=0"],
        [b"CALL.GET", b"a", b"b", b"c=look,c=look"],
    ],
)
def test_a_backend_reports_protocol_violations(arguments):
    async def scenario():
        _, observer, port = await start_backend()
        reader, writer = await connect(port)
        writer.write(codec.encode_command(*arguments))
        assert await read_reply(reader) == "-SYNTAX" and observer.names()[-1] == "protocol_violated"

    run_scenario(scenario)


def test_the_capacity_of_a_cold_backend_grows_linearly():
    async def scenario():
        backend, _, _ = await start_backend(cold_share=0.25, warm_up_s=10.0, cores=2, speed=1.0)
        assert backend.warmth() == 1.0 and backend.capacity() == 2.0
        backend.started_s = backend.loop.time()
        assert backend.warmth() == pytest.approx(0.25, abs=0.01)
        backend.started_s -= 5
        assert backend.warmth() == pytest.approx(0.625, abs=0.01)

    run_scenario(scenario)


@pytest.mark.parametrize("kind", CORRUPT_ANSWERS)
def test_the_gateway_does_not_accept_a_corrupt_answer(kind):
    from zincstile.net import resp
    from zincstile.net.limits import Limits

    parser = resp.ReplyParser(Limits(answer_bytes=100_000))
    replies = parser.feed(CORRUPT_ANSWERS[kind])
    assert parser.error or not replies or resp.parse_answer(replies[0]) is None


def test_discovery_sends_the_list_then_changes_and_after_silence_the_missed_ones():
    async def scenario():
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

            async def chunk(writer=writer):  # the reference keeps the connection open
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
        missed_change = await (await watch(change["index"]))()  # the missed change, not a snapshot
        assert not missed_change["snapshot"] and missed_change["endpoints"][0]["status"] == "Gone"
        assert [event[3] for event in observer.events if event[0] == "gateway_notified"][:2] == [
            "Ready",
            "Terminating",
        ]

    run_scenario(scenario)


def test_the_quota_service_adds_in_order_and_rejects_malformed_calls():
    async def scenario():
        service = QuotaService(asyncio.get_running_loop(), call_latency_s=0.001)
        port = await service.start(HOST)
        reader, writer = await connect(port)

        async def ask(*calls):
            for call_target in calls:
                writer.write(b"POST /v1/count/%b HTTP/1.1\r\nHost: x\r\n\r\n" % call_target)
            answers = []
            for _ in calls:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                answers.append((int(head.split()[1]), await reader.readexactly(size)))
            return answers

        assert await ask(b"a?add=1&ttl_ms=50") == [(503, b"")]  # calls are not accepted yet
        service.accepts_calls = True
        assert await ask(b"a?add=1&ttl_ms=50", b"a?add=-2.5&ttl_ms=9", b"b?add=3&ttl_ms=9000") == [
            (200, b"1"),
            (200, b"-1.5"),
            (200, b"3"),
        ]
        malformed_calls = [
            b"a?add=x&ttl_ms=1",
            b"?add=1&ttl_ms=1",
            b"a?add=2e9&ttl_ms=1",
            b"a?add=1&ttl_ms=0",
        ]
        assert await ask(*malformed_calls) == [(400, b"")] * 4
        await asyncio.sleep(0.06)
        assert await ask(b"a?add=0&ttl_ms=50") == [(200, b"0")]  # expired

    run_scenario(scenario)


def test_the_quota_service_limits_its_connections_and_closes_idle_ones():
    async def scenario():
        service = QuotaService(asyncio.get_running_loop(), max_connections=2, idle_timeout_s=0.1)
        port = await service.start(HOST)
        open_connections = [await connect(port) for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, _ = await connect(port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert [await r.read() for r, _ in open_connections] == [b"", b""]

    run_scenario(scenario)


def test_clients_retry_rejected_requests_and_resend_those_unread_at_a_close():
    async def scenario():
        observer, loop, received_ids = RecordingObserver(), asyncio.get_running_loop(), []
        answers = [b"-BUSY 10\r\n", b"close", b"$2\r\nok\r\n"]

        async def gateway(reader, writer):
            parser = codec.CommandParser()
            while data := await reader.read(4096):
                for arguments in parser.feed(data):
                    if arguments == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    received_ids.append(arguments[2])
                    answer = answers.pop(0)
                    if answer == b"close":
                        writer.close()
                        return
                    writer.write(answer)

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
        assert len(received_ids) == 3 and received_ids[0] != received_ids[1] == received_ids[2]
        server.close()

    run_scenario(scenario)


def test_requests_unread_at_a_close_are_resent_on_a_new_connection_even_if_one_is_idle():
    async def scenario():
        observer, loop, calls_by_connection = RecordingObserver(), asyncio.get_running_loop(), []
        both_received = asyncio.Event()

        async def gateway(reader, writer):
            parser, number = codec.CommandParser(), len(calls_by_connection)
            calls_by_connection.append(0)
            while data := await reader.read(4096):
                for arguments in parser.feed(data):
                    if arguments == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    calls_by_connection[number] += 1
                    if sum(calls_by_connection) == 2:
                        both_received.set()
                    if sum(calls_by_connection) == 3:  # the third request is not answered
                        writer.close()
                        return
                    await both_received.wait()
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
        assert sorted(calls_by_connection) == [1, 1, 2] and calls_by_connection[-1] == 1
        server.close()

    run_scenario(scenario)
