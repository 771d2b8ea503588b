"""Backend servers under maintenance: passed to the policy and the pools as draining, whatever discovery says,
until the call back; then cold."""

from __future__ import annotations

from endpoint_lists import delta, endpoint, endpoint_table, endpoint_watcher, full_list, stub_dispatcher

from zincstile.decisions.messages import EndpointList, EndpointListKind, EndpointState
from zincstile.net.discovery.messages import endpoint_id
from zincstile.net.limits import SECOND


def world():
    """A watcher and its table, its clock, and what the decisions and the pool get of each change."""
    clock = [100 * SECOND]
    posted, pools = [], []
    dispatcher = stub_dispatcher(now_ns=lambda: clock[0], post=posted.append)
    table = endpoint_table(
        dispatcher,
        lambda endpoints, *, complete: pools.append([(entry.id, entry.state) for entry, _ in endpoints]),
        wall_ns=dispatcher.now_ns,
    )
    return endpoint_watcher(dispatcher, table), clock, posted, pools


def out_and_back(made, clock):
    made.begin(full_list(1, endpoint("s-a")))
    made.table.set_maintenance("s-a", enter=True)
    clock[0] += SECOND
    made.table.set_maintenance("s-a", enter=False)


def last_entry(posted, name):
    """What the policy received last of a name."""
    number = endpoint_id(name)
    return [b for e in posted if isinstance(e, EndpointList) for b in e.entries if b.id == number][-1]


def test_a_ban_is_a_drain_whatever_discovery_lists_and_one_call_back_ends_it():
    made, clock, posted, pools = world()
    made.begin(full_list(1, endpoint("s-a"), endpoint("s-b")))
    assert made.table.set_maintenance("s-a", enter=True)
    assert last_entry(posted, "s-a").state is EndpointState.DRAINING and pools[-1] == [
        (endpoint_id("s-a"), EndpointState.DRAINING)
    ]
    made.table.apply_message(full_list(2, endpoint("s-a"), endpoint("s-b")), EndpointListKind.FULL)
    assert (
        last_entry(posted, "s-a").state is EndpointState.DRAINING
        and last_entry(posted, "s-b").state is EndpointState.READY
    )
    made.table.set_maintenance("s-a", enter=True)  # again: harmless
    clock[0] += 3 * SECOND
    made.table.set_maintenance("s-a", enter=False)
    back = last_entry(posted, "s-a")
    assert back.state is EndpointState.READY and back.started_ns == clock[0]  # cold: restarted while out


def test_what_discovery_says_of_a_later_start_holds_after_the_call_back():
    made, clock, posted, _ = world()
    out_and_back(made, clock)
    reborn = last_entry(posted, "s-a").started_ns
    made.table.apply_message(delta(2, endpoint("s-a")), EndpointListKind.DELTA)
    assert (
        last_entry(posted, "s-a").started_ns == reborn
    )  # the old start that discovery still lists is not trusted
    clock[0] = 201 * SECOND
    made.table.apply_message(delta(3, endpoint("s-a", since_ms=200_000)), EndpointListKind.DELTA)
    assert last_entry(posted, "s-a").started_ns == 200_000 * 1_000_000 + made.table.reader.clock.offset_ns


def test_a_name_never_listed_is_no_and_a_ban_before_listing_holds_once_listed():
    made, _, posted, _ = world()
    made.begin(full_list(1, endpoint("s-a")))
    # Another process of this gateway may know the name.
    assert not made.table.set_maintenance("s-z", enter=True)
    made.table.apply_message(delta(2, endpoint("s-z")), EndpointListKind.DELTA)
    assert last_entry(posted, "s-z").state is EndpointState.DRAINING


def test_one_put_back_is_cold_to_a_new_version_too():
    """The new process is told how long ago that was."""
    old, clock, posted, _ = world()
    out_and_back(old, clock)
    new, new_clock, new_posted, _ = world()
    new_clock[0] = clock[0] + 5 * SECOND
    new.table.restore_returned({name: new_clock[0] - at for name, at in old.table.returned_at_ns().items()})
    new.begin(full_list(1, endpoint("s-a")))
    assert last_entry(new_posted, "s-a").started_ns == last_entry(posted, "s-a").started_ns == clock[0]


def test_a_ban_holds_when_discovery_moves():
    made, _, posted, _ = world()
    made.begin(full_list(1, endpoint("s-a")))
    made.table.set_maintenance("s-a", enter=True)
    made.move(("10.2.0.9", 8500))
    made.table.apply_message(full_list(1, endpoint("s-a")), EndpointListKind.FULL)
    assert last_entry(posted, "s-a").state is EndpointState.DRAINING
