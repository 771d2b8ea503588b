"""Backend servers under maintenance: told to the module and the pools as draining, whatever discovery says,
until the call back; then cold."""

from __future__ import annotations

import random
from types import SimpleNamespace

from zincstile.decisions.messages import EndpointList, EndpointListKind, EndpointState
from zincstile.net import endpoint_table
from zincstile.net.deadlines import Deadlines
from zincstile.net.endpoint_table import EndpointTable
from zincstile.net.limits import SECOND, Limits
from zincstile.net.trace import Trace


def entry(name, status="Ready", since_ms=0):
    return {"name": name, "address": "10.1.0.1:6379", "status": status, "since_ms": since_ms}


def world():
    clock = [100 * SECOND]
    posted, pools = [], []
    dispatcher = SimpleNamespace(
        limits=Limits(),
        deadlines=Deadlines(),
        now_ns=lambda: clock[0],
        wake=lambda: None,
        post=posted.append,
        carry_out={},
        trace=Trace(),
        log=SimpleNamespace(often=lambda *words: None),
        counters=SimpleNamespace(tables=0, watches=0),
    )
    made = EndpointTable(
        dispatcher,
        endpoint_table.EndpointReader(
            [], [], SimpleNamespace(monotonic_ns=dispatcher.now_ns, unix_ns=dispatcher.now_ns)
        ),
        ("10.2.0.1", 8500),
        lambda entries, _: pools.append([(b.id, b.mode) for b, _ in entries]),
        lambda: None,
        random.Random(1),
    )
    made.open = lambda where: None
    return made, clock, posted, pools


def out_and_back(made, clock):
    made.begin({"index": 1, "snapshot": True, "endpoints": [entry("s-a")]})
    made.maintain("s-a", True)
    clock[0] += SECOND
    made.maintain("s-a", False)


def told(posted, name):
    """What the module heard last of a name."""
    number = endpoint_table.number(name)
    return [b for e in posted if isinstance(e, EndpointList) for b in e.entries if b.id == number][-1]


def test_a_ban_is_a_drain_whatever_discovery_lists_and_one_call_back_ends_it():
    made, clock, posted, pools = world()
    made.begin({"index": 1, "snapshot": True, "endpoints": [entry("s-a"), entry("s-b")]})
    assert made.maintain("s-a", True)
    assert told(posted, "s-a").mode is EndpointState.DRAINING and pools[-1] == [
        (endpoint_table.number("s-a"), EndpointState.DRAINING)
    ]
    made._take(
        {"index": 2, "snapshot": True, "endpoints": [entry("s-a"), entry("s-b")]},
        EndpointListKind.FULL,
        made.where,
    )
    assert (
        told(posted, "s-a").mode is EndpointState.DRAINING and told(posted, "s-b").mode is EndpointState.READY
    )
    made.maintain("s-a", True)  # again: harmless
    clock[0] += 3 * SECOND
    made.maintain("s-a", False)
    back = told(posted, "s-a")
    assert back.mode is EndpointState.READY and back.started_ns == clock[0]  # cold: restarted while out


def test_what_discovery_says_of_a_later_start_holds_after_the_call_back():
    made, clock, posted, _ = world()
    out_and_back(made, clock)
    reborn = told(posted, "s-a").started_ns
    made._take(
        {"index": 2, "snapshot": False, "endpoints": [entry("s-a")]}, EndpointListKind.DELTA, made.where
    )
    assert told(posted, "s-a").started_ns == reborn  # the old start that discovery still lists is not trusted
    clock[0] = 201 * SECOND
    made._take(
        {"index": 3, "snapshot": False, "endpoints": [entry("s-a", since_ms=200_000)]},
        EndpointListKind.DELTA,
        made.where,
    )
    assert told(posted, "s-a").started_ns == 200_000 * 1_000_000 + made.reader.apart_ns


def test_a_name_never_listed_is_no_and_a_ban_before_listing_holds_once_listed():
    made, _, posted, _ = world()
    made.begin({"index": 1, "snapshot": True, "endpoints": [entry("s-a")]})
    assert not made.maintain("s-z", True)  # as another process of this gateway may have said
    made._take(
        {"index": 2, "snapshot": False, "endpoints": [entry("s-z")]}, EndpointListKind.DELTA, made.where
    )
    assert told(posted, "s-z").mode is EndpointState.DRAINING


def test_one_put_back_is_cold_to_a_new_version_too():
    """The new process is told how long ago that was."""
    old, clock, posted, _ = world()
    out_and_back(old, clock)
    new, new_clock, heard, _ = world()
    new_clock[0] = clock[0] + 5 * SECOND
    new.put_back({name: new_clock[0] - at for name, at in old.back().items()})
    new.begin({"index": 1, "snapshot": True, "endpoints": [entry("s-a")]})
    assert told(heard, "s-a").started_ns == told(posted, "s-a").started_ns == clock[0]


def test_a_ban_holds_when_discovery_moves():
    made, _, posted, _ = world()
    made.begin({"index": 1, "snapshot": True, "endpoints": [entry("s-a")]})
    made.maintain("s-a", True)
    made.move(("10.2.0.9", 8500))
    made._take({"index": 1, "snapshot": True, "endpoints": [entry("s-a")]}, EndpointListKind.FULL, made.where)
    assert told(posted, "s-a").mode is EndpointState.DRAINING
