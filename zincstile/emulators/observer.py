"""The interface that is notified of what the emulators see of a gateway, as it happens.

Times are not passed: an observer has the clock of the run. A request is named by the id that its client gave
it. The checkers implement this interface.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class ClientRequest:
    """A client's request as it was written; `connection` is the number of the connection it was sent on."""

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
    """Does nothing about what it is notified of; subclasses override what they need."""

    # ---- clients

    def request_sent(self, request: ClientRequest) -> None:
        """The request's last byte was written to a connection that is up."""

    def request_answered(self, request_id: bytes, kind: str, value: bytes) -> None:
        """The last byte of an answer has come: `served`, `denied` or `failed`."""

    def unexpected_answer(self, gateway: str, connection: int, text: str) -> None:
        """A client received an answer to nothing, or one that can't be read."""

    def request_dropped(self, request_id: bytes) -> None:
        """The gateway closed the connection after it had read the request, without an answer."""

    def request_unread(self, request_id: bytes) -> None:
        """The gateway closed the connection before it had read the request, which may be sent once more."""

    def client_disconnected(self, request_id: bytes) -> None:
        """The client closed the connection that it asked on, and waits no more."""
        self.request_ended_unanswered(request_id)

    def request_ended_unanswered(self, request_id: bytes) -> None:
        """No answer is owed: the client left, the gateway died or the request was never read."""

    # ---- backends

    def attempt_received(
        self, backend: str, request_id: bytes, key: bytes, gateway: str, work_ns: int
    ) -> None:
        """A backend received the last byte of an attempt, which takes `work_ns` of a warm core."""

    def attempt_rejected(self, backend: str, request_id: bytes) -> None:
        """A backend answered -BUSY: this attempt never ran."""

    def value_produced(self, backend: str, request_id: bytes, value: bytes) -> None:
        """A backend produced this value for the request."""

    def protocol_violated(self, receiver: str, gateway: str, reason: str) -> None:
        """The gateway sent an emulator something that the protocol does not have."""

    # ---- discovery

    def endpoint_changed(self, backend: str, status: str, since_ms: int) -> None:
        """Discovery has learnt this of a backend."""

    def gateway_notified(self, gateway: str, backend: str, status: str, since_ms: int) -> None:
        """Discovery has written this of a backend to the gateway."""
