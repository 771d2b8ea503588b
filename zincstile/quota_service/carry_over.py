"""Computes the units that an epoch carries over: what earlier epochs allowed, less what was leased in them.

A gateway reads the totals of as many past epochs as it takes to fill an empty bucket. It waits until these
totals are final, that is until every call to their counters has been answered or has timed out.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Final

from .account import Account
from .failure_detector import FailureDetector
from .messages import CounterCall
from .settings import SECOND_NS, QuotaServiceSettings

MAX_EPOCHS_READ: Final = 8  # limits the calls of a gateway that starts; earlier epochs carry nothing over
TOTAL_PRECISION_RATIO: Final = 1e-6  # the service returns totals with seven significant digits


def counter_was_reset(total: float, added_units: float) -> bool:
    """Returns whether a total is lower than what this gateway added to it, beyond rounding."""
    return total + TOTAL_PRECISION_RATIO * max(1.0, abs(total), abs(added_units)) < added_units


class CarryOver:
    """Reads past totals from the service and computes the carry-over of each epoch.

    Each call to the service is passed to `make_call`. `on_counters_lost(now)` is called when a total shows
    that the service has lost its counters.
    """

    def __init__(
        self,
        settings: QuotaServiceSettings,
        detector: FailureDetector,
        make_call: Callable[[CounterCall], None],
        on_counters_lost: Callable[[int], None],
    ) -> None:
        """Stores the settings, this gateway's failure detector and the two callbacks."""
        self.settings = settings
        self.detector = detector
        self._make_call = make_call
        self._on_counters_lost = on_counters_lost

    def prepare(self, now: int, account: Account, number: int) -> None:
        """Starts to compute the carry-over of epoch `number`, if the earlier totals are final by now."""
        settings = self.settings
        totals_final_ns = number * settings.epoch_ns + settings.call_timeout_ns + settings.clock_skew_ns
        if now < totals_final_ns:
            return
        account.carry_over_epoch = number
        first = number - self._epochs_to_fill(account)
        unknown = [past for past in range(first, number) if past not in account.past_totals]
        if not unknown:
            self._set_carried_units(now, account, number)
            return
        account.pending_reads = len(unknown)
        for past in unknown:
            self._make_call(self._read(account, number, past))

    def _epochs_to_fill(self, account: Account) -> int:
        """Returns how many epochs without use it takes to carry over the maximum."""
        units_per_epoch = account.quota.rate * self.settings.epoch_ns / SECOND_NS
        return min(MAX_EPOCHS_READ, math.ceil(account.max_carry_units / units_per_epoch))

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
            self._set_carried_units(now, account, number)

    def _set_carried_units(self, now: int, account: Account, number: int) -> None:
        """Adds up what each past epoch left unused, up to `max_carry_units`.

        The sum starts at 0 with the first epoch that was read, and again after each epoch whose total is
        unknown.
        """
        epoch_ns = self.settings.epoch_ns
        first = number - self._epochs_to_fill(account)
        carried_units = 0.0
        for past in range(first, number):
            part = self.detector.service_part_since(now, account.gateways, past * epoch_ns)
            if past not in account.past_totals or part <= 0:
                carried_units = 0.0
                continue
            allowed_units = part * account.quota.rate * epoch_ns / SECOND_NS
            carried_units = max(0.0, carried_units + allowed_units - account.past_totals[past])
            carried_units = min(part * account.max_carry_units, carried_units)
        account.past_totals = {past: total for past, total in account.past_totals.items() if past >= first}
        if number in account.epochs:
            account.epochs[number].carried_units = carried_units
