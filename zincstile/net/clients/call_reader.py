"""Validates a client's command and converts it to a request for the policy and a call to forward."""

from __future__ import annotations

from typing import Final

from ...decisions.messages import Request
from ...decisions.settings import Idempotency, Settings
from ..session import Call

CALL_GET: Final = b"CALL.GET"  # for classes that may always be retried
CALL_POST: Final = b"CALL.POST"
ARGUMENT_COUNT_WITHOUT_BODY: Final = 4  # command, customer, request id, fields
MAX_TIMEOUT_MS: Final = 3_600_000  # an hour; a longer timeout is taken for a mistake
CUSTOMER_ID_DIGITS: Final = 16  # hexadecimal
CUSTOMER_ID_LIMIT: Final = 2**33  # all customer ids are below this


class CallError(ValueError):
    """A command is not a valid call; the text is sent to the client."""


class CallReader:
    """Reads commands by the names and limits in the settings."""

    __slots__ = (
        "request_classes",
        "_class_by_name",
        "_plan_by_name",
        "_network_margin_ns",
        "_gateway_count",
        "_max_units",
        "_max_id_bytes",
    )

    def __init__(self, settings: Settings, network_margin_ns: int, max_id_bytes: int) -> None:
        """`network_margin_ns` is subtracted from a client's timeout; `max_id_bytes` limits the request id."""
        self.request_classes = settings.classes
        self._class_by_name = {c.name.encode(): (index, c) for index, c in enumerate(settings.classes)}
        self._plan_by_name = {p.name.encode(): index for index, p in enumerate(settings.plans)}
        self._gateway_count = settings.gateway_count
        self._max_units = settings.max_request_units
        self._network_margin_ns = network_margin_ns
        self._max_id_bytes = max_id_bytes

    def read(self, arguments: list[bytes], request_id: int, now: int) -> tuple[Call, Request]:
        """Returns the call and the request of one command received at `now`, in ns. Raises CallError.

        `arguments`: command, customer, request id, a list of name=value, and a body for CALL.POST.
        """
        verb = arguments[0].upper()
        if verb != CALL_GET and verb != CALL_POST:
            raise CallError("unknown command")
        if (
            not ARGUMENT_COUNT_WITHOUT_BODY
            <= len(arguments)
            <= ARGUMENT_COUNT_WITHOUT_BODY + (verb != CALL_GET)
        ):
            raise CallError("wrong number of words")
        fields = arguments[3].split(b",")
        values = _parse_fields(fields)
        try:
            class_index, request_class = self._class_by_name[values[b"c"]]
            plan = self._plan_by_name[values[b"t"]]
            timeout_digits, set_size_digits, first_gateway_digits = (
                values[b"d"],
                values[b"spread"],
                values[b"first"],
            )
            # int() would also accept signs, spaces and underscores
            if not (
                timeout_digits.isdigit() and set_size_digits.isdigit() and first_gateway_digits.isdigit()
            ):
                raise ValueError
            timeout_ms = int(timeout_digits)
            gateway_set_size = int(set_size_digits)
            first_gateway = int(first_gateway_digits)
            units = float(values[b"units"])
            customer = int(arguments[1], 16)
        except KeyError as err:
            raise CallError(f"missing or unknown: {err.args[0]!r}") from None
        except ValueError:
            raise CallError("a value that is no number") from None
        if (
            len(arguments[1]) != CUSTOMER_ID_DIGITS
            or not arguments[1].isalnum()
            or customer >= CUSTOMER_ID_LIMIT
            or not 0 < len(arguments[2]) <= self._max_id_bytes
        ):
            raise CallError("no such customer or id")
        # Limited, as any client can send these values for any customer, and the customer's quota keeps them
        if not (
            0 < timeout_ms <= MAX_TIMEOUT_MS
            and 0 < units <= self._max_units
            and 0 < gateway_set_size <= self._gateway_count
            and first_gateway < self._gateway_count
        ):
            raise CallError("a value out of range")
        if (request_class.idempotency is Idempotency.ALWAYS) != (verb == CALL_GET):
            raise CallError("the wrong command for this class")
        if request_class.idempotency is Idempotency.BY_KEY and not values.get(b"k"):
            raise CallError("no key")
        timeout_ns = timeout_ms * 1_000_000
        deadline_ns = now + timeout_ns - min(self._network_margin_ns, timeout_ns // 2)
        deadline_field_index = fields.index(b"d=" + timeout_digits)
        body = (
            arguments[ARGUMENT_COUNT_WITHOUT_BODY] if len(arguments) > ARGUMENT_COUNT_WITHOUT_BODY else None
        )
        call = Call(verb == CALL_GET, arguments[1], arguments[2], fields, deadline_field_index, body)
        is_retry = values.get(b"r") == b"1"
        return call, Request(
            request_id,
            class_index,
            plan,
            customer,
            deadline_ns,
            units,
            gateway_set_size,
            first_gateway,
            is_retry,
        )


def _parse_fields(fields: list[bytes]) -> dict[bytes, bytes]:
    """Returns the values by name of a list of name=value."""
    values: dict[bytes, bytes] = {}
    for field in fields:
        name, equals, value = field.partition(b"=")
        if not equals or name in values:
            raise CallError("malformed list of names and values")
        values[name] = value
    return values
