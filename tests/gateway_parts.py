"""Helpers for tests that run parts of a gateway in their event loop: a dispatcher and a recording client."""

from __future__ import annotations

import asyncio

from zincstile.decisions.messages import Request
from zincstile.net.counters import Counters
from zincstile.net.dispatcher import Dispatcher
from zincstile.net.limits import SECOND, Limits
from zincstile.net.log import Log
from zincstile.net.session import Answer, AnswerKind, Call, Session

CUSTOMER = 7
CLIENT_TIMEOUT_NS = 9 * SECOND


class RecordingClient:
    """A client connection that records the answers and never disconnects."""

    def __init__(self) -> None:
        self.answers: list[tuple[int, AnswerKind]] = []

    def answer(self, session: Session, answer: Answer) -> None:
        """Records the answer."""
        self.answers.append((session.id, answer.kind))

    def has_disconnected(self) -> bool:
        """Always false: this client stays connected."""
        return False


def make_dispatcher(policy: object, limits: Limits | None = None) -> Dispatcher:
    """A dispatcher on the running event loop."""
    return Dispatcher(asyncio.get_running_loop(), policy, limits or Limits(), Counters(), Log("n0"))


def make_session(dispatcher: Dispatcher, client: RecordingClient, number: int) -> Session:
    """A session with an idempotent request."""
    call = Call(True, b"0" * 16, b"%d" % number, [b"c=look", b"d=9000"], 1, None)
    return Session(number, call, client, dispatcher.now_ns() + CLIENT_TIMEOUT_NS)


def submit_request(dispatcher: Dispatcher, client: RecordingClient, number: int) -> Session:
    """Submits a request to the dispatcher as a client connection does."""
    session = make_session(dispatcher, client, number)
    request = Request(number, 0, 0, CUSTOMER, session.deadline_ns, 1.0, 1, 0)
    dispatcher.submit(session, request)
    return session
