"""The units with which an epoch opens: what the epochs before gave, less what was leased in them.

A gateway reads the totals of as many past epochs as fill a bucket from nothing. It does so once they stand:
whatever call of them is in flight then has timed out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from .account import Account
from .failure_detector import FailureDetector
from .messages import CounterCall
from .settings import SECOND_NS, QuotaServiceSettings

MAX_EPOCHS_READ: Final = 8  # bounds the calls of a gateway that starts; a longer past counts as nothing
TOTAL_PRECISION_RATIO: Final = 1e-6  # the service returns totals with seven digits


def counter_was_reset(total: float, added: float) -> bool:
    """Whether a total is less than what was added to it, beyond its precision."""
    return total + TOTAL_PRECISION_RATIO * max(1.0, abs(total), abs(added)) < added


class CarryOver:
    """Reads past totals by calls, and works out the openings of a gateway's epochs.

    `make_call` takes each call that is to be made. `on_counters_lost(now)` is called where a total shows that
    the service has lost its counters.
    """

    def __init__(
        self,
        settings: QuotaServiceSettings,
        detector: FailureDetector,
        make_call: Callable[[CounterCall], None],
        on_counters_lost: Callable[[int], None],
    ) -> None:
        """Takes the gateway's settings and failure detector, and the two callbacks."""
        self.settings = settings
        self.detector = detector
        self._make_call = make_call
        self._on_counters_lost = on_counters_lost

    def prepare(self, now: int, account: Account, number: int) -> None:
        """Works out the opening of epoch `number`, once the totals of the epochs before stand."""
        settings = self.settings
        stands_ns = number * settings.epoch_ns + settings.call_timeout_ns + settings.clock_skew_ns
        if now < stands_ns:
            return
        account.carry_over_epoch = number
        first = number - self._epochs_to_fill(account)
        unknown = [past for past in range(first, number) if past not in account.past_totals]
        if not unknown:
            self._open(now, account, number)
            return
        account.pending_reads = len(unknown)
        for past in unknown:
            self._make_call(self._read(account, number, past))

    def _epochs_to_fill(self, account: Account) -> int:
        """How many epochs it takes to fill the bucket that is carried over, from nothing."""
        given = account.quota.rate * self.settings.epoch_ns / SECOND_NS
        return min(MAX_EPOCHS_READ, math.ceil(account.max_carry_units / given))

    def _read(self, account: Account, number: int, past: int) -> CounterCall:
        return CounterCall(
            account.counter_name(past),
            0.0,
            lambda now, total: self._read_answered(now, account, number, past, total),
        )

    def _read_answered(self, now: int, account: Account, number: int, past: int, total: float | None) -> None:
        account.pending_reads -= 1
        epoch = account.epochs.get(past)
        if total is not None and epoch is not None and counter_was_reset(total, epoch.added_units):
            self._on_counters_lost(now)
        elif total is not None:
            account.past_totals[past] = total
        if not account.pending_reads and account.carry_over_epoch == number:
            self._open(now, account, number)

    def _open(self, now: int, account: Account, number: int) -> None:
        """Sets the opening: nothing before the first epoch that is known, then what each one left.

        It never exceeds what may be carried over.
        """
        epoch_ns = self.settings.epoch_ns
        first = number - self._epochs_to_fill(account)
        level = 0.0
        for past in range(first, number):
            part = self.detector.service_part_since(now, account.gateways, past * epoch_ns)
            if past not in account.past_totals or part <= 0:
                level = 0.0
                continue
            given = part * account.quota.rate * epoch_ns / SECOND_NS
            level = max(0.0, level + given - account.past_totals[past])
            level = min(part * account.max_carry_units, level)
        account.past_totals = {past: total for past, total in account.past_totals.items() if past >= first}
        if number in account.epochs:
            account.epochs[number].carried_units = level
