"""The count keeper's client against the stand-in, on virtual time: every call gets one word, and none goes
twice."""

from __future__ import annotations

import random

import pytest

from zincstile.emulators.quota_service import QuotaService
from zincstile.net.counters import Counters
from zincstile.net.dispatcher import Dispatcher
from zincstile.net.keeper import Keeper
from zincstile.net.limits import Limits
from zincstile.net.log import Log
from zincstile.virtual.clock import MS, SECOND, Scheduler
from zincstile.virtual.host import VirtualHost
from zincstile.virtual.network import Network, Ways
from zincstile.virtual.process import Process


class Still:
    """A module that does nothing."""

    def handle(self, now, event):
        return []


class World:
    def __init__(self, limits=None, **counter):
        self.scheduler = Scheduler(SECOND)
        self.network = Network(self.scheduler, random.Random(1), Ways())
        self.gateway, self.there = (Process(self.network, n, f"10.0.0.{k}") for k, n in enumerate(("g", "k")))
        host = VirtualHost(self.gateway, lambda: None)
        log = Log("g", host=host)
        self.dispatcher = Dispatcher(self.gateway.loop, Still(), limits or Limits(), Counters(), log, host)
        self.counter = self.count(self.there, **counter)
        self.keeper = Keeper(self.dispatcher, (self.there.host, 80), memoryview(bytearray(65536)))
        self.said, self.run = [], lambda ms: self.scheduler.run(self.scheduler.now_ns + int(ms * MS))
        self.run(5)

    def count(self, process, **how):
        counter = QuotaService(process.loop, **({"call_latency_s": 0.001} | how))
        counter.open = True
        process.loop.create_task(counter.start(process.host, 80))
        return counter

    def call(self, name="a", amount=1.0, count=1):
        for _ in range(count):
            self.gateway.loop.call_soon(
                self.keeper.call, name, amount, 60_000, lambda at, total: self.said.append(total)
            )


def test_totals_come_in_the_order_of_the_calls_over_few_connections():
    world = World()
    world.call(count=40)
    world.run(45)
    assert [t for t in world.said if t is not None] == sorted(t for t in world.said if t is not None)
    world.run(1000)
    assert len(world.said) == 40 and world.counter.counts.added <= 40
    assert 1 <= len(world.keeper.connections) <= Limits().keeper_connections


def test_a_call_is_given_up_after_50_ms_and_its_late_answer_leaves_the_next_in_order():
    world = World(calls_per_s=10.0, call_latency_s=0.1)
    world.call(count=2)
    world.run(60)
    assert world.said == [None, None] and world.counter.total("a") == 0
    world.run(500)
    assert world.counter.total("a") == 2  # both were added, and nobody was told
    world.counter.call_latency_s = 0.001
    world.call(amount=0.0)
    world.run(100)
    assert world.said[2:] == [2.0]


def test_a_keeper_that_turns_away_says_so_at_once():
    world = World()
    world.counter.open = False
    world.call()
    world.run(20)
    assert world.said == [None] and world.counter.total("a") == 0


def test_a_spoilt_answer_ends_its_connection_and_is_no_total():
    world = World()
    world.call()
    world.run(60)
    first = list(world.keeper.connections)
    world.counter.is_corrupt = lambda: True
    world.call()
    world.run(60)
    assert world.said == [1.0, None] and first[0] not in world.keeper.connections
    world.counter.is_corrupt = lambda: False
    world.call()
    world.run(60)
    assert world.said == [1.0, None, 3.0]  # the spoilt one was added


@pytest.mark.parametrize("how", ["kill", "cut"])
def test_a_keeper_that_goes_leaves_no_call_without_a_word(how):
    world = World(call_latency_s=0.02)
    world.call(count=5)
    world.run(10)
    if how == "kill":
        world.there.kill()
    else:
        world.network.hush(world.there.host)
    world.call(count=5)
    world.run(200)
    assert world.said == [None] * 10
    world.run(3000)
    assert not world.keeper.waiting and len(world.dispatcher.deadlines) <= 2


def test_a_stuck_connection_is_left_and_the_next_call_gets_another():
    world = World()
    world.call()
    world.run(60)
    world.network.hush(world.there.host)
    world.call()
    world.run(2000)
    assert not world.keeper.connections  # no answer for a second: of no use
    world.network.mend(world.there.host)
    world.call(amount=0.0)
    world.run(3000)
    world.call(amount=0.0)
    world.run(100)
    assert world.said[-1] in (1.0, 2.0)


def test_the_address_moves_and_the_old_one_is_left():
    world = World()
    world.call()
    world.run(60)
    other = Process(world.network, "k2", "10.0.0.9")
    counter = world.count(other)
    world.run(5)
    world.keeper.move((other.host, 80))
    world.call(amount=5.0)
    world.run(100)
    assert world.said == [1.0, 5.0] and counter.total("a") == 5 and world.counter.total("a") == 1
    world.run(1000)
    assert [c.address for c in world.keeper.connections] == [(other.host, 80)]


def test_resting_connections_are_closed_before_the_keeper_does():
    world = World()
    world.call()
    world.run(100)
    assert len(world.keeper.connections) == 1
    world.run(9000)
    assert not world.keeper.connections and world.gateway.loop.faults == []


def test_more_calls_than_may_wait_are_not_made():
    world = World(Limits(keeper_waiting=3))
    world.call(count=10)
    world.run(1)
    assert world.dispatcher.counters.keeper_full == 7 and world.said == [None] * 7


def test_a_call_that_cannot_be_is_refused():
    world = World()
    for name, amount in (("", 1.0), ("x" * 65, 1.0), ("ü", 1.0), ("a", float("nan")), ("a", 2e9)):
        with pytest.raises(ValueError, match="no such call"):
            world.keeper.call(name, amount, 1000, print)


def test_interim_answers_are_passed_over():
    from zincstile.net import http

    answers = http.Answers(Limits())
    data = (
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n7"
        b"HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n1.5"
    )
    whole = [x for at in range(len(data)) for x in answers.feed(data[at : at + 1])]
    assert whole == http.Answers(Limits()).feed(data) == [(200, b"7"), (503, b""), (200, b"1.5")]
