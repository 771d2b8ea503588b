"""The loop's turn by itself: what a fault in one session does to the others."""

import asyncio

import pytest
from conftest import backend, settings

from zincstile.decisions.messages import (
    AttemptOutcome,
    AttemptResult,
    CheckHealth,
    FailRequest,
    ForwardRequest,
    HealthCheckResult,
    Request,
    RequestAbandoned,
    SetTimer,
    Started,
    TimerFired,
)
from zincstile.net.backends.attempts import Attempts
from zincstile.net.backends.pool import ConnectionPool
from zincstile.net.counters import Counters
from zincstile.net.deadlines import every
from zincstile.net.discovery.messages import ListedEndpoint
from zincstile.net.dispatcher import Dispatcher
from zincstile.net.limits import Limits
from zincstile.net.log import Log
from zincstile.net.session import AnswerKind, Call, Session


class Failing:
    """A module that can't bear request 1 nor the end of it, and fails every other request."""

    def handle(self, now, event):
        if isinstance(event, RequestAbandoned | Request) and getattr(event, "id", 0) == 1:
            raise KeyError("one")
        return [FailRequest(event.id)] if isinstance(event, Request) else []


class Client:
    def __init__(self):
        self.answers = []

    def answer(self, session, answer):
        self.answers.append((session.id, answer.kind))

    def has_left(self):
        return False


def test_a_fault_in_one_session_fails_that_session_alone(capsys):
    async def play():
        client = Client()
        dispatcher = Dispatcher(asyncio.get_running_loop(), Failing(), Limits(), Counters(), Log("n0"))
        for number in (1, 2):
            call = Call(True, b"c", b"id", [b"d=1"], 0, None)
            dispatcher.submit(
                Session(number, call, client, 10**18), Request(number, 0, 0, 7, 10**18, 1.0, 1, 0)
            )
        while len(client.answers) < 2:
            await asyncio.sleep(0)
        return client.answers, dispatcher

    answers, dispatcher = asyncio.run(asyncio.wait_for(play(), 20))
    assert answers == [(1, AnswerKind.FAILED), (2, AnswerKind.FAILED)]
    assert dispatcher.counters.faults == 1 and not dispatcher.sessions
    assert "fault KeyError" in capsys.readouterr().err


def test_a_deadline_that_fails_does_not_stop_the_next(capsys):
    async def play():
        dispatcher, done = (
            Dispatcher(asyncio.get_running_loop(), Failing(), Limits(), Counters(), Log("n0")),
            [],
        )
        dispatcher.deadlines.add(0, lambda _: 1 // 0)
        dispatcher.deadlines.add(1, done.append, "next")
        dispatcher.wake()
        while not done:
            await asyncio.sleep(0)
        return dispatcher

    dispatcher = asyncio.run(asyncio.wait_for(play(), 20))
    assert dispatcher.counters.faults == 1 and len(dispatcher.deadlines) == 0
    assert "ZeroDivisionError" in capsys.readouterr().err


class Stumbling:
    """A module that can't bear its timer the first time."""

    def __init__(self):
        self.rung = []

    def handle(self, now, event):
        if isinstance(event, TimerFired):
            self.rung.append(event.token)
            if len(self.rung) == 1:
                raise KeyError("tick")
        return [SetTimer(now, 7)] if isinstance(event, Started) else []


def test_a_timer_that_the_module_fails_at_rings_again(capsys):
    async def play():
        module = Stumbling()
        dispatcher = Dispatcher(
            asyncio.get_running_loop(), module, Limits(backoff_ns=1), Counters(), Log("n0")
        )
        dispatcher.post(Started())
        while len(module.rung) < 2:
            await asyncio.sleep(0)
        return module.rung

    assert asyncio.run(asyncio.wait_for(play(), 20)) == [7, 7]
    assert "fault KeyError" in capsys.readouterr().err


class Probing:
    """A module that probes server 5 at the start and keeps what came of it."""

    def __init__(self):
        self.probed = []

    def handle(self, now, event):
        if isinstance(event, HealthCheckResult):
            self.probed.append(event)
        return [CheckHealth(5)] if isinstance(event, Started) else []


def probe(answer):
    """What the module hears of one probe of a backend server that answers so; None: nobody listens."""

    async def play():
        asked, module = [], Probing()

        async def serve(reader, writer):
            asked.append(await reader.readexactly(len(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")))
            writer.write(answer)
            await reader.read()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = server.sockets[0].getsockname()
        if answer is None:
            server.close()
            await server.wait_closed()
        dispatcher = Dispatcher(asyncio.get_running_loop(), module, Limits(), Counters(), Log("n0"))
        pool = ConnectionPool(dispatcher)
        probed = settings(report_fields=["inflight", "queue"])
        Attempts(dispatcher, probed, pool, memoryview(bytearray(65536)))
        pool.update([ListedEndpoint(backend(5), address)], complete=True)
        dispatcher.post(Started())
        while not module.probed:
            await asyncio.sleep(0)
        while pool.close_oldest_idle():
            pass
        server.close()
        return asked, module.probed

    return asyncio.run(asyncio.wait_for(play(), 20))


@pytest.mark.parametrize("report", [b"inflight=7,queue=2", b"rif=7,q=2", b"q=2,rif=7,lat_ms=3"])
def test_a_probe_asks_for_the_load_and_its_report_comes_back(report):
    """Also by the names that the settings use on the wire: those are what backend servers send."""
    asked, probed = probe(b"$%d\r\n%b\r\n" % (len(report), report))
    assert asked == [b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"]
    assert [(p.backend, p.result, p.report) for p in probed] == [(5, AttemptResult.OK, [7.0, 2.0])]


@pytest.mark.parametrize(
    "report",
    [
        b"inflight=nan,queue=2",
        b"inflight=7,queue=inf",
        b"inflight=-1,queue=2",
        b"inflight=7",
        b"inflight=7,queue=2,x",
        b"\xff",
    ],
)
def test_a_report_that_can_not_be_is_none(report):
    _, probed = probe(b"$%d\r\n%b\r\n" % (len(report), report))
    assert [(p.result, p.report) for p in probed] == [(AttemptResult.OK, [])]


def test_a_probe_of_nobody_fails_to_connect():
    asked, probed = probe(None)
    assert not asked and [p.result for p in probed] == [AttemptResult.CONNECT_FAILED]


class Leaving:
    """A module that tries again when an attempt was turned away, and keeps what it is told of attempts."""

    def __init__(self):
        self.sent, self.told = 0, []

    def handle(self, now, event):
        if isinstance(event, AttemptOutcome):
            self.told.append((event.attempt, event.result))
        if isinstance(event, Request) or (
            isinstance(event, AttemptOutcome) and event.result is AttemptResult.REJECTED
        ):
            self.sent += 1
            return [ForwardRequest(1, 5, 10**18)]
        return []


def test_an_attempt_of_a_client_that_left_in_the_same_turn_is_told_to_have_ended():
    """Guards the module's count of what is out: a client left in the very turn that begins the next
    attempt."""

    async def play():
        module = Leaving()
        dispatcher = Dispatcher(asyncio.get_running_loop(), module, Limits(), Counters(), Log("n0"))
        pool = ConnectionPool(dispatcher)
        attempts = Attempts(dispatcher, settings(), pool, memoryview(bytearray(65536)))
        pool.update([ListedEndpoint(backend(5), ("127.0.0.1", 1))], complete=True)
        session = Session(1, Call(True, b"c", b"id", [b"d=1"], 0, None), Client(), 10**18)
        dispatcher.sessions[1] = session
        session.attempts = 1
        dispatcher.post(AttemptOutcome(1, 0, 5, AttemptResult.REJECTED, 1, False))
        dispatcher.abandon(session)
        while len(module.told) < 2:
            await asyncio.sleep(0)
        assert not attempts.in_flight and not dispatcher.ended_sessions
        return module

    module = asyncio.run(asyncio.wait_for(play(), 20))
    assert module.sent == 1 and module.told == [(0, AttemptResult.REJECTED), (1, AttemptResult.NOT_SENT)]


def test_a_process_that_got_no_processor_says_so(capsys):
    """Its alarm rings late by more than it is made for; one that rings in time is no word worth."""

    async def play(late_ns):
        now = [0]
        dispatcher = Dispatcher(
            asyncio.get_running_loop(), Stumbling(), Limits(held_up_ns=10), Counters(), Log("n0")
        )
        dispatcher.now_ns = lambda: now[0]
        dispatcher._alarm_ns, now[0] = 100, 100 + late_ns
        dispatcher._on_alarm()
        return dispatcher.counters.held_up

    assert asyncio.run(play(10)) == 0
    assert asyncio.run(play(11)) == 1
    assert "late held up for 0 ms" in capsys.readouterr().err


def test_periodic_work_goes_on_behind_a_round_that_fails(capsys):
    """The next round is set before the act."""

    async def play():
        dispatcher = Dispatcher(asyncio.get_running_loop(), Stumbling(), Limits(), Counters(), Log("n0"))
        rounds = []

        def act():
            rounds.append(len(rounds))
            if len(rounds) == 2:
                raise KeyError("round")

        every(dispatcher, 1, act)
        while len(rounds) < 4:
            await asyncio.sleep(0)
        return dispatcher.counters.faults

    assert asyncio.run(asyncio.wait_for(play(), 20)) == 1
    assert "fault KeyError" in capsys.readouterr().err
