"""How a fleet opens watches of discovery: at random times, for changes only, and at a bounded rate."""

from types import SimpleNamespace

import pytest
from endpoint_lists import (
    delta,
    endpoint,
    endpoint_table,
    endpoint_watcher,
    full_list,
    limits_in_fleet,
    stub_dispatcher,
)

from zincstile.net.discovery.watch import Watch, WatchFailure
from zincstile.net.limits import MS, SECOND

POLL_INTERVAL_NS = 10 * SECOND
KNOWN = full_list(41, endpoint("s-1"))


def limits(gateways, poll_interval_ns=POLL_INTERVAL_NS):
    return limits_in_fleet(gateways, poll_interval_ns)


def watcher_of(number, limits_):
    """The watcher of one gateway of a fleet; it records the watches that it would open."""
    dispatcher = stub_dispatcher(limits=limits_)
    return endpoint_watcher(dispatcher, endpoint_table(dispatcher), seed=number)


def backoffs_ns(watcher, attempts):
    """The waits before the retries, if `attempts` calls fail."""
    waited = []
    for _ in range(attempts):
        watcher.on_lost(watcher.address, WatchFailure("rejected"))
        ((at_ns, *_),) = watcher.dispatcher.deadlines.pop_due(1 << 62)
        waited.append(at_ns)
    return waited


@pytest.mark.parametrize("gateways", [3, 10, 40])
def test_retries_of_a_fleet_are_spread_and_their_rate_is_bounded(gateways):
    fleet = [backoffs_ns(watcher_of(number, limits(gateways)), 12) for number in range(gateways)]
    first = [waited[0] for waited in fleet]
    assert len(set(first)) == gateways and max(first) <= gateways * 50 * MS
    in_step = [sum(abs(a - b) <= 10 * MS for b in first) for a in first]
    assert max(in_step) <= 1 + gateways / 4
    late = [waited[-1] for waited in fleet]
    assert max(late) <= max(POLL_INTERVAL_NS, SECOND)  # or lists would arrive too late
    if gateways == 40:
        assert gateways * SECOND / (sum(late) / gateways) < 12  # calls per second of the fleet


def test_with_an_agent_as_discovery_a_lost_watch_is_reopened_within_a_second():
    waits = [waited for number in range(40) for waited in backoffs_ns(watcher_of(number, limits(40, 0)), 12)]
    assert max(waits) <= SECOND and limits(40, 0).watch_answer_timeout_ns == 800 * MS


def test_a_watch_requests_changes_but_the_complete_list_at_a_new_address():
    watcher = watcher_of(1, limits(40))
    watcher.begin(KNOWN)
    assert watcher.opened_addresses == []  # not at the start, when many gateways may start
    requests = []
    watch = Watch(watcher, watcher.address)
    watch.connection_made(SimpleNamespace(write=requests.append, abort=lambda: None))
    assert watcher.current is watch
    watcher.move(("10.2.0.9", 8500))
    watcher.on_message(watch, delta(44))  # it is kept until the other one is answered
    other = Watch(watcher, watcher.address)
    other.connection_made(SimpleNamespace(write=requests.append, abort=lambda: None))
    assert b"index=41 " in requests[0] and b"index=0 " in requests[1]
