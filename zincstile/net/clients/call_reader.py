"""A client's command, read: what it asks of the module, and what is passed on to a backend server."""

from __future__ import annotations

from ...decisions.messages import Request
from ...decisions.settings import Idempotency, Settings
from ..session import Call

READ, WRITE = b"CALL.GET", b"CALL.POST"


class CallError(ValueError):
    """A command that is no call; the text is for the client."""


class CallReader:
    """Reads a client's command: what it asks of the module, and what is passed on."""

    __slots__ = ("classes", "specs", "plans", "margin_ns", "gateways", "largest_units", "id_bytes")

    def __init__(self, settings: Settings, margin_ns: int, id_bytes: int) -> None:
        self.gateways, self.largest_units = settings.gateways, settings.largest_units
        self.id_bytes = id_bytes
        self.specs = settings.classes
        self.classes = {c.name.encode(): (k, c) for k, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): k for k, p in enumerate(settings.plans)}
        self.margin_ns = margin_ns

    def read(self, words: list[bytes], number: int, now: int) -> tuple[Call, Request]:
        verb = words[0].upper()
        if verb != READ and verb != WRITE:
            raise CallError("unknown command")
        if not 4 <= len(words) <= (4 if verb == READ else 5):
            raise CallError("wrong number of words")
        fields = words[3].split(b",")
        given: dict[bytes, bytes] = {}
        wait_at = -1
        for at, field in enumerate(fields):
            name, equals, value = field.partition(b"=")
            if not equals or name in given:
                raise CallError("malformed list of names and values")
            if name == b"d":
                wait_at = at
            given[name] = value
        try:
            cls, spec = self.classes[given[b"c"]]
            plan = self.plans[given[b"t"]]
            digits = (given[b"d"], given[b"spread"], given[b"first"])
            if not all(d.isdigit() for d in digits):  # int() would take signs, blanks and underlines too
                raise ValueError
            wait_ms, spread, first = (int(d) for d in digits)
            units, customer = float(given[b"units"]), int(words[1], 16)
        except KeyError as err:
            raise CallError(f"missing or unknown: {err.args[0]!r}") from None
        except ValueError:
            raise CallError("a value that is no number") from None
        if (
            len(words[1]) != 16
            or not words[1].isalnum()
            or customer >= 2**33
            or not 0 < len(words[2]) <= self.id_bytes
        ):
            raise CallError("no such customer or id")
        # Guards the customer's quota too: what a stranger says under its name would be remembered.
        if not (
            0 < wait_ms <= 3_600_000
            and 0 < units <= self.largest_units
            and 0 < spread <= self.gateways
            and first < self.gateways
        ):
            raise CallError("a value out of range")
        if (spec.effect is Idempotency.ALWAYS) != (verb == READ):
            raise CallError("the wrong command for this class")
        if spec.effect is Idempotency.BY_KEY and not given.get(b"k"):
            raise CallError("no key")
        wait_ns = wait_ms * 1_000_000
        give_up = now + wait_ns - min(self.margin_ns, wait_ns // 2)
        call = Call(verb == READ, words[1], words[2], fields, wait_at, words[4] if len(words) > 4 else None)
        return call, Request(
            number, cls, plan, customer, give_up, units, spread, first, given.get(b"r") == b"1"
        )
