"""Computes when the answer to each request is due."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from .history import RequestHistory, RequestState, SentRequest
from .rules import MS_NS, RuleLimits


class Deadline(NamedTuple):
    """When an answer is due, and when the client's own timeout expires."""

    due_ns: int
    expires_ns: int


class AnswerDeadlines:
    """The deadlines of all requests, ordered by time."""

    def __init__(self, limits: RuleLimits) -> None:
        """Starts without requests."""
        self.limits = limits
        self._due_queue: list[tuple[int, bytes]] = []  # due time and request id
        self._connection_due_ns: dict[int, int] = {}  # due time of the last request on a connection
        self._paused_until_ns: dict[str, int] = {}  # by gateway: until when it gets no CPU

    def request_sent(self, request: SentRequest, now_ns: int) -> Deadline:
        """Registers a request that is sent now, and returns its deadline."""
        # A paused gateway reads the request after its pause. Answers keep the order of their connection, so
        # that a request may be answered as late as the requests before it.
        pause_ns = max(0, self._paused_until_ns.get(request.gateway, 0) - now_ns)
        expires_ns = now_ns + pause_ns + request.timeout_ms * MS_NS
        due_ns = expires_ns + self.limits.answer_grace_ns
        due_ns = max(due_ns, self._connection_due_ns.get(request.connection, 0))
        self._connection_due_ns[request.connection] = due_ns
        heapq.heappush(self._due_queue, (due_ns, request.id))
        return Deadline(due_ns, expires_ns)

    def gateway_paused(self, gateway: str, until_ns: int) -> None:
        """Extends the deadline of each request that is sent to the gateway during the pause."""
        self._paused_until_ns[gateway] = until_ns

    def postpone(self, history: RequestHistory, extension_ns: int) -> None:
        """Extends the deadline of a request."""
        history.due_ns += extension_ns
        history.expires_ns += extension_ns
        latest_ns = self._connection_due_ns.get(history.connection, 0)
        self._connection_due_ns[history.connection] = max(history.due_ns, latest_ns)
        heapq.heappush(self._due_queue, (history.due_ns, history.id))

    def pop_overdue(self, now_ns: int, histories: dict[bytes, RequestHistory]) -> Iterator[RequestHistory]:
        """Yields each open request whose answer was due before now, once."""
        while self._due_queue and self._due_queue[0][0] < now_ns:
            due_ns, request_id = heapq.heappop(self._due_queue)
            history = histories[request_id]
            if history.state is RequestState.OPEN and history.due_ns <= due_ns:
                yield history
