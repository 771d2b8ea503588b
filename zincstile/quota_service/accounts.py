"""Leases of units: what a gateway may send for each customer, taken from the quota service ahead of need.

For each customer and epoch the service holds one counter, the units leased in it. What may be leased by a
time `s` into an epoch is `part x (opening + rate x s)`. An answer gives the total after the call; what of the
call lies within the allowance is granted, and the remainder is taken off again. The total is never less than
what was granted: a call that is not answered grants nothing, and what is taken off again is taken off once.
So the grants of all gateways never add up to more than the allowance.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

from ..decisions.quota_bounds import Quota
from .account import NEGLIGIBLE_UNITS, Account, Epoch
from .failure_detector import FailureDetector
from .messages import CounterCall
from .opening_level import TOTAL_PRECISION_RATIO, OpeningLevels, service_forgot
from .overshoot_bound import max_carry_units, max_lease_units
from .settings import SECOND_NS, QuotaServiceSettings

MIN_EXHAUSTED_S: Final = 0.02  # a spent epoch is not asked again sooner: calls are few
MAX_EXHAUSTED_S: Final = 1.0  # nor later: the part, or the opening, may have grown meanwhile


@dataclass(slots=True)
class LeaseCounts:
    """What a gateway's accounts have done since the start."""

    calls: int = 0
    unanswered_leases: int = 0
    forgotten: int = 0  # times that the service had forgotten totals
    granted_units: float = 0.0
    returned_units: float = 0.0  # taken off a counter again
    fallback_units: float = 0.0  # sent out of the even part
    reported_units: float = 0.0  # sent without a service, and added to its counter later


@dataclass(slots=True)
class LeaseRequest:
    """A call in flight that asks for `amount` units of a customer's epoch."""

    account: Account
    epoch_number: int
    amount: float
    requested_ns: int


class Accounts:
    """The accounts of one gateway. Whoever carries out its `calls` hands their answers back."""

    def __init__(self, settings: QuotaServiceSettings, detector: FailureDetector) -> None:
        """Starts without accounts; `detector` is the gateway's own."""
        self.settings = settings
        self.detector = detector
        self.accounts: dict[int, Account] = {}  # by the customer's key
        self.counts = LeaseCounts()
        self._opening_levels = OpeningLevels(settings, detector, self._make_call, self._service_forgot)
        self._calls: list[CounterCall] = []
        self._granted: dict[int, int] = {}  # customers that got a lease since the last calls, and its epoch
        self._limits: dict[Quota, tuple[float, float]] = {}  # max_carry and max_unspent

    def account(self, key: int, quota: Quota, gateways: list[int], now: int) -> Account:
        """A customer's account, made where there is none."""
        found = self.accounts.get(key)
        if found is None:
            max_carry, max_unspent = self._limits_of(quota)
            found = Account(key, quota, gateways, max_carry, max_unspent, used_at_ns=now)
            self.accounts[key] = found
        return found

    def calls(self) -> list[CounterCall]:
        """The calls to make since the last time; attempts that waited for an answer are retried before.

        What was leased for a single attempt and is still unspent is returned.
        """
        granted, self._granted = self._granted, {}
        for key, number in granted.items():
            account = self.accounts.get(key)
            if account is not None:
                self._return_excess(account, number)
        made, self._calls = self._calls, []
        self.counts.calls += len(made)
        return made

    # ---- attempts

    def take(self, now: int, account: Account, units: float, *, waited: bool = False) -> bool:
        """Takes the units of an attempt: True where they are leased. Asks for more ahead of need.

        `waited`: it has asked before, and its use is counted.
        """
        if not waited:
            account.note_use(now, units)
        if account.unspent + NEGLIGIBLE_UNITS >= units:
            account.unspent -= units
            self._lease_ahead(now, account, 0.0)
            return True
        if self._take_fallback(now, account, units):
            return True
        self._lease_ahead(now, account, units)
        return False

    def waits_for_answer(self, account: Account) -> bool:
        """Whether a call is in flight that may bring what is lacking: the attempt may be deferred."""
        return account.requested > NEGLIGIBLE_UNITS or account.pending_reads > 0

    def give_back(self, account: Account, units: float) -> None:
        """Takes units back that were taken for an attempt and never sent."""
        account.unspent += units

    def _take_fallback(self, now: int, account: Account, units: float) -> bool:
        """Takes from the even part, where no service is trusted and no peer counts on this gateway."""
        detector, quota = self.detector, account.quota
        if detector.trusts_service or now < detector.fallback_from_ns():
            account.fallback_filled_ns = -1
            return False
        rate = quota.rate / len(account.gateways)
        burst = quota.burst / len(account.gateways)
        if account.fallback_filled_ns < 0:  # empty at first: what was leased before has been sent
            account.fallback = 0.0
            account.fallback_filled_ns = detector.fallback_from_ns()
        account.fallback = min(
            max(burst, quota.max_request_units if burst else 0.0),
            account.fallback + rate * (now - account.fallback_filled_ns) / SECOND_NS,
        )
        account.fallback_filled_ns = now
        if account.fallback + NEGLIGIBLE_UNITS < units:
            return False
        account.fallback -= units
        self.counts.fallback_units += units
        account.epoch(self._epoch_number(now)).unreported.append(units)
        return True

    # ---- leases

    def _lease_ahead(self, now: int, account: Account, shortfall: float) -> None:
        """Leases what recent use will need, and the units that an attempt lacks."""
        detector = self.detector
        if not detector.may_lease(now) or account.requested > NEGLIGIBLE_UNITS:
            return
        number = now // self.settings.epoch_ns
        epoch = account.epoch(number)
        if epoch.unreported:
            self._report(account, number, epoch)
            return
        if epoch.closed or now < epoch.exhausted_until_ns:
            return
        if account.opening_epoch != number:
            self._opening_levels.prepare(now, account, number)
        if account.pending_reads:
            return
        epoch.service_part = min(epoch.service_part, detector.service_part(now, account.gateways))
        wanted = min(account.use_per_s * self.settings.lease_cover_ns / SECOND_NS, account.max_unspent)
        amount = max(shortfall, wanted) - account.unspent
        if amount <= NEGLIGIBLE_UNITS or account.unspent > wanted / 2 and not shortfall:
            return
        self._request(LeaseRequest(account, number, amount, now))

    def _request(self, request: LeaseRequest) -> None:
        request.account.requested = request.amount
        name = request.account.counter_name(request.epoch_number)
        self._make_call(
            CounterCall(name, request.amount, lambda now, total: self._lease_answered(now, request, total))
        )

    def _lease_answered(self, now: int, request: LeaseRequest, total: float | None) -> None:
        account, number, amount = request.account, request.epoch_number, request.amount
        account.requested = 0.0
        if total is None:
            # The amount may have been added: then it is lost, and no gateway sends it.
            self.counts.unanswered_leases += 1
            return
        epoch = account.epochs.get(number)
        if epoch is None:
            epoch = Epoch(closed=True)  # too long ago
        epoch.added += amount
        if service_forgot(total, epoch.added):
            self._service_forgot(now)
            return
        granted = self._granted_units(now, request, epoch, total)
        account.unspent += granted
        self._granted[account.key] = number
        self.counts.granted_units += granted
        refused = amount - granted
        if refused > NEGLIGIBLE_UNITS:
            rate = max(NEGLIGIBLE_UNITS, epoch.service_part * account.quota.rate)
            exhausted_s = min(MAX_EXHAUSTED_S, max(refused / rate, MIN_EXHAUSTED_S))
            epoch.exhausted_until_ns = now + int(exhausted_s * SECOND_NS)
            self._return(account, number, epoch, refused)

    def _granted_units(self, now: int, request: LeaseRequest, epoch: Epoch, total: float) -> float:
        """What of an answered amount lies within the allowance at the time of the request."""
        if epoch.closed or not self.detector.may_lease(now):
            return 0.0
        account, epoch_ns = request.account, self.settings.epoch_ns
        part = self.detector.service_part(now, account.gateways)
        epoch.service_part = min(epoch.service_part, part)
        into_epoch_ns = min(epoch_ns, max(0, request.requested_ns - request.epoch_number * epoch_ns))
        allowed = epoch.service_part * (epoch.opening + account.quota.rate * into_epoch_ns / SECOND_NS)
        beyond = total * (1 + TOTAL_PRECISION_RATIO) - allowed
        return min(request.amount, max(0.0, request.amount - beyond))

    def _return_excess(self, account: Account, number: int) -> None:
        """Returns what is unspent beyond `max_unspent`."""
        excess = account.unspent - account.max_unspent
        if excess > NEGLIGIBLE_UNITS:
            account.unspent -= excess
            # To the counter of the epoch that it was leased in: the total of another one would fall below
            # what was added there, which is the sign of a service that forgot.
            self._return(account, number, account.epochs.get(number), excess)

    def _return(self, account: Account, number: int, epoch: Epoch | None, units: float) -> None:
        """Takes units off an epoch's counter again, once, whether that is answered or not."""
        if epoch is not None:
            epoch.added -= units
        self.counts.returned_units += units
        self._make_call(CounterCall(account.counter_name(number), -units, lambda now, total: None))

    def _report(self, account: Account, number: int, epoch: Epoch) -> None:
        """Adds what was sent without a service in this epoch, once, before anything is leased of it."""
        amount = sum(epoch.unreported)
        account.requested = NEGLIGIBLE_UNITS * 2  # holds leases back until the answer

        def answered(now: int, total: float | None) -> None:
            account.requested = 0.0
            epoch.unreported.clear()
            if total is None:
                epoch.closed = True  # it may have been added or not
                return
            epoch.added += amount
            self.counts.reported_units += amount

        self._make_call(CounterCall(account.counter_name(number), amount, answered))

    def _service_forgot(self, now: int) -> None:
        """The service has forgotten leases: nothing more of this epoch is leased, for any customer."""
        self.counts.forgotten += 1
        self.detector.service_forgot(now)
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
