"""Helpers to test discovery without sockets: JSON lists, an endpoint table and a watcher with a stub."""

from __future__ import annotations

import random
from types import SimpleNamespace

from zincstile.net.deadlines import Deadlines
from zincstile.net.discovery.reader import EndpointReader
from zincstile.net.discovery.table import EndpointTable
from zincstile.net.discovery.watcher import EndpointWatcher
from zincstile.net.limits import SECOND, Limits, Machine
from zincstile.net.trace import Trace

DISCOVERY = ("10.2.0.1", 8500)


def endpoint(name, status="Ready", since_ms=0):
    """One endpoint in the JSON form of discovery."""
    return {"name": name, "address": "10.1.0.1:6379", "status": status, "since_ms": since_ms}


def full_list(index, *endpoints):
    """A complete list in the JSON form of discovery."""
    return {"index": index, "snapshot": True, "endpoints": list(endpoints)}


def delta(index, *endpoints):
    """A change to the list in the JSON form of discovery."""
    return {"index": index, "snapshot": False, "endpoints": list(endpoints)}


def limits_in_fleet(gateways, poll_interval_ns):
    """The limits of one gateway of a fleet. With a poll interval of 0 the gateways do not poll discovery."""
    machine = Machine(
        sockets=384,
        memory_mb=80,
        sessions=100,
        connect_ns=1,
        idle_close_ns=1,
        longest_request_ns=3 * SECOND,
        gateways=gateways,
        poll_interval_ns=poll_interval_ns,
    )
    return Limits.for_gateway(machine, {})


def stub_dispatcher(now_ns=lambda: 0, post=lambda event: None, limits=None):
    """The attributes of a dispatcher that discovery uses, without an event loop."""
    return SimpleNamespace(
        limits=limits or Limits(),
        deadlines=Deadlines(),
        action_handlers={},
        trace=Trace(),
        now_ns=now_ns,
        wake=lambda: None,
        post=post,
        log=SimpleNamespace(line_limited=lambda kind, text: None),
        counters=SimpleNamespace(tables=0, watches=0),
    )


def endpoint_table(dispatcher, update=lambda endpoints, *, complete: None, wall_ns=lambda: 0):
    """An endpoint table that uses the dispatcher's clock and a given wall clock."""
    clocks = SimpleNamespace(monotonic_ns=dispatcher.now_ns, unix_ns=wall_ns)
    return EndpointTable(dispatcher, EndpointReader([], [], clocks), update)


def endpoint_watcher(dispatcher, table, seed=1):
    """A watcher that opens no watch, but records in `opened_addresses` where it would open one."""
    watcher = EndpointWatcher(dispatcher, table, DISCOVERY, lambda: None, random.Random(seed))
    watcher.opened_addresses = []
    watcher.open = lambda address=None: watcher.opened_addresses.append(address)
    return watcher
