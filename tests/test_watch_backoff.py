"""When a fleet opens watches of discovery: at drawn moments, for what changed, as often as it can bear."""

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
    """The watcher of one gateway of a fleet; the watches that it would open are noted instead."""
    dispatcher = stub_dispatcher(limits=limits_)
    return endpoint_watcher(dispatcher, endpoint_table(dispatcher), seed=number)


def backoffs_ns(watcher, attempts):
    """How long it waits before each retry, where so many attempts fail."""
    waited = []
    for _ in range(attempts):
        watcher.on_lost(watcher.address, WatchFailure("rejected"))
        ((at_ns, *_),) = watcher.dispatcher.deadlines.pop_due(1 << 62)
        waited.append(at_ns)
    return waited


@pytest.mark.parametrize("gateways", [3, 10, 40])
def test_lost_watches_are_opened_again_apart_and_no_more_often_than_the_fleet_can_be_served(gateways):
    fleet = [backoffs_ns(watcher_of(number, limits(gateways)), 12) for number in range(gateways)]
    first = [waited[0] for waited in fleet]
    assert len(set(first)) == gateways and max(first) <= gateways * 50 * MS
    in_step = [sum(abs(a - b) <= 10 * MS for b in first) for a in first]
    assert max(in_step) <= 1 + gateways / 4
    late = [waited[-1] for waited in fleet]
    assert max(late) <= max(POLL_INTERVAL_NS, SECOND)  # else lists count as told that nobody asked for
    if gateways == 40:
        assert gateways * SECOND / (sum(late) / gateways) < 12  # asks a second by all of them


def test_where_discovery_is_pushed_by_an_agent_a_lost_watch_is_opened_again_soon():
    asked = [waited for number in range(40) for waited in backoffs_ns(watcher_of(number, limits(40, 0)), 12)]
    assert max(asked) <= SECOND and limits(40, 0).watch_answer_timeout_ns == 800 * MS


def test_a_watch_asks_for_what_changed_since_the_table_it_has_but_elsewhere_for_all():
    watcher = watcher_of(1, limits(40))
    watcher.begin(KNOWN)
    assert watcher.opened_addresses == []  # not in the moment of its start, which many have in common
    asked = []
    watch = Watch(watcher, watcher.address)
    watch.connection_made(SimpleNamespace(write=asked.append, abort=lambda: None))
    assert watcher.current is watch
    watcher.move(("10.2.0.9", 8500))
    watcher.on_message(watch, delta(44))  # it stands until the other is answered
    other = Watch(watcher, watcher.address)
    other.connection_made(SimpleNamespace(write=asked.append, abort=lambda: None))
    assert b"index=41 " in asked[0] and b"index=0 " in asked[1]
