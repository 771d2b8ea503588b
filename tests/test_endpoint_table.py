"""When a fleet asks discovery: at moments drawn apart, for what changed, as often as one service can bear."""

import random
from types import SimpleNamespace

import pytest

from zincstile.net import endpoint_table
from zincstile.net.deadlines import Deadlines
from zincstile.net.endpoint_table import EndpointTable, Watch
from zincstile.net.limits import MS, SECOND, Limits
from zincstile.net.trace import Trace

WITHIN = 10 * SECOND
KNOWN = {
    "index": 41,
    "snapshot": True,
    "endpoints": [{"name": "s-1", "address": "10.1.0.1:6379", "status": "Ready", "since_ms": 0}],
}


class Host:
    unix_ns = staticmethod(lambda: 0)
    monotonic_ns = staticmethod(lambda: 0)


def limits(gateways, ask_within_ns=WITHIN):
    return Limits.for_gateway(384, 80, 100, 1, 1, 3 * SECOND, {}, gateways, ask_within_ns)


def table(number, lim):
    """A table whose tries to open a watch are counted instead."""
    dispatcher = SimpleNamespace(
        limits=lim,
        deadlines=Deadlines(),
        now_ns=lambda: 0,
        wake=lambda: None,
        post=lambda event: None,
        carry_out={},
        trace=Trace(),
        log=SimpleNamespace(often=lambda *words: None),
        counters=SimpleNamespace(tables=0, watches=0),
    )
    made = EndpointTable(
        dispatcher,
        endpoint_table.EndpointReader([], [], Host),
        ("10.2.0.1", 8500),
        lambda entries, whole: None,
        lambda: None,
        random.Random(number),
    )
    made.opened_at = []
    made.open = lambda where: made.opened_at.append(where)
    return made


def waits(made, tries):
    """How long it waits before each of so many tries that all fail."""
    got = []
    for _ in range(tries):
        made.lost(made.where, "turned away")
        ((at, _, then, about),) = made.dispatcher.deadlines.sweep(1 << 62)
        got.append(at)
    return got


@pytest.mark.parametrize("gateways", [3, 10, 40])
def test_lost_watches_are_asked_for_apart_and_no_more_often_than_the_fleet_can_be_served(gateways):
    fleet = [waits(table(n, limits(gateways)), 12) for n in range(gateways)]
    first = [w[0] for w in fleet]
    assert len(set(first)) == gateways and max(first) <= gateways * 50 * MS
    in_step = [sum(abs(a - b) <= 10 * MS for b in first) for a in first]
    assert max(in_step) <= 1 + gateways / 4
    late = [w[-1] for w in fleet]
    assert max(late) <= max(WITHIN, SECOND)  # else lists count as told that nobody asked for
    if gateways == 40:
        assert gateways * SECOND / (sum(late) / gateways) < 12  # asks a second by all of them


def test_where_discovery_is_pushed_by_an_agent_a_lost_watch_is_opened_again_soon():
    asked = [w for n in range(40) for w in waits(table(n, limits(40, 0)), 12)]
    assert max(asked) <= SECOND and limits(40, 0).table_answer_ns == 800 * MS


def test_a_watch_asks_for_what_changed_since_the_table_it_has_but_elsewhere_for_all():
    made = table(1, limits(40))
    made.begin(KNOWN)
    assert made.opened_at == []  # not in the moment of its start, which many have in common
    asked = []
    watch = Watch(made, made.where)
    watch.connection_made(SimpleNamespace(write=asked.append, abort=lambda: None))
    made._watch = watch
    made.move(("10.2.0.9", 8500))
    made.line(watch, {"index": 44, "snapshot": False, "endpoints": []})  # it stands until the other speaks
    other = Watch(made, made.where)
    other.connection_made(SimpleNamespace(write=asked.append, abort=lambda: None))
    assert b"index=41 " in asked[0] and b"index=0 " in asked[1]
