"""Deliberate faults of the network side: client connections, backends, discovery, start and shutdown.

Each function injects one fault into the code and returns a function that removes it. `mutants.MUTANTS` lists
the rules that have to detect it.
"""

from __future__ import annotations

from typing import Final

from ..decisions.messages import AttemptResult, EndpointList, EndpointListKind, EndpointState
from ..decisions.requests import RequestTable
from ..net import deadlines, dispatcher, lifecycle, resp, shutdown
from ..net.backends import attempts
from ..net.backends.connection import BackendConnection
from ..net.backends.pool import ConnectionPool
from ..net.clients import call_reader, connection, listener
from ..net.discovery.reader import ENDPOINT_STATES
from ..net.discovery.watch import Watch
from ..net.invariants import InvariantGuard
from .mutation import Undo, replace_attribute, undo_all

LATE_END_S: Final = 0.02  # long enough for a request to arrive before the end of its connection
EXCESS_TIMEOUT_NS: Final = 400_000_000  # beyond any tolerance of the rules
SHORTEST_TIMEOUT_NS: Final = 1_000_000  # a request must not be overdue when it is read


def queued_attempts_not_withdrawn() -> Undo:
    """An attempt queued for a connection is sent although its backend is draining by now."""
    return replace_attribute(ConnectionPool, "withdraw", lambda self, backend: None)


def draining_taken_for_ready() -> Undo:
    """A draining endpoint is treated as ready."""
    old = ENDPOINT_STATES["Terminating"]
    ENDPOINT_STATES["Terminating"] = EndpointState.READY
    return lambda: ENDPOINT_STATES.__setitem__("Terminating", old)


def silent_watch_kept() -> Undo:
    """A watch that became silent is never reopened."""
    return replace_attribute(Watch, "_check_silence", lambda self, _: None)


def two_answers() -> Undo:
    """A request can be answered twice: neither the dispatcher nor the connection guards against it."""

    def finish(self, session, answer):
        session.ended = True
        self.sessions.pop(session.id, None)
        session.client.answer(session, answer)
        return True

    old = connection.ClientConnection.__dict__["answer"]

    def answer_again(self, session, answer):
        if session not in self._answers.pending:
            self._answers._ready.append(resp.encode_bulk_string(answer.value))
        old(self, session, answer)

    return undo_all(
        replace_attribute(dispatcher.Dispatcher, "finish", finish),
        replace_attribute(connection.ClientConnection, "answer", answer_again),
    )


def answers_out_of_order() -> Undo:
    """Answers are written as they arrive, regardless of the order of the requests."""

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
                self._half_close()
            elif self.listener.closing:
                self.transport.close()

    return replace_attribute(connection.ClientConnection, "flush", flush)


def reset_taken_for_not_run() -> Undo:
    """A connection lost after a complete command is treated as if the command was never sent."""

    def lost(self, err):
        attempt, self.attempt = self.attempt, None
        self.owner.pool.on_connection_lost(self)
        if attempt is not None:
            self.owner.finish(attempt, AttemptResult.CONNECT_FAILED)

    return replace_attribute(BackendConnection, "connection_lost", lost)


def client_timeout_too_long() -> Undo:
    """A client's timeout is extended by a tenth."""
    old = call_reader.CallReader.__dict__["read"]

    def read(self, words, number, now):
        call, request = old(self, words, number, now)
        request.deadline_ns += (request.deadline_ns - now) // 10
        return call, request

    return replace_attribute(call_reader.CallReader, "read", read)


def client_timeout_of_previous_request() -> Undo:
    """Each request gets the timeout of the one before it."""
    old, last = call_reader.CallReader.__dict__["read"], [0]

    def read(self, words, number, now):
        call, request = old(self, words, number, now)
        last[0], request.deadline_ns = request.deadline_ns, max(last[0], now + SHORTEST_TIMEOUT_NS)
        return call, request

    return replace_attribute(call_reader.CallReader, "read", read)


def deadlines_ignored() -> Undo:
    """Neither an attempt's deadline nor the sweep of overdue requests ends a request.

    Either one alone is enough, so a mutant of one of them would change nothing.
    """

    def limit(self, attempt, at_ns):
        attempt.deadline = None

    return undo_all(
        replace_attribute(attempts.Attempts, "set_deadline", limit),
        replace_attribute(RequestTable, "pop_overdue", lambda self, now: []),
    )


def dispatcher_never_idle() -> Undo:
    """Every batch of the dispatcher schedules another one."""
    old = dispatcher.Dispatcher.__dict__["run_batch"]

    def run_batch(self):
        old(self)
        self.wake()

    return replace_attribute(dispatcher.Dispatcher, "run_batch", run_batch)


def simultaneous_deadline_lost() -> Undo:
    """Of two deadlines for the same instant, one is lost."""
    old = deadlines.Deadlines.__dict__["add"]

    def add(self, at_ns, then, about=None):
        if any(item[0] == at_ns for item in self._items):
            self._last_number += 1
            return at_ns, self._last_number
        return old(self, at_ns, then, about)

    return replace_attribute(deadlines.Deadlines, "add", add)


def connection_reused_with_unread_bytes() -> Undo:
    """A connection is reused although more bytes follow its answer, read or unread."""
    old = attempts.Attempts.__dict__["on_reply"]

    def on_reply(self, connection, attempt, reply, *, no_trailing_data):
        old(self, connection, attempt, reply, no_trailing_data=True)

    def updated(self, size):
        if self.attempt is None:
            return
        replies = self._parser.feed(bytes(self.owner.buffer[:size]))
        if replies:
            attempt, self.attempt = self.attempt, None
            self.owner.on_reply(self, attempt, replies[0], no_trailing_data=True)

    has_no_unread_data = property(lambda self: not self.transport.is_closing())
    return undo_all(
        replace_attribute(attempts.Attempts, "on_reply", on_reply),
        replace_attribute(BackendConnection, "buffer_updated", updated),
        replace_attribute(BackendConnection, "has_no_unread_data", has_no_unread_data),
    )


def connection_reused_after_timeout() -> Undo:
    """The connection of an abandoned attempt is used for the next one."""

    def drop(self):
        self.attempt = None
        self.owner.pool.add_idle(self)

    return replace_attribute(BackendConnection, "drop", drop)


def shutdown_at_once() -> Undo:
    """SIGTERM ends the gateway without a drain."""
    return replace_attribute(shutdown.GracefulShutdown, "begin", lambda self: self._end(None))


def shutdown_closes_with_answers_owed() -> Undo:
    """After SIGTERM a client connection is closed although answers are owed on it."""

    def close_if_idle(self, reason):
        if self.listener.closing:
            self.transport.close()
        return True

    return replace_attribute(connection.ClientConnection, "close_if_idle", close_if_idle)


def input_before_end_dropped() -> Undo:
    """Input between the decision to end a connection and its end is dropped."""
    old = connection.ClientConnection.__dict__["_half_close"]

    def end(self):
        self._closer.reading_ended = True
        self.dispatcher.loop.call_later(LATE_END_S, old, self)

    return replace_attribute(connection.ClientConnection, "_half_close", end)


def input_after_end_forwarded() -> Undo:
    """Input that arrives after the end of a connection was sent is processed like any other request."""
    old = connection.ClientConnection.__dict__["flush"]

    def buffer_updated(self, size):
        self._process_input(bytes(self.listener.read_buffer[:size]))

    def flush(self):
        if not self._closer.eof_sent_ns:  # nothing can be written any more
            old(self)

    return undo_all(
        replace_attribute(connection.ClientConnection, "buffer_updated", buffer_updated),
        replace_attribute(connection.ClientConnection, "flush", flush),
    )


def request_ids_leak() -> Undo:
    """The ids of requests that have ended are kept."""
    return replace_attribute(listener.ClientListener, "on_request_ended", lambda self, session: None)


def backend_connections_leak() -> Undo:
    """A backend connection that has ended still counts as open."""
    return replace_attribute(ConnectionPool, "on_connection_lost", lambda self, connection: None)


def cancelled_attempts_leak() -> Undo:
    """A cancelled attempt stays in flight."""

    def cancel(self, _, action):
        attempt = self.in_flight.get((action.request, action.attempt))
        if attempt is not None:
            self.dispatcher.deadlines.cancel(attempt.deadline)

    return replace_attribute(attempts.Attempts, "cancel", cancel)


def idempotency_key_lost() -> Undo:
    """The idempotency key is not forwarded."""
    old = attempts.call_command

    def call_command(call, remaining_ns):
        call.fields = [b"x=1" if field.startswith(b"k=") else field for field in call.fields]
        return old(call, remaining_ns)

    return replace_attribute(attempts, "call_command", call_command)


def malformed_answer_served() -> Undo:
    """A malformed answer is served: its first part is returned to the client."""

    def answer(reply):
        if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
            return bytes(reply[0]), b""
        return (bytes(reply), b"") if isinstance(reply, bytes) else None

    return replace_attribute(resp, "parse_answer", answer)


def invariant_guard_off() -> Undo:
    """The gateway's own invariant checks pass always, so that a checker has to detect the fault."""
    checks = ("may_send", "may_close", "may_be_ready", "may_end")
    return undo_all(
        *(replace_attribute(InvariantGuard, name, lambda self, *_, **__: True) for name in checks)
    )


def forwarded_after_client_left() -> Undo:
    """A request is forwarded after its client left, and none of its attempts is withdrawn."""
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
        """Never notifies the policy."""
        session.ended = True

    return undo_all(
        replace_attribute(attempts.Attempts, "forward", send),
        replace_attribute(dispatcher.Dispatcher, "abandon", abandon),
        replace_attribute(connection.ClientConnection, "has_disconnected", lambda self: False),
        replace_attribute(attempts.Attempts, "withdraw", lambda self, session: None),
    )


def elapsed_time_not_subtracted() -> Undo:
    """A backend is sent a timeout that is longer than the client's remaining time."""
    old = attempts.call_command

    def call_command(call, remaining_ns):
        return old(call, remaining_ns + EXCESS_TIMEOUT_NS)

    return replace_attribute(attempts, "call_command", call_command)


def ready_without_endpoints() -> Undo:
    """The endpoint list at the start is empty, and the gateway reports that it is ready all the same."""

    def begin(self):
        self._dispatcher.post(EndpointList(EndpointListKind.CACHED, 0, []))
        return True

    return replace_attribute(lifecycle.Lifecycle, "_apply_initial_list", begin)


def shutdown_closes_without_guard() -> Undo:
    """At SIGTERM each client connection is ended in the ordinary way, although answers are owed on it."""

    def close_if_idle(self, reason):
        if self.listener.closing:
            self._half_close()
        return True

    def shut_at_once(self, _):
        self._listener.shut_down()
        self._end_if_empty(None)

    return undo_all(
        replace_attribute(connection.ClientConnection, "close_if_idle", close_if_idle),
        replace_attribute(shutdown.GracefulShutdown, "_shut_if_quiet", shut_at_once),
    )
