"""An endpoint under maintenance drains regardless of discovery, and is cold afterwards."""

from __future__ import annotations

from endpoint_lists import delta, endpoint, endpoint_table, endpoint_watcher, full_list, stub_dispatcher

from zincstile.decisions.messages import EndpointList, EndpointListKind, EndpointState
from zincstile.net.discovery.messages import endpoint_id
from zincstile.net.limits import SECOND


def make_environment():
    """A watcher with its table, its clock, and the events of the policy and the updates of the pool."""
    clock = [100 * SECOND]
    posted, pools = [], []
    dispatcher = stub_dispatcher(now_ns=lambda: clock[0], post=posted.append)
    table = endpoint_table(
        dispatcher,
        lambda endpoints, *, complete: pools.append([(entry.id, entry.state) for entry, _ in endpoints]),
        wall_ns=dispatcher.now_ns,
    )
    return endpoint_watcher(dispatcher, table), clock, posted, pools


def run_maintenance(watcher, clock):
    watcher.begin(full_list(1, endpoint("s-a")))
    watcher.table.set_maintenance("s-a", enter=True)
    clock[0] += SECOND
    watcher.table.set_maintenance("s-a", enter=False)


def last_entry(posted, name):
    """The latest entry for a name that the policy received."""
    number = endpoint_id(name)
    return [b for e in posted if isinstance(e, EndpointList) for b in e.entries if b.id == number][-1]


def test_maintenance_drains_an_endpoint_until_it_ends_regardless_of_discovery():
    watcher, clock, posted, pools = make_environment()
    watcher.begin(full_list(1, endpoint("s-a"), endpoint("s-b")))
    assert watcher.table.set_maintenance("s-a", enter=True)
    assert last_entry(posted, "s-a").state is EndpointState.DRAINING and pools[-1] == [
        (endpoint_id("s-a"), EndpointState.DRAINING)
    ]
    watcher.table.apply_message(full_list(2, endpoint("s-a"), endpoint("s-b")), EndpointListKind.FULL)
    assert (
        last_entry(posted, "s-a").state is EndpointState.DRAINING
        and last_entry(posted, "s-b").state is EndpointState.READY
    )
    watcher.table.set_maintenance("s-a", enter=True)  # no effect
    clock[0] += 3 * SECOND
    watcher.table.set_maintenance("s-a", enter=False)
    back = last_entry(posted, "s-a")
    # It counts as restarted during maintenance, so it is cold.
    assert back.state is EndpointState.READY and back.started_ns == clock[0]


def test_a_later_start_from_discovery_replaces_the_end_of_maintenance():
    watcher, clock, posted, _ = make_environment()
    run_maintenance(watcher, clock)
    returned_ns = last_entry(posted, "s-a").started_ns
    watcher.table.apply_message(delta(2, endpoint("s-a")), EndpointListKind.DELTA)
    # Discovery still lists the start before the maintenance.
    assert last_entry(posted, "s-a").started_ns == returned_ns
    clock[0] = 201 * SECOND
    watcher.table.apply_message(delta(3, endpoint("s-a", since_ms=200_000)), EndpointListKind.DELTA)
    assert last_entry(posted, "s-a").started_ns == 200_000 * 1_000_000 + watcher.table.reader.clock.offset_ns


def test_maintenance_of_an_unlisted_name_applies_when_it_is_listed():
    watcher, _, posted, _ = make_environment()
    watcher.begin(full_list(1, endpoint("s-a")))
    # Another process of this gateway may know the name.
    assert not watcher.table.set_maintenance("s-z", enter=True)
    watcher.table.apply_message(delta(2, endpoint("s-z")), EndpointListKind.DELTA)
    assert last_entry(posted, "s-z").state is EndpointState.DRAINING


def test_the_end_of_maintenance_is_handed_over_to_a_new_process():
    """The new process receives how long ago maintenance ended, so the endpoint stays cold."""
    old, clock, posted, _ = make_environment()
    run_maintenance(old, clock)
    new, new_clock, new_posted, _ = make_environment()
    new_clock[0] = clock[0] + 5 * SECOND
    new.table.restore_returned({name: new_clock[0] - at for name, at in old.table.returned_at_ns().items()})
    new.begin(full_list(1, endpoint("s-a")))
    assert last_entry(new_posted, "s-a").started_ns == last_entry(posted, "s-a").started_ns == clock[0]


def test_maintenance_continues_when_the_address_of_discovery_changes():
    watcher, _, posted, _ = make_environment()
    watcher.begin(full_list(1, endpoint("s-a")))
    watcher.table.set_maintenance("s-a", enter=True)
    watcher.move(("10.2.0.9", 8500))
    watcher.table.apply_message(full_list(1, endpoint("s-a")), EndpointListKind.FULL)
    assert last_entry(posted, "s-a").state is EndpointState.DRAINING
