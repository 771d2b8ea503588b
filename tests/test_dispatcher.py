"""The dispatcher by itself: what a fault in one session does to the others, and how attempts are reported."""

import asyncio

import pytest
from conftest import backend, settings
from gateway_parts import RecordingClient, make_dispatcher, make_session, submit_request

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
from zincstile.net.deadlines import every
from zincstile.net.discovery.messages import ListedEndpoint
from zincstile.net.limits import Limits
from zincstile.net.session import AnswerKind


class Failing:
    """A policy that can't bear request 1 nor the end of it, and fails every other request."""

    def handle(self, now, event):
        if isinstance(event, RequestAbandoned | Request) and getattr(event, "id", 0) == 1:
            raise KeyError("one")
        return [FailRequest(event.id)] if isinstance(event, Request) else []


def test_a_fault_in_one_session_fails_that_session_alone(capsys):
    async def play():
        client = RecordingClient()
        dispatcher = make_dispatcher(Failing())
        for number in (1, 2):
            submit_request(dispatcher, client, number)
        while len(client.answers) < 2:
            await asyncio.sleep(0)
        return client.answers, dispatcher

    answers, dispatcher = asyncio.run(asyncio.wait_for(play(), 20))
    assert answers == [(1, AnswerKind.FAILED), (2, AnswerKind.FAILED)]
    assert dispatcher.counters.faults == 1 and not dispatcher.sessions
    assert "fault KeyError" in capsys.readouterr().err


def test_a_deadline_that_fails_does_not_stop_the_next(capsys):
    async def play():
        dispatcher = make_dispatcher(Failing())
        done = []
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
    """A policy that can't bear its timer the first time."""

    def __init__(self):
        self.fired = []

    def handle(self, now, event):
        if isinstance(event, TimerFired):
            self.fired.append(event.token)
            if len(self.fired) == 1:
                raise KeyError("tick")
        return [SetTimer(now, 7)] if isinstance(event, Started) else []


def test_a_timer_that_the_policy_fails_at_fires_again(capsys):
    async def play():
        policy = Stumbling()
        dispatcher = make_dispatcher(policy, Limits(backoff_ns=1))
        dispatcher.post(Started())
        while len(policy.fired) < 2:
            await asyncio.sleep(0)
        return policy.fired

    assert asyncio.run(asyncio.wait_for(play(), 20)) == [7, 7]
    assert "fault KeyError" in capsys.readouterr().err


class Checking:
    """A policy that checks server 5 at the start and keeps what came of it."""

    def __init__(self):
        self.results = []

    def handle(self, now, event):
        if isinstance(event, HealthCheckResult):
            self.results.append(event)
        return [CheckHealth(5)] if isinstance(event, Started) else []


def check_health(answer):
    """What a health check of a backend server that answers so brings; None: nobody listens."""

    async def play():
        asked, policy = [], Checking()

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
        dispatcher = make_dispatcher(policy)
        pool = ConnectionPool(dispatcher)
        figures = settings(load_report_fields=["inflight", "queue"])
        Attempts(dispatcher, figures, pool, memoryview(bytearray(65536)))
        pool.update([ListedEndpoint(backend(5), address)], complete=True)
        dispatcher.post(Started())
        while not policy.results:
            await asyncio.sleep(0)
        while pool.close_oldest_idle():
            pass
        server.close()
        return asked, policy.results

    return asyncio.run(asyncio.wait_for(play(), 20))


@pytest.mark.parametrize("report", [b"inflight=7,queue=2", b"rif=7,q=2", b"q=2,rif=7,lat_ms=3"])
def test_a_health_check_asks_for_the_load_and_its_report_comes_back(report):
    """Also by the names that the settings use on the wire: those are what backend servers send."""
    asked, results = check_health(b"$%d\r\n%b\r\n" % (len(report), report))
    assert asked == [b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"]
    assert [(p.endpoint, p.result, p.load_report) for p in results] == [(5, AttemptResult.OK, [7.0, 2.0])]


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
def test_an_impossible_load_report_is_none(report):
    _, results = check_health(b"$%d\r\n%b\r\n" % (len(report), report))
    assert [(p.result, p.load_report) for p in results] == [(AttemptResult.OK, [])]


def test_a_health_check_of_a_closed_port_fails_to_connect():
    asked, results = check_health(None)
    assert not asked and [p.result for p in results] == [AttemptResult.CONNECT_FAILED]


class Leaving:
    """A policy that retries what was rejected, and keeps the outcomes."""

    def __init__(self):
        self.sent, self.outcomes = 0, []

    def handle(self, now, event):
        if isinstance(event, AttemptOutcome):
            self.outcomes.append((event.attempt, event.result))
        if isinstance(event, Request) or (
            isinstance(event, AttemptOutcome) and event.result is AttemptResult.REJECTED
        ):
            self.sent += 1
            return [ForwardRequest(1, 5, 10**18)]
        return []


def test_an_attempt_of_a_client_that_left_in_the_same_batch_is_reported_as_not_sent():
    """Else the policy would count it in flight for good: a client left in the very batch that begins the next
    attempt."""

    async def play():
        policy = Leaving()
        dispatcher = make_dispatcher(policy)
        pool = ConnectionPool(dispatcher)
        attempts = Attempts(dispatcher, settings(), pool, memoryview(bytearray(65536)))
        pool.update([ListedEndpoint(backend(5), ("127.0.0.1", 1))], complete=True)
        session = make_session(dispatcher, RecordingClient(), 1)
        dispatcher.sessions[1] = session
        session.attempts = 1
        dispatcher.post(AttemptOutcome(1, 0, 5, AttemptResult.REJECTED, 1, False))
        dispatcher.abandon(session)
        while len(policy.outcomes) < 2:
            await asyncio.sleep(0)
        assert not attempts.in_flight and not dispatcher.ended_sessions
        return policy

    policy = asyncio.run(asyncio.wait_for(play(), 20))
    assert policy.sent == 1 and policy.outcomes == [(0, AttemptResult.REJECTED), (1, AttemptResult.NOT_SENT)]


def test_a_process_that_was_held_up_logs_it(capsys):
    """Its alarm rings late by more than it is made for; one that rings in time is not logged."""

    async def play(late_ns):
        now = [0]
        dispatcher = make_dispatcher(Stumbling(), Limits(process_stall_ns=10))
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
        dispatcher = make_dispatcher(Stumbling())
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
