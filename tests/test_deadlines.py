from zincstile.net.deadlines import Deadlines


def pop_arguments(deadlines, now):
    return [argument for *_, argument in deadlines.pop_due(now)]


def test_due_deadlines_are_returned_in_order_and_once():
    deadlines = Deadlines()
    for at in (30, 10, 20, 10):
        deadlines.add(at, print, at)
    assert deadlines.next_ns == 10
    assert (
        pop_arguments(deadlines, 9) == []
        and pop_arguments(deadlines, 20) == [10, 10, 20]
        and pop_arguments(deadlines, 20) == []
    )
    assert deadlines.next_ns == 30


def test_a_cancelled_deadline_is_not_returned():
    deadlines = Deadlines()
    keys = [deadlines.add(at, print, at) for at in (10, 10, 20)]
    deadlines.cancel(keys[0])
    deadlines.cancel(keys[0])  # a second time is allowed
    deadlines.cancel(None)
    assert pop_arguments(deadlines, 10) == [10] and len(deadlines) == 1
    deadlines.cancel(keys[1])  # it has passed
    assert pop_arguments(deadlines, 20) == [20] and deadlines.next_ns is None
