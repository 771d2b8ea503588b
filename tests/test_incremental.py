"""State kept step by step (endpoints of the decisions, connection pool, endpoint table) against a plain model
that works it out from the complete list each time; the work for a change or a tick does not grow."""

from __future__ import annotations

import json
import math
import sys
from dataclasses import replace
from types import SimpleNamespace

import pytest
from conftest import MS, SECOND, PolicyHarness, backend
from endpoint_lists import delta, endpoint, full_list, stub_dispatcher
from hypothesis import given
from hypothesis import settings as effort
from hypothesis import strategies as st

from zincstile.decisions.endpoints import NEUTRAL_RATIO_TOLERANCE, peer_hash
from zincstile.decisions.messages import EndpointListKind, EndpointState, RequestAbandoned
from zincstile.decisions.outlier_detection import (
    BASELINE_RANK,
    NEGLIGIBLE_SCORE,
    OUTLIER_SCORE,
    SCORE_DECAY_S,
)
from zincstile.net import config
from zincstile.net.backends.connection import BackendConnection
from zincstile.net.backends.pool import ConnectionPool
from zincstile.net.discovery.messages import ListedEndpoint, endpoint_id
from zincstile.net.discovery.reader import EndpointReader
from zincstile.net.discovery.table import EndpointTable
from zincstile.net.json_objects import JsonObjectParser
from zincstile.net.lifecycle import apply_initial_list
from zincstile.simulation import traffic
from zincstile.simulation.plan import Plan

COLD = {"slow_start_share": 0.25, "slow_start_ns": 20 * SECOND, "slow_start_overload_multiple": 2.0}
IDS = (1, 2, 3, 4, 50550, 101099, 50551)  # some have one name among the peers: 1 and two more, 2 and one
STARTS = (0, 40 * SECOND, 85 * SECOND, 95 * SECOND, 105 * SECOND)  # the first runs are warm or unknown
ENTRIES = st.lists(
    st.builds(
        backend,
        st.sampled_from(IDS),
        st.integers(0, 2),
        st.sampled_from(EndpointState),
        st.sampled_from(STARTS),
    ),
    max_size=8,
)
LISTS = st.tuples(
    st.sampled_from([EndpointListKind.FULL, EndpointListKind.DELTA, EndpointListKind.DELTA]), ENTRIES
)
DOUBT = st.tuples(st.sampled_from(IDS), st.integers(0, 2), st.floats(0, 1))
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("lists"), st.lists(LISTS, min_size=1, max_size=3)),  # all in one turn
        st.tuples(st.just("doubt"), DOUBT),
        st.tuples(st.just("slow"), st.tuples(st.sampled_from(IDS), st.floats(0.1, 4))),
        st.tuples(st.just("tick"), st.integers(1, 6000)),
    ),
    max_size=25,
)


class Plain:
    """The same from the whole list, each time. What is known of one: info, slowness, doubts."""

    def __init__(self):
        self.known, self.ready = {}, []  # ids of the ready ones, in the order in which they came to be so
        self.usual = [0.0] * 6

    def apply(self, kind, entries):
        if kind is EndpointListKind.FULL:
            self.known = {k: x for k, x in self.known.items() if k in {b.id for b in entries}}
        for b in entries:
            known = self.known.get(b.id)
            if known and known[0].started_ns == b.started_ns:
                known[0] = b
            else:
                self.known[b.id] = [b, 1.0, {}]
                self.ready = [k for k in self.ready if k != b.id]
        self.known = {k: x for k, x in self.known.items() if x[0].state is not EndpointState.REMOVED}
        ready = [k for k, x in self.known.items() if x[0].state is EndpointState.READY]
        self.ready = [k for k in self.ready if k in ready] + [
            b.id for n, b in enumerate(entries) if b.id in ready and b.id not in self.ready
            and b.id not in [c.id for c in entries[:n]]
        ]  # fmt: skip

    def fade(self, keep):
        told = [[] for _ in self.usual]
        for x in [self.known[k] for k in self.ready]:
            x[1] += (1 - keep) * (1 - x[1])
            x[2] = {g: bad * keep for g, bad in x[2].items() if bad > NEGLIGIBLE_SCORE}
            for g, bad in x[2].items():
                told[g].append(bad)
        n = len(self.ready)
        for g, bads in enumerate(told):
            everyone = sorted([0.0] * (n - len(bads)) + bads)
            self.usual[g] = everyone[int(n * BASELINE_RANK)] if n else 0.0

    def good(self, warmth):
        fit = [
            warmth(x) * sum(x[2].get(g, 0.0) - self.usual[g] < OUTLIER_SCORE for g in range(3)) / 3
            for x in [self.known[k] for k in self.ready]
        ]
        return max(1.0, sum(fit))


@effort(max_examples=150, deadline=None, derandomize=True, database=None)
@given(STEPS)
def test_the_endpoints_are_what_a_plain_model_works_out_from_the_complete_list(steps):
    g, plain = PolicyHarness(COLD, backends=0, now=100 * SECOND), Plain()
    policy = g.policy
    healthy = policy.parts.capacity.healthy_endpoints
    for what, about in steps:
        if what == "lists":
            for kind, entries in about:
                g.update_endpoints(entries, kind)
                plain.apply(kind, entries)
        elif what == "tick":
            keep = math.exp(-about * MS / SECOND / SCORE_DECAY_S)
            g.now += about * MS
            policy.ticker.ticked_ns = g.now - about * MS
            g.tick(0)
            plain.fade(keep)
        elif about[0] in plain.known and what == "doubt":
            where, group, bad = about
            policy.parts.detector.apply_sample(policy.parts.endpoints.by_id[where], group, bad, 0.5)
            doubts = plain.known[where][2]
            if bad or group in doubts:
                doubts[group] = doubts.get(group, 0.0) * 0.5 + 0.5 * bad
        elif about[0] in plain.known:
            policy.parts.endpoints.track(policy.parts.endpoints.by_id[about[0]]).latency_ratio = plain.known[
                about[0]
            ][1] = about[1]
        g.feed(RequestAbandoned(-1))  # whatever comes after a change decides by the list as it is
        ready = [plain.known[k] for k in plain.ready]
        assert policy.parts.endpoints.by_id.keys() == plain.known.keys() and len(
            policy.parts.endpoints.ready
        ) == len(ready)
        assert {s.entry.id: s.entry for s in policy.parts.endpoints.ready} == {x[0].id: x[0] for x in ready}
        assert {n: s.entry.id for n, s in policy.parts.endpoints.by_hash.items()} == {
            peer_hash(k): k for k in plain.ready
        }
        assert len(policy.parts.slow_start.cumulative_shares) == len(policy.parts.endpoints.warming) and all(
            s.started_ns for s in [c.entry for c in policy.parts.endpoints.warming]
        )
        for s in policy.parts.endpoints.by_id.values():
            known = plain.known[s.entry.id]
            assert (
                s.error_scores == pytest.approx(known[2])
                and abs(s.latency_ratio - known[1]) <= NEUTRAL_RATIO_TOLERANCE
            )
            assert s.entry.id in policy.parts.endpoints.tracked or (
                not s.error_scores and s.latency_ratio == 1.0
            )
            assert (s.ready_list is not None) == (s.entry.state is EndpointState.READY)
            assert s.ready_list is None or s.ready_list[s.ready_index] is s
        assert all(
            policy.parts.endpoints.by_id.get(k) is s for k, s in policy.parts.endpoints.tracked.items()
        )
        if what == "lists":  # an empty change leaves all as it was, so that nothing is worked out anew
            changed = any(
                kind in (EndpointListKind.FULL, EndpointListKind.CACHED) or entries for kind, entries in about
            )
            assert changed or policy.parts.capacity.healthy_endpoints == healthy
        healthy_is_new = what == "tick" or (what == "lists" and changed)
        healthy = policy.parts.capacity.healthy_endpoints
        if healthy_is_new:

            def warmth(x):
                return policy.parts.capacity.warmth(g.now, SimpleNamespace(entry=x[0]))

            assert {s.entry.id for s in policy.parts.endpoints.warm} == {
                x[0].id for x in ready if warmth(x) >= 1
            }
            assert policy.parts.detector.baseline == pytest.approx(plain.usual)
            assert policy.parts.capacity.healthy_endpoints == pytest.approx(plain.good(warmth))
    for _ in range(20):
        g.tick(5 * SECOND)
    assert not [
        s for s in policy.parts.endpoints.tracked.values() if s.ready_list is not None
    ]  # all has faded


# ---- the connection pool and the endpoint table


class Wire:
    """A connection's transport; the loop tells its end later."""

    closed = False

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed


def dispatcher_at_100_s():
    return stub_dispatcher(now_ns=lambda: 100 * SECOND)


def open_idle(pool, backend_id):
    """A connection to a backend that came up and is idle; None where none may be opened."""
    found = pool.ready_backend(backend_id)
    if found is not None:
        connection = BackendConnection(SimpleNamespace(dispatcher=pool.dispatcher), found, None)
        connection.transport = Wire()
        pool.add(connection)
        pool.add_idle(connection, unused=True)
        return connection
    return None


def address_of(entry, moved):
    return f"10.0.{moved}.{entry.id % 200}", 6379


@effort(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.lists(st.tuples(LISTS, st.integers(0, 1), st.sampled_from(IDS)), max_size=15))
def test_the_pool_connects_to_what_was_listed_last_and_forgets_the_rest(steps):
    pool, listed, opened = ConnectionPool(dispatcher_at_100_s()), {}, []
    for (kind, entries), moved, used in steps:
        complete = kind is EndpointListKind.FULL
        received = [ListedEndpoint(entry, address_of(entry, moved)) for entry in entries]
        pool.update(received, complete=complete)
        before = {} if complete else listed
        latest = before | {one.entry.id: one for one in received}
        listed = {k: one for k, one in latest.items() if one.entry.state is not EndpointState.REMOVED}
        ready = {k: one for k, one in listed.items() if one.entry.state is EndpointState.READY}
        assert pool.listed == listed
        for connection in [c for c in opened if not c.transport.closed]:
            found, expected = connection.backend, ready.get(connection.backend.id)
            assert expected
            assert (found.address, found.started_ns) == (expected.address, expected.entry.started_ns)
        for connection in [c for c in opened if c.transport.closed]:
            pool.on_connection_lost(connection)
        opened = [c for c in opened if not c.transport.closed]
        assert list(pool.idle) == opened and pool.connections == set(opened)
        # No record of what is not connected.
        assert pool.backends == {c.backend.id: c.backend for c in opened}
        connection = open_idle(pool, used)
        assert (connection is not None) == (used in ready)
        opened += [connection] if connection else []
    while pool.close_oldest_idle():
        assert [c.transport.closed for c in opened] == sorted(
            (c.transport.closed for c in opened), reverse=True
        )
    assert all(c.transport.closed for c in opened) and not pool.idle


def endpoints(names, status="Ready"):
    return [endpoint(name, status, since_ms=1) for name in names]


def table_at_0_s(update=lambda endpoints, *, complete: None):
    """A table whose reader's clocks stand at nought."""
    dispatcher = dispatcher_at_100_s()
    clocks = SimpleNamespace(unix_ns=lambda: 0, monotonic_ns=lambda: 0)
    return EndpointTable(dispatcher, EndpointReader([], [], clocks), update)


def receive(table, endpoints_, kind=EndpointListKind.DELTA):
    table.apply_message(delta(1, *endpoints_), kind)


def test_a_year_of_replaced_backends_leaves_no_trace_and_one_just_gone_may_still_get_maintenance():
    table = table_at_0_s()
    for k in range(5000):
        receive(table, endpoints([f"s-{k}"]) + endpoints([f"s-{k - 10}"], "Gone"))
    receive(table, endpoints(["s-4999"]), EndpointListKind.FULL)  # leaves out the rest
    assert list(table.endpoints) == [endpoint_id("s-4999")] and len(table.removed) == 1024
    # s-17 was removed long ago.
    assert table.set_maintenance("s-4990", enter=True) and not table.set_maintenance("s-17", enter=True)
    receive(table, endpoints(["s-4990"]))
    listed = table.endpoints[endpoint_id("s-4990")]
    assert table.maintenance.apply(listed).entry.state is EndpointState.DRAINING


def test_an_endpoint_is_read_with_its_own_text_and_one_that_is_known_is_kept():
    """Whatever else stands in an object is left alone, and a malformed endpoint raises as ever."""
    table = table_at_0_s()
    receive(table, endpoints(["s-a", "s-b"]), EndpointListKind.FULL)
    kept = dict(table.endpoints)
    odd = {"note": {"name": "s-z", "status": "no such"}}
    whole = full_list(7, *endpoints(["s-a", "s-c"]))
    whole["endpoints"][0] |= odd
    objects = JsonObjectParser(1 << 20, table.read_early)
    (read,) = objects.feed(json.dumps(whole).encode())
    assert read["endpoints"][0] is kept[endpoint_id("s-a")]
    table.apply_message(read, EndpointListKind.FULL)
    assert table.endpoints.keys() == {endpoint_id("s-a"), endpoint_id("s-c")}
    assert table.endpoints[endpoint_id("s-c")] == table.reader.read_endpoint(whole["endpoints"][1])
    (read,) = objects.feed(json.dumps(delta(8, odd["note"])).encode())
    with pytest.raises(KeyError):
        table.apply_message(read, EndpointListKind.DELTA)
    assert table.endpoints.keys() == {endpoint_id("s-a"), endpoint_id("s-c")}


def test_the_list_in_the_file_is_taken_once_at_the_start_and_read_by_no_reload(tmp_path):
    """As JSON it takes more memory than all that is made of it."""
    table = traffic.configuration(
        Plan(seed=1, gateways=1), 0, "127.0.0.1:1", "127.0.0.1:2", ["127.0.0.1:3"], 1, {}
    )
    path, told = tmp_path / "config.json", []
    path.write_text(json.dumps(table | {"known": {"index": 1, "endpoints": endpoints(["s-a", "s-b"])}}))
    started, reloaded = (read({"RELAY_CONFIG": str(path)}) for read in (config.load, config.reload))
    assert reloaded.initial_list == {"index": 1, "endpoints": [None, None]}
    assert replace(reloaded, initial_list=started.initial_list) == started
    assert apply_initial_list(started, SimpleNamespace(begin=told.append)) and not started.initial_list
    assert [known["endpoints"] for known in told] == [endpoints(["s-a", "s-b"])]


# ---- work


def steps_of(action):
    """Instructions that the interpreter carries out for it, in this program's own code."""
    count = 0

    def trace(frame, event, _):
        nonlocal count
        frame.f_trace_opcodes = True
        count += event == "opcode"
        return trace

    sys.settrace(trace)
    try:
        action()
    finally:
        sys.settrace(None)
    return count


def work(size):
    """Of each kind of control work, at a gateway that knows so many backends, six of them in use."""
    g, pool = PolicyHarness(COLD, backends=0, now=100 * SECOND), ConnectionPool(dispatcher_at_100_s())
    table = table_at_0_s(pool.update)
    names = [f"s-{k}" for k in range(size)]
    receive(table, endpoints(names), EndpointListKind.FULL)
    known = [b for b, _ in pool.listed.values()]
    g.update_endpoints(known)
    for s in known[:6]:
        g.policy.parts.detector.apply_sample(g.policy.parts.endpoints.by_id[s.id], 0, 1.0, 0.5)
        open_idle(pool, s.id)
    g.tick()

    def change():
        g.update_endpoints([known[9]], EndpointListKind.DELTA)
        g.feed(RequestAbandoned(-1))

    return {
        "tick": steps_of(g.tick),
        "change": steps_of(change),
        "change received": steps_of(lambda: receive(table, endpoints(["s-9"], "Terminating"))),
        "capacity": steps_of(pool.close_oldest_idle),
        "expiry": steps_of(pool.close_expired),
    }


def test_the_work_for_a_tick_or_a_change_does_not_grow_with_the_list():
    small, large = work(60), work(1200)
    assert all(large[what] <= 1.05 * steps for what, steps in small.items()), (small, large)
