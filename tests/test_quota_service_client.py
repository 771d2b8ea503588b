"""The quota service's client with the emulated service: each call is sent at most once and ends once."""

from __future__ import annotations

import random

import pytest

from zincstile.emulators.quota_service import QuotaService
from zincstile.net import http
from zincstile.net.counters import Counters
from zincstile.net.dispatcher import Dispatcher
from zincstile.net.limits import Limits
from zincstile.net.log import Log
from zincstile.net.quota_service import MalformedCallError, QuotaServiceClient
from zincstile.virtual.clock import MS_NS, SECOND_NS, Scheduler
from zincstile.virtual.host import VirtualHost
from zincstile.virtual.network import Network, NetworkSettings
from zincstile.virtual.process import Process


class IdlePolicy:
    """A policy that does nothing."""

    def handle(self, now, event):
        return []


class Environment:
    """One client and one quota service on a virtual network, with the answers that the client received."""

    def __init__(self, limits=None, **behaviour):
        self.scheduler = Scheduler(SECOND_NS)
        self.network = Network(self.scheduler, random.Random(1), NetworkSettings())
        self.gateway = Process(self.network, "g", "10.0.0.0")
        self.process = Process(self.network, "k", "10.0.0.1")
        host = VirtualHost(self.gateway, lambda: None)
        log = Log("g", host=host)
        self.dispatcher = Dispatcher(
            self.gateway.loop, IdlePolicy(), limits or Limits(), Counters(), log, host
        )
        self.service = self.start_service(self.process, **behaviour)
        self.client = QuotaServiceClient(
            self.dispatcher, (self.process.host, 80), memoryview(bytearray(65536))
        )
        self.answers = []
        self.run(5)

    def run(self, ms):
        self.scheduler.run(self.scheduler.now_ns + int(ms * MS_NS))

    def start_service(self, process, **behaviour):
        service = QuotaService(process.loop, **({"call_latency_s": 0.001} | behaviour))
        service.accepts_calls = True
        process.loop.create_task(service.start(process.host, 80))
        return service

    def call(self, name="a", amount=1.0, count=1):
        for _ in range(count):
            self.gateway.loop.call_soon(
                self.client.call, name, amount, 60_000, lambda at, total: self.answers.append(total)
            )


@pytest.fixture
def environment():
    return Environment()


def test_totals_arrive_in_the_order_of_the_calls_over_few_connections(environment):
    environment.call(count=40)
    environment.run(45)
    totals = [total for total in environment.answers if total is not None]
    assert totals == sorted(totals)
    environment.run(1000)
    assert len(environment.answers) == 40 and environment.service.counts.added <= 40
    assert 1 <= len(environment.client.connections) <= Limits().quota_service_connections


def test_a_late_answer_to_a_timed_out_call_is_not_taken_for_the_answer_to_the_next():
    environment = Environment(calls_per_s=10.0, call_latency_s=0.1)
    environment.call(count=2)
    environment.run(60)
    assert environment.answers == [None, None] and environment.service.total("a") == 0
    environment.run(500)
    assert environment.service.total("a") == 2  # both amounts were added, although both calls timed out
    environment.service.call_latency_s = 0.001
    environment.call(amount=0.0)
    environment.run(100)
    assert environment.answers[2:] == [2.0]


def test_a_call_that_the_service_rejects_ends_at_once(environment):
    environment.service.accepts_calls = False
    environment.call()
    environment.run(20)
    assert environment.answers == [None] and environment.service.total("a") == 0


def test_a_malformed_answer_closes_its_connection_and_gives_no_total(environment):
    environment.call()
    environment.run(60)
    first = list(environment.client.connections)
    environment.service.corrupts_next_answer = lambda: True
    environment.call()
    environment.run(60)
    assert environment.answers == [1.0, None] and first[0] not in environment.client.connections
    environment.service.corrupts_next_answer = lambda: False
    environment.call()
    environment.run(60)
    # the amount of the call with the malformed answer was added
    assert environment.answers == [1.0, None, 3.0]


@pytest.mark.parametrize("failure", ["kill", "cut"])
def test_every_call_ends_when_the_service_is_killed_or_unreachable(failure):
    environment = Environment(call_latency_s=0.02)
    environment.call(count=5)
    environment.run(10)
    if failure == "kill":
        environment.process.kill()
    else:
        environment.network.isolate(environment.process.host)
    environment.call(count=5)
    environment.run(200)
    assert environment.answers == [None] * 10
    environment.run(3000)
    assert not environment.client.waiting and len(environment.dispatcher.deadlines) <= 2


def test_a_stuck_connection_is_closed_and_the_next_call_uses_a_new_one(environment):
    environment.call()
    environment.run(60)
    environment.network.isolate(environment.process.host)
    environment.call()
    environment.run(2000)
    assert not environment.client.connections  # closed after a second without an answer
    environment.network.reconnect(environment.process.host)
    environment.call(amount=0.0)
    environment.run(3000)
    environment.call(amount=0.0)
    environment.run(100)
    assert environment.answers[-1] in (1.0, 2.0)


def test_after_a_change_of_address_connections_to_the_old_one_are_closed(environment):
    environment.call()
    environment.run(60)
    new_process = Process(environment.network, "k2", "10.0.0.9")
    new_service = environment.start_service(new_process)
    environment.run(5)
    environment.client.move((new_process.host, 80))
    environment.call(amount=5.0)
    environment.run(100)
    assert environment.answers == [1.0, 5.0]
    assert new_service.total("a") == 5 and environment.service.total("a") == 1
    environment.run(1000)
    assert [connection.address for connection in environment.client.connections] == [(new_process.host, 80)]


def test_idle_connections_are_closed_before_the_service_closes_them(environment):
    environment.call()
    environment.run(100)
    assert len(environment.client.connections) == 1
    environment.run(9000)
    assert not environment.client.connections and environment.gateway.loop.unhandled_errors == []


def test_calls_beyond_the_waiting_limit_are_not_made():
    environment = Environment(Limits(quota_service_waiting=3))
    environment.call(count=10)
    environment.run(1)
    assert environment.dispatcher.counters.quota_service_overflow == 7
    assert environment.answers == [None] * 7


@pytest.mark.parametrize(
    ("name", "amount"),
    [("", 1.0), ("x" * 65, 1.0), ("ü", 1.0), ("a", float("nan")), ("a", 2e9)],
    ids=["no name", "long name", "not ascii", "not a number", "too much"],
)
def test_an_invalid_call_raises_an_error(environment, name, amount):
    with pytest.raises(MalformedCallError, match="invalid quota service call"):
        environment.client.call(name, amount, 1000, print)


def test_interim_responses_are_skipped():
    answers = http.PipelinedResponses(Limits())
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1.5"
    )
    complete = [answer for at in range(len(data)) for answer in answers.feed(data[at : at + 1])]
    assert (
        complete == http.PipelinedResponses(Limits()).feed(data) == [(200, b"7"), (503, b""), (200, b"1.5")]
    )
