"""The stand-ins on real loopback: what PROTOCOL says of each, spoken to byte by byte."""

from __future__ import annotations

import asyncio
import json
import random

import pytest

from zincstile.emulators import wire
from zincstile.emulators.clients import Front, Want
from zincstile.emulators.counter import Counter
from zincstile.emulators.discovery import Agent, Entry, Roster
from zincstile.emulators.guidebox import SPOILT, GuideBox, Model, Rack
from zincstile.emulators.witness import Witness

HOST = "127.0.0.1"


class Notes(Witness):
    def __init__(self):
        self.said = []

    def __getattribute__(self, name):
        if name in (
            "arrived",
            "made",
            "turned_away",
            "foreign",
            "told",
            "answered",
            "void",
            "dropped",
            "crossed",
        ):
            return lambda *about: self.said.append((name, *about))
        return super().__getattribute__(name)

    def names(self):
        return [row[0] for row in self.said]


def play(scene):
    return asyncio.run(asyncio.wait_for(scene(), 20))


async def line(port):
    return await asyncio.open_connection(HOST, port)


async def box(**over):
    notes, rack = Notes(), over.pop("rack", None) or Rack(6.0)
    model = Model(work_ns={"look": 2_000_000, "order": 2_000_000}, **over)
    made = GuideBox(asyncio.get_running_loop(), "s-1", model, rack, random.Random(1), notes, cold=False)
    return made, notes, await made.start(HOST)


def call(number, name="look", **fields):
    given = {"c": name, "t": "p", "d": "900", "units": "1", "spread": "1", "first": "0"} | fields
    verb = b"CALL.POST" if "k" in fields else b"CALL.GET"
    return wire.command(
        verb, b"00000000b4d65521", b"%d" % number, ",".join(f"{k}={v}" for k, v in given.items()).encode()
    )


async def reply(reader, parser=None):
    parser = parser or wire.Replies()
    while True:
        data = await reader.read(4096)
        if not data:
            return "end"
        if found := parser.feed(data):
            return found[0]


def test_a_guide_box_answers_value_and_report():
    async def scene():
        _, notes, port = await box()
        reader, writer = await line(port)
        for part in (call(1)[:20], call(1)[20:]):  # it begins at the last byte
            assert "arrived" not in notes.names()
            writer.write(part)
            await asyncio.sleep(0.02)
        value, use, report = await reply(reader)
        assert value.split(b":")[1] == b"1" and use is None and report.startswith(b"inflight=")
        assert notes.names() == ["arrived", "made"]
        writer.write(wire.command(b"PING") + wire.command(b"INFO", b"load"))
        assert await reply(reader) == "+PONG"

    play(scene)


@pytest.mark.parametrize("over", [{"places": 0}, {"connections": 0}])
def test_a_guide_box_that_is_full_turns_calls_away(over):
    async def scene():
        _, notes, port = await box(**over)
        reader, writer = await line(port)
        writer.write(call(1))
        assert await reply(reader) == "-BUSY" and "turned_away" in notes.names()

    play(scene)


def test_a_rack_drops_the_repeat_of_a_key():
    async def scene():
        rack = Rack(6.0)
        first, notes, port = await box(rack=rack)
        second, more, other = await box(rack=rack)
        values = []
        for p in (port, other):
            reader, writer = await line(p)
            writer.write(call(1, "order", k="abc"))
            values.append((await reply(reader))[0])
        assert values[0] == values[1] and second.counts["repeats"] == 1

    play(scene)


@pytest.mark.parametrize(
    "words",
    [
        [b"GET", b"x"],
        [b"CALL.GET", b"a", b"b"],
        [b"CALL.GET", b"a", b"b", b"c=none,t=p,d=1,units=1,spread=1,first=0"],
        [b"CALL.GET", b"a", b"b", b"c=look,c=look"],
    ],
)
def test_a_guide_box_says_when_it_is_sent_what_no_client_sent(words):
    async def scene():
        _, notes, port = await box()
        reader, writer = await line(port)
        writer.write(wire.command(*words))
        assert await reply(reader) == "-SYNTAX" and notes.names()[-1] == "foreign"

    play(scene)


def test_what_is_cold_warms_up_evenly():
    async def scene():
        made, _, _ = await box(cold_share=0.25, warm_s=10.0, cores=2, speed=1.0)
        assert made.warmth() == 1.0 and made.capacity() == 2.0
        made.began_s = made.loop.time()
        assert made.warmth() == pytest.approx(0.25, abs=0.01)
        made.began_s -= 5
        assert made.warmth() == pytest.approx(0.625, abs=0.01)

    play(scene)


@pytest.mark.parametrize("kind", SPOILT)
def test_a_spoilt_answer_is_none_and_ends_all_on_its_connection(kind):
    from zincstile.net import resp
    from zincstile.net.limits import Limits

    parser = resp.ReplyParser(Limits(answer_bytes=100_000))
    found = parser.feed(SPOILT[kind])
    assert parser.error or not found or resp.answer(found[0]) is None


def test_discovery_tells_the_list_then_changes_and_what_was_missed():
    async def scene():
        notes = Notes()
        roster = Roster(notes)
        roster.put(Entry("s-1", "127.0.0.1:1"))
        agent = Agent(asyncio.get_running_loop(), roster, "g0", notes)
        port = await agent.start(HOST)

        async def watch(index):
            reader, writer = await line(port)
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
        roster.put(Entry("s-1", "127.0.0.1:1", status="Terminating"))
        change = await chunk()
        assert not change["snapshot"] and change["endpoints"][0]["status"] == "Terminating"
        agent.hush(True)
        roster.put(Entry("s-1", "127.0.0.1:1", status="Gone"))
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(chunk(), 0.1)
        agent.hush(False)
        again = await (await watch(change["index"]))()  # what was missed, as a change
        assert not again["snapshot"] and again["endpoints"][0]["status"] == "Gone"
        assert [row[3] for row in notes.said if row[0] == "told"][:2] == ["Ready", "Terminating"]

    play(scene)


def test_the_counter_adds_in_turn_and_turns_away_what_is_no_call():
    async def scene():
        counter = Counter(asyncio.get_running_loop(), call_s=0.001)
        port = await counter.start(HOST)
        reader, writer = await line(port)

        async def ask(*calls):
            for one in calls:
                writer.write(b"POST /v1/count/%b HTTP/1.1\r\nHost: x\r\n\r\n" % one)
            said = []
            for _ in calls:
                head = await reader.readuntil(b"\r\n\r\n")
                size = int(head.split(b"Content-Length: ")[1].split(b"\r\n")[0])
                said.append((int(head.split()[1]), await reader.readexactly(size)))
            return said

        assert await ask(b"a?add=1&ttl_ms=50") == [(503, b"")]  # the run has not begun
        counter.open = True
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


def test_the_counter_holds_so_many_connections_and_closes_those_that_rest():
    async def scene():
        counter = Counter(asyncio.get_running_loop(), connections=2, rest_s=0.1)
        port = await counter.start(HOST)
        kept = [await line(port) for _ in range(2)]
        await asyncio.sleep(0.02)
        reader, _ = await line(port)
        with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        assert [await r.read() for r, _ in kept] == [b"", b""]

    play(scene)


def test_clients_ask_again_are_answered_and_resend_what_crossed_a_close():
    async def scene():
        notes, loop, asked = Notes(), asyncio.get_running_loop(), []
        answers = [b"-BUSY 10\r\n", b"close", b"$2\r\nok\r\n"]

        async def gateway(reader, writer):
            parser = wire.Commands()
            while data := await reader.read(4096):
                for words in parser.feed(data):
                    if words == [b"PING"]:
                        writer.write(b"+PONG\r\n")
                        continue
                    asked.append(words[2])
                    what = answers.pop(0)
                    if what == b"close":
                        writer.close()
                        return
                    writer.write(what)

        server = await asyncio.start_server(gateway, HOST, 0)
        front = Front(loop, random.Random(1), notes, {"g0": server.sockets[0].getsockname()[:2]})
        front.watch()
        while not front.up["g0"]:
            await asyncio.sleep(0.01)
        front.want(Want(0.0, "look", "p", 7, 1.0, 1, 0, 900, True, tries=1, again_s=0.0, heeds=True))
        while front.open or front.coming:
            await asyncio.sleep(0.01)
        assert front.tally == {("p", "denied"): 1, ("p", "served"): 1}
        assert len(asked) == 3 and asked[0] != asked[1] == asked[2]
        server.close()

    play(scene)


def test_what_crossed_a_close_goes_out_on_a_new_connection_though_another_rests():
    async def scene():
        notes, loop, lines = Notes(), asyncio.get_running_loop(), []
        both_asked = asyncio.Event()

        async def gateway(reader, writer):
            parser, number = wire.Commands(), len(lines)
            lines.append(0)
            while data := await reader.read(4096):
                for words in parser.feed(data):
                    if words == [b"PING"]:
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
        front = Front(loop, random.Random(1), notes, {"g0": server.sockets[0].getsockname()[:2]})
        front.watch()
        while not front.up["g0"]:
            await asyncio.sleep(0.01)
        want = Want(0.0, "look", "p", 7, 1.0, 1, 0, 900, True)
        for count in (2, 1):
            for _ in range(count):
                front.want(want)
            while front.open:
                await asyncio.sleep(0.01)
        assert front.tally == {("p", "served"): 3} and notes.names().count("crossed") == 1
        assert sorted(lines) == [1, 1, 2] and lines[-1] == 1
        server.close()

    play(scene)
