"""The commands that go to a backend: a call of a client, and a health check."""

from __future__ import annotations

from typing import Final

from .. import resp
from ..session import Call

CALL_IDEMPOTENT: Final = b"CALL.GET"
CALL_UNSAFE: Final = b"CALL.POST"
NS_PER_MS: Final = 1_000_000

HEALTH_CHECK: Final = resp.encode_command([b"INFO", b"load"])


def call_command(call: Call, remaining_ns: int) -> bytes:
    """A client's call with the time that its client still waits, in whole milliseconds, at least one."""
    wait_ms = max(1, remaining_ns // NS_PER_MS)
    fields = call.fields.copy()
    fields[call.deadline_field_index] = b"d=%d" % wait_ms
    command = CALL_IDEMPOTENT if call.idempotent else CALL_UNSAFE
    parts = [command, call.customer, call.id, b",".join(fields)]
    if call.body is not None:
        parts.append(call.body)
    return resp.encode_command(parts)
