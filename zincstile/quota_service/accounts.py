"""Leases units of customers' quotas from the quota service, ahead of need.

For each customer and epoch the service has one counter: the units leased in that epoch. The allowance at `s`
seconds into an epoch is `part x (carried units + rate x s)`. A call adds the wanted units and is answered
with the new total; the units within the allowance are granted, and the excess is subtracted again. A call
without an answer grants nothing, and an excess is subtracted at most once, so a counter is never below the
units granted. Therefore the grants of all gateways together never exceed the allowance.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..decisions.quota_bounds import Quota
from .account import NEGLIGIBLE_UNITS, Account, Epoch
from .carry_over import TOTAL_PRECISION_RATIO, CarryOver, counter_was_reset
from .failure_detector import FailureDetector
from .messages import CounterCall
from .overshoot_bound import max_carry_units, max_lease_units
from .settings import SECOND_NS, QuotaServiceSettings

# After a lease that was not granted in full, the gateway waits at least this long before it calls again: the
# service allows few calls.
MIN_EXHAUSTED_S: Final = 0.02
# It waits no longer than this: this gateway's part or the carried units may have grown meanwhile.
MAX_EXHAUSTED_S: Final = 1.0


@dataclass(slots=True)
class LeaseCounts:
    """Counts of what a gateway's accounts have done since the start."""

    calls: int = 0
    unanswered_leases: int = 0
    counter_losses: int = 0  # times that the service was found to have lost its counters
    granted_units: float = 0.0
    returned_units: float = 0.0  # subtracted from a counter again
    fallback_units: float = 0.0  # taken from the fallback bucket
    reported_units: float = 0.0  # sent while no service was trusted, and added to a counter later


@dataclass(slots=True)
class LeaseRequest:
    """A call in flight that asks for `amount` units from a customer's epoch."""

    account: Account
    epoch_number: int
    amount: float
    requested_ns: int


class Accounts:
    """The accounts of one gateway. The caller makes the `calls` and passes each answer to its `on_answer`."""

    def __init__(self, settings: QuotaServiceSettings, detector: FailureDetector) -> None:
        """Creates an empty set of accounts; `detector` is this gateway's failure detector."""
        self.settings = settings
        self.detector = detector
        self.accounts: dict[int, Account] = {}  # by the customer's key
        self.counts = LeaseCounts()
        self._carry_over = CarryOver(settings, detector, self._make_call, self._on_counters_lost)
        self._calls: list[CounterCall] = []
        # epoch number of the last lease, by customer key, for customers granted one since the last `calls()`
        self._granted_epochs: dict[int, int] = {}
        self._limits: dict[Quota, tuple[float, float]] = {}  # max_carry_units and max_unspent_units

    def account(self, key: int, quota: Quota, gateways: list[int], now: int) -> Account:
        """Returns a customer's account, creating it if needed."""
        account = self.accounts.get(key)
        if account is None:
            max_carry, max_unspent = self._limits_of(quota)
            account = Account(key, quota, gateways, max_carry, max_unspent, used_at_ns=now)
            self.accounts[key] = account
        return account

    def calls(self) -> list[CounterCall]:
        """Returns the calls to make, each once.

        The caller first retries the attempts that waited for an answer: units that are unspent after that,
        beyond `max_unspent_units`, are returned to the service.
        """
        granted_epochs, self._granted_epochs = self._granted_epochs, {}
        for key, number in granted_epochs.items():
            account = self.accounts.get(key)
            if account is not None:
                self._return_excess(account, number)
        drained, self._calls = self._calls, []
        self.counts.calls += len(drained)
        return drained

    # ---- attempts

    def reserve(self, now: int, account: Account, units: float, *, waited: bool = False) -> bool:
        """Takes the units of an attempt if they are available, and requests leases ahead of need.

        Returns whether the units were taken. `waited` marks a retry of an attempt whose use is already
        counted.
        """
        if not waited:
            account.note_use(now, units)
        if account.unspent_units + NEGLIGIBLE_UNITS >= units:
            account.unspent_units -= units
            self._lease_ahead(now, account, 0.0)
            return True
        if self._reserve_fallback(now, account, units):
            return True
        self._lease_ahead(now, account, units)
        return False

    def awaits_answer(self, account: Account) -> bool:
        """Returns whether an attempt may wait, as a call in flight may bring the units that it lacks."""
        return account.requested_units > NEGLIGIBLE_UNITS or account.pending_reads > 0

    def release(self, account: Account, units: float) -> None:
        """Puts back units that were taken for an attempt which was not sent."""
        account.unspent_units += units

    def _reserve_fallback(self, now: int, account: Account, units: float) -> bool:
        """Takes units from the fallback bucket, which this gateway may use once it has lost the service.

        By that time no peer still counts this gateway among those on the service.
        """
        detector, quota = self.detector, account.quota
        if detector.trusts_service or now < detector.fallback_from_ns():
            account.fallback_filled_ns = -1
            return False
        rate = quota.rate / len(account.gateways)
        burst = quota.burst / len(account.gateways)
        # The bucket starts empty, as this gateway may have spent its part through leases.
        if account.fallback_filled_ns < 0:
            account.fallback_units = 0.0
            account.fallback_filled_ns = detector.fallback_from_ns()
        account.fallback_units = min(
            max(burst, quota.max_request_units if burst else 0.0),
            account.fallback_units + rate * (now - account.fallback_filled_ns) / SECOND_NS,
        )
        account.fallback_filled_ns = now
        if account.fallback_units + NEGLIGIBLE_UNITS < units:
            return False
        account.fallback_units -= units
        self.counts.fallback_units += units
        account.epoch(self._epoch_number(now)).unreported_units.append(units)
        return True

    # ---- leases

    def _lease_ahead(self, now: int, account: Account, shortfall: float) -> None:
        """Requests a lease for the expected use, and for the units that an attempt lacks."""
        detector = self.detector
        if not detector.may_lease(now) or account.requested_units > NEGLIGIBLE_UNITS:
            return
        number = now // self.settings.epoch_ns
        epoch = account.epoch(number)
        if epoch.unreported_units:
            self._report(account, number, epoch)
            return
        if epoch.closed or now < epoch.exhausted_until_ns:
            return
        if account.carry_over_epoch != number:
            self._carry_over.prepare(now, account, number)
        if account.pending_reads:
            return
        epoch.service_part = min(epoch.service_part, detector.service_part(now, account.gateways))
        wanted = min(account.use_per_s * self.settings.lease_cover_ns / SECOND_NS, account.max_unspent_units)
        amount = max(shortfall, wanted) - account.unspent_units
        if amount <= NEGLIGIBLE_UNITS or account.unspent_units > wanted / 2 and not shortfall:
            return
        self._request(LeaseRequest(account, number, amount, now))

    def _request(self, request: LeaseRequest) -> None:
        request.account.requested_units = request.amount
        name = request.account.counter_name(request.epoch_number)
        self._make_call(
            CounterCall(name, request.amount, lambda now, total: self._lease_answered(now, request, total))
        )

    def _lease_answered(self, now: int, request: LeaseRequest, total: float | None) -> None:
        account, number, amount = request.account, request.epoch_number, request.amount
        account.requested_units = 0.0
        if total is None:
            # The amount may have been added to the counter. It is then lost: no gateway can use it.
            self.counts.unanswered_leases += 1
            return
        epoch = account.epochs.get(number)
        if epoch is None:
            epoch = Epoch(closed=True)  # the epoch was dropped, so nothing is granted
        epoch.added_units += amount
        if counter_was_reset(total, epoch.added_units):
            self._on_counters_lost(now)
            return
        granted = self._granted_units(now, request, epoch, total)
        account.unspent_units += granted
        self._granted_epochs[account.key] = number
        self.counts.granted_units += granted
        refused = amount - granted
        if refused > NEGLIGIBLE_UNITS:
            rate = max(NEGLIGIBLE_UNITS, epoch.service_part * account.quota.rate)
            exhausted_s = min(MAX_EXHAUSTED_S, max(refused / rate, MIN_EXHAUSTED_S))
            epoch.exhausted_until_ns = now + int(exhausted_s * SECOND_NS)
            self._return(account, number, epoch, refused)

    def _granted_units(self, now: int, request: LeaseRequest, epoch: Epoch, total: float) -> float:
        """Returns how many of the requested units are within the allowance at the time of the request."""
        if epoch.closed or not self.detector.may_lease(now):
            return 0.0
        account, epoch_ns = request.account, self.settings.epoch_ns
        part = self.detector.service_part(now, account.gateways)
        epoch.service_part = min(epoch.service_part, part)
        into_epoch_ns = min(epoch_ns, max(0, request.requested_ns - request.epoch_number * epoch_ns))
        allowed = epoch.service_part * (epoch.carried_units + account.quota.rate * into_epoch_ns / SECOND_NS)
        excess = total * (1 + TOTAL_PRECISION_RATIO) - allowed
        return min(request.amount, max(0.0, request.amount - excess))

    def _return_excess(self, account: Account, number: int) -> None:
        """Returns the unspent units beyond `max_unspent_units` to the service."""
        excess = account.unspent_units - account.max_unspent_units
        if excess > NEGLIGIBLE_UNITS:
            account.unspent_units -= excess
            # The units go to the counter of the epoch that they were leased in. The total of another epoch
            # would fall below what was added to it, which looks like a service that has lost its counters.
            self._return(account, number, account.epochs.get(number), excess)

    def _return(self, account: Account, number: int, epoch: Epoch | None, units: float) -> None:
        """Subtracts units from an epoch's counter, with a single call that is not repeated."""
        if epoch is not None:
            epoch.added_units -= units
        self.counts.returned_units += units
        self._make_call(CounterCall(account.counter_name(number), -units, lambda now, total: None))

    def _report(self, account: Account, number: int, epoch: Epoch) -> None:
        """Adds the units sent without a service to the epoch's counter, once, before it grants any lease."""
        amount = sum(epoch.unreported_units)
        account.requested_units = NEGLIGIBLE_UNITS * 2  # non-zero, so no lease is requested before the answer

        def answered(now: int, total: float | None) -> None:
            account.requested_units = 0.0
            epoch.unreported_units.clear()
            if total is None:
                epoch.closed = True  # the amount may or may not have been added
                return
            epoch.added_units += amount
            self.counts.reported_units += amount

        self._make_call(CounterCall(account.counter_name(number), amount, answered))

    def _on_counters_lost(self, now: int) -> None:
        """Handles a service that has lost its counters: nothing more is leased in the current epoch."""
        self.counts.counter_losses += 1
        self.detector.on_counters_lost(now)
        for account in self.accounts.values():
            account.epoch(self._epoch_number(now)).closed = True
            account.past_totals.clear()

    def _epoch_number(self, now: int) -> int:
        return now // self.settings.epoch_ns

    def _make_call(self, call: CounterCall) -> None:
        self._calls.append(call)

    def _limits_of(self, quota: Quota) -> tuple[float, float]:
        if quota not in self._limits:
            self._limits[quota] = max_carry_units(quota, self.settings), max_lease_units(quota, self.settings)
        return self._limits[quota]
