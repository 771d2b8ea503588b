"""The interface that is notified of what the emulators see of a gateway, as it happens.

Times are not passed, as an observer has access to the clock of the run. A request is identified by the id
that its client gave it. The checkers implement this interface.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClientRequest:
    """A client's request as it was sent; `connection` is the number of its connection."""

    id: bytes
    request_class: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    timeout_ms: int
    gateway: str
    connection: int = 0


class Observer:
    """Ignores all notifications; subclasses override those that they need."""

    # ---- clients

    def request_sent(self, request: ClientRequest) -> None:
        """The last byte of a request was written to an open connection."""

    def request_answered(self, request_id: bytes, kind: str, value: bytes) -> None:
        """The last byte of an answer was received; `kind` is `served`, `denied` or `failed`."""

    def unexpected_answer(self, gateway: str, connection: int, text: str) -> None:
        """A client received an answer without a request, or one that can't be parsed."""

    def request_dropped(self, request_id: bytes) -> None:
        """The gateway read the request and closed the connection without an answer."""

    def request_unread(self, request_id: bytes) -> None:
        """The gateway closed the connection before it read the request, which may be sent once more."""

    def client_disconnected(self, request_id: bytes) -> None:
        """The client closed the connection of its request without waiting for the answer."""
        self.request_ended_unanswered(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """No answer is expected: the client left, the gateway died or the request was never read."""

    # ---- backends

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """A backend received the last byte of an attempt, which takes `work_ns` on a warm core."""

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """A backend answered -BUSY: the attempt is never executed."""

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """A backend produced this value for the request."""

    def protocol_violated(self, receiver: str, gateway: str, reason: str) -> None:
        """The gateway sent an emulator input that violates the protocol."""

    # ---- discovery

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """The status of a backend in discovery's endpoint list changed."""

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """Discovery sent the status of a backend to the gateway."""
