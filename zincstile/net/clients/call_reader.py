"""Checks a client's command and makes of it a request for the policy and a call to be forwarded."""

from __future__ import annotations

from typing import Final

from ...decisions.messages import Request
from ...decisions.settings import Idempotency, Settings
from ..session import Call

READ: Final = b"CALL.GET"  # of classes that may always run again
WRITE: Final = b"CALL.POST"
ARGUMENTS_WITHOUT_BODY: Final = 4  # verb, customer, id, fields
LONGEST_WAIT_MS: Final = 3_600_000  # an hour: more can only be a mistake
CUSTOMER_DIGITS: Final = 16  # hexadecimal
CUSTOMERS: Final = 2**33  # ids of customers are below


class CallError(ValueError):
    """A command that is no call; the text is for the client."""


class CallReader:
    """Reads commands by the names and bounds of the settings."""

    __slots__ = (
        "request_classes",
        "_class_by_name",
        "_plan_by_name",
        "_margin_ns",
        "_gateways",
        "_largest_units",
        "_id_bytes",
    )

    def __init__(self, settings: Settings, margin_ns: int, id_bytes: int) -> None:
        """`request_transit_ns`: taken off a client's wait for the way here; `id_bytes`: the longest id."""
        self.request_classes = settings.classes
        self._class_by_name = {c.name.encode(): (number, c) for number, c in enumerate(settings.classes)}
        self._plan_by_name = {p.name.encode(): number for number, p in enumerate(settings.plans)}
        self._gateways = settings.gateway_count
        self._largest_units = settings.max_request_units
        self._margin_ns = margin_ns
        self._id_bytes = id_bytes

    def read(self, arguments: list[bytes], request_id: int, now: int) -> tuple[Call, Request]:
        """The call and the request of one command; `now`: when it came, in ns. Raises CallError.

        `arguments`: verb, customer, id, a list of name=value, and for CALL.POST a body.
        """
        verb = arguments[0].upper()
        if verb != READ and verb != WRITE:
            raise CallError("unknown command")
        if not ARGUMENTS_WITHOUT_BODY <= len(arguments) <= ARGUMENTS_WITHOUT_BODY + (verb != READ):
            raise CallError("wrong number of words")
        fields = arguments[3].split(b",")
        values = _parse_fields(fields)
        try:
            class_number, request_class = self._class_by_name[values[b"c"]]
            plan = self._plan_by_name[values[b"t"]]
            wait, spread_digits, first_digits = values[b"d"], values[b"spread"], values[b"first"]
            # int() alone would take signs, blanks and underlines too
            if not (wait.isdigit() and spread_digits.isdigit() and first_digits.isdigit()):
                raise ValueError
            wait_ms = int(wait)
            spread = int(spread_digits)
            first = int(first_digits)
            units = float(values[b"units"])
            customer = int(arguments[1], 16)
        except KeyError as err:
            raise CallError(f"missing or unknown: {err.args[0]!r}") from None
        except ValueError:
            raise CallError("a value that is no number") from None
        if (
            len(arguments[1]) != CUSTOMER_DIGITS
            or not arguments[1].isalnum()
            or customer >= CUSTOMERS
            or not 0 < len(arguments[2]) <= self._id_bytes
        ):
            raise CallError("no such customer or id")
        # Bounded, as the customer's quota would remember what anybody says in its name
        if not (
            0 < wait_ms <= LONGEST_WAIT_MS
            and 0 < units <= self._largest_units
            and 0 < spread <= self._gateways
            and first < self._gateways
        ):
            raise CallError("a value out of range")
        if (request_class.idempotency is Idempotency.ALWAYS) != (verb == READ):
            raise CallError("the wrong command for this class")
        if request_class.idempotency is Idempotency.BY_KEY and not values.get(b"k"):
            raise CallError("no key")
        wait_ns = wait_ms * 1_000_000
        deadline_ns = now + wait_ns - min(self._margin_ns, wait_ns // 2)
        deadline_field = fields.index(b"d=" + wait)
        body = arguments[ARGUMENTS_WITHOUT_BODY] if len(arguments) > ARGUMENTS_WITHOUT_BODY else None
        call = Call(verb == READ, arguments[1], arguments[2], fields, deadline_field, body)
        is_retry = values.get(b"r") == b"1"
        return call, Request(
            request_id, class_number, plan, customer, deadline_ns, units, spread, first, is_retry
        )


def _parse_fields(fields: list[bytes]) -> dict[bytes, bytes]:
    """Values by name, of a list of name=value."""
    values: dict[bytes, bytes] = {}
    for field in fields:
        name, equals, value = field.partition(b"=")
        if not equals or name in values:
            raise CallError("malformed list of names and values")
        values[name] = value
    return values
