"""When the answer of each request is due."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import NamedTuple

from .history import RequestHistory, RequestState, SentRequest
from .rules import MS_NS, RuleLimits


class Deadline(NamedTuple):
    """Until when an answer has to come, and when its client has waited for long enough."""

    due_ns: int
    expires_ns: int


class AnswerDeadlines:
    """Deadlines by request, by connection and in order of time."""

    def __init__(self, limits: RuleLimits) -> None:
        """Begin with no request."""
        self.limits = limits
        self._heap: list[tuple[int, bytes]] = []  # due times and requests
        self._connection_due_ns: dict[int, int] = {}  # of the last request of a connection
        self._paused_until_ns: dict[str, int] = {}  # by gateway: until when it gets no CPU

    def request_sent(self, request: SentRequest, now_ns: int) -> Deadline:
        """The deadline of a request that is sent now."""
        # A paused gateway reads it so much later, and what waits behind others has their time too.
        pause_ns = max(0, self._paused_until_ns.get(request.gateway, 0) - now_ns)
        expires_ns = now_ns + pause_ns + request.timeout_ms * MS_NS
        due_ns = expires_ns + self.limits.answer_grace_ns
        due_ns = max(due_ns, self._connection_due_ns.get(request.connection, 0))
        self._connection_due_ns[request.connection] = due_ns
        heapq.heappush(self._heap, (due_ns, request.id))
        return Deadline(due_ns, expires_ns)

    def gateway_paused(self, gateway: str, until_ns: int) -> None:
        """What a gateway is sent until then it reads later."""
        self._paused_until_ns[gateway] = until_ns

    def postpone(self, history: RequestHistory, by_ns: int) -> None:
        """Give a request more time."""
        history.due_ns += by_ns
        history.expires_ns += by_ns
        latest_ns = self._connection_due_ns.get(history.connection, 0)
        self._connection_due_ns[history.connection] = max(history.due_ns, latest_ns)
        heapq.heappush(self._heap, (history.due_ns, history.id))

    def overdue(self, now_ns: int, histories: dict[bytes, RequestHistory]) -> Iterator[RequestHistory]:
        """Open requests whose answer was due before now; each comes once."""
        while self._heap and self._heap[0][0] < now_ns:
            due_ns, request_id = heapq.heappop(self._heap)
            history = histories[request_id]
            if history.state is RequestState.OPEN and history.due_ns <= due_ns:
                yield history
