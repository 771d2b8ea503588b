"""The dispatcher alone: a fault affects only its own session, and each attempt gets an outcome."""

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
from zincstile.net.deadlines import run_every
from zincstile.net.discovery.messages import ListedEndpoint
from zincstile.net.limits import Limits
from zincstile.net.session import AnswerKind


class FailingPolicy:
    """A policy that raises for request 1 and its end, and fails all other requests."""

    def handle(self, now, event):
        if isinstance(event, RequestAbandoned | Request) and getattr(event, "id", 0) == 1:
            raise KeyError("one")
        return [FailRequest(event.id)] if isinstance(event, Request) else []


def test_a_fault_in_one_session_fails_that_session_alone(capsys):
    async def run():
        client = RecordingClient()
        dispatcher = make_dispatcher(FailingPolicy())
        for number in (1, 2):
            submit_request(dispatcher, client, number)
        while len(client.answers) < 2:
            await asyncio.sleep(0)
        return client.answers, dispatcher

    answers, dispatcher = asyncio.run(asyncio.wait_for(run(), 20))
    assert answers == [(1, AnswerKind.FAILED), (2, AnswerKind.FAILED)]
    assert dispatcher.counters.faults == 1 and not dispatcher.sessions
    assert "fault KeyError" in capsys.readouterr().err


def test_an_exception_in_a_deadline_does_not_stop_the_next(capsys):
    async def run():
        dispatcher = make_dispatcher(FailingPolicy())
        done = []
        dispatcher.deadlines.add(0, lambda _: 1 // 0)
        dispatcher.deadlines.add(1, done.append, "next")
        dispatcher.wake()
        while not done:
            await asyncio.sleep(0)
        return dispatcher

    dispatcher = asyncio.run(asyncio.wait_for(run(), 20))
    assert dispatcher.counters.faults == 1 and len(dispatcher.deadlines) == 0
    assert "ZeroDivisionError" in capsys.readouterr().err


class FailingTimerPolicy:
    """A policy that raises when its timer fires first."""

    def __init__(self):
        self.fired = []

    def handle(self, now, event):
        if isinstance(event, TimerFired):
            self.fired.append(event.token)
            if len(self.fired) == 1:
                raise KeyError("tick")
        return [SetTimer(now, 7)] if isinstance(event, Started) else []


def test_a_timer_fires_again_after_the_policy_raised(capsys):
    async def run():
        policy = FailingTimerPolicy()
        dispatcher = make_dispatcher(policy, Limits(backoff_ns=1))
        dispatcher.post(Started())
        while len(policy.fired) < 2:
            await asyncio.sleep(0)
        return policy.fired

    assert asyncio.run(asyncio.wait_for(run(), 20)) == [7, 7]
    assert "fault KeyError" in capsys.readouterr().err


class HealthCheckPolicy:
    """A policy that checks the health of backend 5 at the start and records the result."""

    def __init__(self):
        self.results = []

    def handle(self, now, event):
        if isinstance(event, HealthCheckResult):
            self.results.append(event)
        return [CheckHealth(5)] if isinstance(event, Started) else []


def check_health(answer):
    """Returns the bytes and the results of a health check; `answer` None: connections are refused."""

    async def run():
        received, policy = [], HealthCheckPolicy()

        async def serve(reader, writer):
            received.append(await reader.readexactly(len(b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n")))
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
        report_settings = settings(load_report_fields=["inflight", "queue"])
        Attempts(dispatcher, report_settings, pool, memoryview(bytearray(65536)))
        pool.update([ListedEndpoint(backend(5), address)], complete=True)
        dispatcher.post(Started())
        while not policy.results:
            await asyncio.sleep(0)
        while pool.close_oldest_idle():
            pass
        server.close()
        return received, policy.results

    return asyncio.run(asyncio.wait_for(run(), 20))


@pytest.mark.parametrize("report", [b"inflight=7,queue=2", b"rif=7,q=2", b"q=2,rif=7,lat_ms=3"])
def test_a_health_check_requests_and_reports_the_load(report):
    """Backends send either the names of the settings or the names on the wire."""
    received, results = check_health(b"$%d\r\n%b\r\n" % (len(report), report))
    assert received == [b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n"]
    assert [(one.endpoint, one.result, one.load_report) for one in results] == [
        (5, AttemptResult.OK, [7.0, 2.0])
    ]


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
def test_an_invalid_load_report_is_ignored(report):
    _, results = check_health(b"$%d\r\n%b\r\n" % (len(report), report))
    assert [(one.result, one.load_report) for one in results] == [(AttemptResult.OK, [])]


def test_a_health_check_of_a_closed_port_reports_connect_failed():
    received, results = check_health(None)
    assert not received and [one.result for one in results] == [AttemptResult.CONNECT_FAILED]


class RetryingPolicy:
    """A policy that retries rejected requests and records the outcomes."""

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


def test_an_attempt_begun_in_the_batch_of_the_clients_disconnect_is_reported_as_not_sent():
    """Guards against an attempt that the policy counts as in flight forever: the client disconnects in the
    batch that begins the next attempt."""

    async def run():
        policy = RetryingPolicy()
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

    policy = asyncio.run(asyncio.wait_for(run(), 20))
    assert policy.sent == 1 and policy.outcomes == [(0, AttemptResult.REJECTED), (1, AttemptResult.NOT_SENT)]


def test_a_late_loop_timer_is_counted_and_logged(capsys):
    """Only a delay above the limit is counted."""

    async def run(late_ns):
        now = [0]
        dispatcher = make_dispatcher(FailingTimerPolicy(), Limits(process_stall_ns=10))
        dispatcher.now_ns = lambda: now[0]
        dispatcher._loop_timer_ns, now[0] = 100, 100 + late_ns
        dispatcher._on_loop_timer()
        return dispatcher.counters.held_up

    assert asyncio.run(run(10)) == 0
    assert asyncio.run(run(11)) == 1
    assert "late event loop delayed by 0 ms" in capsys.readouterr().err


def test_periodic_work_continues_after_an_exception(capsys):
    """The next call is scheduled before the action runs."""

    async def run():
        dispatcher = make_dispatcher(FailingTimerPolicy())
        rounds = []

        def action():
            rounds.append(len(rounds))
            if len(rounds) == 2:
                raise KeyError("round")

        run_every(dispatcher, 1, action)
        while len(rounds) < 4:
            await asyncio.sleep(0)
        return dispatcher.counters.faults

    assert asyncio.run(asyncio.wait_for(run(), 20)) == 1
    assert "fault KeyError" in capsys.readouterr().err
