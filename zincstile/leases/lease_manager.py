"""The customers' quotas at one gateway: parts with one owner each, and leases between the parts.

Each of a customer's holders has an equal part of the quota: a token bucket of capacity `burst / holders` that
fills at `rate / holders`. This needs no messages and no synchronized clocks: under any partition the parts
add up to the quota. A gateway that lacks units leases them from a holder that has some:

* The lessor takes the units out of its token bucket before it sends the grant. If the grant is lost, so are
  the units, but no two gateways ever have the same units.
* A lease ends `lease_ns` after its request was sent, on the lessee's clock. On the lessor's clock it ends
  `lease_ns` after the grant, which is later. So both sides know the end without a message, and their clocks
  need not be synchronized.
* While a lease is active, the lessor's token bucket fills only up to its capacity less the leased units. So
  token buckets and leases together never exceed the burst, whatever messages are lost, delayed, duplicated or
  reordered.
* Unused units are returned by a release message while the lease is active. A released or expired lease can't
  become active again, as it is identified by the lessee's process and a request id that is used only once.
* A token bucket fills by the time for which its process was observed to run (`RunningClock`). A process that
  was suspended gains no units for that time, as attempts decided before may be sent only after it.

A gateway gets no lease while messages don't reach it: each request names the last answer that arrived, and
requests are rejected while a grant that should have arrived by now is unconfirmed.
"""

from __future__ import annotations

import random

from ..decisions.quota_bounds import Quota
from .lease_messages import NEGLIGIBLE_UNITS, LeaseMessage
from .lease_state import LeaseState
from .lessee import Lessee
from .lessor import Lessor
from .overshoot_bound import batch_limit_units, holder_count, initial_fill_ratio
from .quota_account import QuotaAccount
from .rendezvous import choose_holders
from .running_clock import RunningClock
from .settings import SECOND_NS, LeaseSettings


class LeaseManager:
    """The quota accounts of one gateway, and both sides of its leases, `lessee` and `lessor`.

    Times are in nanoseconds of this machine's monotonic clock.
    """

    def __init__(
        self, settings: LeaseSettings, gateway: int, process: int, now: int, rng: random.Random
    ) -> None:
        """Starts without accounts; `process` is a number that no other process of this gateway has used."""
        clock = RunningClock(settings.max_tick_gap_ns)
        clock.observe(now)
        self.settings = settings
        self.state = LeaseState(settings, gateway, process, clock)
        self.accounts = self.state.accounts
        self.lessee = Lessee(self.state, rng)
        self.lessor = Lessor(self.state)

    # ---- accounts

    def account(
        self, now: int, customer: int, plan: int, quota: Quota, gateways: tuple[int, ...]
    ) -> QuotaAccount:
        """Returns a customer's account, creating it if needed."""
        return self.accounts.get(customer) or self._open_account(now, customer, plan, quota, gateways)

    def _open_account(
        self, now: int, customer: int, plan: int, quota: Quota, gateways: tuple[int, ...]
    ) -> QuotaAccount:
        """Creates an account; its token bucket has filled since the start of the process."""
        state = self.state
        holders = tuple(choose_holders(customer, gateways, holder_count(quota, self.settings)))
        part_ratio = 1 / len(holders) if state.gateway in holders else 0.0
        capacity_units = quota.burst * part_ratio
        rate_per_s = quota.rate * part_ratio
        running_ns = state.clock.observe(now)
        initial_units = initial_fill_ratio(quota, self.settings) * capacity_units
        account = QuotaAccount(
            customer=customer,
            plan=plan,
            quota=quota,
            gateways=gateways,
            holders=holders,
            capacity_units=capacity_units,
            rate_per_s=rate_per_s,
            batch_limit_units=batch_limit_units(quota, self.settings),
            own_units=min(capacity_units, initial_units + rate_per_s * running_ns / SECOND_NS),
            filled_ns=running_ns,
            used_ns=now,
        )
        self.accounts[customer] = account
        return account

    def drop_idle_accounts(self, now: int, idle_ns: int) -> None:
        """Drops accounts that were not used for `idle_ns` and have no state that is still needed."""
        for account in list(self.accounts.values()):
            if now - account.used_ns > idle_ns and self._is_droppable(now, account):
                del self.accounts[account.customer]
                self.state.expiring.pop(account.customer, None)

    def _is_droppable(self, now: int, account: QuotaAccount) -> bool:
        """Returns whether an account has no leases or requests and a full token bucket."""
        account.refill(self.state.clock.observe(now))
        return not account.has_leases and account.is_full

    # ---- units

    def reserve(self, now: int, account: QuotaAccount, units: float) -> bool:
        """Takes the units of an attempt; returns False and takes nothing if they are not available."""
        account.refill(self.state.clock.observe(now))
        if account.own_units + account.usable_leased_units(now) + NEGLIGIBLE_UNITS < units:
            return False
        account.spend(units)
        if account.leases:
            self.lessee.release_used_up(account)
        account.record_use(now, units)
        return True

    def cancel_reservation(self, now: int, account: QuotaAccount) -> None:
        """Undoes the last `reserve` of the same batch, as its attempt is not sent."""
        account.refill(self.state.clock.observe(now))
        account.undo_last_spend()

    def charge(self, now: int, account: QuotaAccount, units: float) -> None:
        """Takes the units that an attempt used beyond its reservation; a negative number is put back."""
        account.refill(self.state.clock.observe(now))
        account.credit(-units)

    def available_units(self, now: int, account: QuotaAccount) -> float:
        """Returns the units that this gateway can use: its own and those leased from others."""
        account.refill(self.state.clock.observe(now))
        account.drop_expired_leases(now)
        return account.own_units + account.leased_units()

    # ---- time and messages

    def tick(self, now: int) -> None:
        """Expires requests and leases, and releases leases that recent use will not use up in time."""
        state = self.state
        state.clock.observe(now)
        state.outbox.flush_releases()
        for customer in list(state.expiring):
            account = self.accounts.get(customer)
            if account is None:
                del state.expiring[customer]
                continue
            self.lessee.expire_requests(now, account)
            account.refill(state.clock.observe(now))
            self.lessor.expire(now, account)
            account.drop_expired_leases(now)
            self.lessee.release_unneeded(now, account)
            if not account.has_leases:
                del state.expiring[customer]

    def drain_messages(self) -> list[LeaseMessage]:
        """Returns the queued messages and empties the queue."""
        return self.state.outbox.drain()

    def snapshot(self, now: int) -> dict[str, float]:
        """Returns figures for the log: numbers of accounts, units and requests."""
        accounts = self.accounts.values()
        counters = self.state.counters
        leased_units = sum(
            lease.units for account in accounts for lease in account.leases if lease.end_ns > now
        )
        return {
            "purses": len(accounts),
            "own": round(sum(account.own_units for account in accounts), 2),
            "hand": round(leased_units, 2),
            "lent": round(sum(account.leased_out_units for account in accounts), 2),
            "loans": counters.grants,
            "asks": counters.requests,
            "unanswered": counters.overdue_requests,
        }
