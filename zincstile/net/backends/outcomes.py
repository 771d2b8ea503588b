"""What outcomes of attempts are called in counters and retry reasons, and what their load reports say."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final

from ...decisions.messages import AttemptResult
from ...simulator.settings_codec import LOAD_REPORT_FIELDS
from ..reasons import RetryReason

RESULT_COUNTERS: Final = {
    AttemptResult.OK: "ok",
    AttemptResult.ERROR: "error",
    AttemptResult.REJECTED: "attempt_rejected",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.NOT_SENT: "not_sent",
    AttemptResult.STALE_CONNECTION: "stale_connection",
    AttemptResult.MALFORMED: "malformed_response",
}
RETRY_REASONS: Final = {  # by how the attempt before ended
    AttemptResult.CONNECT_FAILED: RetryReason.CONNECT,
    AttemptResult.REJECTED: RetryReason.REJECTED,
    AttemptResult.NOT_SENT: RetryReason.NOT_SENT,
    AttemptResult.ERROR: RetryReason.ERROR,
    AttemptResult.RESET: RetryReason.RESET,
    AttemptResult.STALE_CONNECTION: RetryReason.RESET,
    AttemptResult.TIMEOUT: RetryReason.TIMEOUT,
    AttemptResult.MALFORMED: RetryReason.MALFORMED_RESPONSE,
}


def parse_load_report(report: bytes, fields: Sequence[str]) -> list[float]:
    """The figures of a load report, `name=value` with commas between, in the order of `fields`.

    Empty where a field is missing or a figure is negative, infinite or none. A report may carry the names
    that the settings use on the wire, as the decoder of the settings puts them into plain ones.
    """
    try:
        pairs = [part.split("=", 1) for part in report.decode().split(",")]
        given = {LOAD_REPORT_FIELDS.get(name, name): value for name, value in pairs}
        figures = [float(given[name]) for name in fields]
    except (ValueError, KeyError):
        return []
    return figures if all(0 <= figure < math.inf for figure in figures) else []  # not a number compares false
