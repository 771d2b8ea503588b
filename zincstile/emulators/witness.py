"""What the stand-ins see of a gateway, told as it happens. The checkers of `rules` take this interface.

Times are not passed: whoever listens has the clock of the run. Requests go by the id that the client gave.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Asked:
    """A client's request, as it was written."""

    id: bytes
    cls: str
    plan: str
    customer: bytes
    units: float
    key: bytes
    wait_ms: int
    gateway: str
    line: int = 0  # number of the connection


class Witness:
    """Hears all and says nothing."""

    def asked(self, what: Asked) -> None:
        """Its last byte is written to a connection that is up."""

    def answered(self, request: bytes, kind: str, value: bytes) -> None:
        """The last byte of an answer has come: `served`, `denied` or `failed`."""

    def unasked(self, gateway: str, line: int, text: str) -> None:
        """An answer to nothing, or one that can't be read, has come to a client."""

    def dropped(self, request: bytes) -> None:
        """The gateway ended the connection after it had read the request, without an answer."""

    def crossed(self, request: bytes) -> None:
        """The gateway ended the connection before it had read the request, which may be sent once more."""

    def left(self, request: bytes) -> None:
        """The client has closed the connection that it asked on, and waits no more."""
        self.void(request)

    def void(self, request: bytes) -> None:
        """Nothing is owed any more: the client left, the gateway died or the connection never carried it."""

    def arrived(self, box: str, request: bytes, key: bytes, gateway: str, work_ns: int) -> None:
        """The last byte of an attempt has come to a guide box; this much work of a warm core it brings."""

    def turned_away(self, box: str, request: bytes) -> None:
        """The guide box answered -BUSY: this attempt never ran."""

    def made(self, box: str, request: bytes, value: bytes) -> None:
        """The guide box made this value for the request."""

    def foreign(self, where: str, gateway: str, why: str) -> None:
        """The gateway sent a stand-in what the protocol does not have."""

    def changed(self, box: str, status: str, since_ms: int) -> None:
        """Discovery has got to know this of a guide box."""

    def told(self, gateway: str, box: str, status: str, since_ms: int) -> None:
        """Discovery has written it to the gateway."""
