"""What outcomes of attempts are called in counters and retry reasons, and what their load reports say."""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import Final

from ...decisions.messages import AttemptResult
from ...simulator.codec import FIELD_NAMES
from ..reasons import RetryReason

RESULT_COUNTERS: Final = {
    AttemptResult.OK: "ok",
    AttemptResult.ERROR: "error",
    AttemptResult.REJECTED: "full",
    AttemptResult.TIMEOUT: "timeout",
    AttemptResult.CONNECT_FAILED: "connect_failed",
    AttemptResult.RESET: "reset",
    AttemptResult.CANCELLED: "cancelled",
    AttemptResult.NOT_SENT: "moot",
    AttemptResult.STALE_CONNECTION: "stale",
    AttemptResult.MALFORMED: "spoilt",
}
RETRY_REASONS: Final = {  # by how the attempt before ended
    AttemptResult.CONNECT_FAILED: RetryReason.CONNECT,
    AttemptResult.REJECTED: RetryReason.FULL,
    AttemptResult.NOT_SENT: RetryReason.MOOT,
    AttemptResult.ERROR: RetryReason.ERROR,
    AttemptResult.RESET: RetryReason.BROKEN,
    AttemptResult.STALE_CONNECTION: RetryReason.BROKEN,
    AttemptResult.TIMEOUT: RetryReason.TIMEOUT,
    AttemptResult.MALFORMED: RetryReason.SPOILT,
}


def load_figures(report: bytes, fields: Sequence[str]) -> list[float]:
    """The figures of a load report, `name=value` with commas between, in the order of `fields`.

    Empty where a field is missing or a figure is negative, infinite or none. A report may carry the names
    that the settings use on the wire, as the decoder of the settings puts them into plain ones.
    """
    try:
        pairs = [part.split("=", 1) for part in report.decode().split(",")]
        given = {FIELD_NAMES.get(name, name): value for name, value in pairs}
        figures = [float(given[name]) for name in fields]
    except (ValueError, KeyError):
        return []
    return figures if all(0 <= figure < math.inf for figure in figures) else []  # not a number compares false
