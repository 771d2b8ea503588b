"""Maps the outcomes of attempts to counters and retry reasons, and parses load reports."""

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
# By the result of the previous attempt.
RETRY_REASONS: Final = {
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
    """Parses a load report, comma-separated `name=value`, and returns its figures in the order of `fields`.

    Returns an empty list if a field is missing, or a figure is negative, infinite or not a number. A report
    may use the field names of the settings on the wire, which the decoder of the settings translates.
    """
    try:
        pairs = [part.split("=", 1) for part in report.decode().split(",")]
        values = {LOAD_REPORT_FIELDS.get(name, name): value for name, value in pairs}
        figures = [float(values[name]) for name in fields]
    except (ValueError, KeyError):
        return []
    # Comparisons with NaN are false.
    return figures if all(0 <= figure < math.inf for figure in figures) else []
