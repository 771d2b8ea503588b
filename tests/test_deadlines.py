from zincstile.net.deadlines import Deadlines


def due(deadlines, now):
    return [about for *_, about in deadlines.pop_due(now)]


def test_deadlines_are_swept_in_order_and_once():
    d = Deadlines()
    for at in (30, 10, 20, 10):
        d.add(at, print, at)
    assert d.next_ns == 10
    assert due(d, 9) == [] and due(d, 20) == [10, 10, 20] and due(d, 20) == []
    assert d.next_ns == 30


def test_a_deadline_can_be_taken_back():
    d = Deadlines()
    keys = [d.add(at, print, at) for at in (10, 10, 20)]
    d.cancel(keys[0])
    d.cancel(keys[0])  # twice is no fault
    d.cancel(None)
    assert due(d, 10) == [10] and len(d) == 1
    d.cancel(keys[1])  # it has passed
    assert due(d, 20) == [20] and d.next_ns is None
