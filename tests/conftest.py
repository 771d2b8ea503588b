from __future__ import annotations

import pytest

from zincstile.decisions import messages as i
from zincstile.decisions.policy import Policy

MS = 1_000_000
SECOND = 1000 * MS


def settings(**over):
    """A small service: one safe, one unsafe and one keyed class, one plan."""
    base = {
        "me": 0,
        "gateways": 1,
        "peers": True,
        "cancel": True,
        "second_copies": True,
        "retry_after": True,
        "max_attempts": 3,
        "max_retry_after_ns": 400 * MS,
        "peer_in_per_s": 50.0,
        "largest_units": 4.0,
        "classes": [
            i.ClassSpec("look", SECOND, 4 * SECOND, i.Effect.SAFE, 1.0),
            i.ClassSpec("book", SECOND, 4 * SECOND, i.Effect.UNSAFE, 3.0),
            i.ClassSpec(
                "put", SECOND, 4 * SECOND, i.Effect.KEYED, 2.0, group=i.Group.ZONE, window_ns=500 * MS
            ),
        ],
        "plans": [i.PlanSpec("only", rate=1000.0, burst=2000.0)],
    }
    return i.Settings(**(base | over))


def backend(number, zone=0, mode=i.Mode.READY, started=0, cell=0):
    return i.Backend(number, zone, 0, cell, mode, 1.0, started)


class Gateway:
    """One policy, fed by hand."""

    def __init__(self, over=None, backends=2, seed=1, now=10 * SECOND, start=True):
        self.policy = Policy(settings(**(over or {})), seed)
        self.now, self.ids = now, 0
        self.first = self.feed(i.Started()) if start else []
        if backends:
            self.list([backend(n) for n in range(1, backends + 1)])

    def feed(self, event, after=0):
        self.now += after
        return self.policy.handle(self.now, event)

    def list(self, entries, kind=i.ListKind.FULL, after=0):
        return self.feed(i.BackendList(kind, 1, entries), after)

    def ask(self, cls=0, plan=0, customer=7, units=1.0, spread=1, first=0, life=4 * SECOND, after=0):
        self.now += after
        self.ids += 1
        event = i.Request(self.ids, cls, plan, customer, self.now + life, units, spread, first)
        return self.ids, self.policy.handle(self.now, event)

    def outcome(self, rid, attempt, where, result, after=10 * MS, finished=None, latency=None, units=0.0):
        done = result is i.Result.OK if finished is None else finished
        event = i.Outcome(
            rid, attempt, where, result, after if latency is None else latency, done, true_units=units
        )
        return self.feed(event, after)

    def tick(self, after=100 * MS):
        return self.feed(i.Timer(2), after)


def only(actions, kind):
    return [a for a in actions if isinstance(a, kind)]


@pytest.fixture
def gateway():
    return Gateway
