"""Deliberate faults of the gateway and its module: each must be named by the right rule, within some seeds.

A mutant that no seed names is a hole in the worlds or the checkers. Each is a function that changes the
code in this process and gives what puts it back; `try_all` plays seed after seed under it, in a process
of its own.
"""

from __future__ import annotations

import multiprocessing
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import Any

from ..decisions.capacity import Capacity
from ..decisions.load_balancing import LoadBalancer
from ..decisions.messages import AttemptResult, EndpointList, EndpointListKind, EndpointState
from ..decisions.outcomes import Outcomes
from ..decisions.quotas import QuotaLedger
from ..decisions.requests import RequestTable
from ..decisions.retries import Retries
from ..decisions.settings import Idempotency
from ..decisions.slow_start import SlowStart
from ..net import deadlines, dispatcher, lifecycle, resp, shutdown
from ..net.backends import attempts
from ..net.backends.connection import BackendConnection
from ..net.backends.pool import ConnectionPool
from ..net.clients import call_reader, connection, listener
from ..net.discovery.reader import ENDPOINT_STATES
from ..net.discovery.watch import Watch
from ..net.invariants import InvariantGuard
from . import plan
from .world import Run

Undo = Callable[[], None]


@dataclass(slots=True)
class Row:
    """What came of one mutant: the rule that named it, and how many seeds that took; None: not named."""

    name: str
    rule: str
    seeds: int | None
    seed: int | None = None


@dataclass(slots=True)
class Mutant:
    """A fault, and the rules by which it may rightly be named."""

    rules: tuple[str, ...]
    put: Callable[[], Undo]


def _swap(owner: Any, name: str, new: Any) -> Undo:
    old = owner.__dict__[name]
    setattr(owner, name, new)
    return lambda: setattr(owner, name, old)


def _both(*undo: Undo) -> Undo:
    def put_back() -> None:
        for one in undo:
            one()

    return put_back


def _no_withdrawal() -> Undo:
    """What waits for a connection is begun although the box drains by now."""
    return _swap(ConnectionPool, "withdraw", lambda self, backend: None)


def _drain_unseen() -> Undo:
    """A box that drains is taken for one that is ready."""
    old = ENDPOINT_STATES["Terminating"]
    ENDPOINT_STATES["Terminating"] = EndpointState.READY
    return lambda: ENDPOINT_STATES.__setitem__("Terminating", old)


def _watch_trusted() -> Undo:
    """A watch that fell silent is never opened anew."""
    return _swap(Watch, "_check_silence", lambda self, _: None)


def _two_answers() -> Undo:
    """The guard of the one final answer is left out, here and where answers are written."""

    def finish(self, session, answer):
        session.ended = True
        self.sessions.pop(session.id, None)
        session.client.answer(session, answer)
        return True

    old = connection.ClientConnection.__dict__["answer"]

    def again(self, session, answer):
        if session not in self._answers.pending:
            self._answers._ready.append(resp.bulk(answer.value))
        old(self, session, answer)

    return _both(
        _swap(dispatcher.Dispatcher, "finish", finish), _swap(connection.ClientConnection, "answer", again)
    )


def _out_of_order() -> Undo:
    """Answers go out as they come, whatever was asked before."""

    def flush(self):
        self._flush_scheduled = False
        answers = self._answers
        ready = [entry for entry in answers.pending if isinstance(entry, bytes) or entry.reply is not None]
        for entry in ready:
            answers.pending.remove(entry)
            answers._ready.append(entry if isinstance(entry, bytes) else entry.reply)
        out, answers._ready = answers._ready, []
        if out and not self.transport.is_closing():
            self.transport.write(b"".join(out))
        if not answers.pending:
            self.idle_since_ns = self.dispatcher.now_ns()
            if self._closer.reading_ended:
                self._end()
            elif self.listener.closing:
                self.transport.close()

    return _swap(connection.ClientConnection, "flush", flush)


def _any_rack() -> Undo:
    """A key that may have run goes to whatever rack."""
    return _swap(LoadBalancer, "may_use", lambda self, pending, endpoint: endpoint not in pending.tried)


def _repeats_all() -> Undo:
    """What may not run again is tried again like anything else."""
    old = Retries.__dict__["retry_or_end"]

    def retry_or_end(self, now, pending, cost):
        pending.may_have_run_at = None
        old(self, now, pending, cost)

    return _swap(Retries, "retry_or_end", retry_or_end)


def _window_forgotten() -> Undo:
    """A key goes out again however long ago its first attempt was, and to any box."""
    old = Retries.__dict__["retry"]

    def retry(self, now, pending, cost):
        if pending.request_class.effect is Idempotency.BY_KEY:
            pending.may_have_run_at = None
        return old(self, now, pending, cost)

    return _swap(Retries, "retry", retry)


def _reset_never_ran() -> Undo:
    """A connection that breaks behind a whole command is taken for one that never carried it."""

    def lost(self, err):
        attempt, self.attempt = self.attempt, None
        self.owner.pool.lost(self)
        if attempt is not None:
            self.owner.finish(attempt, AttemptResult.CONNECT_FAILED)

    return _swap(BackendConnection, "connection_lost", lost)


def _copies_all() -> Undo:
    """A second copy goes out beside a silent first, whatever the class."""

    def hedge(self, now, pending, first):
        if pending.in_flight <= 1:
            self.retry(now, pending, 1)

    return _swap(Retries, "hedge", hedge)


def _cold_unlimited() -> Undo:
    """All that is sent goes to the cold boxes, whatever they can do."""

    def shares_of(self, warmths, healthy, most):
        return [(k + 1) / len(warmths) for k in range(len(warmths))]

    return _swap(SlowStart, "shares_of", shares_of)


def _cold_unseen() -> Undo:
    """When a box started is not looked at: a cold one is taken for a warm one."""
    return _swap(Capacity, "warmth", lambda self, now, endpoint: 1.0)


def _ceiling_ignored() -> Undo:
    """Each gateway takes the whole of every ceiling for itself."""
    return _swap(QuotaLedger, "ceiling_part", lambda self, now, customer, plan: 1.0)


def _give_up_late() -> Undo:
    """The time that a client waits is counted a tenth too long."""
    old = call_reader.CallReader.__dict__["read"]

    def read(self, words, number, now):
        call, request = old(self, words, number, now)
        request.give_up_ns += (request.give_up_ns - now) // 10
        return call, request

    return _swap(call_reader.CallReader, "read", read)


def _give_up_one_off() -> Undo:
    """Each request is given the time of the one before it."""
    old, last = call_reader.CallReader.__dict__["read"], [0]

    def read(self, words, number, now):
        call, request = old(self, words, number, now)
        last[0], request.give_up_ns = request.give_up_ns, max(last[0], now + 1_000_000)
        return call, request

    return _swap(call_reader.CallReader, "read", read)


def _deadlines_off() -> Undo:
    """Neither an attempt's time nor the module's guard ends a request. One alone does: they back each
    other."""

    def limit(self, attempt, at_ns):
        attempt.deadline = None

    return _both(
        _swap(attempts.Attempts, "set_deadline", limit), _swap(RequestTable, "overdue", lambda self, now: [])
    )


def _never_rests() -> Undo:
    """Every turn asks for the next."""
    old = dispatcher.Dispatcher.__dict__["run_batch"]

    def run_batch(self):
        old(self)
        self.wake()

    return _swap(dispatcher.Dispatcher, "run_batch", run_batch)


def _deadline_lost() -> Undo:
    """Of two deadlines for the same time, one is lost."""
    old = deadlines.Deadlines.__dict__["add"]

    def add(self, at_ns, then, about=None):
        if any(item[0] == at_ns for item in self._items):
            self._number += 1
            return at_ns, self._number
        return old(self, at_ns, then, about)

    return _swap(deadlines.Deadlines, "add", add)


def _reused_dirty() -> Undo:
    """A connection is used again with bytes behind its answer, read or not."""
    old = attempts.Attempts.__dict__["answered"]

    def answered(self, connection, attempt, reply, *, alone):
        old(self, connection, attempt, reply, alone=True)

    def updated(self, size):
        if self.attempt is None:
            return
        replies = self._parser.feed(bytes(self.owner.buffer[:size]))
        if replies:
            attempt, self.attempt = self.attempt, None
            self.owner.answered(self, attempt, replies[0], alone=True)

    nothing_received = property(lambda self: not self.transport.is_closing())
    return _both(
        _swap(attempts.Attempts, "answered", answered),
        _swap(BackendConnection, "buffer_updated", updated),
        _swap(BackendConnection, "nothing_received", nothing_received),
    )


def _kept_after_timeout() -> Undo:
    """An attempt that is given up leaves its connection to the next one."""

    def drop(self):
        self.attempt = None
        self.owner.pool.add_idle(self)

    return _swap(BackendConnection, "drop", drop)


def _stop_at_once() -> Undo:
    """SIGTERM ends the gateway where it stands."""
    return _swap(shutdown.GracefulShutdown, "begin", lambda self: self._end(None))


def _stop_forgets() -> Undo:
    """After SIGTERM a connection is closed whether something is owed on it or not."""

    def close_if_idle(self, reason):
        if self.listener.closing:
            self.transport.close()
        return True

    return _swap(connection.ClientConnection, "close_if_idle", close_if_idle)


def _read_before_end_dropped() -> Undo:
    """What is read between the decision to end a connection and its end is thrown away."""
    old = connection.ClientConnection.__dict__["_end"]

    def end(self):
        self._closer.reading_ended = True
        self.dispatcher.loop.call_later(0.02, old, self)

    return _swap(connection.ClientConnection, "_end", end)


def _read_after_end_sent_on() -> Undo:
    """What is read after a connection's end was sent is taken for a request like any other."""
    old = connection.ClientConnection.__dict__["flush"]

    def buffer_updated(self, size):
        self._read(bytes(self.listener.buffer[:size]))

    def flush(self):
        if not self._closer.end_sent_ns:  # nothing can be written any more
            old(self)

    return _both(
        _swap(connection.ClientConnection, "buffer_updated", buffer_updated),
        _swap(connection.ClientConnection, "flush", flush),
    )


def _ids_leak() -> Undo:
    """The ids of requests that are over are kept."""
    return _swap(listener.ClientListener, "on_request_ended", lambda self, session: None)


def _connections_leak() -> Undo:
    """A connection to a box that has ended is still counted."""
    return _swap(ConnectionPool, "lost", lambda self, connection: None)


def _attempts_leak() -> Undo:
    """A cancelled attempt is left as it is."""

    def cancel(self, _, action):
        attempt = self.in_flight.get((action.request, action.attempt))
        if attempt is not None:
            self.dispatcher.deadlines.cancel(attempt.deadline)

    return _swap(attempts.Attempts, "cancel", cancel)


def _key_lost() -> Undo:
    """The key is not passed on."""
    old = attempts.call_command

    def call_command(call, remaining_ns):
        call.fields = [b"x=1" if field.startswith(b"k=") else field for field in call.fields]
        return old(call, remaining_ns)

    return _swap(attempts, "call_command", call_command)


def _length_trusted() -> Undo:
    """Whatever comes first in an answer is served."""

    def answer(reply):
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            return bytes(reply[0]), b""
        return (bytes(reply), b"") if isinstance(reply, bytes) else None

    return _both(_swap(resp, "answer", answer))


def _fault_in_turn() -> Undo:
    """An outcome that comes when its request is over is not borne."""
    old = Outcomes.__dict__["on_attempt_outcome"]

    def on_attempt_outcome(self, now, outcome):
        _ = self.requests.pending[outcome.request]
        old(self, now, outcome)

    return _swap(Outcomes, "on_attempt_outcome", on_attempt_outcome)


def _guard_blind() -> Undo:
    """The gateway's own checks let everything pass: what is wrong has to be named from outside."""
    checks = ("may_send", "may_close", "may_be_ready", "may_end")
    return _both(*(_swap(InvariantGuard, name, lambda self, *about: True) for name in checks))


def _unguarded(put: Callable[[], Undo]) -> Callable[[], Undo]:
    """The fault, with the gateway's own checks blind to it."""
    return lambda: _both(put(), _guard_blind())


def _sent_on_for_nobody() -> Undo:
    """Whether the client has left is not looked at, and nothing of it is taken back."""
    old = attempts.Attempts.__dict__["forward"]

    def send(self, now, action):
        session = self.dispatcher.sessions.get(action.request) or self.dispatcher.ended_sessions.get(
            action.request
        )
        if session is not None and session.ended:
            session.ended = False
            old(self, now, action)
            session.ended = True
            return
        old(self, now, action)

    def abandon(self, session):
        """The module is never told."""
        session.ended = True

    return _both(
        _swap(attempts.Attempts, "forward", send),
        _swap(dispatcher.Dispatcher, "abandon", abandon),
        _swap(connection.ClientConnection, "has_left", lambda self: False),
        _swap(attempts.Attempts, "withdraw", lambda self, session: None),
    )


def _time_not_counted() -> Undo:
    """A server is told the time that the client had at first, whatever has passed since."""
    old = attempts.call_command

    def call_command(call, remaining_ns):
        return old(call, remaining_ns + 400_000_000)

    return _swap(attempts, "call_command", call_command)


def _ready_with_nothing() -> Undo:
    """The list of the start is thrown away, and the gateway says that it is ready all the same."""

    def begin(self):
        self._dispatcher.post(EndpointList(EndpointListKind.CACHED, 0, []))
        return True

    return _swap(lifecycle.Lifecycle, "_begin_list", begin)


def _closed_beneath() -> Undo:
    """At SIGTERM each connection is ended by the ordinary way, whether something is owed on it or not."""

    def close_if_idle(self, reason):
        if self.listener.closing:
            self._end()
        return True

    def shut_at_once(self, _):
        self._listener.shut_down()
        self._end_if_empty(None)

    return _both(
        _swap(connection.ClientConnection, "close_if_idle", close_if_idle),
        _swap(shutdown.GracefulShutdown, "_shut_if_quiet", shut_at_once),
    )


MUTANTS: dict[str, Mutant] = {
    "withdrawal-left-out": Mutant(("drain",), _unguarded(_no_withdrawal)),
    "drain-unseen": Mutant(("drain",), _drain_unseen),
    "watch-trusted": Mutant(("drain",), _watch_trusted),
    "two-answers": Mutant(("answer",), _two_answers),
    "answers-out-of-order": Mutant(("answer", "value"), _out_of_order),
    "key-to-any-rack": Mutant(("repeat",), _unguarded(_any_rack)),
    "repeats-all": Mutant(("repeat",), _unguarded(_repeats_all)),
    "key-forgets-its-rack": Mutant(("repeat",), _unguarded(_window_forgotten)),
    "reset-never-ran": Mutant(("repeat",), _unguarded(_reset_never_ran)),
    "copies-all": Mutant(("repeat",), _unguarded(_copies_all)),
    "cold-unlimited": Mutant(("cold",), _cold_unlimited),
    "cold-unseen": Mutant(("cold",), _cold_unseen),
    "ceiling-ignored": Mutant(("ceiling",), _ceiling_ignored),
    "give-up-late": Mutant(("answer", "deadline"), _give_up_late),
    "give-up-one-off": Mutant(("answer", "deadline"), _give_up_one_off),
    "deadlines-off": Mutant(("answer",), _deadlines_off),
    "never-rests": Mutant(("progress",), _never_rests),
    "deadline-lost": Mutant(("answer", "resources"), _deadline_lost),
    "connection-reused-dirty": Mutant(("value", "resources"), _reused_dirty),
    "kept-after-timeout": Mutant(("value", "resources"), _kept_after_timeout),
    "stop-at-once": Mutant(("answer",), _unguarded(_stop_at_once)),
    "stop-forgets": Mutant(("answer",), _stop_forgets),
    "read-before-end-dropped": Mutant(("answer",), _read_before_end_dropped),
    "read-after-end-sent-on": Mutant(("answer",), _read_after_end_sent_on),
    "ids-leak": Mutant(("resources",), _ids_leak),
    "connections-leak": Mutant(("resources",), _connections_leak),
    "attempts-leak": Mutant(("resources",), _attempts_leak),
    "key-lost": Mutant(("foreign",), _key_lost),
    "any-answer-served": Mutant(("value",), _length_trusted),
    "sent-on-for-nobody": Mutant(("left",), _unguarded(_sent_on_for_nobody)),
    "time-not-counted": Mutant(("deadline",), _time_not_counted),
    "checked-withdrawal": Mutant(("invariant",), _no_withdrawal),
    "checked-send": Mutant(("invariant",), _sent_on_for_nobody),
    "checked-repeat": Mutant(("invariant",), _copies_all),
    "checked-close": Mutant(("invariant",), _closed_beneath),
    "checked-end": Mutant(("invariant",), _stop_at_once),
    "checked-start": Mutant(("invariant",), _ready_with_nothing),
    "outcome-not-borne": Mutant(("resources",), _fault_in_turn),
}


def find(name: str, most: int, first: int = 1) -> Row:
    """Seeds from `first` on, until one breaks a rule that names the mutant."""
    mutant = MUTANTS[name]
    undo = mutant.put()
    try:
        for number, seed in enumerate(range(first, first + most), 1):
            breach = Run(plan.draw(seed)).play().breach
            if breach is not None and breach.rule in mutant.rules:
                return Row(name, breach.rule, number, seed)
    finally:
        undo()
    return Row(name, "", None)


def _find(job: tuple[str, int]) -> Row:
    return find(*job)


def try_all(names: tuple[str, ...], most: int, jobs: int) -> Iterator[Row]:
    """In the order of the names."""
    with multiprocessing.get_context("spawn").Pool(min(jobs, len(names))) as pool:
        yield from pool.imap(_find, [(name, most) for name in names])
